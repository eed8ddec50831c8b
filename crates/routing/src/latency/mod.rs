//! How long answers take and how often things happen, over the last few seconds.

use {hdrhistogram::Histogram, std::time::Duration};

/// How long a histogram is filled before it becomes the one that is read.
const WINDOW: Duration = Duration::from_secs(5);
/// Answers below which a percentile says too little.
const SAMPLES_NEEDED: u64 = 50;
const LARGEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// How long a percentile that was read stands, since reading one walks the whole histogram.
const READING: Duration = Duration::from_millis(100);

/// One percentile of the last one to two windows, read anew ten times a second at most.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Duration,
    readings: Vec<QuantileReading>,
}

#[derive(Debug, Clone, Copy)]
struct QuantileReading {
    share: f64,
    at: Duration,
    value: Option<Duration>,
}

impl LatencyWindow {
    /// An empty window.
    pub fn new() -> Self {
        let empty = Histogram::new_with_max(LARGEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid for every histogram");
        Self {
            current: empty.clone(),
            previous: empty,
            rotated_at: Duration::ZERO,
            readings: Vec::new(),
        }
    }

    /// Counts an answer.
    pub fn record(&mut self, now: Duration, latency: Duration) {
        if now >= self.rotated_at + WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
    }

    /// The latency below which `share` of the answers stay, when enough of them are known.
    pub fn quantile(&mut self, now: Duration, share: f64) -> Option<Duration> {
        let known = self.readings.iter().position(|reading| reading.share == share);
        if let Some(index) = known {
            let reading = self.readings[index];
            if now < reading.at + READING {
                return reading.value;
            }
            self.readings.swap_remove(index);
        }
        let value = self.read(share);
        self.readings.push(QuantileReading { share, at: now, value });
        value
    }

    fn read(&self, share: f64) -> Option<Duration> {
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

/// A rate that forgets the past exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateMeter {
    per_second: f64,
    updated_at: Duration,
}

/// The time in which a rate forgets about two thirds of its past.
const RATE_MEMORY: Duration = Duration::from_millis(500);

impl RateMeter {
    /// Counts one event.
    pub fn count(&mut self, now: Duration) {
        self.per_second = self.per_second(now) + 1.0 / RATE_MEMORY.as_secs_f64();
        self.updated_at = now;
    }

    /// Events a second.
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-age / RATE_MEMORY.as_secs_f64()).exp()
    }
}
