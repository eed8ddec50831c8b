//! Scores the workers with free capacity by how well they suit the tasks of a step.

use {
    super::{
        affinity::AffinityTable,
        interference::{BestEffortShare, HeadroomForecast, ImageName},
        reservations::{fitting, unreserved_milli, WorkerReservations},
        worker::WorkerView,
        PassInputs,
    },
    crate::{
        event::WaitCause,
        job::{StepKey, StepSpec},
    },
    std::time::Duration,
};

/// The least idle share of the processors for which a best-effort task asks that lets it start.
/// Below it, the task would only slow the tasks that already run.
const MIN_IDLE_SHARE: f64 = 0.9;
/// Penalties in units of a worker's load: 0 for an empty worker, 1 for a full one.
const OTHER_RACK_PENALTY: f64 = 4.0;
const SUSPECT_PENALTY: f64 = 16.0;
pub(super) const FAILED_HERE_PENALTY: f64 = 8.0;
/// Applies to a worker without latency-critical tasks, which is left to tasks that cannot run
/// beside such tasks. A starving best-effort task has no such penalty.
const UNSHARED_PENALTY: f64 = 0.5;
/// Applies to a latency-critical task beside those of other images: each of them tolerates fewer
/// best-effort tasks.
const MIXED_PENALTY: f64 = 0.4;
/// Applies to a latency-critical task for each average worker that it closes to best-effort work.
/// Outweighs the load, so that placement goes where a relocation would.
const CLOSED_PENALTY: f64 = 4.0;
/// Applies to a starving best-effort task beside latency-critical ones that may not tolerate it.
const STARVING_PENALTY: f64 = 2.0;
/// The least headroom that one more best-effort task is assumed to take from a latency-critical
/// step: a hundredth of the headroom that services commonly have, below which estimates are
/// meaningless.
const MIN_TAKEN_HEADROOM: f64 = 0.02;
/// The headroom that placement leaves to every latency-critical task, so that it meets its latency
/// target while its load grows by a fifth.
pub(super) const PLANNED_HEADROOM: f64 = 1.2;

/// What the tasks of a step wait for, so as not to slow others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StartTerms {
    /// They wait for idle processors, and for headroom of latency-critical tasks.
    Regular,
    /// The job is past the starvation age and has nothing placed while the service has capacity:
    /// its tasks don't wait for headroom.
    Starving,
    /// For the first task or gang of a starving job that found no worker: it waits neither for idle
    /// processors nor for room that is claimed for others, and slows the best-effort tasks beside
    /// it.
    Stranded,
}

/// The placement requirements of a step's tasks.
#[derive(Clone, Copy)]
pub(super) struct StepRequest<'a> {
    pub(super) key: StepKey,
    pub(super) spec: &'a StepSpec,
    pub(super) service: &'a str,
    /// The rack on which the tasks run faster.
    pub(super) rack: Option<&'a str>,
    /// The forecast length of a run, for which latency-critical tasks beside it need headroom.
    pub(super) span: Duration,
    pub(super) terms: StartTerms,
}

impl StepRequest<'_> {
    fn is_starving(&self) -> bool {
        self.terms >= StartTerms::Starving
    }
}

/// Returns the score of a worker, lower for better ones; `None` if the worker may not run a task of
/// the step, or has too little free capacity. Unless the job starves, leaves out workers where a
/// best-effort task would take more headroom than latency-critical tasks can spare.
pub(super) fn score_of(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    inputs: &PassInputs<'_>,
) -> Option<f64> {
    let now = inputs.time.now;
    let strain = admit(request, worker, reserved, inputs).ok()?;
    let elsewhere = request.rack.is_some_and(|rack| worker.rack() != Some(rack));
    let mut score = if request.spec.filler {
        best_effort_score(request, worker, reserved, strain)
    } else {
        packing_score(request, worker, reserved, inputs.affinity.as_ref())
    };
    score += if elsewhere { OTHER_RACK_PENALTY } else { 0.0 };
    score += if worker.is_suspect(now) { SUSPECT_PENALTY } else { 0.0 };
    Some(score)
}

/// Returns how much a task of the step would strain the latency-critical tasks on a worker, or a
/// reason why the worker doesn't take it. What operators are told of a waiting task and what
/// placement decides are thus the same.
#[inline]
pub(super) fn admit(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    inputs: &PassInputs<'_>,
) -> Result<f64, WaitCause> {
    fit(request, worker, reserved, inputs.time.now)?;
    let strain = strain_of(request, worker, reserved, &inputs.forecast);
    if strain > 1.0 && !request.is_starving() {
        return Err(WaitCause::Headroom);
    }
    Ok(strain)
}

pub(super) fn may_run(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    now: Duration,
) -> bool {
    fit(request, worker, reserved, now).is_ok()
}

/// Returns a reason why a task of the step can't start on a worker, whatever it would slow there. The
/// check that excludes most workers comes first.
#[inline]
fn fit(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    now: Duration,
) -> Result<(), WaitCause> {
    if !has_processors(request, worker, reserved) {
        return Err(WaitCause::IdleProcessors);
    }
    hold(request, worker, reserved, now)?;
    if fitting(worker, reserved, request.spec) == 0 {
        return Err(WaitCause::FreeCapacity);
    }
    Ok(())
}

/// Returns whether a worker has the processors that a best-effort task needs to start: idle ones, or
/// for a stranded task such that are not reserved.
fn has_processors(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
) -> bool {
    let spec = request.spec;
    if !spec.filler {
        return true;
    }
    if request.terms == StartTerms::Stranded {
        return unreserved_milli(worker, reserved) >= spec.demand.cpu_milli;
    }
    idle_share(worker, reserved, spec) >= MIN_IDLE_SHARE
}

/// Returns whether a worker may run a task of the step as soon as it has the free capacity.
#[inline]
pub(super) fn may_hold(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    now: Duration,
) -> bool {
    hold(request, worker, reserved, now).is_ok()
}

/// Returns a reason why a worker doesn't run tasks of the step, whatever capacity is free.
#[inline]
pub(super) fn hold(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    now: Duration,
) -> Result<(), WaitCause> {
    let spec = request.spec;
    if !worker.accepts(request.service, now) {
        return Err(WaitCause::NoWorker);
    }
    let label = spec.required_label.as_ref();
    if label.is_some_and(|label| !worker.report.labels.contains(label)) {
        return Err(WaitCause::RequiredLabel);
    }
    if spec.per_worker_limit.is_some_and(|limit| reserved.of_step(&request.key) >= limit) {
        return Err(WaitCause::WorkerLimit);
    }
    Ok(())
}

/// Returns the largest part of any latency-critical step's spare headroom that one more best-effort
/// task would take: 0 on a worker without such steps, above 1 where a step would be left with less
/// than the planned headroom. Always 0 for other tasks.
fn strain_of(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    forecast: &HeadroomForecast<'_>,
) -> f64 {
    if !request.spec.filler || reserved.latency_critical.is_empty() {
        return 0.0;
    }
    let present = reserved.best_effort_shares(capacity_of(worker));
    let share = request.spec.demand.cpu_milli as f64 / capacity_of(worker);
    let added = BestEffortShare { image: request.spec.image_name(), share };
    let strain = |(step, image): (&StepKey, &ImageName)| {
        let spare =
            forecast.least_headroom(request.span, *step, image, &present) - PLANNED_HEADROOM;
        let taken = forecast.taken(image, &added).max(MIN_TAKEN_HEADROOM);
        if spare > 0.0 {
            taken / spare
        } else {
            f64::INFINITY
        }
    };
    reserved.latency_critical.iter().map(strain).fold(0.0, f64::max)
}

/// Returns the idle processors of a worker as a share of those for which a best-effort task asks.
/// May be above 1.
fn idle_share(worker: &WorkerView, reserved: &WorkerReservations, spec: &StepSpec) -> f64 {
    let idle = worker.report.capacity.cpu_milli as f64 - reserved.busy_milli();
    idle / (spec.demand.cpu_milli as f64).max(1.0)
}

/// Prefers workers where a best-effort task strains latency-critical ones least and most processors
/// are idle. Prefers workers whose latency-critical tasks tolerate it to those without such tasks,
/// where any best-effort task could run. A starving task goes where it harms no other task, if
/// there is such a worker.
fn best_effort_score(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    strain: f64,
) -> f64 {
    let load = reserved.busy_milli() / capacity_of(worker);
    match (reserved.latency_critical.is_empty(), request.is_starving()) {
        (true, false) => load + UNSHARED_PENALTY,
        (false, true) => load + STARVING_PENALTY + strain.min(1.0),
        _ => load + strain.min(1.0),
    }
}

/// Packs tasks other than best-effort ones onto workers that already have latency-critical tasks,
/// so that the other workers are left to best-effort tasks. A latency-critical task goes first to
/// workers that it closes to the least best-effort work, or as long as its image is unknown to those
/// where all such tasks have its image.
fn packing_score(
    request: &StepRequest<'_>,
    worker: &WorkerView,
    reserved: &WorkerReservations,
    affinity: Option<&AffinityTable>,
) -> f64 {
    let serves = request.spec.latency_target_ms.is_some();
    let counted = reserved.demand.cpu_milli as f64 / capacity_of(worker);
    let best_effort_load = reserved.best_effort_milli() / capacity_of(worker);
    let known = affinity.filter(|_| serves).zip(request.spec.image.as_ref());
    let closed = known.and_then(|(affinity, image)| affinity.cost_of_adding(image, reserved));
    if let Some(closed) = closed {
        return 1.0 - counted + best_effort_load + CLOSED_PENALTY * closed;
    }
    let unshared = if reserved.latency_critical.is_empty() { UNSHARED_PENALTY } else { 0.0 };
    let others = reserved
        .latency_critical
        .values()
        .filter(|image| request.spec.image.as_ref() != Some(*image));
    let mixed = if serves && others.count() > 0 { MIXED_PENALTY } else { 0.0 };
    1.0 - counted + unshared + mixed + best_effort_load
}

fn capacity_of(worker: &WorkerView) -> f64 {
    (worker.report.capacity.cpu_milli as f64).max(1.0)
}
