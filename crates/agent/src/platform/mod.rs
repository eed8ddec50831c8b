//! The interface of a worker's platform, as published in `docs/PLATFORM.md`: JSON over HTTP on an
//! address of the worker itself. All calls are idempotent.

mod client;

pub use client::PlatformClient;

use {
    base::{AttemptNumber, CheckpointId, IncarnationNumber, ResourceVector, TaskId},
    proto::messages::{TaskAssignment, ThrottleLevel},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// The path to which the agent posts every [`PlatformRequest`].
pub const PLATFORM_PATH: &str = "/platform/v1";

/// An incarnation of the platform. A platform that restarts and loses its tasks or its clock takes
/// another number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlatformIncarnation(pub u64);

/// A point in time on the platform's own monotonic clock, in milliseconds. Leases end at such
/// points, so that a call that arrives late can't lengthen one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlatformInstant(pub u64);

impl PlatformInstant {
    /// Returns the point `step` later, rounded down to milliseconds.
    #[must_use]
    pub fn after(self, step: Duration) -> Self {
        Self(self.0 + step.as_millis() as u64)
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Identifies one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
}

/// The end of a lease, valid for one incarnation of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformLease {
    /// The incarnation. The platform refuses the lease under any other incarnation.
    pub life: PlatformIncarnation,
    /// When the platform stops every task, unless the agent renews the lease.
    pub until: PlatformInstant,
}

/// The body of every request to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformRequest {
    /// The incarnation of the agent. The platform refuses calls of an incarnation older than the
    /// newest that it has seen, so that a call sent before a restart can't take effect after it.
    pub agent: IncarnationNumber,
    /// The call.
    pub call: PlatformCall,
}

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformCall {
    /// Lists the attempts that run or have ended, and the newest usage measurement.
    List,
    /// Extends the lease. An earlier end than the present one has no effect.
    Renew {
        /// The lease.
        lease: PlatformLease,
    },
    /// Starts an attempt. The platform refuses when the attempt or a later one of the task has been
    /// stopped, or when another attempt runs. Starting an attempt that runs has no effect.
    Run {
        /// The task attempt to start.
        assignment: Box<TaskAssignment>,
        /// The share of its reservation that the attempt may use.
        throttle: ThrottleLevel,
        /// The lease under which the attempt runs.
        lease: PlatformLease,
    },
    /// Takes a checkpoint of a running attempt.
    Checkpoint {
        /// The attempt.
        id: AttemptId,
    },
    /// Limits the share of its reservation that an attempt may use.
    Throttle {
        /// The attempt.
        id: AttemptId,
        /// The limit.
        throttle: ThrottleLevel,
    },
    /// Stops an attempt and answers once it has ended. The platform never starts the attempt or an
    /// earlier one of the task afterwards.
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

/// The state of an attempt on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The attempt runs.
    Running,
    /// The attempt ended by itself, with success.
    Finished,
    /// The attempt ended by itself, with failure.
    Failed {
        /// The platform's error message.
        detail: String,
    },
    /// The platform stopped the attempt, on a call or at the end of its lease.
    Stopped,
    /// The platform never started the attempt, and never will.
    NeverStarted,
}

/// One attempt in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformTask {
    /// The attempt's assignment, as given when it started.
    pub assignment: TaskAssignment,
    /// The share of its reservation that the attempt may use.
    pub throttle: ThrottleLevel,
    /// The attempt's state.
    pub state: PlatformState,
}

/// The measured resource usage of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformTaskUsage {
    /// The attempt.
    pub id: AttemptId,
    /// The resources that the attempt used.
    pub used: ResourceVector,
    /// The attempt's progress, in thousandths of its speed when it runs alone.
    pub speed_permille: u32,
}

/// A usage measurement of all attempts that ran when it was taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUsage {
    /// When the platform took the measurement.
    pub taken: PlatformInstant,
    /// The usage of each attempt.
    pub tasks: Vec<PlatformTaskUsage>,
}

/// The platform's answer to [`PlatformCall::List`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformListing {
    /// The incarnation of the platform.
    pub life: PlatformIncarnation,
    /// The platform's clock when it made the list.
    pub clock: PlatformInstant,
    /// The worker's actual capacity.
    pub capacity: ResourceVector,
    /// All attempts that run, and those that have ended and that the agent has not asked to forget.
    pub tasks: Vec<PlatformTask>,
    /// The newest usage measurement.
    pub usage: Option<PlatformUsage>,
}

/// A reply of the platform.
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
    /// Answers [`PlatformCall::Stop`]: the attempt has ended.
    Ended {
        /// The attempt's final state. Never [`PlatformState::Running`].
        state: PlatformState,
    },
    /// The platform refused the call and changed nothing.
    Refused {
        /// The platform's error message.
        detail: String,
    },
}

/// A call without a usable answer, so that the agent can't know whether it took effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no answer from the platform: {detail}"))]
pub struct PlatformFault {
    /// The error that the HTTP client or the decoder reported.
    pub detail: String,
}
