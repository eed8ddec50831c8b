//! The life cycle of a task, with one type for each phase, so that an invalid transition does not
//! compile.
//!
//! ```text
//! Waiting  -> Placed | Parked | Ended
//! Placed   -> Running | Stopping | Waiting | Parked | Ended
//! Running  -> Stopping | Waiting | Parked | Ended
//! Stopping -> Stopping | Waiting | Parked | Ended
//! Parked   -> Waiting | Ended
//! ```
//!
//! A task whose attempt ends without success goes back to waiting. If its job was parked or
//! cancelled in the meantime, the task is parked or ends instead. It also ends after too many
//! failed attempts.
//!
//! A placed, running or stopping task holds its reservation. The reservation is released only when
//! the worker reports that the attempt no longer runs, or when the worker's lease expires.

use {
    base::{AttemptNumber, CheckpointId, ResourceVector, WorkerId},
    proto::messages::{operator::TaskPhase, ThrottleLevel},
    serde::{Deserialize, Serialize},
};

/// A task in phase `S`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Task<S> {
    /// The latest attempt, or zero before the first.
    pub attempt: AttemptNumber,
    /// The most recent checkpoint.
    pub checkpoint: Option<CheckpointId>,
    /// The number of failed attempts.
    pub failures: u32,
    /// The data of the phase.
    pub phase: S,
}

/// The placement of a task on a worker.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskPlacement {
    /// The worker.
    pub worker: WorkerId,
    /// The reserved resources.
    pub reserved: ResourceVector,
    /// The share of the reservation that the task may use.
    pub throttle: ThrottleLevel,
}

/// The task waits for placement.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Waiting {
    /// True if the latest attempt ended without failing and the task has a checkpoint. Operators
    /// see this as the phase `Evicted`. After a failure or an unpark this is false, although the
    /// next attempt resumes from the checkpoint all the same.
    pub evicted: bool,
}

/// The task is placed, and its worker has not reported yet that it runs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Placed {
    /// The placement.
    pub placement: TaskPlacement,
}

/// The task runs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// The placement.
    pub placement: TaskPlacement,
}

/// Why a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StopPurpose {
    /// The task is to be placed again: its worker takes a checkpoint first.
    Evict,
    /// An operator cancelled the job.
    Cancel,
}

/// The worker was asked to stop the task and has not confirmed the stop.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stopping {
    /// The placement, which the task holds until the stop is confirmed.
    pub placement: TaskPlacement,
    /// Why the task is being stopped.
    pub purpose: StopPurpose,
}

/// The task is not placed until an operator unparks its job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Parked;

/// The final outcome of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndPhase {
    /// The task succeeded.
    Finished,
    /// The task failed.
    Failed,
    /// An operator cancelled the task's job.
    Cancelled,
}

/// The task has ended and will not run again.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ended {
    /// The outcome.
    pub end: EndPhase,
}

impl<S> Task<S> {
    fn enter<T>(self, phase: T) -> Task<T> {
        let Self { attempt, checkpoint, failures, .. } = self;
        Task { attempt, checkpoint, failures, phase }
    }
}

/// The phases in which a task holds a placement.
pub trait PlacedPhase {
    /// Returns the placement.
    fn placement(&self) -> &TaskPlacement;
}

impl PlacedPhase for Placed {
    fn placement(&self) -> &TaskPlacement {
        &self.placement
    }
}

impl PlacedPhase for Running {
    fn placement(&self) -> &TaskPlacement {
        &self.placement
    }
}

impl PlacedPhase for Stopping {
    fn placement(&self) -> &TaskPlacement {
        &self.placement
    }
}

impl<S: PlacedPhase> Task<S> {
    /// Returns to waiting once the attempt is known not to run on its worker. A checkpoint of this
    /// attempt replaces an earlier one, which is kept otherwise.
    pub fn leave(self, checkpoint: Option<CheckpointId>) -> Task<Waiting> {
        let mut task = self.enter(Waiting { evicted: false });
        task.checkpoint = checkpoint.or(task.checkpoint);
        task.phase.evicted = task.checkpoint.is_some();
        task
    }

    /// Returns to waiting after a failed attempt. An earlier checkpoint is kept.
    pub fn fail(self) -> Task<Waiting> {
        let mut task = self.enter(Waiting { evicted: false });
        task.failures += 1;
        task
    }

    /// Ends the task for good.
    pub fn end(self, end: EndPhase) -> Task<Ended> {
        self.enter(Ended { end })
    }

    /// Asks the task to stop. It keeps its placement until the worker confirms the stop.
    pub fn stop(self, purpose: StopPurpose) -> Task<Stopping> {
        let placement = self.phase.placement().clone();
        self.enter(Stopping { placement, purpose })
    }
}

impl Task<Waiting> {
    /// Returns a task that has not been placed yet.
    pub fn new() -> Self {
        let phase = Waiting { evicted: false };
        Self { attempt: AttemptNumber(0), checkpoint: None, failures: 0, phase }
    }

    /// Places the task on a worker under the next attempt number.
    pub fn place(self, worker: WorkerId, reserved: ResourceVector) -> Task<Placed> {
        let placement = TaskPlacement { worker, reserved, throttle: ThrottleLevel::FULL };
        let mut task = self.enter(Placed { placement });
        task.attempt = task.attempt.next();
        task
    }

    /// Parks the task.
    pub fn park(self) -> Task<Parked> {
        self.enter(Parked)
    }

    /// Ends the task without another attempt.
    pub fn end(self, end: EndPhase) -> Task<Ended> {
        self.enter(Ended { end })
    }
}

impl Default for Task<Waiting> {
    fn default() -> Self {
        Self::new()
    }
}

impl Task<Placed> {
    /// Records that the worker has reported the task as running.
    pub fn start(self) -> Task<Running> {
        let placement = self.phase.placement.clone();
        self.enter(Running { placement })
    }
}

impl Task<Parked> {
    /// Returns the task to waiting and clears its failure count.
    pub fn unpark(self) -> Task<Waiting> {
        let mut task = self.enter(Waiting { evicted: false });
        task.failures = 0;
        task
    }

    /// Ends the task without another attempt.
    pub fn end(self, end: EndPhase) -> Task<Ended> {
        self.enter(Ended { end })
    }
}

/// A task in any phase.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TaskLifecycle {
    /// See [`Waiting`].
    Waiting(Task<Waiting>),
    /// See [`Placed`].
    Placed(Task<Placed>),
    /// See [`Running`].
    Running(Task<Running>),
    /// See [`Stopping`].
    Stopping(Task<Stopping>),
    /// See [`Parked`].
    Parked(Task<Parked>),
    /// See [`Ended`].
    Ended(Task<Ended>),
}

impl TaskLifecycle {
    /// Returns the latest attempt.
    pub fn attempt(&self) -> AttemptNumber {
        match self {
            Self::Waiting(task) => task.attempt,
            Self::Placed(task) => task.attempt,
            Self::Running(task) => task.attempt,
            Self::Stopping(task) => task.attempt,
            Self::Parked(task) => task.attempt,
            Self::Ended(task) => task.attempt,
        }
    }

    /// Returns the most recent checkpoint.
    pub fn checkpoint(&self) -> Option<&CheckpointId> {
        match self {
            Self::Waiting(task) => task.checkpoint.as_ref(),
            Self::Placed(task) => task.checkpoint.as_ref(),
            Self::Running(task) => task.checkpoint.as_ref(),
            Self::Stopping(task) => task.checkpoint.as_ref(),
            Self::Parked(task) => task.checkpoint.as_ref(),
            Self::Ended(task) => task.checkpoint.as_ref(),
        }
    }

    /// Returns the placement that the task holds.
    pub fn placement(&self) -> Option<&TaskPlacement> {
        match self {
            Self::Placed(task) => Some(&task.phase.placement),
            Self::Running(task) => Some(&task.phase.placement),
            Self::Stopping(task) => Some(&task.phase.placement),
            Self::Waiting(_) | Self::Parked(_) | Self::Ended(_) => None,
        }
    }

    /// Returns the placement that the task holds, for throttling.
    pub(super) fn placement_mut(&mut self) -> Option<&mut TaskPlacement> {
        match self {
            Self::Placed(task) => Some(&mut task.phase.placement),
            Self::Running(task) => Some(&mut task.phase.placement),
            Self::Stopping(task) => Some(&mut task.phase.placement),
            Self::Waiting(_) | Self::Parked(_) | Self::Ended(_) => None,
        }
    }

    /// Returns true if the task waits for placement.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Self::Waiting(_))
    }

    /// Returns true if the task has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// Returns the phase that operators see.
    pub fn phase(&self) -> TaskPhase {
        match self {
            Self::Waiting(task) if task.phase.evicted => TaskPhase::Evicted,
            Self::Waiting(_) => TaskPhase::Pending,
            Self::Placed(_) => TaskPhase::Placed,
            Self::Running(_) => TaskPhase::Running,
            Self::Stopping(_) => TaskPhase::Stopping,
            Self::Parked(_) => TaskPhase::Parked,
            Self::Ended(task) => match task.phase.end {
                EndPhase::Finished => TaskPhase::Finished,
                EndPhase::Failed => TaskPhase::Failed,
                EndPhase::Cancelled => TaskPhase::Cancelled,
            },
        }
    }
}
