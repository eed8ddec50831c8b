//! What entries, agents and control say to each other.

use {
    crate::{
        job::{JobSpec, RunNumber, TaskDemand, TaskKey, WorkerLife},
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
    /// Who leads, and where control can be reached.
    Welcome {
        /// Whether the sender leads.
        leading: bool,
        /// Where the leader listens, as far as it is known.
        leader: Option<PeerAddress>,
        /// Where every member of the group listens.
        members: Vec<PeerAddress>,
        /// The term of the sender's lead.
        term: u64,
    },
    /// Asks a leader whether it still leads; an agent's lease runs from the sending of this.
    Ping {
        /// Pairs the answer.
        sequence: u64,
    },
    /// A leader that a quorum has confirmed lately still leads.
    Pong {
        /// Of the ping.
        sequence: u64,
        /// The term of the lead.
        term: u64,
        /// The executor whose lease the leader has renewed, if the sender speaks for one.
        leased: Option<WorkerLife>,
    },
    /// An entry passes a caller's request on.
    Call {
        /// Pairs the answer.
        sequence: u64,
        /// The host that the caller named.
        host: String,
        /// The path that the caller named.
        path: String,
        /// What is asked.
        call: CallerCall,
    },
    /// The answer to a call.
    Answer {
        /// Of the call.
        sequence: u64,
        /// The answer.
        answer: CallerAnswer,
    },
    /// An agent describes its executor, which has answered it; sent anew whenever something of it
    /// has changed.
    Worker {
        /// The description.
        report: WorkerReport,
        /// Where the executor answers: one at a time can.
        place: Arc<str>,
    },
    /// An agent lists every run on its executor, and those it is about to start.
    Runs {
        /// The executor.
        worker: WorkerLife,
        /// The runs.
        runs: Vec<RunReport>,
    },
    /// Runs have ended.
    Ends {
        /// The executor.
        worker: WorkerLife,
        /// The ends, in their order.
        ends: Vec<EndReport>,
    },
    /// The ends up to this number are in the log.
    EndsNoted {
        /// The executor.
        worker: WorkerLife,
        /// The last number.
        up_to: u64,
    },
    /// A life of an executor is over: whatever ran there runs no more.
    WorkerGone {
        /// The life.
        worker: WorkerLife,
    },
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop {
        /// The executor.
        worker: WorkerLife,
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
    /// A control process with an empty disk asks to become a member.
    Join {
        /// Where it listens.
        address: PeerAddress,
    },
    /// A replica was removed from the group for good.
    Removed {
        /// Its id.
        replica: ReplicaId,
    },
    /// The replica id under which a control process may join.
    Admitted {
        /// The id.
        replica: ReplicaId,
    },
}

/// What a caller asks.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum CallerCall {
    /// Accept a job.
    Submit(JobSpec),
    /// Show a job.
    Show,
    /// Cancel a job.
    Cancel,
}

/// What a caller is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// Where the job stands.
    Phase(JobPhase),
    /// The number of the queue's jobs of which nothing has begun.
    Pending(u64),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The request makes no sense.
    Invalid(String),
    /// Not accepted now; the job never runs under this answer.
    Refused,
    /// The lead was lost before the request came to an end.
    Unresolved,
    /// The receiver does not lead, and has done nothing.
    NotLeading,
}

/// An executor as its agent sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerReport {
    /// Its present life.
    pub worker: WorkerLife,
    /// The service that it belongs to.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// What it can hold.
    pub capacity: TaskDemand,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// While it drains, the least time that is left, in milliseconds.
    pub drain_left_ms: Option<u64>,
    /// Whether it has answered its agent lately.
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
    /// How far it is; for a lasting task 100 while it is at work.
    pub percent: u8,
    /// For a serving task its tail latency in milliseconds, for others processors in use, in
    /// thousandths of a core; both over the last half second.
    pub figure: u64,
}

impl RunReport {
    /// Whether this is a run of a task.
    pub fn is_of(&self, task: TaskKey, run: RunNumber) -> bool {
        (self.task, self.run) == (task, run)
    }
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndReport {
    /// The executor's number of the end; 0 for a run that never began there.
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
    /// Whether this is the end of a task's run.
    pub fn is_of(&self, task: TaskKey, run: RunNumber) -> bool {
        (self.task, self.run) == (task, run)
    }
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartOrder {
    /// The executor.
    pub worker: WorkerLife,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// What it runs.
    pub payload: String,
    /// The checkpoint from which it resumes; empty for none.
    pub checkpoint: String,
    /// The tail latency that it must stay below, in milliseconds, if it serves.
    pub latency_target_ms: Option<u64>,
    /// Whether it only uses idle processors and may be paced.
    pub filler: bool,
}
