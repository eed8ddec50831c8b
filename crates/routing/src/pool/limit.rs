//! Limits the concurrent requests from one entry to one endpoint. The limit adapts to rejections
//! alone, so that several entries share an endpoint without coordination.

use std::time::Duration;

const MIN_LIMIT: f64 = 1.0;
const BACKOFF_FACTOR: f64 = 0.8;
/// Growth of the limit per full window of answers.
const GROWTH: f64 = 1.0;
/// Rejections within this time of a backoff are ignored: they belong to the same overload.
const BACKOFF_PAUSE: Duration = Duration::from_millis(20);

/// A concurrency limit that grows slowly with answers and backs off on rejections (AIMD).
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    value: f64,
    max_limit: f64,
    backed_off_at: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all slots.
    pub fn new(slots: u32) -> Self {
        let max_limit = f64::from(slots).max(MIN_LIMIT);
        Self { value: max_limit, max_limit, backed_off_at: None }
    }

    /// Adopts a new number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.max_limit = f64::from(slots).max(MIN_LIMIT);
        self.value = self.value.min(self.max_limit);
    }

    /// Returns the number of requests that may be in flight at once.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Grows the limit after an answer that leaves `in_flight` requests in flight. The limit grows
    /// only if it was binding, so that one more request before the answer would have exceeded it.
    pub fn grow(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 2.0 <= self.value {
            return;
        }
        self.value = (self.value + GROWTH / self.value).min(self.max_limit);
    }

    /// Lowers the limit after the endpoint rejected a request for lack of a slot.
    pub fn back_off(&mut self, now: Duration) {
        if self.backed_off_at.is_some_and(|at| now < at + BACKOFF_PAUSE) {
            return;
        }
        self.value = (self.value * BACKOFF_FACTOR).max(MIN_LIMIT);
        self.backed_off_at = Some(now);
    }
}
