//! Interference: how much best-effort tasks slow latency-critical ones, learned for each pair of
//! images.
//!
//! Tail latencies grow like those of a queue, with the inverse of a server's spare capacity. The
//! model therefore predicts the *headroom*, a task's latency target over its tail latency, which is
//! linear in the load. The headroom is a level of the latency-critical task's own step, whose load
//! changes within seconds, less what each best-effort image beside the task takes, in proportion to
//! the share of the machine that the image uses. Each coefficient has a variance: the less certain
//! the coefficient, the further an observation moves it (a Kalman filter with a diagonal
//! covariance). The effects of a new image are thus not attributed to images that are known to be
//! harmless.

use {
    crate::job::{JobKey, StepKey},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Name of the image that a task runs.
pub type ImageName = Arc<str>;

/// Initial estimate of the headroom that a pair's best-effort image takes if it uses a whole
/// machine: low enough that placement tries one or two best-effort tasks beside a latency-critical
/// one.
const INITIAL_PRESSURE: Estimate = Estimate { value: 1.5, variance: 6.0 };
/// Initial estimate of the headroom of an image alone: twice what it needs, as services are
/// commonly sized for.
const INITIAL_LEVEL: Estimate = Estimate { value: 2.2, variance: 0.5 };
/// The variance of an observation: reported figures are rough, and late by up to a report.
const OBSERVATION_VARIANCE: f64 = 0.15;
/// Growth of a level's variance per second: load swings by a third of it within seconds.
const LEVEL_DRIFT: f64 = 0.2;
/// Growth of a pair's variance per second. In the long run, its pressure depends on the images
/// alone.
const PAIR_DRIFT: f64 = 0.05;
/// How far an observation moves an image's level towards those of its steps: the level averages
/// several steps and swings.
const IMAGE_GAIN: f64 = 0.02;
/// How far an observation moves a step's usual level towards the present one. A step on six workers
/// has a dozen or more observations a second.
const USUAL_GAIN: f64 = 0.03;
/// Upper limit of observed headroom. Tail latencies are whole milliseconds, so that higher values
/// carry no information.
const HEADROOM_CEILING: f64 = 4.0;
/// Share of a machine below which a best-effort image's use carries no information.
const MIN_USE: f64 = 0.01;

/// A coefficient and its variance.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    value: f64,
    variance: f64,
}

impl Estimate {
    /// Returns the estimate moved by its part of a prediction error. `factor` is the multiplier of
    /// the coefficient in the model, `total` the variance of the whole prediction.
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
    /// Returns the estimate at `now`. Its variance grows by `drift` per second, up to that of
    /// `unknown`.
    fn aged(self, now: Duration, drift: f64, unknown: Estimate) -> Estimate {
        let seconds = now.saturating_sub(self.seen).as_secs_f64();
        let variance = (self.estimate.variance + drift * seconds).min(unknown.variance);
        Estimate { variance, ..self.estimate }
    }
}

/// The headroom of a latency-critical step without best-effort tasks.
#[derive(Debug, Clone, Copy)]
struct StepLevel {
    present: TimedEstimate,
    /// The average of the last tens of seconds.
    usual: f64,
}

/// The use of a machine by best-effort tasks of one image.
#[derive(Debug, Clone, PartialEq)]
pub struct BestEffortShare {
    /// The image that the tasks run.
    pub image: ImageName,
    /// The share of the machine that the tasks use together.
    pub share: f64,
}

/// The learned effect of one best-effort image on a latency-critical image's headroom.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LearnedPair {
    /// The image of the latency-critical tasks.
    pub latency_critical: ImageName,
    /// The image of the best-effort tasks.
    pub best_effort: ImageName,
    /// The headroom that the use of a whole machine takes.
    pub pressure: f64,
    /// The variance of `pressure`.
    pub variance: f64,
}

/// The learned interference between the images of one deployment.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    levels: HashMap<StepKey, StepLevel>,
    images: HashMap<ImageName, f64>,
    /// By latency-critical image, then by best-effort image.
    pairs: BTreeMap<ImageName, BTreeMap<ImageName, TimedEstimate>>,
}

impl InterferenceTable {
    /// Creates a table that starts with the pairs of another one.
    pub fn from_pairs(now: Duration, learned: &[LearnedPair]) -> Self {
        let mut table = Self::default();
        for LearnedPair { latency_critical, best_effort, pressure, variance } in learned {
            let estimate = Estimate { value: *pressure, variance: *variance };
            let pairs = table.pairs.entry(latency_critical.clone()).or_default();
            pairs.insert(best_effort.clone(), TimedEstimate { estimate, seen: now });
        }
        table
    }

    /// Returns the learned pairs of images, in a fixed order.
    pub fn learned_pairs(&self) -> Vec<LearnedPair> {
        let row = |latency_critical: &ImageName, best_effort: &ImageName, pair: &TimedEstimate| {
            LearnedPair {
                latency_critical: latency_critical.clone(),
                best_effort: best_effort.clone(),
                pressure: pair.estimate.value,
                variance: pair.estimate.variance,
            }
        };
        let rows = self.pairs.iter().flat_map(|(latency_critical, pairs)| {
            pairs.iter().map(move |(best_effort, pair)| row(latency_critical, best_effort, pair))
        });
        rows.collect()
    }

    /// Predicts the headroom of a latency-critical step beside best-effort tasks.
    pub fn predict(
        &self,
        step: StepKey,
        latency_critical: &ImageName,
        shares: &[BestEffortShare],
    ) -> f64 {
        let taken =
            shares.iter().map(|best_effort| self.taken(latency_critical, best_effort)).sum::<f64>();
        self.level(step, latency_critical).value - taken
    }

    /// Predicts the least headroom of a latency-critical step in the next seconds: where the load
    /// is lower than usual, it is assumed to return to its usual level.
    pub fn forecast(
        &self,
        step: StepKey,
        latency_critical: &ImageName,
        shares: &[BestEffortShare],
    ) -> f64 {
        let predicted = self.predict(step, latency_critical, shares);
        let Some(level) = self.levels.get(&step) else { return predicted };
        predicted - (level.present.estimate.value - level.usual).max(0.0)
    }

    /// Returns the headroom that best-effort tasks of one image take.
    pub fn taken(&self, latency_critical: &ImageName, best_effort: &BestEffortShare) -> f64 {
        let pair = self
            .pair(latency_critical, &best_effort.image)
            .map_or(INITIAL_PRESSURE, |pair| pair.estimate);
        pair.value * best_effort.share
    }

    /// Learns from a latency-critical step's tail latency on one worker, given as a share of its
    /// target.
    pub fn observe(
        &mut self,
        now: Duration,
        step: StepKey,
        latency_critical: &ImageName,
        shares: &[BestEffortShare],
        tail_share: f64,
    ) {
        let headroom = tail_share.recip().min(HEADROOM_CEILING);
        let error = headroom - self.predict(step, latency_critical, shares);
        let observed = shares.iter().filter(|best_effort| best_effort.share >= MIN_USE);
        let observed: Vec<(&BestEffortShare, Estimate)> = observed
            .map(|best_effort| {
                (best_effort, self.aged_pair(now, latency_critical, &best_effort.image))
            })
            .collect();
        let level = self.aged_level(now, step, latency_critical);
        let pair_variance: f64 = observed
            .iter()
            .map(|(best_effort, pair)| pair.variance * best_effort.share * best_effort.share)
            .sum();
        let total = level.variance + pair_variance + OBSERVATION_VARIANCE;
        let pairs = self.pairs.entry(latency_critical.clone()).or_default();
        for (BestEffortShare { image, share }, pair) in observed {
            let corrected = pair.corrected(error, -share, total);
            let estimate = Estimate { value: corrected.value.max(0.0), ..corrected };
            pairs.insert(image.clone(), TimedEstimate { estimate, seen: now });
        }
        let estimate = level.corrected(error, 1.0, total);
        let before = self.levels.get(&step).map_or(estimate.value, |level| level.usual);
        let usual = before + USUAL_GAIN * (estimate.value - before);
        let present = TimedEstimate { estimate, seen: now };
        self.levels.insert(step, StepLevel { present, usual });
        let typical = self.images.entry(latency_critical.clone()).or_insert(estimate.value);
        *typical += IMAGE_GAIN * (estimate.value - *typical);
    }

    /// Removes the levels of an ended job. The pairs learned from its images stay.
    pub fn forget_job(&mut self, job: JobKey) {
        self.levels.retain(|step, _| step.job != job);
    }

    fn level(&self, step: StepKey, latency_critical: &ImageName) -> Estimate {
        let typical = || self.images.get(latency_critical).copied().unwrap_or(INITIAL_LEVEL.value);
        let known = self.levels.get(&step).map(|level| level.present.estimate);
        known.unwrap_or_else(|| Estimate { value: typical(), ..INITIAL_LEVEL })
    }

    fn aged_level(&self, now: Duration, step: StepKey, latency_critical: &ImageName) -> Estimate {
        let known = self.levels.get(&step).map(|level| level.present);
        known.map_or_else(
            || self.level(step, latency_critical),
            |present| present.aged(now, LEVEL_DRIFT, INITIAL_LEVEL),
        )
    }

    fn pair(
        &self,
        latency_critical: &ImageName,
        best_effort: &ImageName,
    ) -> Option<&TimedEstimate> {
        self.pairs.get(latency_critical)?.get(best_effort)
    }

    fn aged_pair(
        &self,
        now: Duration,
        latency_critical: &ImageName,
        best_effort: &ImageName,
    ) -> Estimate {
        let known = self.pair(latency_critical, best_effort);
        known.map_or(INITIAL_PRESSURE, |pair| pair.aged(now, PAIR_DRIFT, INITIAL_PRESSURE))
    }
}
