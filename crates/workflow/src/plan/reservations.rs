//! Capacity of the workers that placements have reserved.

use {
    super::{
        interference::{BestEffortShare, ImageName},
        worker::{WorkerTable, WorkerView},
    },
    crate::{
        job::{StepKey, StepSpec, TaskDemand, TaskKey, WorkerIncarnation},
        state::{FlowState, StepRecord, TaskPhase},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// The share of its reservation that a lasting task is assumed to use. Best-effort tasks get the
/// rest: they obtain the processors for which they ask on a machine whose reservations, theirs
/// included, add up to 1.7 machines.
const LASTING_USE: f64 = 0.3;

/// The reservations on one worker.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerReservations {
    /// Memory and accelerators of all tasks, and processors of all but the best-effort tasks.
    pub(super) demand: TaskDemand,
    /// The part of `demand` that lasting tasks hold, and that does not come free by itself.
    lasting: TaskDemand,
    /// The number of lasting tasks.
    lasting_count: u32,
    /// Processors that all but the best-effort tasks are assumed to use, in thousandths of a core.
    used_milli: f64,
    /// Processors that best-effort tasks could use, by image, in thousandths of a core.
    best_effort: BTreeMap<ImageName, u64>,
    /// The steps that have tasks with a latency target on this worker, and their images.
    pub(super) latency_critical: BTreeMap<StepKey, ImageName>,
    /// The number of tasks of each step.
    steps: HashMap<StepKey, u32>,
}

impl WorkerReservations {
    /// Collects the reservations of the tasks that are placed on an executor, in any incarnation.
    pub(super) fn new(state: &FlowState, executor: &Arc<str>) -> Self {
        let mut reserved = Self::default();
        for worker in state.placed_incarnations_of(executor) {
            for (task, _) in state.placed_tasks(worker) {
                let job = state.job(task.job);
                if let Some(spec) = job.and_then(|job| job.step_spec(&task)) {
                    reserved.add(&task, spec);
                }
            }
        }
        reserved
    }

    /// Returns the number of a step's tasks on this worker.
    pub(super) fn of_step(&self, step: &StepKey) -> u32 {
        self.steps.get(step).copied().unwrap_or(0)
    }

    /// Returns the number of tasks on this worker.
    pub(super) fn tasks(&self) -> u32 {
        self.steps.values().sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the number of lasting tasks on this worker.
    pub(super) fn lasting_tasks(&self) -> u32 {
        self.lasting_count
    }

    /// Returns the processors that all best-effort tasks could use, in thousandths of a core.
    pub(super) fn best_effort_milli(&self) -> f64 {
        self.best_effort.values().sum::<u64>() as f64
    }

    /// Returns the processors that all tasks are assumed to use, in thousandths of a core.
    pub(super) fn busy_milli(&self) -> f64 {
        self.used_milli + self.best_effort_milli()
    }

    /// Returns the share of a machine that best-effort tasks could use, by image.
    pub(super) fn best_effort_shares(&self, capacity_milli: f64) -> Vec<BestEffortShare> {
        let share = |(image, milli): (&ImageName, &u64)| BestEffortShare {
            image: image.clone(),
            share: *milli as f64 / capacity_milli,
        };
        self.best_effort.iter().map(share).collect()
    }

    fn add(&mut self, key: &TaskKey, spec: &StepSpec) {
        let TaskDemand { cpu_milli, memory_mb, accelerators } = spec.demand.counted();
        self.demand.memory_mb += memory_mb;
        self.demand.accelerators += accelerators;
        let image = spec.image_name();
        if spec.filler {
            *self.best_effort.entry(image.clone()).or_default() += cpu_milli;
        } else {
            self.demand.cpu_milli += cpu_milli;
            self.used_milli += assumed_use(spec);
        }
        if spec.lasting {
            self.lasting_count += 1;
            self.lasting.cpu_milli += cpu_milli;
            self.lasting.memory_mb += memory_mb;
            self.lasting.accelerators += accelerators;
        }
        if spec.latency_target_ms.is_some() {
            self.latency_critical.insert(key.step_key(), image);
        }
        *self.steps.entry(key.step_key()).or_default() += 1;
    }

    pub(super) fn remove(&mut self, key: &TaskKey, spec: &StepSpec) {
        let TaskDemand { cpu_milli, memory_mb, accelerators } = spec.demand.counted();
        self.demand.memory_mb -= memory_mb;
        self.demand.accelerators -= accelerators;
        let image = spec.image_name();
        if spec.filler {
            self.best_effort.entry(image.clone()).and_modify(|milli| *milli -= cpu_milli);
        } else {
            self.demand.cpu_milli -= cpu_milli;
            self.used_milli -= assumed_use(spec);
        }
        if spec.lasting {
            self.lasting_count -= 1;
            self.lasting.cpu_milli -= cpu_milli;
            self.lasting.memory_mb -= memory_mb;
            self.lasting.accelerators -= accelerators;
        }
        let step = key.step_key();
        if let Some(count) = self.steps.get_mut(&step) {
            *count -= 1;
            if *count == 0 {
                self.steps.remove(&step);
                self.latency_critical.remove(&step);
            }
        }
    }
}

/// Returns what the tasks on an executor, in any incarnation, have reserved: memory and accelerators
/// of all tasks, and processors of all but the best-effort tasks.
pub fn reserved_on(state: &FlowState, executor: &Arc<str>) -> TaskDemand {
    let mut reserved = TaskDemand::default();
    for worker in state.placed_incarnations_of(executor) {
        for (task, _) in state.placed_tasks(worker) {
            let job = state.job(task.job);
            let Some(spec) = job.and_then(|job| job.step_spec(&task)) else { continue };
            let TaskDemand { cpu_milli, memory_mb, accelerators } = spec.demand.counted();
            reserved.cpu_milli += if spec.filler { 0 } else { cpu_milli };
            reserved.memory_mb += memory_mb;
            reserved.accelerators += accelerators;
        }
    }
    reserved
}

pub(super) fn assumed_use(spec: &StepSpec) -> f64 {
    let share = if spec.lasting { LASTING_USE } else { 1.0 };
    spec.demand.counted().cpu_milli as f64 * share
}

/// The reservations of one executor, as of a change of its placements.
#[derive(Debug)]
struct KnownReservations {
    /// The number of the change; `None` while a pass has reserved more than the state holds.
    change: Option<u64>,
    reserved: WorkerReservations,
}

/// The reservations, by executor.
#[derive(Debug, Default)]
pub(super) struct ReservationTable {
    known: HashMap<Arc<str>, KnownReservations>,
}

impl ReservationTable {
    /// Brings the table in line with the placements in the state. Returns the positions of the
    /// workers whose reservations have changed.
    pub(super) fn refresh(&mut self, state: &FlowState, workers: &WorkerTable) -> BTreeSet<usize> {
        if self.known.len() > workers.len() {
            self.known.retain(|executor, _| workers.contains_key(executor));
        }
        let mut changed = BTreeSet::new();
        for (position, executor) in workers.keys().enumerate() {
            let change = state.placement_change_of(executor);
            let current = self.known.get(executor).is_some_and(|row| row.change == Some(change));
            if !current {
                let reserved = WorkerReservations::new(state, executor);
                let row = KnownReservations { change: Some(change), reserved };
                self.known.insert(executor.clone(), row);
                changed.insert(position);
            }
        }
        changed
    }

    pub(super) fn of(&self, executor: &str) -> Option<&WorkerReservations> {
        self.known.get(executor).map(|row| &row.reserved)
    }

    pub(super) fn reserve(&mut self, worker: &WorkerIncarnation, key: &TaskKey, spec: &StepSpec) {
        if let Some(row) = self.known.get_mut(&worker.executor) {
            row.change = None;
            row.reserved.add(key, spec);
        }
    }

    pub(super) fn release(&mut self, worker: &WorkerIncarnation, key: &TaskKey, spec: &StepSpec) {
        if let Some(row) = self.known.get_mut(&worker.executor) {
            row.change = None;
            row.reserved.remove(key, spec);
        }
    }

    /// Returns the share of a service's processors that is reserved. Best-effort tasks reserve none.
    pub(super) fn load_of(&self, service: &str, workers: &WorkerTable, now: Duration) -> f64 {
        let (mut taken, mut capacity) = (0.0, 0.0);
        for (executor, worker) in workers.iter().filter(|(_, worker)| worker.accepts(service, now))
        {
            let Some(reserved) = self.of(executor) else { continue };
            taken += reserved.demand.cpu_milli as f64;
            capacity += worker.report.capacity.cpu_milli as f64;
        }
        taken / f64::max(capacity, 1.0)
    }

    /// Returns the rack that suits the tasks of a step: the one that holds their data; for tasks
    /// that run faster on one rack, the one where a task of the step is placed, or else the one
    /// where most fit.
    pub(super) fn rack_for(
        &self,
        step: &StepRecord,
        spec: &StepSpec,
        service: &str,
        workers: &WorkerTable,
        now: Duration,
    ) -> Option<String> {
        if spec.preferred_rack.is_some() {
            return spec.preferred_rack.clone();
        }
        if !spec.same_rack {
            return None;
        }
        let placed = step.tasks.iter().find_map(|task| match &task.phase {
            TaskPhase::Placed(worker) => workers.get(&worker.executor)?.rack(),
            _ => None,
        });
        let most_available = || self.most_available_rack(spec, service, workers, now);
        placed.map(str::to_owned).or_else(most_available)
    }

    fn most_available_rack(
        &self,
        spec: &StepSpec,
        service: &str,
        workers: &WorkerTable,
        now: Duration,
    ) -> Option<String> {
        let mut fits: BTreeMap<&str, u64> = BTreeMap::new();
        let usable = |worker: &&WorkerView| worker.accepts(service, now) && !worker.is_suspect(now);
        for worker in workers.values().filter(usable) {
            let (Some(rack), Some(reserved)) =
                (worker.rack(), self.of(&worker.incarnation().executor))
            else {
                continue;
            };
            let count = fits.entry(rack).or_default();
            *count = count.saturating_add(fitting(worker, reserved, spec));
        }
        fits.into_iter().max_by_key(|(_, count)| *count).map(|(rack, _)| rack.to_owned())
    }
}

/// Returns how many tasks of a step fit on a worker. For best-effort tasks, processors do not
/// count. None fits on a worker that has shrunk below its reservations, in whatever resource: what
/// runs there already lacks capacity.
pub(super) fn fitting(worker: &WorkerView, reserved: &WorkerReservations, spec: &StepSpec) -> u64 {
    if !reserved.demand.fits_in(worker.report.capacity) {
        return 0;
    }
    let free = free_capacity(worker.report.capacity, reserved.demand);
    let share = |free: u64, asked: u64| free.checked_div(asked).unwrap_or(u64::MAX);
    let cpu = if spec.filler { u64::MAX } else { share(free.cpu_milli, spec.demand.cpu_milli) };
    cpu.min(share(free.memory_mb, spec.demand.memory_mb))
        .min(share(free.accelerators, spec.demand.accelerators))
}

/// Returns whether a task fits on a worker once another one there has ended.
pub(super) fn fits_after(
    worker: &WorkerView,
    reserved: &WorkerReservations,
    leaving: TaskDemand,
    joining: TaskDemand,
) -> bool {
    reserved.demand.beyond(leaving).plus(joining).fits_in(worker.report.capacity)
}

/// Returns the processors of a worker that are not reserved, in thousandths of a core.
pub(super) fn unreserved_milli(worker: &WorkerView, reserved: &WorkerReservations) -> u64 {
    free_capacity(worker.report.capacity, reserved.demand).cpu_milli
}

/// Returns the free part of a task's demand on a worker, by the resource that it lacks most: 1 if
/// the task just fits.
pub(super) fn fit_share(
    worker: &WorkerView,
    reserved: &WorkerReservations,
    spec: &StepSpec,
) -> f64 {
    demand_share(free_capacity(worker.report.capacity, reserved.demand), spec)
}

/// Returns whether a task fits on a worker once the tasks that do not last have ended.
pub(super) fn will_fit(
    worker: &WorkerView,
    reserved: &WorkerReservations,
    spec: &StepSpec,
) -> bool {
    demand_share(free_capacity(worker.report.capacity, reserved.lasting), spec) >= 1.0
}

fn demand_share(free: TaskDemand, spec: &StepSpec) -> f64 {
    let share = |free: u64, asked: u64| match asked {
        0 => f64::INFINITY,
        _ => free as f64 / asked as f64,
    };
    let cpu_milli = if spec.filler { 0 } else { spec.demand.cpu_milli };
    share(free.cpu_milli, cpu_milli)
        .min(share(free.memory_mb, spec.demand.memory_mb))
        .min(share(free.accelerators, spec.demand.accelerators))
}

fn free_capacity(capacity: TaskDemand, taken: TaskDemand) -> TaskDemand {
    TaskDemand {
        cpu_milli: capacity.cpu_milli.saturating_sub(taken.cpu_milli),
        memory_mb: capacity.memory_mb.saturating_sub(taken.memory_mb),
        accelerators: capacity.accelerators.saturating_sub(taken.accelerators),
    }
}
