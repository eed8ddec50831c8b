//! The attempts that the agent knows of and where each stands.

use {
    crate::platform::{AttemptId, PlatformState},
    base::{AttemptNumber, CheckpointId, ResourceVector, TaskId},
    indexmap::IndexMap,
    proto::messages::{AttemptReport, AttemptState, StartRefusal, TaskAssignment, ThrottleLevel},
    std::time::Duration,
};

/// The number of tasks whose latest ended attempt is remembered.
const FORGOTTEN_LIMIT: usize = 4096;

/// What is wanted of an attempt. Only moves down this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptGoal {
    /// An earlier life of the agent started it, and control has not said yet what is to become of
    /// it.
    Undecided,
    /// It is to run.
    Run,
    /// It is to be checkpointed, then stopped.
    Evict,
    /// It is to be stopped.
    Stop,
}

/// Where an attempt stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// It has not been started.
    Waiting,
    /// The platform was asked to start it.
    Starting,
    /// The platform runs it.
    Running,
    /// The platform was asked for a checkpoint.
    Checkpointing,
    /// The platform was asked to stop it, and it may still run.
    Stopping {
        /// The checkpoint that was taken before.
        checkpoint: Option<CheckpointId>,
    },
    /// It runs no more.
    Ended(AttemptState),
}

/// One attempt.
#[derive(Debug)]
pub(super) struct LocalAttempt {
    /// What was assigned.
    pub(super) assignment: TaskAssignment,
    /// What is wanted.
    pub(super) goal: AttemptGoal,
    /// Where it stands.
    pub(super) phase: AttemptPhase,
    /// The bound that control wants.
    pub(super) throttle: ThrottleLevel,
    /// The bound that the platform has.
    pub(super) applied: ThrottleLevel,
    /// When the phase was entered.
    pub(super) since: Duration,
    /// True while a call to the platform is under way. There is at most one an attempt, so that
    /// the platform sees them in order.
    pub(super) calling: bool,
    /// When a failed call may be repeated.
    pub(super) retry_at: Duration,
    /// True when the leader has been told that it runs.
    pub(super) told_running: bool,
    /// What it was last measured to use.
    pub(super) used: ResourceVector,
}

impl LocalAttempt {
    /// An attempt that has not been started.
    pub(super) fn waiting(assignment: TaskAssignment, throttle: ThrottleLevel) -> Self {
        Self {
            assignment,
            goal: AttemptGoal::Run,
            phase: AttemptPhase::Waiting,
            throttle,
            applied: throttle,
            since: Duration::ZERO,
            calling: false,
            retry_at: Duration::ZERO,
            told_running: false,
            used: ResourceVector::ZERO,
        }
    }

    /// An attempt that the platform runs and this life did not start.
    pub(super) fn adopted(
        now: Duration,
        assignment: TaskAssignment,
        throttle: ThrottleLevel,
    ) -> Self {
        let mut adopted = Self::waiting(assignment, throttle);
        adopted.goal = AttemptGoal::Undecided;
        adopted.enter(now, AttemptPhase::Running);
        adopted
    }

    /// The attempt's name.
    pub(super) fn id(&self) -> AttemptId {
        attempt_id(&self.assignment)
    }

    /// Moves to another phase.
    pub(super) fn enter(&mut self, now: Duration, phase: AttemptPhase) {
        self.phase = phase;
        self.since = now;
        self.told_running = false;
    }

    /// True when the attempt may hold resources of the worker.
    pub(super) fn may_run(&self) -> bool {
        !matches!(self.phase, AttemptPhase::Waiting | AttemptPhase::Ended(_))
    }

    /// True when it runs no more, or never did.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(_))
    }

    /// What it holds of the worker: what is reserved, or what it really uses when that is more.
    pub(super) fn holds(&self) -> ResourceVector {
        self.assignment.reserved.max_each(&self.used)
    }

    /// What the leader is told. `None` when there is nothing to tell.
    pub(super) fn report(&self) -> Option<AttemptReport> {
        let state = match &self.phase {
            AttemptPhase::Waiting | AttemptPhase::Starting => return None,
            AttemptPhase::Running | AttemptPhase::Checkpointing | AttemptPhase::Stopping { .. } => {
                AttemptState::Running
            }
            AttemptPhase::Ended(state) => state.clone(),
        };
        let AttemptId { task, attempt } = self.id();
        Some(AttemptReport { task, attempt, state })
    }
}

/// The name of an assigned attempt.
pub(super) fn attempt_id(assignment: &TaskAssignment) -> AttemptId {
    AttemptId { task: assignment.task.clone(), attempt: assignment.attempt }
}

/// All attempts, in the order in which the agent learned of them.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    /// The attempts.
    pub(super) attempts: IndexMap<AttemptId, LocalAttempt>,
    /// The latest attempt of each task whose end the leader has acknowledged, oldest first.
    forgotten: IndexMap<TaskId, AttemptNumber>,
}

impl AttemptTable {
    /// Forgets an attempt whose end the leader has acknowledged, but for its number.
    pub(super) fn forget(&mut self, id: &AttemptId) {
        self.attempts.shift_remove(id);
        let latest = self.forgotten.shift_remove(&id.task).unwrap_or_default();
        if self.forgotten.len() >= FORGOTTEN_LIMIT {
            self.forgotten.shift_remove_index(0);
        }
        self.forgotten.insert(id.task.clone(), latest.max(id.attempt));
    }

    /// True when the attempt, or a later one of its task, has ended here before. Commands for it
    /// are leftovers: it must not be started a second time.
    pub(super) fn was_forgotten(&self, id: &AttemptId) -> bool {
        self.forgotten.get(&id.task).is_some_and(|latest| id.attempt <= *latest)
    }

    /// True when another attempt of the task may run.
    pub(super) fn other_may_run(&self, id: &AttemptId) -> bool {
        self.of_task(&id.task).any(|attempt| attempt.id() != *id && attempt.may_run())
    }

    /// True when a later attempt of the task is known.
    pub(super) fn has_later(&self, id: &AttemptId) -> bool {
        self.of_task(&id.task).any(|attempt| attempt.assignment.attempt > id.attempt)
    }

    fn of_task<'a>(&'a self, task: &'a TaskId) -> impl Iterator<Item = &'a LocalAttempt> + 'a {
        self.attempts.values().filter(move |attempt| attempt.assignment.task == *task)
    }

    /// What all attempts that may run hold of the worker.
    pub(super) fn held(&self) -> ResourceVector {
        let running = self.attempts.values().filter(|attempt| attempt.may_run());
        running.map(LocalAttempt::holds).sum()
    }
}

/// How an attempt that ran and ended on the platform is reported.
pub(super) fn ended_state(
    state: PlatformState,
    checkpoint: Option<CheckpointId>,
) -> Option<AttemptState> {
    match state {
        PlatformState::Running => None,
        PlatformState::Finished => Some(AttemptState::Finished),
        PlatformState::Failed { detail } => Some(AttemptState::Failed { detail }),
        PlatformState::Stopped => Some(AttemptState::Stopped { checkpoint }),
        PlatformState::NeverStarted => {
            let detail = "never started".to_owned();
            Some(AttemptState::Refused(StartRefusal::Platform { detail }))
        }
    }
}
