//! Classifies the load of a service on a worker into a few levels.

use {base::ServiceName, indexmap::IndexMap, std::time::Duration};

/// The number of load levels.
pub(crate) const LOAD_LEVELS: usize = 3;
/// The time in which the remembered peak rate decays by half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(3600);
/// How far beyond a bound the load, as a fraction of the peak, must be to change the level. This
/// hysteresis keeps a load near a bound from switching levels.
const LEVEL_MARGIN: f64 = 0.06;
/// The weight of a new rate measurement.
const RATE_GAIN: f64 = 0.2;
/// The fractions of the peak at which the middle and the high level begin.
const LEVEL_BOUNDS: [f64; LOAD_LEVELS - 1] = [0.33, 0.67];

/// A load level; 0 is the lowest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LoadLevel(pub(crate) u8);

impl LoadLevel {
    /// The level of a service near its peak.
    pub(crate) const BUSIEST: Self = Self(LOAD_LEVELS as u8 - 1);
}

#[derive(Debug, Clone, Copy)]
struct RatePeak {
    per_second: f64,
    at: Duration,
}

/// Compares the request rate of a service with the highest rate that any worker has reported.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    peaks: IndexMap<ServiceName, RatePeak>,
}

impl LoadMeter {
    /// Returns the level of a service that answers `per_second` requests on a worker where its
    /// level was `previous`. The level changes only when a bound is passed by [`LEVEL_MARGIN`].
    pub(crate) fn level(
        &mut self,
        at: Duration,
        service: &ServiceName,
        per_second: f64,
        previous: LoadLevel,
    ) -> LoadLevel {
        let fresh = RatePeak { per_second, at };
        let peak = self.peaks.entry(service.clone()).or_insert(fresh);
        let age = at.saturating_sub(peak.at).as_secs_f64();
        let remembered = peak.per_second * 0.5_f64.powf(age / PEAK_HALF_LIFE.as_secs_f64());
        if per_second >= remembered {
            *peak = fresh;
        }
        let part = per_second / remembered.max(per_second).max(f64::MIN_POSITIVE);
        let passed = |(index, bound): (usize, &f64)| {
            let is_above = usize::from(previous.0) > index;
            part >= if is_above { bound - LEVEL_MARGIN } else { bound + LEVEL_MARGIN }
        };
        LoadLevel(LEVEL_BOUNDS.iter().enumerate().filter(|entry| passed(*entry)).count() as u8)
    }
}

/// Smooths the request rate of one service on one worker, in requests per second.
pub(crate) fn smooth_rate(known: Option<f64>, requests: u64, elapsed: Duration) -> f64 {
    let per_second = requests as f64 / elapsed.as_secs_f64().max(0.001);
    known.map_or(per_second, |known| known + RATE_GAIN * (per_second - known))
}
