//! A bound on extra dispatches, so that retries and hedges never make an overload worse.

use std::time::Duration;

/// Dispatches that may be made at once after a quiet time.
const RESERVE: f64 = 10.0;
/// What is added however few requests come, per second.
const TRICKLE_PER_SECOND: f64 = 1.0;

/// A token bucket that fills by a percentage of requests. Over any time it grants at most its
/// reserve, one a second, and that percentage.
#[derive(Debug, Clone)]
pub struct DispatchBudget {
    tokens: f64,
    filled_at: Duration,
    granted: u64,
}

impl DispatchBudget {
    /// A bucket that holds its reserve.
    pub fn new() -> Self {
        Self { tokens: RESERVE, filled_at: Duration::ZERO, granted: 0 }
    }

    /// Counts a request, of which `percent` percent are added.
    pub fn earn(&mut self, percent: u32) {
        let share = f64::from(percent) / 100.0;
        self.tokens = (self.tokens + share).min(RESERVE);
    }

    /// True when there is a token. A bucket for zero percent never has one.
    pub fn has_token(&mut self, now: Duration, percent: u32) -> bool {
        self.trickle(now);
        percent > 0 && self.tokens >= 1.0
    }

    /// Takes a token when there is one.
    pub fn try_take(&mut self, now: Duration, percent: u32) -> bool {
        if !self.has_token(now, percent) {
            return false;
        }
        self.tokens -= 1.0;
        self.granted += 1;
        true
    }

    /// Tokens granted so far.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    fn trickle(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * TRICKLE_PER_SECOND).min(RESERVE);
        self.filled_at = now;
    }
}

impl Default for DispatchBudget {
    fn default() -> Self {
        Self::new()
    }
}
