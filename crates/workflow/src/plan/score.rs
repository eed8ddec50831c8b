//! Which of the workers with room suits a task best.

use {
    super::{
        interference::{FillerShare, ImageName, InterferenceTable},
        room::{fitting, Reserved},
        worker::WorkerView,
        PlanPass,
    },
    crate::job::{StepKey, StepSpec, TaskKey, WorkerLife},
    std::time::Duration,
};

/// The least share of its processors that a filling task must find idle to be started: below it,
/// it would only slow those that run.
const FILLER_SHARE: f64 = 0.9;
/// Penalties in units of a worker's load: an empty worker scores 0, a full one 1.
const OTHER_RACK_PENALTY: f64 = 4.0;
const SUSPECT_PENALTY: f64 = 16.0;
const FAILED_HERE_PENALTY: f64 = 8.0;
/// For a task that could as well run on a worker with serving tasks.
const UNSHARED_PENALTY: f64 = 0.5;
/// For a serving task beside those of other images: each bears fewer filling tasks.
const MIXED_PENALTY: f64 = 0.4;
/// For a filling task beside serving ones that may not bear it.
const STARVING_PENALTY: f64 = 2.0;
/// What one more filling task is taken to cost a serving step at least: a hundredth of the
/// headroom that services commonly have, below which estimates tell nothing.
const LEAST_TAKEN: f64 = 0.02;
/// The headroom that every serving task must keep by plan: a target is held beside load that grows
/// by a fifth.
const PLANNED_HEADROOM: f64 = 1.2;

/// What the tasks of a step ask for.
pub(super) struct Wish<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) service: &'a str,
    /// The rack on which they run faster.
    pub(super) rack: Option<&'a str>,
    /// Whether the job has waited too long with nothing running.
    pub(super) starving: bool,
}

/// The worker with the lowest score among those that may run the task and have room.
pub(super) fn best_worker(
    key: &TaskKey,
    wish: &Wish<'_>,
    pass: &PlanPass<'_>,
) -> Option<WorkerLife> {
    let mut best: Option<(f64, &WorkerView)> = None;
    for (executor, worker) in pass.workers {
        let Some(reserved) = pass.room.of(executor) else { continue };
        if !may_run(key, wish, worker, reserved, pass.time.now) {
            continue;
        }
        let strain = strain_of(wish, worker, reserved, pass.learned);
        if strain > 1.0 && !wish.starving {
            continue;
        }
        let score = score_of(key, wish, worker, reserved, strain, pass.time.now);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, worker));
        }
    }
    best.map(|(_, worker)| worker.life().clone())
}

fn may_run(
    key: &TaskKey,
    wish: &Wish<'_>,
    worker: &WorkerView,
    reserved: &Reserved,
    now: Duration,
) -> bool {
    let spec = wish.spec;
    let label = spec.required_label.as_ref();
    let labelled = label.is_none_or(|label| worker.report.labels.contains(label));
    let below = spec.per_worker_limit.is_none_or(|limit| reserved.of_step(key) < limit);
    let idle = !spec.filler || idle_share(worker, reserved, spec) >= FILLER_SHARE;
    let able = worker.accepts(wish.service, now) && labelled && below && idle;
    able && fitting(worker, reserved, spec) > 0
}

/// The largest part of any serving step's spare headroom that one more filling task would take: 0
/// where it takes nothing, above 1 where a step would be left with less than is planned.
fn strain_of(
    wish: &Wish<'_>,
    worker: &WorkerView,
    reserved: &Reserved,
    learned: &InterferenceTable,
) -> f64 {
    if !wish.spec.filler {
        return 0.0;
    }
    let beside = reserved.filler_shares(capacity_of(worker));
    let share = wish.spec.demand.cpu_milli as f64 / capacity_of(worker);
    let added = FillerShare { image: wish.spec.image_name(), share };
    let strain = |(step, image): (&StepKey, &ImageName)| {
        let spare = learned.forecast(*step, image, &beside) - PLANNED_HEADROOM;
        let taken = learned.taken(image, &added).max(LEAST_TAKEN);
        if spare > 0.0 {
            taken / spare
        } else {
            f64::INFINITY
        }
    };
    reserved.serving.iter().map(strain).fold(0.0, f64::max)
}

/// The share of a filling task's processors that a worker leaves idle.
fn idle_share(worker: &WorkerView, reserved: &Reserved, spec: &StepSpec) -> f64 {
    let idle = worker.report.capacity.cpu_milli as f64 - reserved.busy_milli();
    idle / (spec.demand.cpu_milli as f64).max(1.0)
}

fn score_of(
    key: &TaskKey,
    wish: &Wish<'_>,
    worker: &WorkerView,
    reserved: &Reserved,
    strain: f64,
    now: Duration,
) -> f64 {
    let elsewhere = wish.rack.is_some_and(|rack| worker.rack() != Some(rack));
    let mut score = if wish.spec.filler {
        spread_score(wish, worker, reserved, strain)
    } else {
        packing_score(wish, worker, reserved)
    };
    score += if elsewhere { OTHER_RACK_PENALTY } else { 0.0 };
    score += if worker.is_suspect(now) { SUSPECT_PENALTY } else { 0.0 };
    score += if worker.has_failed(key) { FAILED_HERE_PENALTY } else { 0.0 };
    score
}

/// Filling tasks go where they strain serving ones least and most processors are idle, and rather
/// beside serving tasks that bear them than where any filling task could run. One that starves goes
/// where it harms nobody, if it can.
fn spread_score(wish: &Wish<'_>, worker: &WorkerView, reserved: &Reserved, strain: f64) -> f64 {
    let load = reserved.busy_milli() / capacity_of(worker);
    match (reserved.serving.is_empty(), wish.starving) {
        (true, false) => load + UNSHARED_PENALTY,
        (false, true) => load + STARVING_PENALTY + strain.min(1.0),
        _ => load + strain.min(1.0),
    }
}

/// Counted tasks fill up the workers that have serving tasks already, most of all those of the
/// same image, so that the others are left to filling tasks.
fn packing_score(wish: &Wish<'_>, worker: &WorkerView, reserved: &Reserved) -> f64 {
    let unshared = if reserved.serving.is_empty() { UNSHARED_PENALTY } else { 0.0 };
    let serves = wish.spec.latency_target_ms.is_some();
    let others = reserved.serving.values().filter(|image| wish.spec.image.as_ref() != Some(*image));
    let mixed = if serves && others.count() > 0 { MIXED_PENALTY } else { 0.0 };
    let counted = reserved.demand.cpu_milli as f64 / capacity_of(worker);
    let filling = reserved.filler_milli() / capacity_of(worker);
    1.0 - counted + unshared + mixed + filling
}

fn capacity_of(worker: &WorkerView) -> f64 {
    (worker.report.capacity.cpu_milli as f64).max(1.0)
}
