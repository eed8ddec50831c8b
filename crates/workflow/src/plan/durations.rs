//! Observed run times, and forecasts of the run times that are not yet known.
//!
//! Addresses callers whose `estimate_ms` is off by up to a factor of 1.9, so that the order of the
//! steps, the span for which headroom is needed and the remaining time of a run are wrong. Three
//! sources are combined by their precision: the estimate, corrected by the error of the queue's
//! estimates; the lengths of the queue's or the image's steps; and runs of the same step that have
//! ended or report percent. All are kept as logarithms, because estimates are off by factors.
//! `docs/design/run-times.md` gives the model and its bounds.

use {
    super::forecast::{left_by_progress, RunForecaster},
    crate::{
        job::{JobKey, RunNumber, StepKey, StepSpec, TaskKey, WorkerIncarnation},
        state::FlowState,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// The assumed spread of an estimate's error: that of factors up to 1.9 either way, all equally
/// likely.
const ASSUMED_ERROR: f64 = 0.37;
/// The assumed spread of the lengths of a queue's steps. It is wide, so that the first few steps of
/// a queue hardly change the estimates of the others.
const ASSUMED_RANGE: f64 = 1.0;
/// The assumed spread of the lengths of one step's tasks.
const ASSUMED_WITHIN: f64 = 0.3;
/// The number of steps that the assumed range counts for.
const RANGE_STEPS: f64 = 3.0;
/// The number of steps that the assumed error, and an unbiased estimate, count for.
const ASSUMED_STEPS: f64 = 8.0;
/// The number of steps after which earlier ones lose weight: a queue's load changes over minutes.
const REMEMBERED_STEPS: f64 = 200.0;
/// The number of runs for which the assumed spread within a step counts, and for which the observed
/// one is remembered.
const ASSUMED_RUNS: f64 = 20.0;
const REMEMBERED_RUNS: f64 = 4000.0;
/// The number of steps from which the lengths of an image are used rather than those of its queue.
const IMAGE_STEPS: f64 = 4.0;
/// The multiple of its forecast for which a step that still runs holds back the lengths of steps
/// that were placed after it: twice covers an error of a factor of 1.9.
const HELD_LENGTHS: f64 = 2.0;
/// The largest number of steps of a queue that are held back or hold others back.
const HELD_LIMIT: usize = 1024;
/// The number of spreads by which one run may differ from what was expected. A run further off has
/// met a fault that no report shows, and counts as one at this limit.
const OUTLIER_SPREADS: f64 = 3.0;
/// The uncertainty of the time between two reports of one agent, whose polls take up to this long.
const REPORT_JITTER_S: f64 = 0.06;
/// The uncertainty of a run's beginning if only the time of its placement is known: the commit, the
/// order and the start on the executor lie between.
const START_JITTER_S: f64 = 0.15;
/// The rise in percent from which two reports of one run tell its length.
const LEAST_RISE: u8 = 20;
/// The percent at the first report up to which the rest of the run tells its length.
const LATEST_FIRST_PERCENT: u8 = 80;
/// The largest variance of a measured length that is learned from: beyond it, the caller's estimate
/// is as good.
const LARGEST_VARIANCE: f64 = 0.14;
/// The period that the reported processor use covers.
const FIGURE_PERIOD_S: f64 = 0.5;
/// The share of its processors below which a best-effort run counts as throttled or crowded out.
const FULL_SPEED_SHARE: f64 = 0.85;
/// The age from which an incarnation counts as warm although none of its runs is known to be done.
const COLD_PERIOD_MS: u64 = 30_000;
/// Bounds on the table: more than the runs and steps of the largest planned fleet (12,500 running
/// tasks, 660 workers). Beyond them, estimates are used as they are.
const RUNS_LIMIT: usize = 32_768;
const STEPS_LIMIT: usize = 16_384;
const QUEUES_LIMIT: usize = 256;
const IMAGES_LIMIT: usize = 32;
const EXECUTORS_LIMIT: usize = 4096;
/// The greatest logarithm of a length in milliseconds, that of the longest estimate.
const LONGEST: f64 = 44.0;

/// The forecast length of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunForecast {
    /// The length that the run exceeds as often as not.
    pub length: Duration,
    /// The standard deviation of the length's logarithm.
    pub spread: f64,
}

/// The errors of a queue's estimates, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSummary {
    /// The name of the queue.
    pub queue: String,
    /// The number of steps that the leader has learned from.
    pub steps: u64,
    /// The typical deviation of callers' estimates from the observed lengths, in percent.
    pub estimate_error_percent: u32,
    /// The same of the forecasts that were made when the first task of a step was placed.
    pub forecast_error_percent: u32,
}

/// The circumstances in which a run starts.
#[derive(Debug, Clone, Copy)]
pub struct RunOrigin<'a> {
    /// The time of the placement; `None` if another leader placed the run.
    pub placed: Option<Duration>,
    /// The worker.
    pub worker: &'a WorkerIncarnation,
    /// The rack of the worker.
    pub rack: Option<&'a str>,
    /// Whether the run continues from a checkpoint.
    pub resumed: bool,
    /// The wall clock, by which an incarnation's age is known.
    pub wall_ms: u64,
}

/// An agent's report about a run.
#[derive(Debug, Clone, Copy)]
pub struct RunReading {
    /// The progress in percent.
    pub percent: u8,
    /// The processors in use, in thousandths of a core.
    pub used_milli: u64,
    /// Whether latency-critical tasks run beside the run, for which its agent may throttle it.
    pub beside_critical: bool,
}

/// An estimate of a logarithm.
#[derive(Debug, Clone, Copy)]
struct LogEstimate {
    mean: f64,
    variance: f64,
}

impl LogEstimate {
    /// Returns the estimate from two independent ones, weighted by their precision.
    fn joined(self, other: Self) -> Self {
        let share = self.variance / (self.variance + other.variance);
        let mean = self.mean + share * (other.mean - self.mean);
        Self { mean, variance: share * other.variance }
    }

    fn millis(self) -> f64 {
        self.mean.clamp(0.0, LONGEST).exp()
    }
}

/// The weighted mean and the squared deviations of some values.
#[derive(Debug, Clone, Copy, Default)]
struct WeightedMoments {
    weight: f64,
    mean: f64,
    squares: f64,
}

impl WeightedMoments {
    fn add(&mut self, value: f64, weight: f64) {
        self.weight += weight;
        let change = value - self.mean;
        self.mean += change * weight / self.weight;
        self.squares += weight * change * (value - self.mean);
    }

    /// Lets earlier values count for at most `limit`.
    fn fade(&mut self, limit: f64) {
        if self.weight > limit {
            self.squares *= limit / self.weight;
            self.weight = limit;
        }
    }

    /// Returns the variance, if the assumed spread counts for `assumed_weight`.
    fn variance(&self, assumed_spread: f64, assumed_weight: f64) -> f64 {
        let assumed = assumed_spread * assumed_spread * assumed_weight;
        (assumed + self.squares) / (assumed_weight + self.weight)
    }
}

/// A step whose length is not counted in its queue yet. Short steps end before longer ones that were
/// placed earlier; if each counted at its end, the first lengths would all be short.
#[derive(Debug)]
enum HeldStep {
    /// The step holds others back until this time.
    Running(Duration),
    /// The logarithm of the length, and the image.
    Ended(f64, Option<Arc<str>>),
}

/// What the ended steps of one queue tell about the others.
#[derive(Debug, Default)]
struct QueueHistory {
    /// The logarithms of the lengths.
    lengths: WeightedMoments,
    /// The steps whose lengths are not counted yet, by the order of their placement.
    held: BTreeMap<u64, HeldStep>,
    last_held: u64,
    images: BTreeMap<Arc<str>, WeightedMoments>,
    /// The logarithms of the lengths over the callers' estimates.
    errors: WeightedMoments,
    /// The deviations of runs from the mean of their step.
    within: WeightedMoments,
    /// The absolute errors of the estimates and of the forecasts.
    estimate_errors: WeightedMoments,
    forecast_errors: WeightedMoments,
    steps: u64,
    /// Whether the history has changed since the last summary.
    changed: bool,
}

impl QueueHistory {
    /// Returns what the history tells about the length of a step of which nothing has run.
    fn prior(&self, spec: &StepSpec) -> Option<LogEstimate> {
        let of_image = spec.image.as_ref().and_then(|image| self.images.get(image));
        let known = of_image.filter(|lengths| lengths.weight >= IMAGE_STEPS);
        let lengths = known.unwrap_or(&self.lengths);
        let variance = lengths.variance(ASSUMED_RANGE, RANGE_STEPS);
        let variance = variance * (1.0 + lengths.weight.max(1.0).recip());
        let typical = LogEstimate { mean: lengths.mean, variance };
        let typical = (lengths.weight > 0.0).then_some(typical);
        let Some(estimate) = log_millis(spec.estimate_ms) else { return typical };
        let weight = self.errors.weight + ASSUMED_STEPS;
        let bias = self.errors.mean * self.errors.weight / weight;
        let variance = self.errors.variance(ASSUMED_ERROR, ASSUMED_STEPS) * (1.0 + weight.recip());
        let corrected = LogEstimate { mean: estimate + bias, variance };
        Some(typical.map_or(corrected, |typical| corrected.joined(typical)))
    }

    fn learn(&mut self, step: &StepSamples, spec: &StepSpec) {
        let length = step.ended.mean;
        match self.held.get_mut(&step.order) {
            Some(held) => *held = HeldStep::Ended(length, spec.image.clone()),
            None => self.count_length(length, spec.image.as_ref()),
        }
        if let Some(estimate) = log_millis(spec.estimate_ms) {
            self.errors.fade(REMEMBERED_STEPS);
            self.errors.add(length - estimate, 1.0);
            self.estimate_errors.fade(REMEMBERED_STEPS);
            self.estimate_errors.add((length - estimate).abs(), 1.0);
            self.forecast_errors.fade(REMEMBERED_STEPS);
            self.forecast_errors.add((length - step.forecast).abs(), 1.0);
        }
        // The mean of a step takes one of its samples, which then tells nothing about the spread.
        self.within.fade(REMEMBERED_RUNS);
        self.within.weight += (step.ended.weight - 1.0).max(0.0);
        self.within.squares += step.ended.squares;
        self.steps += 1;
        self.changed = true;
    }

    /// Holds back the lengths of later steps for a step that is placed now. Returns its number.
    fn hold(&mut self, now: Duration, forecast_ms: f64) -> u64 {
        self.last_held += 1;
        let until = now + Duration::from_millis((forecast_ms * HELD_LENGTHS) as u64);
        self.held.insert(self.last_held, HeldStep::Running(until));
        self.count_held(now);
        self.last_held
    }

    /// Counts the lengths that nothing holds back any more.
    fn count_held(&mut self, now: Duration) {
        while let Some(first) = self.held.first_entry() {
            let waits = matches!(first.get(), HeldStep::Running(until) if *until > now);
            if waits && self.held.len() <= HELD_LIMIT {
                break;
            }
            if let Some((_, HeldStep::Ended(length, image))) = self.held.pop_first() {
                self.count_length(length, image.as_ref());
            }
        }
    }

    fn count_length(&mut self, length: f64, image: Option<&Arc<str>>) {
        self.lengths.fade(REMEMBERED_STEPS);
        self.lengths.add(length, 1.0);
        let Some(image) = image else { return };
        if self.images.len() < IMAGES_LIMIT || self.images.contains_key(image) {
            let lengths = self.images.entry(image.clone()).or_default();
            lengths.fade(REMEMBERED_STEPS);
            lengths.add(length, 1.0);
        }
    }
}

/// The observed runs of one step.
#[derive(Debug)]
struct StepSamples {
    /// The logarithms of the lengths of ended runs.
    ended: WeightedMoments,
    runs: u16,
    /// The most precise length that a run's percent has told so far.
    running: Option<LogEstimate>,
    /// The logarithm of the length that was forecast when the first task was placed.
    forecast: f64,
    /// The step's number among the held steps of its queue; 0 for none.
    order: u64,
    /// The rack of the first placed task.
    rack: Option<Arc<str>>,
    /// Whether tasks run on several racks.
    scattered: bool,
    /// Whether the queue has learned from the step.
    learned: bool,
}

impl StepSamples {
    /// Returns what the step's own runs tell about its length.
    fn observed(&self, spec: &StepSpec, within: f64) -> Option<LogEstimate> {
        if self.ended.weight == 0.0 {
            let running = self.running?;
            return Some(LogEstimate { variance: running.variance + within, ..running });
        }
        // The tasks that end first are the shortest. A spread for the share that still runs covers
        // that.
        let share = f64::from(self.runs) / f64::from(needed_runs(spec));
        let missing = (1.0 - share).max(0.0);
        let variance = within * (self.ended.weight.recip() + missing * missing);
        Some(LogEstimate { mean: self.ended.mean, variance })
    }
}

/// A placed run.
#[derive(Debug, Clone, Copy)]
struct WatchedRun {
    run: RunNumber,
    /// The latest time at which the run had certainly not begun: its placement, or a report of 0
    /// percent.
    idle_until: Option<Duration>,
    /// The last report above 0 percent before the percent rose further, and the latest report.
    first: Option<(Duration, u8)>,
    last: Option<(Duration, u8)>,
    /// Whether the run's length may be learned from.
    valid: bool,
    /// Whether a best-effort run still has to show that it is not throttled.
    unproven: bool,
}

impl WatchedRun {
    /// Returns the length that the run's own percent tells.
    fn pace(&self) -> Option<LogEstimate> {
        let ((begun, first), (now, last)) = (self.first?, self.last?);
        let rise = last.saturating_sub(first);
        let seconds = now.saturating_sub(begun).as_secs_f64();
        (rise >= LEAST_RISE && seconds > 0.0).then(|| {
            let rise = f64::from(rise);
            measured(seconds * 100.0 / rise, [REPORT_JITTER_S / seconds, rise.recip()])
        })
    }

    /// Returns the length of a run that is done now.
    fn length(&self, now: Duration, spec: &StepSpec) -> Option<LogEstimate> {
        let reported = self.first.filter(|(_, percent)| *percent <= LATEST_FIRST_PERCENT);
        let reported = reported.map(|(at, percent)| {
            // Percent is rounded down.
            let left = 100.0 - f64::from(percent) - 0.5;
            let seconds = now.saturating_sub(at).as_secs_f64().max(1e-3);
            measured(seconds * 100.0 / left, [REPORT_JITTER_S / seconds, 0.3 / left])
        });
        // Whether a best-effort run was throttled is known only if it was listed.
        let whole = self.idle_until.filter(|_| !spec.filler).map(|idle| {
            let seconds = now.saturating_sub(idle).as_secs_f64().max(1e-3);
            measured(seconds, [START_JITTER_S / seconds, 0.0])
        });
        let lengths = reported.into_iter().chain(whole);
        let best = lengths.min_by(|one, other| one.variance.total_cmp(&other.variance))?;
        (best.variance <= LARGEST_VARIANCE).then_some(best)
    }
}

/// The observed run times. A new leader starts with an empty table, whose forecasts are the callers'
/// estimates.
#[derive(Debug, Default)]
pub struct DurationTable {
    queues: HashMap<String, QueueHistory>,
    steps: BTreeMap<StepKey, StepSamples>,
    runs: BTreeMap<TaskKey, WatchedRun>,
    /// The beginning of each executor's last incarnation on which a run was done. The runs before
    /// it may have waited for the executor to load what it needs.
    warm: HashMap<Arc<str>, u64>,
}

impl DurationTable {
    /// Forecasts the length of a step's runs.
    pub fn expected(&self, key: StepKey, queue: &str, spec: &StepSpec) -> RunForecast {
        let history = self.history(queue);
        let within = within_variance(history);
        let Some(estimate) = self.informed(key, history, spec) else {
            let spread = (ASSUMED_ERROR * ASSUMED_ERROR + within).sqrt();
            return RunForecast { length: Duration::from_millis(spec.estimate_ms), spread };
        };
        let length = Duration::from_millis(estimate.millis().round() as u64);
        RunForecast { length, spread: (estimate.variance + within).sqrt() }
    }

    /// Forecasts the remaining time of a placed run. `None` if nothing has been observed that says
    /// more than the caller's estimate.
    pub fn left(
        &self,
        task: &TaskKey,
        queue: &str,
        spec: &StepSpec,
        now: Duration,
    ) -> Option<Duration> {
        let run = self.runs.get(task)?;
        let history = self.history(queue);
        let within = within_variance(history);
        let step = self.informed(task.step_key(), history, spec);
        let step = step.map(|step| LogEstimate { variance: step.variance + within, ..step });
        let whole = match (step, run.pace()) {
            (Some(step), Some(pace)) => step.joined(pace),
            (step, pace) => step.or(pace)?,
        };
        let placed = run.idle_until.unwrap_or(now);
        let (since, percent) = run.last.unwrap_or((placed, 0));
        let share = 1.0 - f64::from(percent.min(100)) / 100.0;
        let elapsed = now.saturating_sub(since).as_secs_f64() * 1000.0;
        let left = whole.millis() * share;
        // A run that is due has some time left all the same, the more the less certain it is.
        let least = left.max(elapsed) * whole.variance.sqrt() / 2.0;
        Some(Duration::from_millis((left - elapsed).max(least).round() as u64))
    }

    /// Returns the time since a run was placed, or last reported to have done nothing; `None` if
    /// neither is known.
    fn age_of(&self, task: &TaskKey, now: Duration) -> Option<Duration> {
        let since = self.runs.get(task)?.idle_until?;
        Some(now.saturating_sub(since))
    }

    /// Returns the last percent that a run has reported.
    pub fn percent(&self, task: &TaskKey) -> u8 {
        let last = self.runs.get(task).and_then(|run| run.last);
        last.map_or(0, |(_, percent)| percent.min(100))
    }

    /// Returns whether a run is watched.
    pub fn is_watched(&self, task: &TaskKey, run: RunNumber) -> bool {
        self.runs.get(task).is_some_and(|watched| watched.run == run)
    }

    /// Watches a run from its placement, or from the first report that lists it.
    pub fn watch(
        &mut self,
        (task, run): (&TaskKey, RunNumber),
        queue: &str,
        spec: &StepSpec,
        origin: RunOrigin<'_>,
    ) {
        let RunOrigin { placed, worker, rack, resumed, wall_ms } = origin;
        let known = self.runs.get(task).is_some_and(|known| known.run >= run);
        if spec.lasting || known || self.runs.len() >= RUNS_LIMIT {
            return;
        }
        let away = spec.preferred_rack.as_deref().is_some_and(|preferred| rack != Some(preferred));
        let valid = !away && !resumed && self.is_warm(worker, wall_ms);
        let (first, last) = (None, None);
        let watched = WatchedRun { run, idle_until: placed, first, last, valid, unproven: false };
        self.runs.insert(*task, watched);
        let key = task.step_key();
        if let Some(step) = self.steps.get_mut(&key) {
            step.scattered |= step.rack.as_deref() != rack;
        } else if self.steps.len() < STEPS_LIMIT {
            let prior = self.history(queue).and_then(|history| history.prior(spec));
            let known = prior.map(|prior| prior.mean).or(log_millis(spec.estimate_ms));
            let forecast = known.unwrap_or(0.0);
            let length = LogEstimate { mean: forecast, variance: 0.0 }.millis();
            let history =
                placed.and_then(|now| Some((now, queue_history(&mut self.queues, queue)?)));
            let order = history.map_or(0, |(now, history)| history.hold(now, length));
            let step = StepSamples {
                ended: WeightedMoments::default(),
                runs: 0,
                running: None,
                forecast,
                order,
                rack: rack.map(Arc::from),
                scattered: false,
                learned: false,
            };
            self.steps.insert(key, step);
        }
    }

    /// Learns from an agent's report about a watched run.
    pub fn note_report(
        &mut self,
        now: Duration,
        (task, run): (&TaskKey, RunNumber),
        spec: &StepSpec,
        reading: RunReading,
    ) {
        let Some(watched) = self.runs.get_mut(task).filter(|watched| watched.run == run) else {
            return;
        };
        let RunReading { percent, used_milli, beside_critical } = reading;
        watched.last = Some((now, percent));
        if percent == 0 {
            watched.idle_until = Some(now);
            return;
        }
        match watched.first {
            Some((at, first)) if percent > first => {
                let seconds = now.saturating_sub(at).as_secs_f64();
                let covered = (seconds / FIGURE_PERIOD_S).min(1.0);
                let full = spec.demand.cpu_milli as f64 * covered;
                if spec.filler && (used_milli as f64) < FULL_SPEED_SHARE * full {
                    watched.valid = false;
                } else if covered >= 0.5 {
                    watched.unproven = false;
                }
            }
            // Percent stays the same while a run loads or restores what it needs.
            _ => {
                watched.first = Some((now, percent));
                watched.unproven |= spec.filler && beside_critical;
            }
        }
        let watched = *watched;
        let Some(step) = self.steps.get_mut(&task.step_key()) else { return };
        let valid = watched.valid && !watched.unproven && !is_scattered(step, spec);
        if let Some(pace) = watched.pace().filter(|_| valid) {
            let better = |known: LogEstimate| known.variance > pace.variance;
            if pace.variance <= LARGEST_VARIANCE && step.running.is_none_or(better) {
                step.running = Some(pace);
            }
        }
    }

    /// Learns from a watched run that is done.
    pub fn note_done(
        &mut self,
        now: Duration,
        (task, run): (&TaskKey, RunNumber),
        queue: &str,
        spec: &StepSpec,
        worker: &WorkerIncarnation,
    ) {
        if self.warm.len() < EXECUTORS_LIMIT || self.warm.contains_key(&worker.executor) {
            let started_ms = self.warm.entry(worker.executor.clone()).or_default();
            *started_ms = worker.started_ms.max(*started_ms);
        }
        let Some(watched) = self.runs.get(task).filter(|watched| watched.run == run).copied()
        else {
            return;
        };
        self.runs.remove(task);
        let key = task.step_key();
        let history = self.history(queue);
        let within = within_variance(history);
        let assumed = LogEstimate {
            mean: log_millis(spec.estimate_ms).unwrap_or(0.0),
            variance: ASSUMED_ERROR * ASSUMED_ERROR,
        };
        let prior = history.and_then(|history| history.prior(spec)).unwrap_or(assumed);
        let Some(step) = self.steps.get_mut(&key) else { return };
        let valid = watched.valid && !watched.unproven && !is_scattered(step, spec);
        let Some(length) = watched.length(now, spec).filter(|_| valid) else { return };
        let mut value = length.mean;
        if spec.estimate_ms > 0 {
            let reach = OUTLIER_SPREADS * (prior.variance + within).sqrt();
            value = value.clamp(prior.mean - reach, prior.mean + reach);
        }
        step.ended.add(value, within / (within + length.variance));
        step.runs = step.runs.saturating_add(1);
        if step.runs >= needed_runs(spec) {
            self.learn_step(key, queue, spec);
            if let Some(history) = self.queues.get_mut(queue) {
                history.count_held(now);
            }
        }
    }

    /// Forgets a run that has ended without being done: its length says nothing.
    pub fn forget_run(&mut self, task: &TaskKey, run: RunNumber) {
        if self.runs.get(task).is_some_and(|watched| watched.run == run) {
            self.runs.remove(task);
        }
    }

    /// Learns nothing from a run any more, because its reports may be late.
    pub fn distrust_run(&mut self, task: &TaskKey) {
        if let Some(watched) = self.runs.get_mut(task) {
            watched.valid = false;
        }
    }

    /// Notes that the order of a run is repeated, so that the time of its placement says nothing.
    pub fn note_repeated(&mut self, task: &TaskKey) {
        if let Some(watched) = self.runs.get_mut(task) {
            watched.idle_until = None;
        }
    }

    /// Learns from the steps of an ended job, and forgets them.
    pub fn forget_job(&mut self, job: JobKey, queue: &str, specs: &[StepSpec]) {
        let first = StepKey { job, occurrence: 0, step: 0 };
        let last = StepKey { job, occurrence: u32::MAX, step: u16::MAX };
        let keys: Vec<StepKey> = self.steps.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            let known = self.steps.get(&key).zip(specs.get(usize::from(key.step)));
            // Of a cancelled job, only the shortest tasks have ended.
            let ended = known.filter(|(step, spec)| step.runs >= needed_runs(spec).div_ceil(2));
            if let Some((_, spec)) = ended {
                self.learn_step(key, queue, spec);
            }
            let step = self.steps.remove(&key).filter(|step| !step.learned);
            if let Some((step, history)) = step.zip(self.queues.get_mut(queue)) {
                history.held.remove(&step.order);
            }
        }
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let last = TaskKey { job, occurrence: u32::MAX, step: u16::MAX, index: u16::MAX };
        let tasks: Vec<TaskKey> = self.runs.range(first..=last).map(|(task, _)| *task).collect();
        for task in tasks {
            self.runs.remove(&task);
        }
    }

    /// Returns the errors of the queues that have learned something since the last call, in order.
    pub fn take_summaries(&mut self) -> Vec<QueueSummary> {
        let percent = |errors: &WeightedMoments| ((errors.mean.exp() - 1.0) * 100.0).round() as u32;
        let changed = self.queues.iter_mut().filter(|(_, history)| history.changed);
        let mut summaries: Vec<QueueSummary> = changed
            .map(|(queue, history)| {
                history.changed = false;
                QueueSummary {
                    queue: queue.clone(),
                    steps: history.steps,
                    estimate_error_percent: percent(&history.estimate_errors),
                    forecast_error_percent: percent(&history.forecast_errors),
                }
            })
            .collect();
        summaries.sort_by(|one, other| one.queue.cmp(&other.queue));
        summaries
    }

    /// Returns the length of a step as far as anything has been observed that tells about it.
    fn informed(
        &self,
        key: StepKey,
        history: Option<&QueueHistory>,
        spec: &StepSpec,
    ) -> Option<LogEstimate> {
        let prior = history.and_then(|history| history.prior(spec));
        let step = self.steps.get(&key);
        let observed = step.and_then(|step| step.observed(spec, within_variance(history)));
        let Some(observed) = observed else { return prior };
        let variance = ASSUMED_ERROR * ASSUMED_ERROR;
        let estimate = || log_millis(spec.estimate_ms).map(|mean| LogEstimate { mean, variance });
        Some(prior.or_else(estimate).map_or(observed, |prior| prior.joined(observed)))
    }

    /// Returns the history of a queue of which anything is known.
    fn history(&self, queue: &str) -> Option<&QueueHistory> {
        self.queues.get(queue).filter(|history| history.steps > 0)
    }

    fn is_warm(&self, worker: &WorkerIncarnation, wall_ms: u64) -> bool {
        self.warm.get(&worker.executor) == Some(&worker.started_ms)
            || wall_ms.saturating_sub(worker.started_ms) >= COLD_PERIOD_MS
    }

    fn learn_step(&mut self, key: StepKey, queue: &str, spec: &StepSpec) {
        let Some(step) = self.steps.get_mut(&key) else { return };
        if step.ended.weight == 0.0 || std::mem::replace(&mut step.learned, true) {
            return;
        }
        if let Some(history) = queue_history(&mut self.queues, queue) {
            history.learn(step, spec);
        }
    }
}

/// The remaining times of placed runs at one time.
#[derive(Debug, Clone, Copy)]
pub struct RemainingTimes<'a> {
    /// The observed run times.
    pub durations: &'a DurationTable,
    /// The state that holds the runs' jobs.
    pub state: &'a FlowState,
    /// The time.
    pub now: Duration,
}

impl RemainingTimes<'_> {
    /// Returns the remaining time of a placed run: by what was observed, or else by the caller's
    /// estimate and the run's percent. A lasting run does not end by itself.
    pub fn remaining(&self, task: &TaskKey, spec: &StepSpec) -> Duration {
        if spec.lasting {
            return Duration::MAX;
        }
        self.observed(task, spec).unwrap_or_else(|| {
            let percent = u64::from(100 - self.durations.percent(task));
            Duration::from_millis(spec.estimate_ms / 100 * percent)
        })
    }

    fn observed(&self, task: &TaskKey, spec: &StepSpec) -> Option<Duration> {
        let job = self.state.job(task.job)?;
        self.durations.left(task, &job.queue, spec, self.now)
    }
}

impl RunForecaster for RemainingTimes<'_> {
    fn left(&self, task: &TaskKey, spec: &StepSpec) -> Duration {
        self.observed(task, spec).unwrap_or_else(|| {
            let age = self.durations.age_of(task, self.now);
            left_by_progress(spec, age, self.durations.percent(task))
        })
    }

    fn length(&self, step: StepKey, spec: &StepSpec) -> Duration {
        let job = self.state.job(step.job);
        let expected = job.map(|job| self.durations.expected(step, &job.queue, spec).length);
        expected.unwrap_or(Duration::from_millis(spec.estimate_ms))
    }
}

/// Returns the history of a queue, which may be new, unless there are too many.
fn queue_history<'a>(
    queues: &'a mut HashMap<String, QueueHistory>,
    queue: &str,
) -> Option<&'a mut QueueHistory> {
    if !queues.contains_key(queue) {
        if queues.len() >= QUEUES_LIMIT {
            return None;
        }
        queues.insert(queue.to_owned(), QueueHistory::default());
    }
    queues.get_mut(queue)
}

/// Returns the number of runs whose end ends a step. The members of a gang end as one.
fn needed_runs(spec: &StepSpec) -> u16 {
    if spec.gang {
        1
    } else {
        spec.count.max(1)
    }
}

/// Returns the variance of the logarithms of the lengths of one step's runs.
fn within_variance(history: Option<&QueueHistory>) -> f64 {
    let within = history.map(|history| history.within).unwrap_or_default();
    within.variance(ASSUMED_WITHIN, ASSUMED_RUNS)
}

fn is_scattered(step: &StepSamples, spec: &StepSpec) -> bool {
    spec.same_rack && step.scattered
}

fn log_millis(millis: u64) -> Option<f64> {
    (millis > 0).then(|| (millis as f64).ln())
}

/// Returns a length with the given relative errors.
fn measured(seconds: f64, errors: [f64; 2]) -> LogEstimate {
    let variance = errors.iter().map(|error| error * error).sum();
    LogEstimate { mean: (seconds * 1000.0).ln(), variance }
}
