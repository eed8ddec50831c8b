//! The clock that leases are measured on.

use {
    base::ClockSource,
    rustix::time::{clock_gettime, ClockId},
    std::time::{Duration, SystemTime},
};

/// The time since the machine was started, counting the time for which it was suspended: a lease
/// runs on while its holder sleeps.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for BootClock {
    fn monotonic(&self) -> Duration {
        since_boot().saturating_sub(self.origin)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
