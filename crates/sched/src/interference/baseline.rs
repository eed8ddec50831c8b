//! Learns the service times of a service that has a worker to itself.

use {
    super::{LoadLevel, LOAD_LEVELS},
    base::ServiceName,
    indexmap::IndexMap,
    std::time::Duration,
};

/// The weight of a measurement without neighbours.
const ALONE_GAIN: f64 = 0.1;
/// The weight of a measurement with neighbours, reduced by their expected effect, while the
/// baseline holds no measurement without neighbours.
const CROWDED_GAIN: f64 = 0.02;
/// The weight of such a measurement once one without neighbours is known.
const DRIFT_GAIN: f64 = 0.001;
/// The number of requests at which the p99 of a reading weighs as much as the mean.
const P99_TRUST_REQUESTS: f64 = 2000.0;

#[derive(Debug, Clone, Copy, Default)]
struct ServiceBaseline {
    mean: f64,
    p99: f64,
    is_alone: bool,
}

/// Service times by service and load level.
#[derive(Debug, Default)]
pub(crate) struct BaselineTable {
    rows: IndexMap<ServiceName, [Option<ServiceBaseline>; LOAD_LEVELS]>,
}

/// One measurement of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceReading {
    pub(crate) requests: u64,
    pub(crate) mean: f64,
    pub(crate) p99: f64,
}

impl ServiceReading {
    pub(crate) fn new(requests: u64, mean: Duration, p99: Duration) -> Self {
        Self { requests, mean: mean.as_secs_f64(), p99: p99.as_secs_f64() }
    }
}

impl BaselineTable {
    /// Learns from a reading and returns its slowdown against the baseline, in percent. `expected`
    /// is the slowdown that the neighbours are expected to cause, or `None` without neighbours.
    pub(crate) fn slowdown_percent(
        &mut self,
        service: &ServiceName,
        level: LoadLevel,
        reading: ServiceReading,
        expected: Option<f64>,
    ) -> f64 {
        let row = self.rows.entry(service.clone()).or_default();
        let known = row.iter().flatten().copied().max_by_key(|known| known.is_alone);
        let cell = &mut row[usize::from(level.0)];
        let growth = 1.0 + expected.unwrap_or(0.0) / 100.0;
        let own = ServiceBaseline {
            mean: reading.mean / growth,
            p99: reading.p99 / growth,
            is_alone: expected.is_none(),
        };
        let baseline = cell.get_or_insert(known.unwrap_or(own));
        baseline.learn(own);
        baseline.slowdown_percent(reading)
    }
}

impl ServiceBaseline {
    fn learn(&mut self, own: Self) {
        let gain = match (self.is_alone, own.is_alone) {
            (false, true) => 1.0,
            (true, true) => ALONE_GAIN,
            (false, false) => CROWDED_GAIN,
            (true, false) => DRIFT_GAIN,
        };
        self.mean += gain * (own.mean - self.mean);
        self.p99 += gain * (own.p99 - self.p99);
        self.is_alone |= own.is_alone;
    }

    /// Returns the growth in percent, as a weighted mean of the growth of the mean and of the p99.
    /// The p99 weighs less the fewer requests there are, since the p99 of few requests is
    /// unreliable.
    fn slowdown_percent(&self, reading: ServiceReading) -> f64 {
        let growth =
            |now: f64, base: f64| if base > 0.0 { (now / base - 1.0) * 100.0 } else { 0.0 };
        let requests = reading.requests as f64;
        let trust = requests / (requests + P99_TRUST_REQUESTS);
        let mean = growth(reading.mean, self.mean);
        let p99 = growth(reading.p99, self.p99);
        mean + trust * (p99 - mean)
    }
}
