//! How much filling tasks slow serving ones, learned for each pair of images.
//!
//! A serving task's tail latency, as a share of its target, is modelled as a base of its own image
//! plus what each filling image beside it adds, in proportion to the share of the machine that it
//! uses. Each coefficient is kept with its variance, and an observation moves it the further the
//! less certain it is (a Kalman filter with a diagonal covariance): what is known to be harmless is
//! not blamed for what a newcomer does.

use std::{collections::HashMap, sync::Arc};

/// A kind of task, by what it runs.
pub type ImageName = Arc<str>;

/// What a pair is presumed to add for the use of a whole machine: little enough for one filling
/// task to be tried beside a serving one, too much for two.
const PRESUMED_PRESSURE: Estimate = Estimate { value: 2.0, variance: 9.0 };
/// The share of its target that an image is presumed to reach alone.
const PRESUMED_BASE: Estimate = Estimate { value: 0.5, variance: 0.04 };
/// The variance of an observation: figures are rough, and late by up to a report.
const FIGURE_VARIANCE: f64 = 0.03;
/// What a base's variance grows by with each observation, because load swings within seconds.
const BASE_DRIFT: f64 = 0.002;
/// The same for a pair.
const PAIR_DRIFT: f64 = 0.02;
/// Latencies beyond this multiple of a target tell no more.
const OBSERVED_CEILING: f64 = 3.0;
/// Use of a machine below this share tells nothing.
const LEAST_USE: f64 = 0.01;

/// A coefficient, and how uncertain it is.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    value: f64,
    variance: f64,
}

impl Estimate {
    /// Moves by this estimate's part of an error. `factor` is what the coefficient is multiplied
    /// by in the model, `total` the variance of the whole prediction.
    fn corrected(self, error: f64, factor: f64, total: f64, drift: f64) -> Self {
        let gain = self.variance * factor / total;
        let value = (self.value + gain * error).max(0.0);
        let variance = self.variance * (1.0 - gain * factor) + drift;
        Self { value, variance }
    }
}

/// What was learned of the images of one deployment.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    bases: HashMap<ImageName, Estimate>,
    pairs: HashMap<(ImageName, ImageName), Estimate>,
}

impl InterferenceTable {
    /// The share of its target that a serving image reaches beside filling tasks, each given as
    /// its image and the share of the machine that it uses.
    pub fn predict(&self, serving: &ImageName, fillers: &[(ImageName, f64)]) -> f64 {
        let added = fillers.iter().map(|(filler, share)| self.added(serving, filler, *share));
        self.base(serving).value + added.sum::<f64>()
    }

    /// What one filling image adds to that share.
    pub fn added(&self, serving: &ImageName, filler: &ImageName, share: f64) -> f64 {
        self.pair(serving, filler).value * share
    }

    /// Learns from a serving image's latency, as a share of its target.
    pub fn observe(&mut self, serving: &ImageName, fillers: &[(ImageName, f64)], observed: f64) {
        let error = observed.min(OBSERVED_CEILING) - self.predict(serving, fillers);
        let told = fillers.iter().filter(|(_, share)| *share >= LEAST_USE);
        let told: Vec<_> =
            told.map(|(filler, share)| (filler, *share, self.pair(serving, filler))).collect();
        let base = self.base(serving);
        let spread: f64 = told.iter().map(|(_, share, pair)| pair.variance * share * share).sum();
        let total = base.variance + spread + FIGURE_VARIANCE;
        for (filler, share, pair) in told {
            let key = (serving.clone(), filler.clone());
            self.pairs.insert(key, pair.corrected(error, share, total, PAIR_DRIFT));
        }
        self.bases.insert(serving.clone(), base.corrected(error, 1.0, total, BASE_DRIFT));
    }

    fn base(&self, serving: &ImageName) -> Estimate {
        self.bases.get(serving).copied().unwrap_or(PRESUMED_BASE)
    }

    fn pair(&self, serving: &ImageName, filler: &ImageName) -> Estimate {
        let known = self.pairs.get(&(serving.clone(), filler.clone()));
        known.copied().unwrap_or(PRESUMED_PRESSURE)
    }
}
