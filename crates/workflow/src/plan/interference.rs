//! How much filling tasks slow serving ones, learned for each pair of images.
//!
//! Tail latencies grow like those of a queue, with the inverse of what a server has left. What is
//! modelled is therefore the *headroom*, a task's target over its tail latency, which is linear in
//! the load: a level of the serving task's own step, whose users come and go within seconds, less
//! what each filling image beside it takes, in proportion to the share of the machine that it
//! uses. Each coefficient is kept with its variance, and an observation moves it the further the
//! less certain it is (a Kalman filter with a diagonal covariance): what is known to be harmless
//! is not blamed for what a newcomer does.

use {
    crate::job::{JobKey, StepKey},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// A kind of task, by what it runs.
pub type ImageName = Arc<str>;

/// What a pair is presumed to take for the use of a whole machine: little enough for a filling
/// task or two to be tried beside a serving one.
const PRESUMED_PRESSURE: Estimate = Estimate { value: 1.5, variance: 6.0 };
/// The headroom that an image is presumed to have alone: twice what it needs, as services are
/// commonly sized for.
const PRESUMED_LEVEL: Estimate = Estimate { value: 2.2, variance: 0.5 };
/// The variance of an observation: figures are rough, and late by up to a report.
const FIGURE_VARIANCE: f64 = 0.15;
/// What a level's variance grows by each second: load swings by a third of it within seconds.
const LEVEL_DRIFT: f64 = 0.2;
/// The same for a pair, whose pressure depends on the images alone in the long run.
const PAIR_DRIFT: f64 = 0.05;
/// How much an image's level follows those of its steps with each observation: an average over
/// several steps and swings.
const IMAGE_GAIN: f64 = 0.02;
/// How much a step's usual level follows the present one with each observation, of which a step on
/// six workers has a dozen or more a second.
const USUAL_GAIN: f64 = 0.03;
/// Headroom beyond this tells no more: tail latencies are whole milliseconds.
const HEADROOM_CEILING: f64 = 4.0;
/// Use of a machine below this share tells nothing.
const LEAST_USE: f64 = 0.01;

/// A coefficient and its variance.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    value: f64,
    variance: f64,
}

impl Estimate {
    /// Moves by this estimate's part of an error. `factor` is what the coefficient is multiplied
    /// by in the model, `total` the variance of the whole prediction.
    fn corrected(self, error: f64, factor: f64, total: f64) -> Self {
        let gain = self.variance * factor / total;
        Self { value: self.value + gain * error, variance: self.variance * (1.0 - gain * factor) }
    }
}

/// An estimate with the time of its last observation.
#[derive(Debug, Clone, Copy)]
struct TimedEstimate {
    estimate: Estimate,
    seen: Duration,
}

impl TimedEstimate {
    /// The estimate by now: its variance has grown by `drift` a second, up to that of nothing
    /// known.
    fn aged(self, now: Duration, drift: f64, unknown: Estimate) -> Estimate {
        let seconds = now.saturating_sub(self.seen).as_secs_f64();
        let variance = (self.estimate.variance + drift * seconds).min(unknown.variance);
        Estimate { variance, ..self.estimate }
    }
}

/// The headroom of a serving step without filling tasks.
#[derive(Debug, Clone, Copy)]
struct StepLevel {
    present: TimedEstimate,
    /// The average of the last tens of seconds.
    usual: f64,
}

/// Filling tasks of one image on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct FillerShare {
    /// What they run.
    pub image: ImageName,
    /// The share of the machine that they use together.
    pub share: f64,
}

/// What one filling image was found to take of a serving image's headroom.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LearnedPair {
    /// What the serving tasks run.
    pub serving: ImageName,
    /// What the filling tasks run.
    pub filler: ImageName,
    /// The headroom that the use of a whole machine takes.
    pub pressure: f64,
    /// The variance of that.
    pub variance: f64,
}

/// What was learned of the images of one deployment.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    levels: HashMap<StepKey, StepLevel>,
    images: HashMap<ImageName, f64>,
    /// By serving image, then by filling image.
    pairs: BTreeMap<ImageName, BTreeMap<ImageName, TimedEstimate>>,
}

impl InterferenceTable {
    /// Begins with what another table had learned.
    pub fn from_pairs(now: Duration, learned: &[LearnedPair]) -> Self {
        let mut table = Self::default();
        for LearnedPair { serving, filler, pressure, variance } in learned {
            let estimate = Estimate { value: *pressure, variance: *variance };
            let pairs = table.pairs.entry(serving.clone()).or_default();
            pairs.insert(filler.clone(), TimedEstimate { estimate, seen: now });
        }
        table
    }

    /// What was learned of pairs of images, in a fixed order.
    pub fn learned_pairs(&self) -> Vec<LearnedPair> {
        let row = |serving: &ImageName, filler: &ImageName, pair: &TimedEstimate| LearnedPair {
            serving: serving.clone(),
            filler: filler.clone(),
            pressure: pair.estimate.value,
            variance: pair.estimate.variance,
        };
        let rows = self.pairs.iter().flat_map(|(serving, pairs)| {
            pairs.iter().map(move |(filler, pair)| row(serving, filler, pair))
        });
        rows.collect()
    }

    /// The headroom that a serving step is expected to have beside filling tasks.
    pub fn predict(&self, step: StepKey, serving: &ImageName, fillers: &[FillerShare]) -> f64 {
        let taken = fillers.iter().map(|filler| self.taken(serving, filler)).sum::<f64>();
        self.level(step, serving).value - taken
    }

    /// The least that it is expected to have in the next seconds: load that is low returns to what
    /// is usual.
    pub fn forecast(&self, step: StepKey, serving: &ImageName, fillers: &[FillerShare]) -> f64 {
        let predicted = self.predict(step, serving, fillers);
        let Some(level) = self.levels.get(&step) else { return predicted };
        predicted - (level.present.estimate.value - level.usual).max(0.0)
    }

    /// What filling tasks of one image take of that headroom.
    pub fn taken(&self, serving: &ImageName, filler: &FillerShare) -> f64 {
        let pair =
            self.pair(serving, &filler.image).map_or(PRESUMED_PRESSURE, |pair| pair.estimate);
        pair.value * filler.share
    }

    /// Learns from a serving step's tail latency on one worker, as a share of its target.
    pub fn observe(
        &mut self,
        now: Duration,
        step: StepKey,
        serving: &ImageName,
        fillers: &[FillerShare],
        tail_share: f64,
    ) {
        let headroom = tail_share.recip().min(HEADROOM_CEILING);
        let error = headroom - self.predict(step, serving, fillers);
        let told = fillers.iter().filter(|filler| filler.share >= LEAST_USE);
        let told: Vec<(&FillerShare, Estimate)> =
            told.map(|filler| (filler, self.aged_pair(now, serving, &filler.image))).collect();
        let level = self.aged_level(now, step, serving);
        let spread: f64 =
            told.iter().map(|(filler, pair)| pair.variance * filler.share * filler.share).sum();
        let total = level.variance + spread + FIGURE_VARIANCE;
        let pairs = self.pairs.entry(serving.clone()).or_default();
        for (FillerShare { image, share }, pair) in told {
            let corrected = pair.corrected(error, -share, total);
            let estimate = Estimate { value: corrected.value.max(0.0), ..corrected };
            pairs.insert(image.clone(), TimedEstimate { estimate, seen: now });
        }
        let estimate = level.corrected(error, 1.0, total);
        let before = self.levels.get(&step).map_or(estimate.value, |level| level.usual);
        let usual = before + USUAL_GAIN * (estimate.value - before);
        let present = TimedEstimate { estimate, seen: now };
        self.levels.insert(step, StepLevel { present, usual });
        let typical = self.images.entry(serving.clone()).or_insert(estimate.value);
        *typical += IMAGE_GAIN * (estimate.value - *typical);
    }

    /// Forgets the levels of a job that has ended; what its images have taught stays.
    pub fn forget_job(&mut self, job: JobKey) {
        self.levels.retain(|step, _| step.job != job);
    }

    fn level(&self, step: StepKey, serving: &ImageName) -> Estimate {
        let typical = || self.images.get(serving).copied().unwrap_or(PRESUMED_LEVEL.value);
        let known = self.levels.get(&step).map(|level| level.present.estimate);
        known.unwrap_or_else(|| Estimate { value: typical(), ..PRESUMED_LEVEL })
    }

    fn aged_level(&self, now: Duration, step: StepKey, serving: &ImageName) -> Estimate {
        let known = self.levels.get(&step).map(|level| level.present);
        known.map_or_else(
            || self.level(step, serving),
            |present| present.aged(now, LEVEL_DRIFT, PRESUMED_LEVEL),
        )
    }

    fn pair(&self, serving: &ImageName, filler: &ImageName) -> Option<&TimedEstimate> {
        self.pairs.get(serving)?.get(filler)
    }

    fn aged_pair(&self, now: Duration, serving: &ImageName, filler: &ImageName) -> Estimate {
        let known = self.pair(serving, filler);
        known.map_or(PRESUMED_PRESSURE, |pair| pair.aged(now, PAIR_DRIFT, PRESUMED_PRESSURE))
    }
}
