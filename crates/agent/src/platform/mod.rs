//! The interface of a worker's platform, which `docs/PLATFORM.md` publishes: JSON over HTTP on an
//! address of the worker's own machine. All calls may be repeated.

mod client;

pub use client::PlatformClient;

use {
    base::{AttemptNumber, CheckpointId, IncarnationNumber, ResourceVector, TaskId},
    proto::messages::{TaskAssignment, ThrottleLevel},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// The path to which every [`PlatformRequest`] is posted.
pub const PLATFORM_PATH: &str = "/platform/v1";

/// A life of the platform: a restart that lost its tasks or its clock gets another number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlatformLife(pub u64);

/// A point in time on the platform's own monotonic clock, in milliseconds. Leases are given as
/// such points, so that a call that is delivered late can't lengthen one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlatformInstant(pub u64);

impl PlatformInstant {
    /// The point `step` later, rounded down to milliseconds.
    #[must_use]
    pub fn after(self, step: Duration) -> Self {
        Self(self.0 + step.as_millis() as u64)
    }

    /// How much later this point is than `earlier`, or zero.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Names one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// The end of a lease on one life of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformLease {
    /// The life. Another life refuses the lease.
    pub life: PlatformLife,
    /// When the platform stops every task unless the lease has been renewed.
    pub until: PlatformInstant,
}

/// What is posted to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformRequest {
    /// The life of the agent. Calls of an earlier life than the newest seen are refused, so that
    /// a call that an agent made before its restart can't take effect after it.
    pub agent: IncarnationNumber,
    /// The call.
    pub call: PlatformCall,
}

/// What the platform can be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformCall {
    /// What runs, what has ended and what was used.
    List,
    /// Moves the lease's end. An earlier end than the present one changes nothing.
    Renew {
        /// The lease.
        lease: PlatformLease,
    },
    /// Starts an attempt, unless it or a later one of the task has been stopped, or another one
    /// runs. Starting an attempt that runs changes nothing.
    Run {
        /// What to run.
        assignment: Box<TaskAssignment>,
        /// How far it may use its reservation.
        throttle: ThrottleLevel,
        /// The lease under which it runs.
        lease: PlatformLease,
    },
    /// Takes a checkpoint of a running attempt.
    Checkpoint {
        /// The attempt.
        id: AttemptId,
    },
    /// Bounds how far an attempt may use its reservation.
    Throttle {
        /// The attempt.
        id: AttemptId,
        /// The bound.
        throttle: ThrottleLevel,
    },
    /// Stops an attempt and answers when it runs no more. The attempt and all earlier ones of the
    /// task are never started afterwards.
    Stop {
        /// The attempt.
        id: AttemptId,
    },
    /// Removes an ended attempt from the list.
    Forget {
        /// The attempt.
        id: AttemptId,
    },
}

/// Where an attempt stands on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// It runs.
    Running,
    /// It ended by itself, with success.
    Finished,
    /// It ended by itself, with failure.
    Failed {
        /// The platform's own words.
        detail: String,
    },
    /// It was stopped, by a call or at the end of its lease.
    Stopped,
    /// It was never started, and won't be.
    NeverStarted,
}

/// One attempt in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformTask {
    /// The attempt as it was started.
    pub assignment: TaskAssignment,
    /// How far it may use its reservation.
    pub throttle: ThrottleLevel,
    /// Where it stands.
    pub state: PlatformState,
}

/// What one attempt used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformTaskUsage {
    /// The attempt.
    pub id: AttemptId,
    /// What it used.
    pub used: ResourceVector,
    /// How fast it made progress, in thousandths of its speed when alone.
    pub speed_permille: u32,
}

/// A measurement of all attempts that ran when it was taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUsage {
    /// When it was taken.
    pub taken: PlatformInstant,
    /// What was measured.
    pub tasks: Vec<PlatformTaskUsage>,
}

/// What runs, what has ended and what was used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformListing {
    /// The life of the platform.
    pub life: PlatformLife,
    /// When the list was made.
    pub clock: PlatformInstant,
    /// What the worker really has.
    pub capacity: ResourceVector,
    /// All attempts that run or have ended and were not forgotten.
    pub tasks: Vec<PlatformTask>,
    /// The newest measurement.
    pub usage: Option<PlatformUsage>,
}

/// What the platform answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformReply {
    /// Answers [`PlatformCall::List`].
    Listing(Box<PlatformListing>),
    /// The call has taken effect.
    Done,
    /// Answers [`PlatformCall::Checkpoint`].
    Checkpointed {
        /// The checkpoint.
        checkpoint: CheckpointId,
    },
    /// Answers [`PlatformCall::Stop`]: the attempt runs no more, and this is how it ended.
    Ended {
        /// How it ended. Never [`PlatformState::Running`].
        state: PlatformState,
    },
    /// The platform refused the call, and nothing has changed.
    Refused {
        /// The platform's own words.
        detail: String,
    },
}

/// Why nobody knows whether a call took effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no answer from the platform: {detail}"))]
pub struct PlatformFault {
    /// What the library reported.
    pub detail: String,
}
