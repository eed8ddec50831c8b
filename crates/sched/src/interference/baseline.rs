//! The service time of a service that has its worker for itself.

use {
    super::{LoadLevel, LOAD_LEVELS},
    base::ServiceName,
    indexmap::IndexMap,
    std::time::Duration,
};

/// The weight of a new measurement taken without neighbours.
const ALONE_GAIN: f64 = 0.1;
/// The weight of a lower measurement taken among neighbours, while none without them is known.
const LOWER_GAIN: f64 = 0.3;
/// The weight of a higher one, small because the neighbours may be its cause.
const HIGHER_GAIN: f64 = 0.005;
/// The number of requests at which the p99 of a sample weighs as much as its mean.
const P99_TRUST_REQUESTS: f64 = 2000.0;

#[derive(Debug, Clone, Copy, Default)]
struct ServiceBaseline {
    mean: f64,
    p99: f64,
    alone: bool,
}

/// The service times by service and load level.
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
    /// Learns from a reading and gives its slowdown against the baseline, in percent. `alone`
    /// says that the service had no neighbours.
    pub(crate) fn slowdown_percent(
        &mut self,
        service: &ServiceName,
        level: LoadLevel,
        reading: ServiceReading,
        alone: bool,
    ) -> f64 {
        let row = self.rows.entry(service.clone()).or_default();
        let known = row.iter().flatten().copied().next();
        let cell = &mut row[usize::from(level.0)];
        let first = ServiceBaseline { mean: reading.mean, p99: reading.p99, alone };
        let seed = known.map_or(first, |known| ServiceBaseline { alone: false, ..known });
        let baseline = cell.get_or_insert(seed);
        baseline.learn(reading, alone);
        baseline.slowdown_percent(reading)
    }
}

impl ServiceBaseline {
    fn learn(&mut self, reading: ServiceReading, alone: bool) {
        if self.alone && !alone {
            return;
        }
        if alone && !self.alone {
            *self = Self { mean: reading.mean, p99: reading.p99, alone };
            return;
        }
        let gain = match (alone, reading.mean < self.mean) {
            (true, _) => ALONE_GAIN,
            (false, true) => LOWER_GAIN,
            (false, false) => HIGHER_GAIN,
        };
        self.mean += gain * (reading.mean - self.mean);
        self.p99 += gain * (reading.p99 - self.p99);
    }

    /// Growth of the mean and of the p99, weighed by how far the p99 of so few requests can be
    /// trusted.
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
