//! What the tasks on a worker need, and where else one of them could run at once.

use {
    super::{
        reservations::WorkerReservations,
        score::{may_run, StartTerms, StepRequest},
        worker::WorkerTable,
    },
    crate::{
        job::{StepSpec, TaskDemand, TaskKey},
        state::FlowState,
    },
    std::{sync::Arc, time::Duration},
};

/// Returns whether a worker other than `executor` could start a task now.
pub fn fits_elsewhere(
    (task, spec, service): (&TaskKey, &StepSpec, &str),
    executor: &Arc<str>,
    (state, workers): (&FlowState, &WorkerTable),
    now: Duration,
) -> bool {
    let key = task.step_key();
    // Whether a task may run does not depend on its length.
    let span = Duration::from_millis(spec.estimate_ms);
    let request = StepRequest { key, spec, service, rack: None, span, terms: StartTerms::Regular };
    let others = workers.iter().filter(|(other, view)| *other != executor && !view.is_suspect(now));
    let mut reserved = others.map(|(other, view)| (view, WorkerReservations::new(state, other)));
    reserved.any(|(view, reserved)| may_run(&request, view, &reserved, now))
}

/// Returns what a task is assumed to use rather than reserve: processors of all but best-effort
/// tasks, which use what others leave, and all of its memory and accelerators.
pub fn assumed_demand(spec: &StepSpec) -> TaskDemand {
    let cpu_milli = if spec.filler { 0 } else { super::reservations::assumed_use(spec) as u64 };
    TaskDemand { cpu_milli, ..spec.demand }
}
