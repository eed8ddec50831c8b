//! Identifiers. Each kind has its own type, so that one can't be passed in place of another.

#[macro_use]
mod macros;
mod address;

pub use address::PeerAddress;

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// The maximum length of a textual identifier, in bytes. It bounds the memory that a message can
/// make a process retain.
pub const NAME_LENGTH_LIMIT: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The text is empty.
    #[snafu(display("a {kind} must not be empty"))]
    Empty {
        /// The expected kind of identifier.
        kind: &'static str,
    },
    /// The text exceeds [`NAME_LENGTH_LIMIT`].
    #[snafu(display("a {kind} has at most {NAME_LENGTH_LIMIT} bytes"))]
    TooLong {
        /// The expected kind of identifier.
        kind: &'static str,
    },
    /// The text contains a character other than letters, digits, `-`, `_`, `.`, `:` and `/`.
    #[snafu(display("a {kind} can't contain {found:?}"))]
    BadCharacter {
        /// The expected kind of identifier.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a decimal number of the expected width.
    #[snafu(display("a {kind} is a decimal number, not {found:?}"))]
    NotNumber {
        /// The expected kind of identifier.
        kind: &'static str,
        /// The text found.
        found: String,
    },
}

name_id! {
    /// A deployment. Processes of different clusters reject each other's messages.
    ClusterName, "cluster name";
    /// A region, which consists of data centres.
    RegionName, "region name";
    /// A data centre, which consists of racks.
    DataCentreName, "data centre name";
    /// A rack: a group of workers that can fail together.
    RackName, "rack name";
    /// A process of the system, unique within its cluster.
    ProcessName, "process name";
    /// A machine that runs tasks, together with its agent.
    WorkerId, "worker id";
    /// A running executor that serves callers' requests.
    EndpointId, "endpoint id";
    /// A service to which callers send requests.
    ServiceName, "service name";
    /// A team that owns jobs and has a quota.
    TeamName, "team name";
    /// A class of tasks, for which the scheduler learns interference.
    ClassName, "class name";
    /// A batch job or a long-running service placement.
    JobId, "job id";
    /// A checkpoint that the platform stores for a task.
    CheckpointId, "checkpoint id";
    /// One submission by an operator, reused when the operator resends it after a lost response.
    SubmissionId, "submission id";
    /// One request of a caller, unique across all entries.
    RequestId, "request id";
}

number_id! {
    /// A member of the control group. Never reused: a replica with a replaced disk joins under a
    /// new id.
    ReplicaId, u64, "replica id";
    /// A term of the control group's election.
    TermNumber, u64, "term";
    /// A position in the replicated log, starting at 1.
    LogIndex, u64, "log index";
    /// A revision of the fleet's declarations. Never decreases.
    RevisionNumber, u64, "revision";
    /// An incarnation of a process. Every restart gets a larger number.
    IncarnationNumber, u64, "incarnation";
    /// The attempt number of a task, which is its fencing token. Never decreases for one task.
    AttemptNumber, u32, "attempt";
    /// The number of a task within its job, from 0.
    TaskIndex, u32, "task index";
    /// Matches an event with the reply that it requests, within one process.
    ReplyTicket, u64, "reply ticket";
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job of the task.
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
