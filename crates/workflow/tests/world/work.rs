//! What the runs of an executor do if they differ: latency-critical ones report latencies, and
//! best-effort ones use the processors that are idle, leave checkpoints and may be throttled.

use {
    base::SeededRandom,
    std::{collections::BTreeMap, f64::consts::TAU, sync::Arc, time::Duration},
    workflow::{
        agent::StartRefusal,
        job::{JobSpec, RunNumber, StepSpec, TaskDemand, TaskKey},
        message::RunReport,
        state::EndKind,
    },
};

/// What an executor has.
pub const CAPACITY: TaskDemand =
    TaskDemand { cpu_milli: 16_000, memory_mb: 32_000, accelerators: 0 };
/// The part of its reservation that a lasting run uses.
const LASTING_USE: f64 = 0.3;
/// The least headroom of a latency-critical run, whatever runs beside it.
const LEAST_HEADROOM: f64 = 0.15;
/// The chance that a run fails at its end.
const FAILURE_CHANCE: f64 = 0.02;
/// The chance that a run stands still before it begins its work, and for how long at most.
const IDLE_START_CHANCE: f64 = 0.1;
const IDLE_START_MS: usize = 4000;
/// The time in which a latency-critical run begins to serve, in milliseconds.
const WARM_UP_MS: usize = 1200;
/// The part of the work between two checkpoints.
const CHECKPOINT_SHARE: f64 = 0.1;

/// How the headroom of a latency-critical image develops.
#[derive(Debug, Clone, Copy)]
pub struct HeadroomSwing {
    pub level: f64,
    pub amplitude: f64,
    pub period_s: f64,
}

/// The jobs, and how their images disturb each other.
#[derive(Debug)]
pub struct WorkCatalogue {
    pub jobs: BTreeMap<u64, JobSpec>,
    pub swings: BTreeMap<Arc<str>, HeadroomSwing>,
    /// The headroom that a machine of best-effort tasks takes, by latency-critical image, then by
    /// best-effort image.
    pub pressures: BTreeMap<(Arc<str>, Arc<str>), f64>,
}

impl WorkCatalogue {
    pub fn spec_of(&self, task: &TaskKey) -> &StepSpec {
        &self.jobs[&task.job.0].steps[usize::from(task.step)]
    }
}

/// The outcome of an order to start a run.
pub enum StartOutcome {
    Began,
    Refused(StartRefusal),
}

struct WorkingRun {
    run: u32,
    /// The run stands still until this time.
    idle_until: Duration,
    /// The part of the work that is done, and that of the newest checkpoint.
    progress: f64,
    checkpoint: f64,
    /// The part of its speed at which the run works.
    pace: f64,
    used_milli: f64,
}

/// The runs of one executor.
pub struct ExecutorWork {
    catalogue: Arc<WorkCatalogue>,
    random: SeededRandom,
    runs: BTreeMap<TaskKey, WorkingRun>,
    last: Duration,
    /// What the executor has at present.
    pub capacity: TaskDemand,
    /// The executor refuses starts as unhealthy until this time.
    pub refuses_until: Duration,
    /// All best-effort runs stand still until this time.
    pub stalls_until: Duration,
    /// The tasks of the runs that failed, in all incarnations.
    pub failed: Vec<TaskKey>,
}

impl ExecutorWork {
    pub fn new(catalogue: Arc<WorkCatalogue>, seed: u64) -> Self {
        Self {
            catalogue,
            random: SeededRandom::new(seed),
            runs: BTreeMap::new(),
            last: Duration::ZERO,
            capacity: CAPACITY,
            refuses_until: Duration::ZERO,
            stalls_until: Duration::ZERO,
            failed: Vec::new(),
        }
    }

    /// Returns the work of the next incarnation.
    pub fn restarted(mut self) -> Self {
        self.runs.clear();
        self
    }

    /// Returns what the runs reserve. Best-effort runs reserve no processors.
    pub fn reserved(&self) -> TaskDemand {
        let demands = self.runs.keys().map(|task| reserved_by(self.catalogue.spec_of(task)));
        demands.fold(TaskDemand::default(), TaskDemand::plus)
    }

    pub fn start(
        &mut self,
        now: Duration,
        task: TaskKey,
        run: u32,
        checkpoint: &str,
    ) -> StartOutcome {
        if now < self.refuses_until {
            return StartOutcome::Refused(StartRefusal::Unhealthy);
        }
        let spec = self.catalogue.spec_of(&task);
        if !self.reserved().plus(reserved_by(spec)).fits_in(self.capacity) {
            return StartOutcome::Refused(StartRefusal::NoCapacity);
        }
        let idle_ms = match (spec.lasting, self.random.chance(IDLE_START_CHANCE)) {
            (true, _) => self.random.below(WARM_UP_MS),
            (false, true) => self.random.below(IDLE_START_MS),
            (false, false) => 0,
        };
        let resumed = checkpoint.parse().unwrap_or(0.0);
        let working = WorkingRun {
            run,
            idle_until: now + Duration::from_millis(idle_ms as u64),
            progress: resumed,
            checkpoint: resumed,
            pace: 1.0,
            used_milli: 0.0,
        };
        self.runs.insert(task, working);
        StartOutcome::Began
    }

    /// Removes a run, and returns its newest checkpoint.
    pub fn remove(&mut self, task: &TaskKey) -> String {
        let run = self.runs.remove(task);
        run.map(|run| checkpoint_text(run.checkpoint)).unwrap_or_default()
    }

    pub fn pace(&mut self, task: TaskKey, run: u32, percent: u8) {
        if let Some(working) = self.runs.get_mut(&task).filter(|working| working.run == run) {
            working.pace = f64::from(percent) / 100.0;
        }
    }

    /// Lets the runs work up to a time. Returns those that have completed their work.
    pub fn advance(&mut self, now: Duration) -> BTreeMap<TaskKey, EndKind> {
        let seconds = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        let catalogue = self.catalogue.clone();
        let stalled = now < self.stalls_until;
        let (mut taken, mut asked) = (0.0, 0.0);
        for (task, run) in &mut self.runs {
            let spec = catalogue.spec_of(task);
            let works = run.idle_until <= now && !(spec.filler && stalled);
            let share = if spec.lasting { LASTING_USE } else { run.pace };
            run.used_milli = if works { spec.demand.cpu_milli as f64 * share } else { 0.0 };
            *(if spec.filler { &mut asked } else { &mut taken }) += run.used_milli;
        }
        let idle = (self.capacity.cpu_milli as f64 - taken).max(0.0);
        let granted = if asked > idle { idle / asked } else { 1.0 };
        let mut finished = BTreeMap::new();
        for (task, run) in &mut self.runs {
            let spec = catalogue.spec_of(task);
            if spec.filler {
                run.used_milli *= granted;
            }
            if spec.lasting {
                continue;
            }
            let speed = run.used_milli / spec.demand.cpu_milli as f64;
            run.progress += seconds * speed / (spec.estimate_ms as f64 / 1000.0);
            if spec.checkpointing && run.progress >= run.checkpoint + CHECKPOINT_SHARE {
                run.checkpoint = run.progress;
            }
            if run.progress >= 1.0 {
                let failed = self.random.chance(FAILURE_CHANCE);
                finished.insert(*task, if failed { EndKind::Failed } else { EndKind::Done });
            }
        }
        let failed = finished.iter().filter(|(_, end)| **end == EndKind::Failed);
        self.failed.extend(failed.map(|(task, _)| *task));
        finished
    }

    pub fn reports(&self) -> Vec<RunReport> {
        let report = |(task, run): (&TaskKey, &WorkingRun)| {
            let spec = self.catalogue.spec_of(task);
            let warm = run.idle_until <= self.last;
            let percent = match (spec.lasting, warm) {
                (true, true) => 100,
                (true, false) => 0,
                (false, _) => (run.progress * 100.0) as u8,
            };
            let latency = spec.latency_target_ms.filter(|_| warm);
            let figure = latency.map_or(run.used_milli as u64, |target| {
                (target as f64 / self.headroom_of(&spec.image_name())).ceil() as u64
            });
            let checkpoint = checkpoint_text(run.checkpoint);
            RunReport { task: *task, run: RunNumber(run.run), checkpoint, percent, figure }
        };
        self.runs.iter().map(report).collect()
    }

    fn headroom_of(&self, image: &Arc<str>) -> f64 {
        let swing = self.catalogue.swings[image];
        let turn = TAU * self.last.as_secs_f64() / swing.period_s;
        let taken = self.runs.iter().map(|(task, run)| {
            let other = self.catalogue.spec_of(task).image_name();
            let pressure = self.catalogue.pressures.get(&(image.clone(), other));
            pressure.copied().unwrap_or(0.0) * run.used_milli / CAPACITY.cpu_milli as f64
        });
        let level = swing.level + swing.amplitude * turn.sin();
        (level - taken.sum::<f64>()).max(LEAST_HEADROOM)
    }
}

fn reserved_by(spec: &StepSpec) -> TaskDemand {
    let cpu_milli = if spec.filler { 0 } else { spec.demand.cpu_milli };
    TaskDemand { cpu_milli, ..spec.demand }
}

fn checkpoint_text(progress: f64) -> String {
    if progress > 0.0 {
        format!("{progress:.4}")
    } else {
        String::new()
    }
}
