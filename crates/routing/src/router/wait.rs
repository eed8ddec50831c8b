//! Estimates the queueing delay of a new request.

use {
    crate::latency::RateMeter,
    proto::messages::PriorityClass,
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a new sample in the moving average of latency.
const MEAN_WEIGHT: f64 = 0.05;
/// Lower bound on the assumed drain rate of the queue, in requests per second.
const MIN_RATE: f64 = 0.1;

/// Estimates queueing delays by Little's law: requests leave at the number in flight divided by
/// their mean latency.
#[derive(Debug, Default)]
pub(super) struct WaitEstimator {
    mean_seconds: Option<f64>,
    admission_rates: BTreeMap<PriorityClass, RateMeter>,
}

impl WaitEstimator {
    pub fn record_admission(&mut self, now: Duration, priority: PriorityClass) {
        self.admission_rates.entry(priority).or_default().count(now);
    }

    pub fn record_answer(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let mean = self.mean_seconds.get_or_insert(seconds);
        *mean += MEAN_WEIGHT * (seconds - *mean);
    }

    /// Returns true if more urgent requests were admitted recently, at a rate of at least one per
    /// second.
    pub fn has_more_urgent(&self, now: Duration, priority: PriorityClass) -> bool {
        self.urgent_rate(now, priority) >= 1.0
    }

    fn urgent_rate(&self, now: Duration, priority: PriorityClass) -> f64 {
        let urgent = self.admission_rates.iter().filter(|(other, _)| **other > priority);
        urgent.map(|(_, meter)| meter.per_second(now)).sum()
    }

    /// Returns the queueing delay behind `ahead` requests, assuming that more urgent requests keep
    /// arriving at their recent rate.
    pub fn estimate(
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
        let rate = (served - urgent).max(MIN_RATE);
        Duration::from_secs_f64(ahead as f64 / rate)
    }
}
