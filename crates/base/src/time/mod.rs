//! The clock interface, which lets tests control time.

mod stamp;

pub use stamp::{HybridClock, HybridStamp, StampError};

use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// The source of time for drivers. Reducers never access it: each event carries its time.
pub trait ClockSource: Send + Sync {
    /// Returns the monotonic time since an origin that is fixed for the lifetime of the process.
    fn monotonic(&self) -> Duration;
    /// Returns the wall-clock time, for timestamps and for people only. No decision may depend on
    /// it.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is the present.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for SystemClock {
    fn monotonic(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that advances only on request, for tests and scenarios.
#[derive(Debug, Default)]
pub struct ManualClock {
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock at its origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("no thread panics while it holds the clock") += step;
    }
}

impl ClockSource for ManualClock {
    fn monotonic(&self) -> Duration {
        *self.elapsed.lock().expect("no thread panics while it holds the clock")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.monotonic()
    }
}
