//! The clock that measures leases.

use {
    base::ClockSource,
    rustix::time::{clock_gettime, ClockId},
    std::time::{Duration, SystemTime},
};

/// Measures the time since the machine started, including time in suspension: a lease also expires
/// while its holder is suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// Creates a clock whose origin is now.
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
