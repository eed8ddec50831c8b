//! Interference: how much best-effort tasks slow latency-critical ones, learned for each pair of
//! images.
//!
//! Tail latencies grow like those of a queue, with the inverse of a server's spare capacity. The
//! model therefore predicts the *headroom*, a task's latency target over its tail latency, which is
//! linear in the load. The headroom is a level of the latency-critical task's own step, whose load
//! swings within seconds, less what each best-effort image beside the task takes, in proportion to
//! the share of the machine that the image uses. Each coefficient has a variance: the less certain
//! the coefficient, the further an observation moves it (a Kalman filter with a diagonal
//! covariance). The effects of a new image are thus not attributed to images that are known to be
//! harmless.

use {
    super::swing::{PeriodTable, SwingLevel},
    crate::job::{JobKey, StepKey},
    serde::{Deserialize, Serialize},
    std::{
        array::from_fn,
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
/// The assumed headroom of an image alone: twice what it needs, as services are commonly sized for.
const INITIAL_LEVEL: f64 = 2.2;
/// The variance of an observation: reported figures are rough, and late by up to a report.
const OBSERVATION_VARIANCE: f64 = 0.15;
/// Growth of a pair's variance per second. In the long run, its pressure depends on the images
/// alone.
const PAIR_DRIFT: f64 = 0.05;
/// How far an observation moves an image's level towards those of its steps: the level averages
/// several steps and swings.
const IMAGE_GAIN: f64 = 0.02;
/// Interval of the times for which a level is forecast.
const FORECAST_INTERVAL: Duration = Duration::from_millis(500);
/// The number of times for which a level is forecast: beyond them, its swing is unknown.
const FORECAST_TIMES: usize = 9;
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

/// What is known about one pair of images.
#[derive(Debug, Clone, Copy)]
pub(super) struct PairEstimate<'a> {
    pub(super) latency_critical: &'a ImageName,
    pub(super) best_effort: &'a ImageName,
    /// The headroom that the use of a whole machine takes.
    pub(super) pressure: f64,
    pub(super) variance: f64,
}

/// The learned interference between the images of one deployment.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    /// The headroom of each latency-critical step without best-effort tasks.
    levels: HashMap<StepKey, SwingLevel>,
    periods: PeriodTable,
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

    /// Returns the present estimates of all pairs.
    pub(super) fn estimates(&self) -> impl Iterator<Item = PairEstimate<'_>> {
        self.pairs.iter().flat_map(|(latency_critical, pairs)| {
            pairs.iter().map(move |(best_effort, pair)| PairEstimate {
                latency_critical,
                best_effort,
                pressure: pair.estimate.value,
                variance: pair.estimate.variance,
            })
        })
    }

    /// Predicts the headroom of a latency-critical step beside best-effort tasks at a time.
    pub fn predict(
        &self,
        time: Duration,
        step: StepKey,
        latency_critical: &ImageName,
        shares: &[BestEffortShare],
    ) -> f64 {
        self.level_at(time, step, latency_critical) - self.taken_by(latency_critical, shares)
    }

    /// Forecasts the levels of all steps from `now` on.
    pub fn forecast(&self, now: Duration) -> HeadroomForecast<'_> {
        let least = |level: &SwingLevel| {
            let mut lowest = f64::INFINITY;
            from_fn(|number| {
                let time = now + FORECAST_INTERVAL * number as u32;
                lowest = lowest.min(level.at(time, &self.periods));
                lowest
            })
        };
        let levels = self.levels.iter().map(|(step, level)| (*step, least(level)));
        HeadroomForecast { learned: self, levels: levels.collect() }
    }

    fn taken_by(&self, latency_critical: &ImageName, shares: &[BestEffortShare]) -> f64 {
        shares.iter().map(|best_effort| self.taken(latency_critical, best_effort)).sum()
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
        let taken = self.taken_by(latency_critical, shares);
        let observed = shares.iter().filter(|best_effort| best_effort.share >= MIN_USE);
        let observed: Vec<(&BestEffortShare, Estimate)> = observed
            .map(|best_effort| {
                (best_effort, self.aged_pair(now, latency_critical, &best_effort.image))
            })
            .collect();
        let pair_variance: f64 = observed
            .iter()
            .map(|(best_effort, pair)| pair.variance * best_effort.share * best_effort.share)
            .sum();
        let mean = self.image_level(latency_critical);
        let level = self.levels.entry(step).or_insert_with(|| SwingLevel::new(now, mean));
        level.advance(now);
        let expected = level.expected();
        let errors = expected.map(|(value, _)| headroom - (value - taken));
        let totals = expected.map(|(_, variance)| variance + pair_variance + OBSERVATION_VARIANCE);
        level.correct(errors, totals);
        self.periods.add(errors);
        let (error, total) = (errors[self.periods.best()], totals[self.periods.best()]);
        let mean = level.mean(&self.periods);
        let pairs = self.pairs.entry(latency_critical.clone()).or_default();
        for (BestEffortShare { image, share }, pair) in observed {
            let corrected = pair.corrected(error, -share, total);
            let estimate = Estimate { value: corrected.value.max(0.0), ..corrected };
            pairs.insert(image.clone(), TimedEstimate { estimate, seen: now });
        }
        let typical = self.images.entry(latency_critical.clone()).or_insert(mean);
        *typical += IMAGE_GAIN * (mean - *typical);
    }

    /// Removes the levels of an ended job. The pairs learned from its images stay.
    pub fn forget_job(&mut self, job: JobKey) {
        self.levels.retain(|step, _| step.job != job);
    }

    fn level_at(&self, time: Duration, step: StepKey, latency_critical: &ImageName) -> f64 {
        let known = self.levels.get(&step).map(|level| level.at(time, &self.periods));
        known.unwrap_or_else(|| self.image_level(latency_critical))
    }

    /// Returns the headroom that tasks of an image typically have without best-effort tasks.
    pub(super) fn image_level(&self, latency_critical: &ImageName) -> f64 {
        self.images.get(latency_critical).copied().unwrap_or(INITIAL_LEVEL)
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

/// The headroom of latency-critical steps in the next seconds.
#[derive(Debug)]
pub struct HeadroomForecast<'a> {
    learned: &'a InterferenceTable,
    /// The lowest level of each step up to each time of the forecast.
    levels: HashMap<StepKey, [f64; FORECAST_TIMES]>,
}

impl HeadroomForecast<'_> {
    /// Returns the least headroom of a step, beside best-effort tasks, within `span` from the time
    /// of the forecast.
    pub fn least_headroom(
        &self,
        span: Duration,
        step: StepKey,
        latency_critical: &ImageName,
        shares: &[BestEffortShare],
    ) -> f64 {
        let position = (span.as_millis() / FORECAST_INTERVAL.as_millis()) as usize;
        let level = match self.levels.get(&step) {
            Some(lowest) => lowest[position.min(FORECAST_TIMES - 1)],
            None => self.learned.image_level(latency_critical),
        };
        level - self.learned.taken_by(latency_critical, shares)
    }

    /// Returns the headroom that best-effort tasks of one image take.
    pub fn taken(&self, latency_critical: &ImageName, best_effort: &BestEffortShare) -> f64 {
        self.learned.taken(latency_critical, best_effort)
    }
}
