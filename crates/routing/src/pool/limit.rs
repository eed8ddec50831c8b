//! How many requests one entry lets one endpoint hold, learned from refusals alone, so that
//! several entries share an endpoint without talking to each other.

use std::time::Duration;

const SMALLEST: f64 = 1.0;
const BACKOFF: f64 = 0.8;
/// What a full window of answers adds.
const GROWTH: f64 = 1.0;
/// Refusals within this time of a backoff tell nothing new.
const BACKOFF_PAUSE: Duration = Duration::from_millis(20);

/// A limit that grows slowly with answers and backs off on refusals.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    value: f64,
    largest: f64,
    backed_off_at: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Starts at all slots.
    pub fn new(slots: u32) -> Self {
        let largest = f64::from(slots).max(SMALLEST);
        Self { value: largest, largest, backed_off_at: None }
    }

    /// Takes note of another number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.largest = f64::from(slots).max(SMALLEST);
        self.value = self.value.min(self.largest);
    }

    /// The requests that may be out at once.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// An answer came, which leaves `in_flight` requests out. Only a limit that binds may grow: one
    /// more than there were before the answer would have exceeded it.
    pub fn grow(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 2.0 <= self.value {
            return;
        }
        self.value = (self.value + GROWTH / self.value).min(self.largest);
    }

    /// The endpoint had no slot.
    pub fn back_off(&mut self, now: Duration) {
        if self.backed_off_at.is_some_and(|at| now < at + BACKOFF_PAUSE) {
            return;
        }
        self.value = (self.value * BACKOFF).max(SMALLEST);
        self.backed_off_at = Some(now);
    }
}
