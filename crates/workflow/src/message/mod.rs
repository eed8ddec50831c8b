//! The messages between entries, agents and control.

use {
    crate::{
        job::{JobSpec, RunNumber, TaskDemand, TaskKey, WorkerIncarnation},
        state::{EndKind, JobPhase},
    },
    base::{PeerAddress, ReplicaId},
    quorum::QuorumMessage,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One message on a stream between two processes.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum LinkMessage {
    /// An entry or agent presents itself. Control answers with [`LinkMessage::Welcome`].
    Hello {
        /// The sender's name, for logs.
        name: String,
    },
    /// Reports whether the sender leads, which process leads and the addresses of the control
    /// group.
    Welcome {
        /// Whether the sender leads.
        leading: bool,
        /// The leader's address, if the sender knows it.
        leader: Option<PeerAddress>,
        /// The address of every member of the group.
        members: Vec<PeerAddress>,
        /// The term of the sender's leadership; 0 if it does not lead.
        term: u64,
    },
    /// Asks a leader whether it still leads. An agent's lease runs from the sending of this
    /// message.
    Ping {
        /// The number by which the sender matches the answer.
        sequence: u64,
    },
    /// Confirms that the sender leads, which a quorum has recently confirmed.
    Pong {
        /// The number of the ping.
        sequence: u64,
        /// The term of the leadership.
        term: u64,
        /// The incarnation whose lease the leader has renewed; `None` if the receiver represents no
        /// executor to this leader.
        leased: Option<WorkerIncarnation>,
    },
    /// Forwards a caller's request from an entry.
    Call {
        /// The number by which the entry matches the answer.
        sequence: u64,
        /// The host that the caller named.
        host: String,
        /// The path that the caller named.
        path: String,
        /// The request.
        call: CallerCall,
    },
    /// Answers a call.
    Answer {
        /// The number of the call.
        sequence: u64,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Describes an agent's executor, which has answered the agent. The agent sends it again to
    /// each leader that it reaches and after every change, except that the time left of a drain
    /// runs down.
    Worker {
        /// The description.
        report: WorkerReport,
        /// The executor's address, which differs from those of other machines. Only one executor at a
        /// time can use an address.
        place: Arc<str>,
    },
    /// Lists every run on an agent's executor, and those that the agent is about to start.
    Runs {
        /// The executor.
        worker: WorkerIncarnation,
        /// The runs.
        runs: Vec<RunReport>,
    },
    /// Reports ended runs, and ordered runs that never began.
    Ends {
        /// The executor.
        worker: WorkerIncarnation,
        /// The ends in the order in which they occurred.
        ends: Vec<EndReport>,
    },
    /// Confirms that the ends up to this number are in the log.
    #[serde(rename = "EndsNoted")]
    EndsRecorded {
        /// The executor.
        worker: WorkerIncarnation,
        /// The number of the last recorded end.
        up_to: u64,
    },
    /// Reports that an incarnation of an executor has ended, and with it all its runs.
    #[serde(rename = "WorkerGone")]
    WorkerEnded {
        /// The incarnation.
        worker: WorkerIncarnation,
    },
    /// Orders a run to start.
    Start(StartOrder),
    /// Orders a run to stop.
    Stop {
        /// The executor.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
    },
    /// A message of the replicated log.
    Quorum {
        /// The sender.
        from: ReplicaId,
        /// The receiver; another replica on the same machine drops it.
        to: ReplicaId,
        /// The message.
        message: Box<QuorumMessage>,
    },
    /// Requests membership for a control process with an empty disk.
    Join {
        /// The address of the process.
        address: PeerAddress,
    },
    /// Asks whether a replica still belongs to the group. Sent by a control process that has an id, but
    /// no vote, and that no leader reaches. A leader answers with [`LinkMessage::Removed`] or not at
    /// all.
    CheckMember {
        /// The replica's id.
        replica: ReplicaId,
        /// The address of the process.
        address: PeerAddress,
    },
    /// Reports that a replica does not belong to the group, and never will under this id.
    Removed {
        /// The replica's id.
        replica: ReplicaId,
    },
    /// Assigns the replica id under which a control process may join.
    Admitted {
        /// The assigned id.
        replica: ReplicaId,
    },
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum CallerCall {
    /// Submits a job.
    Submit(JobSpec),
    /// Requests the phase of a job, or the number of pending jobs of a queue.
    Show,
    /// Cancels a job.
    Cancel,
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is in the log.
    Accepted,
    /// The cancellation is in the log. A job that had already ended keeps its outcome.
    Cancelled,
    /// The phase of the job.
    Phase(JobPhase),
    /// The number of the queue's jobs that have not started.
    Pending(u64),
    /// The queue is unknown.
    NoQueue,
    /// The job is unknown.
    NoJob,
    /// The request is invalid, for the given reason.
    Invalid(String),
    /// The job is not accepted now, and never runs as a result of this request.
    Refused,
    /// The leadership was lost before the request was settled.
    Unresolved,
    /// The receiver does not lead, and has done nothing.
    NotLeading,
    /// The job is not accepted, because it could not end in time, and never runs as a result of
    /// this request.
    Overloaded {
        /// The time after which the caller may submit the job again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An executor as its agent sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// The executor's present incarnation.
    pub worker: WorkerIncarnation,
    /// The executor's service.
    pub service: String,
    /// The executor's data centre.
    pub data_centre: String,
    /// The executor's capacity.
    pub capacity: TaskDemand,
    /// The executor's labels: first its kind, then its rack.
    pub labels: Vec<String>,
    /// The least time until a draining executor ends, in milliseconds; `None` while it does not
    /// drain.
    pub drain_left_ms: Option<u64>,
    /// Whether the executor has answered its agent recently.
    pub responsive: bool,
}

/// A run on an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// The progress in percent; 100 for a lasting task while it works.
    pub percent: u8,
    /// The tail latency of a latency-critical task in milliseconds; for other tasks, the processors
    /// in use in thousandths of a core. Both cover the last half second.
    pub figure: u64,
}

impl RunReport {
    /// Returns whether the report is about this run of the task.
    pub fn is_of(&self, task: TaskKey, run: RunNumber) -> bool {
        (self.task, self.run) == (task, run)
    }
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndReport {
    /// The executor's number of the end; 0 if the executor has not listed it, because the run never
    /// began there or because the executor itself has ended.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: EndKind,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

impl EndReport {
    /// Returns whether the report is about this run of the task.
    pub fn is_of(&self, task: TaskKey, run: RunNumber) -> bool {
        (self.task, self.run) == (task, run)
    }
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartOrder {
    /// The executor.
    pub worker: WorkerIncarnation,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The payload to run.
    pub payload: String,
    /// The checkpoint from which the run resumes; empty for none.
    pub checkpoint: String,
    /// The tail latency that a latency-critical run must stay below, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// Whether the run only uses idle processors and may be throttled.
    pub filler: bool,
}
