//! Identifiers. Each kind is a type of its own, so that one can't be passed for another.

#[macro_use]
mod macros;
mod address;

pub use address::PeerAddress;

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// The largest number of bytes in a textual identifier. It bounds what a message can make a
/// process keep.
pub const NAME_LENGTH_LIMIT: usize = 128;

/// Why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The text is empty.
    #[snafu(display("a {kind} must not be empty"))]
    Empty {
        /// The kind of identifier that was expected.
        kind: &'static str,
    },
    /// The text exceeds [`NAME_LENGTH_LIMIT`].
    #[snafu(display("a {kind} has at most {NAME_LENGTH_LIMIT} bytes"))]
    TooLong {
        /// The kind of identifier that was expected.
        kind: &'static str,
    },
    /// The text holds a character outside letters, digits, `-`, `_`, `.`, `:` and `/`.
    #[snafu(display("a {kind} can't contain {found:?}"))]
    BadCharacter {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is no decimal number of the expected width.
    #[snafu(display("a {kind} is a decimal number, not {found:?}"))]
    NotNumber {
        /// The kind of identifier that was expected.
        kind: &'static str,
        /// The text that was given.
        found: String,
    },
}

name_id! {
    /// A deployment. Processes of different clusters refuse each other's messages.
    ClusterName, "cluster name";
    /// A region, which holds data centres.
    RegionName, "region name";
    /// A data centre (a yard of the booking desk, for example).
    DataCentreName, "data centre name";
    /// A rack, which holds workers and fails as a whole.
    RackName, "rack name";
    /// A process of the system, unique within a cluster.
    ProcessName, "process name";
    /// A machine that runs tasks, and the agent beside it.
    WorkerId, "worker id";
    /// A running executor that answers callers' requests.
    EndpointId, "endpoint id";
    /// A service that callers address.
    ServiceName, "service name";
    /// A team that owns jobs and holds a quota.
    TeamName, "team name";
    /// A kind of task, the unit in which interference is learned.
    ClassName, "class name";
    /// A batch job or a long-running service placement.
    JobId, "job id";
    /// A checkpoint that the platform keeps for a task.
    CheckpointId, "checkpoint id";
    /// One submission by an operator, repeated when an answer was lost.
    SubmissionId, "submission id";
    /// One request of a caller, unique over all entries.
    RequestId, "request id";
}

number_id! {
    /// A member of the control group. Never reused: a replaced disk joins under a new id.
    ReplicaId, u64, "replica id";
    /// A term of the control group's election.
    TermNumber, u64, "term";
    /// A position in the replicated log, starting at 1.
    LogIndex, u64, "log index";
    /// A revision of the fleet's declarations. Only rises.
    RevisionNumber, u64, "revision";
    /// A life of a process: a restart gets a larger one.
    IncarnationNumber, u64, "incarnation";
    /// The fencing token of a task's placement. Only rises for one task.
    AttemptNumber, u32, "attempt";
    /// The number of a task within its job, from 0.
    TaskIndex, u32, "task index";
    /// Pairs an event with the reply that it asks for, within one process.
    ReplyTicket, u64, "reply ticket";
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The number of the task within the job.
    pub index: TaskIndex,
}

impl TaskId {
    /// Names task `index` of `job`.
    pub fn new(job: JobId, index: TaskIndex) -> Self {
        Self { job, index }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (job, index) = text
            .rsplit_once('/')
            .ok_or_else(|| IdError::NotNumber { kind: "task id", found: text.to_owned() })?;
        Ok(Self { job: job.parse()?, index: index.parse()? })
    }
}

fn check_name(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > NAME_LENGTH_LIMIT {
        return Err(IdError::TooLong { kind });
    }
    match text.chars().find(|c| !c.is_ascii_alphanumeric() && !"-_.:/".contains(*c)) {
        Some(found) => Err(IdError::BadCharacter { kind, found }),
        None => Ok(()),
    }
}
