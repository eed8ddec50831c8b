//! The attempts that the agent knows of, with the goal and the phase of each.

use {
    crate::platform::{AttemptId, PlatformState},
    base::{AttemptNumber, CheckpointId, ResourceVector, TaskId},
    indexmap::IndexMap,
    proto::messages::{AttemptReport, AttemptState, StartRefusal, TaskAssignment, ThrottleLevel},
    std::time::Duration,
};

/// The number of tasks for which the agent remembers the latest acknowledged attempt.
const ACKNOWLEDGED_LIMIT: usize = 4096;

/// The desired outcome of an attempt. A goal only ever moves down this list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptGoal {
    /// An earlier incarnation of the agent started the attempt, and control has not yet sent a
    /// command for it.
    Undecided,
    /// Run the attempt.
    Run,
    /// Checkpoint the attempt, then stop it.
    Evict,
    /// Stop the attempt.
    Stop,
}

/// The phase of an attempt, as far as the agent knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// The agent has not asked the platform to start the attempt.
    Waiting,
    /// The agent has asked the platform to start the attempt.
    Starting,
    /// The platform runs the attempt.
    Running,
    /// The agent has asked the platform for a checkpoint.
    Checkpointing,
    /// The agent has asked the platform to stop the attempt, which may still run.
    Stopping {
        /// The checkpoint that the platform took before the stop.
        checkpoint: Option<CheckpointId>,
    },
    /// The attempt has ended.
    Ended(AttemptState),
}

/// An attempt on this worker.
#[derive(Debug)]
pub(super) struct LocalAttempt {
    /// The assignment that control sent.
    pub(super) assignment: TaskAssignment,
    /// The desired outcome.
    pub(super) goal: AttemptGoal,
    /// The present phase.
    pub(super) phase: AttemptPhase,
    /// The throttle level that control wants.
    pub(super) throttle: ThrottleLevel,
    /// The throttle level that the platform applies.
    pub(super) applied: ThrottleLevel,
    /// When the attempt entered the phase.
    pub(super) since: Duration,
    /// True while a call to the platform is in flight. At most one is in flight for each attempt,
    /// so that the platform receives them in order.
    pub(super) call_in_flight: bool,
    /// When the agent may repeat a failed call.
    pub(super) retry_at: Duration,
    /// True when the leader has received the report that the attempt runs.
    pub(super) running_acknowledged: bool,
    /// The usage in the newest measurement.
    pub(super) used: ResourceVector,
}

impl LocalAttempt {
    /// Creates an attempt that has not been started.
    pub(super) fn waiting(assignment: TaskAssignment, throttle: ThrottleLevel) -> Self {
        Self {
            assignment,
            goal: AttemptGoal::Run,
            phase: AttemptPhase::Waiting,
            throttle,
            applied: throttle,
            since: Duration::ZERO,
            call_in_flight: false,
            retry_at: Duration::ZERO,
            running_acknowledged: false,
            used: ResourceVector::ZERO,
        }
    }

    /// Creates an attempt that an earlier incarnation of the agent started.
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

    /// Returns the attempt's identifier.
    pub(super) fn id(&self) -> AttemptId {
        attempt_id(&self.assignment)
    }

    /// Enters another phase.
    pub(super) fn enter(&mut self, now: Duration, phase: AttemptPhase) {
        self.phase = phase;
        self.since = now;
        self.running_acknowledged = false;
    }

    /// Returns true when the attempt may use resources of the worker.
    pub(super) fn may_run(&self) -> bool {
        !matches!(self.phase, AttemptPhase::Waiting | AttemptPhase::Ended(_))
    }

    /// Returns true when the attempt has ended or was refused.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(_))
    }

    /// Returns the resources that the attempt occupies: in each dimension the larger of its
    /// reservation and its measured usage.
    pub(super) fn occupied(&self) -> ResourceVector {
        self.assignment.reserved.max_each(&self.used)
    }

    /// Returns the report to the leader, or `None` before the platform has confirmed the start.
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

/// Returns the identifier of an assigned attempt.
pub(super) fn attempt_id(assignment: &TaskAssignment) -> AttemptId {
    AttemptId { task: assignment.task.clone(), attempt: assignment.attempt }
}

/// All attempts, in the order in which the agent learned of them.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    /// The attempts by identifier.
    pub(super) attempts: IndexMap<AttemptId, LocalAttempt>,
    /// The latest attempt of each task whose end the leader has acknowledged, oldest entry first.
    acknowledged: IndexMap<TaskId, AttemptNumber>,
}

impl AttemptTable {
    /// Removes an attempt whose end the leader has acknowledged, and remembers its number.
    pub(super) fn forget(&mut self, id: &AttemptId) {
        self.attempts.shift_remove(id);
        let latest = self.acknowledged.shift_remove(&id.task).unwrap_or_default();
        if self.acknowledged.len() >= ACKNOWLEDGED_LIMIT {
            self.acknowledged.shift_remove_index(0);
        }
        self.acknowledged.insert(id.task.clone(), latest.max(id.attempt));
    }

    /// Returns true when the leader has acknowledged the end of this attempt or of a later one of
    /// its task. The agent ignores outdated commands for it, so that it is never started a second
    /// time.
    pub(super) fn end_was_acknowledged(&self, id: &AttemptId) -> bool {
        self.acknowledged.get(&id.task).is_some_and(|latest| id.attempt <= *latest)
    }

    /// Returns true when another attempt of the task may run.
    pub(super) fn other_may_run(&self, id: &AttemptId) -> bool {
        self.of_task(&id.task).any(|attempt| attempt.id() != *id && attempt.may_run())
    }

    /// Returns true when the table has a later attempt of the task.
    pub(super) fn has_later(&self, id: &AttemptId) -> bool {
        self.of_task(&id.task).any(|attempt| attempt.assignment.attempt > id.attempt)
    }

    fn of_task<'a>(&'a self, task: &'a TaskId) -> impl Iterator<Item = &'a LocalAttempt> + 'a {
        self.attempts.values().filter(move |attempt| attempt.assignment.task == *task)
    }

    /// Returns the resources that all attempts that may run occupy.
    pub(super) fn occupied(&self) -> ResourceVector {
        let running = self.attempts.values().filter(|attempt| attempt.may_run());
        running.map(LocalAttempt::occupied).sum()
    }
}

/// Returns the state to report for an attempt that has ended on the platform, or `None` if it runs.
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
