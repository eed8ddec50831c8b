//! Bounds extra dispatches, so that retries and hedges do not make an overload worse.

use std::time::Duration;

/// Size of the bucket: extra dispatches that may be made in one burst.
const CAPACITY: f64 = 10.0;
/// Tokens added per second independent of the request rate.
const REFILL_PER_SECOND: f64 = 1.0;

/// A token bucket that is filled by a percentage of requests. Over any period it grants at most its
/// capacity, one token per second, and that percentage of requests.
#[derive(Debug, Clone)]
pub struct DispatchBudget {
    tokens: f64,
    refilled_at: Duration,
    granted: u64,
}

impl DispatchBudget {
    /// Creates a full bucket.
    pub fn new() -> Self {
        Self { tokens: CAPACITY, refilled_at: Duration::ZERO, granted: 0 }
    }

    /// Adds the share of a token that one request earns at `percent` percent.
    pub fn deposit(&mut self, percent: u32) {
        let share = f64::from(percent) / 100.0;
        self.tokens = (self.tokens + share).min(CAPACITY);
    }

    /// Returns true if the bucket has a token. A budget of zero percent never has one.
    pub fn has_token(&mut self, now: Duration, percent: u32) -> bool {
        self.refill(now);
        percent > 0 && self.tokens >= 1.0
    }

    /// Takes a token if the bucket has one.
    pub fn try_take(&mut self, now: Duration, percent: u32) -> bool {
        if !self.has_token(now, percent) {
            return false;
        }
        self.tokens -= 1.0;
        self.granted += 1;
        true
    }

    /// Returns the number of tokens taken so far.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * REFILL_PER_SECOND).min(CAPACITY);
        self.refilled_at = now;
    }
}

impl Default for DispatchBudget {
    fn default() -> Self {
        Self::new()
    }
}
