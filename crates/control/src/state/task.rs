//! The life cycle of a task, one type a phase, so that a transition that must not happen does not
//! compile.
//!
//! ```text
//! Waiting -> Placed -> Running -> Stopping -> Waiting (with a checkpoint) | Ended
//!    |         `----------`-----------`-----> Waiting | Ended
//!    `-> Parked -> Waiting | Ended
//! ```
//!
//! A task that is placed, running or stopping holds its reservation: it is freed only by a report
//! of its worker that the attempt runs no more, or by the expiry of the worker's lease.

use {
    base::{AttemptNumber, CheckpointId, ResourceVector, WorkerId},
    proto::messages::{operator::TaskPhase, ThrottleLevel},
    serde::{Deserialize, Serialize},
};

/// A task in phase `S`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Task<S> {
    /// The latest attempt; zero before the first.
    pub attempt: AttemptNumber,
    /// The newest checkpoint.
    pub checkpoint: Option<CheckpointId>,
    /// Attempts that failed.
    pub failures: u32,
    /// What belongs to the phase alone.
    pub phase: S,
}

/// A place on a worker.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskSeat {
    /// The worker.
    pub worker: WorkerId,
    /// What is reserved.
    pub reserved: ResourceVector,
    /// How far the task may use it.
    pub throttle: ThrottleLevel,
}

/// Waits for a place.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Waiting {
    /// True when it resumes from a checkpoint.
    pub evicted: bool,
}

/// Has a place and was not seen to run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Placed {
    /// The place.
    pub seat: TaskSeat,
}

/// Runs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// The place.
    pub seat: TaskSeat,
}

/// Why a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StopPurpose {
    /// It is to run elsewhere: its worker takes a checkpoint first.
    Evict,
    /// Its job is cancelled.
    Cancel,
}

/// Was asked to stop and is not known to have stopped.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stopping {
    /// The place, which it still holds.
    pub seat: TaskSeat,
    /// Why.
    pub purpose: StopPurpose,
}

/// Is kept back until an operator acts.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Parked;

/// How a task ended for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndPhase {
    /// With success.
    Finished,
    /// With failure.
    Failed,
    /// By cancellation.
    Cancelled,
}

/// Will not run again.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ended {
    /// How.
    pub end: EndPhase,
}

impl<S> Task<S> {
    fn enter<T>(self, phase: T) -> Task<T> {
        let Self { attempt, checkpoint, failures, .. } = self;
        Task { attempt, checkpoint, failures, phase }
    }
}

/// The phases in which a task holds a place.
pub trait SeatedPhase {
    /// The place.
    fn seat(&self) -> &TaskSeat;
}

impl SeatedPhase for Placed {
    fn seat(&self) -> &TaskSeat {
        &self.seat
    }
}

impl SeatedPhase for Running {
    fn seat(&self) -> &TaskSeat {
        &self.seat
    }
}

impl SeatedPhase for Stopping {
    fn seat(&self) -> &TaskSeat {
        &self.seat
    }
}

impl<S: SeatedPhase> Task<S> {
    /// Leaves its place, which is confirmed to be empty, to run elsewhere. A checkpoint of this
    /// attempt replaces an earlier one.
    pub fn leave(self, checkpoint: Option<CheckpointId>) -> Task<Waiting> {
        let mut task = self.enter(Waiting { evicted: false });
        task.checkpoint = checkpoint.or(task.checkpoint);
        task.phase.evicted = task.checkpoint.is_some();
        task
    }

    /// Leaves its place after a failure.
    pub fn fail(self) -> Task<Waiting> {
        let mut task = self.enter(Waiting { evicted: false });
        task.failures += 1;
        task
    }

    /// Leaves its place for good.
    pub fn end(self, end: EndPhase) -> Task<Ended> {
        self.enter(Ended { end })
    }

    /// Is asked to stop, and keeps its place until that is confirmed.
    pub fn stop(self, purpose: StopPurpose) -> Task<Stopping> {
        let seat = self.phase.seat().clone();
        self.enter(Stopping { seat, purpose })
    }
}

impl Task<Waiting> {
    /// A task that was never placed.
    pub fn new() -> Self {
        let phase = Waiting { evicted: false };
        Self { attempt: AttemptNumber(0), checkpoint: None, failures: 0, phase }
    }

    /// Takes a place under the next attempt number.
    pub fn place(self, worker: WorkerId, reserved: ResourceVector) -> Task<Placed> {
        let seat = TaskSeat { worker, reserved, throttle: ThrottleLevel::FULL };
        let mut task = self.enter(Placed { seat });
        task.attempt = task.attempt.next();
        task
    }

    /// Is kept back.
    pub fn park(self) -> Task<Parked> {
        self.enter(Parked)
    }

    /// Ends without running again.
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
    /// Was seen to run.
    pub fn start(self) -> Task<Running> {
        let seat = self.phase.seat.clone();
        self.enter(Running { seat })
    }
}

impl Task<Parked> {
    /// May be placed again.
    pub fn unpark(self) -> Task<Waiting> {
        let mut task = self.enter(Waiting { evicted: false });
        task.failures = 0;
        task
    }

    /// Ends without running again.
    pub fn end(self, end: EndPhase) -> Task<Ended> {
        self.enter(Ended { end })
    }
}

/// A task in whatever phase it is.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TaskLife {
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

impl TaskLife {
    /// The latest attempt.
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

    /// The newest checkpoint.
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

    /// The place that it holds.
    pub fn seat(&self) -> Option<&TaskSeat> {
        match self {
            Self::Placed(task) => Some(&task.phase.seat),
            Self::Running(task) => Some(&task.phase.seat),
            Self::Stopping(task) => Some(&task.phase.seat),
            Self::Waiting(_) | Self::Parked(_) | Self::Ended(_) => None,
        }
    }

    /// The place that it holds, to be throttled.
    pub(super) fn seat_mut(&mut self) -> Option<&mut TaskSeat> {
        match self {
            Self::Placed(task) => Some(&mut task.phase.seat),
            Self::Running(task) => Some(&mut task.phase.seat),
            Self::Stopping(task) => Some(&mut task.phase.seat),
            Self::Waiting(_) | Self::Parked(_) | Self::Ended(_) => None,
        }
    }

    /// True when it waits for a place.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Self::Waiting(_))
    }

    /// True when it will not run again.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// The phase, for operators.
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
