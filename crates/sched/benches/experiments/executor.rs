//! A fake executor with eight slots, a queue, and service times that grow with the load of its
//! neighbours.

use base::SeededRandom;

pub const SLOTS: usize = 8;
/// The mean service time without neighbours, in seconds.
pub const SERVICE_MEAN: f64 = 0.030;
/// The sigma of the lognormal service time.
const SERVICE_SIGMA: f64 = 0.5;

/// One executor. Times are in seconds.
#[derive(Debug, Clone)]
pub struct FakeExecutor {
    /// When each slot becomes free, waiting requests included.
    slots: [f64; SLOTS],
    pub factor: f64,
    busy: f64,
    served: Vec<f64>,
}

impl FakeExecutor {
    pub fn new() -> Self {
        Self { slots: [0.0; SLOTS], factor: 1.0, busy: 0.0, served: Vec::new() }
    }

    /// Returns the work in progress or waiting, in seconds.
    pub fn backlog(&self, now: f64) -> f64 {
        self.slots.iter().map(|free| (free - now).max(0.0)).sum()
    }

    /// Serves a request and returns the time from its arrival to its answer.
    pub fn serve(&mut self, now: f64, random: &mut SeededRandom) -> f64 {
        let normal = (-2.0 * (1.0 - random.unit()).ln()).sqrt()
            * (std::f64::consts::TAU * random.unit()).cos();
        let mean = SERVICE_MEAN * self.factor;
        let time = mean * (SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
        let mut first = 0;
        for slot in 1..SLOTS {
            if self.slots[slot] < self.slots[first] {
                first = slot;
            }
        }
        let end = self.slots[first].max(now) + time;
        self.slots[first] = end;
        self.busy += time;
        self.served.push(time);
        end - now
    }

    /// Returns the number, mean and p99 of the service times since the last call.
    pub fn report(&mut self) -> (u64, f64, f64) {
        self.served.sort_by(f64::total_cmp);
        let count = self.served.len();
        let mean = self.served.iter().sum::<f64>() / count.max(1) as f64;
        let p99 = self.served.get(count * 99 / 100).copied().unwrap_or(0.0);
        self.served.clear();
        (count as u64, mean, p99)
    }

    /// Returns the part of the slots that was used since the last call.
    pub fn utilisation(&mut self, elapsed: f64) -> f64 {
        let part = self.busy / (elapsed * SLOTS as f64);
        self.busy = 0.0;
        part.min(1.0)
    }
}
