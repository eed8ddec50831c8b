//! A seeded random source, which makes a run reproducible from its seed alone.

use {
    rand::{Rng, RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
};

/// A pseudo-random generator whose output depends only on its seed.
#[derive(Debug, Clone)]
pub struct SeededRandom(Pcg64Mcg);

impl SeededRandom {
    /// Creates the generator for `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns the next 64 uniformly distributed bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a uniform index in `0..bound`, or 0 if `bound` is 0. Callers that choose from a list
    /// must check that it is not empty.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.0.random_range(0..bound)
    }

    /// Returns a uniform value in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Returns true with the given probability, from 0 to 1.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns a uniform duration in `[low, high)`, or `low` if the range is empty.
    pub fn duration_between(&mut self, low: Duration, high: Duration) -> Duration {
        if high <= low {
            return low;
        }
        low + (high - low).mul_f64(self.unit())
    }

    /// Returns an exponentially distributed duration with the given mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}
