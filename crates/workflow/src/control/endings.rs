//! Who has stopped which run, and how the last run of each waiting task has ended.
//!
//! The log only holds that a run has ended. What a leader has ordered and heard is kept here for
//! operators, until the task runs again.

use {
    crate::{
        event::{EndFact, FactSource, FormerRun, LastRunEnd, StopReason},
        job::{RunNumber, TaskKey, WorkerIncarnation},
        state::{EndKind, FlowState, TaskPhase},
    },
    std::{collections::HashMap, time::Duration},
};

/// The first order to stop a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopOrder {
    run: RunNumber,
    pub(super) reason: StopReason,
    pub(super) at: Duration,
}

/// The fact by which a run counts as ended, and where it comes from.
#[derive(Debug, Clone)]
pub(super) struct EndCause {
    pub(super) fact: EndFact,
    pub(super) source: FactSource,
}

impl EndCause {
    /// Returns the cause of an end that need not be the `first` of its run: for the member of a gang,
    /// the end of another one has come before.
    pub(super) fn among_gang(self, first: bool, state: &FlowState, task: &TaskKey) -> Self {
        let spec = state.job(task.job).and_then(|job| job.step_spec(task));
        match self.fact {
            EndFact::Listed { number } if !first && spec.is_some_and(|spec| spec.gang) => {
                Self { fact: EndFact::GangDone { number }, ..self }
            }
            _ => self,
        }
    }
}

/// The end of a run.
#[derive(Debug, Clone)]
pub(super) struct RunEnding {
    run: RunNumber,
    worker: WorkerIncarnation,
    end: EndKind,
    fact: EndFact,
    pub(super) reason: Option<StopReason>,
    pub(super) at: Duration,
}

/// The stops of placed runs, and the ends of the last runs of waiting tasks.
#[derive(Debug, Default)]
pub(super) struct EndingTable {
    stops: HashMap<TaskKey, StopOrder>,
    ends: HashMap<TaskKey, RunEnding>,
}

impl EndingTable {
    /// Notes that a run is ordered to stop. The first reason stays, since repeated orders only say
    /// that the run is still listed.
    pub(super) fn note_stop(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        reason: StopReason,
        now: Duration,
    ) {
        let stop = self.stops.entry(task).or_insert(StopOrder { run, reason, at: now });
        if stop.run != run {
            *stop = StopOrder { run, reason, at: now };
        }
    }

    /// Notes the end of a run that the state holds as placed. Agents repeat the ends that they have
    /// no acknowledgement for.
    pub(super) fn note_end(
        &mut self,
        state: &FlowState,
        worker: &WorkerIncarnation,
        (task, run, end): (TaskKey, RunNumber, EndKind),
        (cause, now): (EndCause, Duration),
    ) {
        let current = state.task(&task).is_some_and(|record| record.is_placed(run, worker));
        if !current || self.ends.get(&task).is_some_and(|ending| ending.run == run) {
            return;
        }
        let reason = self.stop_of(&task, run).map(|stop| stop.reason);
        self.stops.remove(&task);
        let (worker, fact) = (worker.clone(), cause.fact);
        self.ends.insert(task, RunEnding { run, worker, end, fact, reason, at: now });
    }

    /// Returns the first order of this leader to stop a run.
    pub(super) fn stop_of(&self, task: &TaskKey, run: RunNumber) -> Option<StopOrder> {
        self.stops.get(task).filter(|stop| stop.run == run).copied()
    }

    /// Returns the last end of a run of a task that this leader has recorded.
    pub(super) fn end_of(&self, task: &TaskKey) -> Option<&RunEnding> {
        self.ends.get(task)
    }

    /// Returns the last run of a task whose end this leader has recorded.
    pub(super) fn former_run(&self, task: &TaskKey, now: Duration) -> Option<FormerRun> {
        let RunEnding { run, worker, end, fact, at, .. } = self.ends.get(task)?.clone();
        let age_ms = now.saturating_sub(at).as_millis() as u64;
        Some(FormerRun { run, worker, end, fact, age_ms })
    }

    /// Forgets the stops of runs that are no longer placed, and the ends of tasks that run again,
    /// are done, or belong to jobs that have ended.
    pub(super) fn forget_outdated(&mut self, state: &FlowState) {
        let placed = |task: &TaskKey, run: RunNumber| {
            let record = state.task(task).filter(|record| record.run == run);
            record.is_some_and(|record| matches!(record.phase, TaskPhase::Placed(_)))
        };
        self.stops.retain(|task, stop| placed(task, stop.run));
        self.ends.retain(|task, ending| {
            let open = state.job(task.job).is_some_and(|job| job.outcome.is_none());
            let waits = state.task(task).is_some_and(|record| record.phase == TaskPhase::Waiting);
            // The end of a placed run may only be pending.
            open && (waits || placed(task, ending.run))
        });
    }
}

/// Returns how the last run of a task has ended, as far as a leader knows.
pub(super) fn last_end(run: RunNumber, ending: Option<&RunEnding>) -> LastRunEnd {
    match ending {
        Some(ending) => LastRunEnd::Recorded(ending.end),
        None if run == RunNumber(0) => LastRunEnd::NeverPlaced,
        None => LastRunEnd::BeforeLeadership,
    }
}
