//! Seeded randomness, so that a run can be repeated from its seed alone.

use {
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
};

/// A pseudo-random source that is a pure function of its seed.
#[derive(Debug, Clone)]
pub struct SeededRandom(Pcg64Mcg);

impl SeededRandom {
    /// Starts the sequence that belongs to `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next 64 uniformly distributed bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A uniform index in `0..bound`. Returns 0 when `bound` is 0, so that callers that choose
    /// from an empty list must check for emptiness themselves.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.0.random_range(0..bound)
    }

    /// A uniform value in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// True with the given probability, from 0 to 1.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A uniform duration in `[low, high)`; `low` when the range is empty.
    pub fn duration_between(&mut self, low: Duration, high: Duration) -> Duration {
        if high <= low {
            return low;
        }
        low + (high - low).mul_f64(self.unit())
    }

    /// An exponentially distributed duration with the given mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}
