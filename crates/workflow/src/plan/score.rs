//! Which of the workers with room suits a task best.

use {
    super::{
        room::{fitting, Reserved, RoomTable},
        worker::{WorkerTable, WorkerView},
    },
    crate::job::{StepSpec, TaskKey, WorkerLife},
    std::time::Duration,
};

/// The least share of its processors that a filling task must find idle to be started: below it,
/// it would only slow those that run.
const FILLER_SHARE: f64 = 0.9;
/// Penalties in units of a worker's load: an empty worker scores 0, a full one 1.
const OTHER_RACK_PENALTY: f64 = 4.0;
const SUSPECT_PENALTY: f64 = 16.0;
const FAILED_HERE_PENALTY: f64 = 8.0;
/// For a filling task beside one that serves: its neighbour would have it paced down.
const NEIGHBOUR_PENALTY: f64 = 2.0;
/// For a counted task on a worker without serving ones: that room is worth more to filling tasks.
const UNSHARED_PENALTY: f64 = 1.0;

/// What the tasks of a step ask for.
pub(super) struct Wish<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) service: &'a str,
    /// The rack on which they run faster.
    pub(super) rack: Option<&'a str>,
}

/// The worker with the lowest score among those that may run the task and have room.
pub(super) fn best_worker(
    key: &TaskKey,
    wish: &Wish<'_>,
    workers: &WorkerTable,
    room: &RoomTable,
    now: Duration,
) -> Option<WorkerLife> {
    let mut best: Option<(f64, &WorkerView)> = None;
    let apart = wish.spec.filler && room.has_unshared(wish.service, workers);
    for (executor, worker) in workers {
        let Some(reserved) = room.of(executor) else { continue };
        let shared = apart && reserved.serving > 0;
        if shared || !may_run(key, wish, worker, reserved) {
            continue;
        }
        let score = score_of(key, wish, worker, reserved, now);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, worker));
        }
    }
    best.map(|(_, worker)| worker.life().clone())
}

fn may_run(key: &TaskKey, wish: &Wish<'_>, worker: &WorkerView, reserved: &Reserved) -> bool {
    let spec = wish.spec;
    let label = spec.required_label.as_ref();
    let labelled = label.is_none_or(|label| worker.report.labels.contains(label));
    let below = spec.per_worker_limit.is_none_or(|limit| reserved.of_step(key) < limit);
    let idle = !spec.filler || idle_share(worker, reserved, spec) >= FILLER_SHARE;
    worker.accepts(wish.service) && labelled && below && idle && fitting(worker, reserved, spec) > 0
}

/// The share of a filling task's processors that a worker leaves idle.
fn idle_share(worker: &WorkerView, reserved: &Reserved, spec: &StepSpec) -> f64 {
    let taken = reserved.used_milli + reserved.filler_milli as f64;
    let idle = worker.report.capacity.cpu_milli as f64 - taken;
    idle / (spec.demand.cpu_milli as f64).max(1.0)
}

fn score_of(
    key: &TaskKey,
    wish: &Wish<'_>,
    worker: &WorkerView,
    reserved: &Reserved,
    now: Duration,
) -> f64 {
    let elsewhere = wish.rack.is_some_and(|rack| worker.rack() != Some(rack));
    let mut score = if wish.spec.filler {
        spread_score(worker, reserved)
    } else {
        packing_score(worker, reserved)
    };
    score += if elsewhere { OTHER_RACK_PENALTY } else { 0.0 };
    score += if worker.is_suspect(now) { SUSPECT_PENALTY } else { 0.0 };
    score += if worker.has_failed(key) { FAILED_HERE_PENALTY } else { 0.0 };
    score
}

/// Filling tasks go where most processors are idle, away from serving ones.
fn spread_score(worker: &WorkerView, reserved: &Reserved) -> f64 {
    let neighbour = if reserved.serving > 0 { NEIGHBOUR_PENALTY } else { 0.0 };
    let taken = reserved.used_milli + reserved.filler_milli as f64;
    taken / capacity_of(worker) + neighbour
}

/// Counted tasks fill up the workers that have serving tasks already, so that the others are left
/// to filling tasks.
fn packing_score(worker: &WorkerView, reserved: &Reserved) -> f64 {
    let unshared = if reserved.serving == 0 { UNSHARED_PENALTY } else { 0.0 };
    let counted = reserved.demand.cpu_milli as f64 / capacity_of(worker);
    let filling = reserved.filler_milli as f64 / capacity_of(worker);
    1.0 - counted + unshared + filling
}

fn capacity_of(worker: &WorkerView) -> f64 {
    (worker.report.capacity.cpu_milli as f64).max(1.0)
}
