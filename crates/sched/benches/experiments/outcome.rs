//! The results by which a run is judged.

use hdrhistogram::Histogram;

/// The time, in seconds, after which a request has missed its deadline.
const DEADLINE: f64 = 1.0;
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

pub struct RunOutcome {
    pub latency: Histogram<u32>,
    pub in_time: u64,
    pub minutes: f64,
    pub finished: u32,
    pub left: u32,
    pub cancelled: u32,
    pub evictions: u32,
    pub throttles: u32,
    pub lost: u32,
    pub failures: u32,
    pub parked: u32,
    pub quarantines: u32,
    pub overcommits: u32,
    /// Worker-seconds during which the used memory exceeded that of the worker.
    pub overused: f64,
    pub urgent_waits: Vec<f64>,
    pub decide_time: f64,
}

impl Default for RunOutcome {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).unwrap(),
            in_time: 0,
            minutes: 0.0,
            finished: 0,
            left: 0,
            cancelled: 0,
            evictions: 0,
            throttles: 0,
            lost: 0,
            failures: 0,
            parked: 0,
            quarantines: 0,
            overcommits: 0,
            overused: 0.0,
            urgent_waits: Vec::new(),
            decide_time: 0.0,
        }
    }
}

impl RunOutcome {
    pub fn answer(&mut self, seconds: f64) {
        self.latency.saturating_record((seconds * 1e6) as u64);
        self.in_time += u64::from(seconds <= DEADLINE);
    }

    /// Returns a quantile of the time to answer, in milliseconds.
    pub fn quantile(&self, part: f64) -> f64 {
        self.latency.value_at_quantile(part) as f64 / 1000.0
    }

    pub fn in_time_percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.latency.len().max(1) as f64
    }

    pub fn finished_per_hour(&self) -> f64 {
        f64::from(self.finished) * 60.0 / self.minutes
    }

    pub fn longest_urgent_wait(&self) -> f64 {
        self.urgent_waits.iter().copied().fold(0.0, f64::max)
    }
}
