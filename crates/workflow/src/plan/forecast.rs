//! What will be free on a worker once the runs there have ended.
//!
//! Look-ahead decides by it which workers to keep for a step that fits nowhere now. Run lengths come
//! from [`RunForecaster`], so that better forecasts need no change here.

use {
    super::{
        claims::ReservedRoom,
        reservations::{assumed_use, WorkerReservations},
        score::{score_of, StepRequest},
        worker::WorkerView,
        PassInputs,
    },
    crate::job::{StepKey, StepSpec, TaskDemand, TaskKey},
    std::{fmt::Debug, sync::Arc, time::Duration},
};

/// Divisor of its estimate that gives the least time that a run without a report of its progress
/// still has to go.
const LEAST_LEFT_DIVISOR: u32 = 8;
/// How far a run's own progress may move its length from the caller's estimate, as a factor. Callers
/// are off by up to 1.9.
const ESTIMATE_FACTOR: u32 = 2;
/// The least progress in percent from which a run's length is extrapolated.
const MIN_PERCENT: u8 = 10;

/// Forecasts how long tasks run.
pub trait RunForecaster: Debug {
    /// Returns the time that the present run of a placed task still takes.
    fn left(&self, task: &TaskKey, spec: &StepSpec) -> Duration;

    /// Returns the time that a task of a step takes from its start.
    fn length(&self, _step: StepKey, spec: &StepSpec) -> Duration {
        Duration::from_millis(spec.estimate_ms)
    }
}

/// Forecasts from the callers' estimates alone.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerEstimates;

impl RunForecaster for CallerEstimates {
    fn left(&self, _task: &TaskKey, spec: &StepSpec) -> Duration {
        Duration::from_millis(spec.estimate_ms)
    }
}

/// Returns the time that a run still takes, from the caller's estimate, the time since its start if
/// that is known, and the percentage that it has reported.
pub fn left_by_progress(spec: &StepSpec, age: Option<Duration>, percent: u8) -> Duration {
    let estimate = Duration::from_millis(spec.estimate_ms);
    let percent = u32::from(percent.min(100));
    let share_left = estimate * (100 - percent) / 100;
    match age {
        Some(age) if percent >= u32::from(MIN_PERCENT) => {
            let extrapolated = age * (100 - percent) / percent;
            extrapolated.clamp(share_left / ESTIMATE_FACTOR, share_left * ESTIMATE_FACTOR)
        }
        // A run that has exceeded its estimate is expected to exceed it by as much again.
        Some(age) => {
            age.abs_diff(estimate).clamp(estimate / LEAST_LEFT_DIVISOR, estimate.max(age / 2))
        }
        None => share_left,
    }
}

/// A run on a worker, with its forecast end and what it gives back then.
#[derive(Debug)]
pub(super) struct ForecastRun {
    end: Duration,
    task: TaskKey,
    /// Its processors, 0 for a best-effort task, and its memory and accelerators.
    reserved: TaskDemand,
    /// The processors that it is assumed to use, in thousandths of a core.
    used_milli: i64,
}

/// Returns the runs on an executor that end by themselves, first end first.
pub(super) fn forecast_runs(executor: &Arc<str>, inputs: &PassInputs<'_>) -> Vec<ForecastRun> {
    let PassInputs { state, forecaster, time, .. } = inputs;
    let mut runs = Vec::new();
    for worker in state.placed_incarnations_of(executor) {
        for (task, _) in state.placed_tasks(worker) {
            let spec = state.job(task.job).and_then(|job| job.step_spec(&task));
            let Some(spec) = spec.filter(|spec| !spec.lasting) else { continue };
            let end = time.now + forecaster.left(&task, spec);
            let cpu_milli = if spec.filler { 0 } else { spec.demand.cpu_milli };
            let reserved = TaskDemand { cpu_milli, ..spec.demand }.counted();
            let used_milli = assumed_use(spec) as i64;
            runs.push(ForecastRun { end, task, reserved, used_milli });
        }
    }
    runs.sort_by_key(|run| (run.end, run.task));
    runs
}

/// Free capacity; negative on a worker that has shrunk below its reservations.
#[derive(Debug, Clone, Copy)]
struct FreeRoom {
    /// Whether the processors are idle ones, for best-effort tasks, or such that are not reserved.
    idle: bool,
    cpu_milli: i64,
    memory_mb: i64,
    accelerators: i64,
}

impl FreeRoom {
    fn new(idle: bool, worker: &WorkerView, reserved: &WorkerReservations) -> Self {
        let capacity = worker.report.capacity;
        let free = |capacity: u64, taken: u64| signed(capacity).saturating_sub(signed(taken));
        let counted = reserved.demand.cpu_milli;
        let taken = if idle { reserved.busy_milli().ceil() as u64 } else { counted };
        Self {
            idle,
            cpu_milli: free(capacity.cpu_milli, taken),
            memory_mb: free(capacity.memory_mb, reserved.demand.memory_mb),
            accelerators: free(capacity.accelerators, reserved.demand.accelerators),
        }
    }

    fn add(&mut self, run: &ForecastRun) {
        let TaskDemand { cpu_milli, memory_mb, accelerators } = run.reserved;
        let cpu_milli = if self.idle { run.used_milli } else { signed(cpu_milli) };
        self.cpu_milli = self.cpu_milli.saturating_add(cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(signed(memory_mb));
        self.accelerators = self.accelerators.saturating_add(signed(accelerators));
    }

    /// Returns how many tasks fit.
    fn count_of(&self, demand: TaskDemand) -> usize {
        let share = |free: i64, asked: u64| match (free, signed(asked)) {
            (free, _) if free < 0 => 0,
            (_, 0) => i64::MAX,
            (free, asked) => free / asked,
        };
        let count = share(self.cpu_milli, demand.cpu_milli)
            .min(share(self.memory_mb, demand.memory_mb))
            .min(share(self.accelerators, demand.accelerators));
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Returns what is left beside a number of tasks.
    fn beside(&self, demand: TaskDemand, tasks: u64) -> TaskDemand {
        let left = |free: i64, asked: u64| {
            (free.max(0) as u64).saturating_sub(asked.saturating_mul(tasks))
        };
        TaskDemand {
            cpu_milli: left(self.cpu_milli, demand.cpu_milli),
            memory_mb: left(self.memory_mb, demand.memory_mb),
            accelerators: left(self.accelerators, demand.accelerators),
        }
    }
}

fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}

/// Returns the times from which the first, the second and each further task fits on a worker, up to
/// a limit.
pub(super) fn slot_times(
    spec: &StepSpec,
    (worker, reserved): (&WorkerView, &WorkerReservations),
    runs: &[ForecastRun],
    (limit, now): (usize, Duration),
) -> Vec<Duration> {
    let mut free = FreeRoom::new(spec.filler, worker, reserved);
    let mut times = vec![now; free.count_of(spec.demand).min(limit)];
    for run in runs {
        if times.len() >= limit {
            break;
        }
        free.add(run);
        times.resize(free.count_of(spec.demand).min(limit).max(times.len()), run.end);
    }
    times
}

/// Returns what a reservation of some tasks keeps on a worker until a time.
pub(super) fn room_at(
    until: Duration,
    tasks: u64,
    request: &StepRequest<'_>,
    (worker, reserved): (&WorkerView, &WorkerReservations),
    runs: &[ForecastRun],
) -> ReservedRoom {
    let StepRequest { key: step, spec, .. } = *request;
    let mut free = FreeRoom::new(spec.filler, worker, reserved);
    runs.iter().take_while(|run| run.end <= until).for_each(|run| free.add(run));
    let shares_headroom = spec.filler && !reserved.latency_critical.is_empty();
    let spare = free.beside(spec.demand, tasks);
    let best_effort = spec.filler;
    ReservedRoom { step, tasks, due: false, best_effort, shares_headroom, until, spare }
}

/// Returns whether the latency-critical tasks on a worker will permit the start of a best-effort
/// task once the runs up to a time have ended.
pub(super) fn will_have_headroom(
    request: &StepRequest<'_>,
    (worker, reserved): (&WorkerView, &WorkerReservations),
    runs: &[ForecastRun],
    at: Duration,
    inputs: &PassInputs<'_>,
) -> bool {
    let mut reserved = reserved.clone();
    for run in runs.iter().take_while(|run| run.end <= at) {
        let job = inputs.state.job(run.task.job);
        if let Some(spec) = job.and_then(|job| job.step_spec(&run.task)) {
            reserved.remove(&run.task, spec);
        }
    }
    score_of(request, worker, &reserved, inputs).is_some()
}
