//! Time as an interface, so that tests decide what time it is.

mod stamp;

pub use stamp::{HybridClock, HybridStamp, StampError};

use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// Where a driver reads time from. Reducers never see it: they are told the time with each event.
pub trait ClockSource: Send + Sync {
    /// Monotonic time since an origin that is fixed for the life of the process.
    fn monotonic(&self) -> Duration;
    /// Wall-clock time, for people and for stamps only. No decision may rest on it.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock whose origin is now.
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

/// A clock that moves only when it is told to, for tests and scenarios.
#[derive(Debug, Default)]
pub struct ManualClock {
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// A clock that stands at its origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("a clock holder never panics") += step;
    }
}

impl ClockSource for ManualClock {
    fn monotonic(&self) -> Duration {
        *self.elapsed.lock().expect("a clock holder never panics")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.monotonic()
    }
}
