//! Why a task is not placed, for operators.
//!
//! The cause comes from the functions by which a pass decides, and from what the last pass kept for
//! others. It is computed for few tasks at a slow interval, because it looks at every worker.

use {
    super::{
        claims::BackfillTerms,
        durations::DurationTable,
        pass::{needs_trial, starves, PassInputs},
        score::{admit, hold, StartTerms, StepRequest},
        steps::{open_steps, OpenStep},
        PlacementPlanner, PlanInputs, PlanTime,
    },
    crate::{
        event::WaitCause,
        job::{JobKey, RunNumber, TaskKey},
        state::FlowState,
    },
    std::collections::BTreeMap,
};

/// A task that could run by what its job depends on, and waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTask {
    /// The task.
    pub task: TaskKey,
    /// The task's last run; 0 for none.
    pub run: RunNumber,
}

/// Returns one waiting task of each open step that has lost a run, and of each job of which nothing
/// is placed. Any other step with waiting tasks makes progress by those that are placed.
pub fn waiting_tasks(
    state: &FlowState,
    durations: &DurationTable,
    time: PlanTime,
) -> Vec<WaitingTask> {
    let mut idle_job: Option<JobKey> = None;
    let mut found = Vec::new();
    for step in open_steps(state, durations, time) {
        let records = &step.tasks().tasks;
        let lost = step.waiting().find(|index| records[*index].run > RunNumber(0));
        let idle = step.record.placed == 0 && idle_job != Some(step.job);
        let first = step.waiting().next().filter(|_| idle);
        let Some(index) = lost.or(first) else { continue };
        if step.record.placed == 0 {
            idle_job = Some(step.job);
        }
        found.push(WaitingTask { task: step.key(index), run: records[index].run });
    }
    found
}

impl PlacementPlanner {
    /// Returns why the last pass has not placed the given tasks. Leaves out those that no longer
    /// wait in an open step. Must follow a full pass on the same inputs: other passes keep less for
    /// others.
    pub fn explain(&self, inputs: PlanInputs<'_>, tasks: &[TaskKey]) -> Vec<(TaskKey, WaitCause)> {
        let steps = open_steps(inputs.state, inputs.durations, inputs.time);
        let steps: BTreeMap<_, _> = steps.iter().map(|step| (step.step_key(), step)).collect();
        let inputs = PassInputs::new(inputs, None);
        let causes = tasks.iter().filter_map(|task| {
            let step = steps.get(&task.step_key())?;
            let waits = step.waiting().any(|index| index == usize::from(task.index));
            waits.then(|| (*task, self.cause_of(step, task, &inputs)))
        });
        causes.collect()
    }

    fn cause_of(&self, step: &OpenStep<'_>, task: &TaskKey, inputs: &PassInputs<'_>) -> WaitCause {
        let PassInputs { suspects, durations, time, .. } = inputs;
        let spec = step.spec();
        if spec.gang && !step.waits_as_whole() {
            return WaitCause::GangMemberPlaced;
        }
        if self.moves.target_of(task).is_some() {
            return WaitCause::MoveTarget;
        }
        if needs_trial(suspects, step, task) {
            let held = suspects.is_held(step.job, time.now);
            return if held { WaitCause::HeldAfterCrash } else { WaitCause::Trial };
        }
        let (key, service) = (step.step_key(), step.service());
        let span = durations.expected(key, &step.record.queue, spec).length;
        let request =
            StepRequest { key, spec, service, rack: None, span, terms: StartTerms::Regular };
        let load = || self.reservations.load_of(service, inputs.workers, time.now);
        let terms: &[StartTerms] = if starves(step, inputs.state, load) {
            &[StartTerms::Starving, StartTerms::Stranded]
        } else {
            &[StartTerms::Regular]
        };
        let causes = terms.iter().map(|terms| {
            let request = StepRequest { terms: *terms, ..request };
            self.cause_on_workers(&request, inputs)
        });
        causes.max().unwrap_or(WaitCause::NoWorker)
    }

    /// Returns why the worker that is nearest to taking a task of a step doesn't take it.
    fn cause_on_workers(&self, request: &StepRequest<'_>, inputs: &PassInputs<'_>) -> WaitCause {
        let backfill = BackfillTerms::new(request, inputs, &self.claims);
        let workers = inputs.workers.iter().enumerate();
        let causes = workers.filter_map(|(position, (executor, worker))| {
            let reserved = self.reservations.of(executor)?;
            let held = hold(request, worker, reserved, inputs.time.now);
            Some(match held.and_then(|()| admit(request, worker, reserved, inputs)) {
                Err(cause) => cause,
                Ok(_) if !self.claims.is_open(position, &backfill) => WaitCause::HeldForOthers,
                Ok(_) if request.spec.gang => WaitCause::GangCapacity,
                Ok(_) => WaitCause::NotOffered,
            })
        });
        causes.max().unwrap_or(WaitCause::NoWorker)
    }
}
