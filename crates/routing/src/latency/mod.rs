//! Latency quantiles and event rates over the last few seconds.

use {hdrhistogram::Histogram, std::time::Duration};

/// How long a histogram collects answers before the next one replaces it.
const WINDOW: Duration = Duration::from_secs(5);
/// Minimum number of answers for a meaningful quantile.
const SAMPLES_NEEDED: u64 = 50;
const LARGEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// How long a computed quantile is cached, since computing one walks the whole histogram.
const QUANTILE_LIFETIME: Duration = Duration::from_millis(100);

/// Latency quantiles of the last one to two windows, each recomputed at most ten times per second.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Duration,
    cache: Vec<CachedQuantile>,
}

#[derive(Debug, Clone, Copy)]
struct CachedQuantile {
    share: f64,
    at: Duration,
    value: Option<Duration>,
}

impl LatencyWindow {
    /// Creates an empty window.
    pub fn new() -> Self {
        let empty = Histogram::new_with_max(LARGEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid for every histogram");
        Self {
            current: empty.clone(),
            previous: empty,
            rotated_at: Duration::ZERO,
            cache: Vec::new(),
        }
    }

    /// Records an answer.
    pub fn record(&mut self, now: Duration, latency: Duration) {
        if now >= self.rotated_at + WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
    }

    /// Returns the latency below which the share `share` of the answers stay, or `None` with too
    /// few answers.
    pub fn quantile(&mut self, now: Duration, share: f64) -> Option<Duration> {
        let known = self.cache.iter().position(|cached| cached.share == share);
        if let Some(index) = known {
            let cached = self.cache[index];
            if now < cached.at + QUANTILE_LIFETIME {
                return cached.value;
            }
            self.cache.swap_remove(index);
        }
        let value = self.compute(share);
        self.cache.push(CachedQuantile { share, at: now, value });
        value
    }

    fn compute(&self, share: f64) -> Option<Duration> {
        let known = [&self.previous, &self.current]
            .into_iter()
            .filter(|histogram| histogram.len() >= SAMPLES_NEEDED)
            .map(|histogram| histogram.value_at_quantile(share));
        known.max().map(Duration::from_micros)
    }
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self::new()
    }
}

/// An event rate with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateMeter {
    per_second: f64,
    updated_at: Duration,
}

/// Decay time of the rate; after it about a third is left.
const RATE_DECAY: Duration = Duration::from_millis(500);

impl RateMeter {
    /// Counts one event.
    pub fn count(&mut self, now: Duration) {
        self.per_second = self.per_second(now) + 1.0 / RATE_DECAY.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the rate in events per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-age / RATE_DECAY.as_secs_f64()).exp()
    }
}
