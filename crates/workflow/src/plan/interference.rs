//! How much filling tasks slow serving ones, learned for each pair of images.
//!
//! A serving task's tail latency, as a share of its target, is modelled as a base of its own image
//! plus what each filling image beside it adds, in proportion to the share of the machine that it
//! uses. Figures come late and rough, so that one of them moves an estimate only part of the way.

use std::{collections::HashMap, sync::Arc};

/// A kind of task, by what it runs.
pub type ImageName = Arc<str>;

/// What a pair is presumed to add for the use of a whole machine: little enough for one filling
/// task to be tried beside a serving one, too much for two.
const PRESUMED_PRESSURE: f64 = 2.0;
/// The share of its target that an image is presumed to reach alone.
const PRESUMED_BASE: f64 = 0.5;
/// How far one observation moves the pairs that it tells of.
const PAIR_RATE: f64 = 0.3;
/// How far one observation without filling tasks moves a base.
const BASE_RATE: f64 = 0.1;
/// Latencies beyond this multiple of a target tell no more.
const OBSERVED_CEILING: f64 = 3.0;
/// Use of a machine below this share tells nothing.
const LEAST_USE: f64 = 0.01;

/// What was learned of the images of one deployment.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    bases: HashMap<ImageName, f64>,
    pairs: HashMap<(ImageName, ImageName), f64>,
}

impl InterferenceTable {
    /// The share of its target that a serving image reaches beside filling tasks, each given as
    /// its image and the share of the machine that it uses.
    pub fn predict(&self, serving: &ImageName, fillers: &[(ImageName, f64)]) -> f64 {
        let pressure: f64 =
            fillers.iter().map(|(filler, share)| self.pressure(serving, filler) * share).sum();
        self.base(serving) + pressure
    }

    /// Learns from a serving image's latency, as a share of its target.
    pub fn observe(&mut self, serving: &ImageName, fillers: &[(ImageName, f64)], observed: f64) {
        let observed = observed.min(OBSERVED_CEILING);
        let error = observed - self.predict(serving, fillers);
        let weight: f64 = fillers.iter().map(|(_, share)| share * share).sum();
        if weight < LEAST_USE * LEAST_USE {
            let base = self.base(serving);
            self.bases.insert(serving.clone(), base + BASE_RATE * error);
            return;
        }
        for (filler, share) in fillers {
            let pressure = self.pressure(serving, filler);
            let moved = (pressure + PAIR_RATE * error * share / weight).max(0.0);
            self.pairs.insert((serving.clone(), filler.clone()), moved);
        }
    }

    fn base(&self, serving: &ImageName) -> f64 {
        self.bases.get(serving).copied().unwrap_or(PRESUMED_BASE)
    }

    fn pressure(&self, serving: &ImageName, filler: &ImageName) -> f64 {
        let known = self.pairs.get(&(serving.clone(), filler.clone()));
        known.copied().unwrap_or(PRESUMED_PRESSURE)
    }
}
