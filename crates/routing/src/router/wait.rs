//! How long a newcomer would wait.

use {
    crate::latency::RateMeter,
    proto::messages::PriorityClass,
    std::{collections::BTreeMap, time::Duration},
};

/// The weight of a new measurement of latency.
const MEAN_WEIGHT: f64 = 0.05;
/// The least rate at which a queue is assumed to move, in requests a second.
const LEAST_RATE: f64 = 0.1;

/// Estimates waits from Little's law: requests leave at the rate of those in flight divided by
/// their mean latency.
#[derive(Debug, Default)]
pub(super) struct WaitEstimator {
    mean_seconds: Option<f64>,
    admitted: BTreeMap<PriorityClass, RateMeter>,
}

impl WaitEstimator {
    pub fn admitted(&mut self, now: Duration, priority: PriorityClass) {
        self.admitted.entry(priority).or_default().count(now);
    }

    pub fn answered(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let mean = self.mean_seconds.get_or_insert(seconds);
        *mean += MEAN_WEIGHT * (seconds - *mean);
    }

    /// True when requests that are more urgent have come lately.
    pub fn has_more_urgent(&self, now: Duration, priority: PriorityClass) -> bool {
        self.urgent_rate(now, priority) >= 1.0
    }

    fn urgent_rate(&self, now: Duration, priority: PriorityClass) -> f64 {
        let urgent = self.admitted.iter().filter(|(other, _)| **other > priority);
        urgent.map(|(_, meter)| meter.per_second(now)).sum()
    }

    /// The wait behind `ahead` requests, when more urgent ones keep coming as they did.
    pub fn wait(
        &self,
        now: Duration,
        ahead: usize,
        in_flight: u32,
        priority: PriorityClass,
    ) -> Duration {
        let Some(mean) = self.mean_seconds else { return Duration::ZERO };
        if ahead == 0 {
            return Duration::ZERO;
        }
        let served = f64::from(in_flight.max(1)) / mean.max(f64::EPSILON);
        let urgent = self.urgent_rate(now, priority);
        let rate = (served - urgent).max(LEAST_RATE);
        Duration::from_secs_f64(ahead as f64 / rate)
    }
}
