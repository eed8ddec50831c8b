//! What passes between the control reducer and its driver.

use {
    crate::{leader::ProcessNote, state::StateError},
    base::{JobId, PeerAddress, ReplicaId, ReplyTicket, RevisionNumber, TaskId, WorkerId},
    proto::{
        messages::{
            operator::{
                ApplyReply, ApplyRequest, CancelReply, DrainReply, ExplainReply, FleetStatus,
                JobStatus, MemberReply, MemberRequest, OperatorProblem, SubmitReply, SubmitRequest,
                UnparkReply,
            },
            AgentHeartbeat, ClaimReply, CloseReply, DeclarationBundle, DeclarationPull,
            DeclarationReply, HeartbeatReply, LedgerClaim, LedgerClose, TablePull, TableReply,
        },
        rpc::RpcRefusal,
    },
    quorum::{PersistBatch, QuorumMessage},
    settings::PolicySubject,
    telemetry::ControlEvent,
};

/// Something that happens to a control process.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    /// Time has passed.
    Tick {
        /// Milliseconds of the wall clock since the Unix epoch. They go into histories; no decision
        /// rests on them.
        wall_ms: u64,
    },
    /// A message of another replica.
    Quorum {
        /// The sender.
        from: ReplicaId,
        /// What its header says of it.
        note: ProcessNote,
        /// Where operators reach it.
        operator_address: PeerAddress,
        /// The message.
        message: QuorumMessage,
    },
    /// A batch is synced.
    Persisted {
        /// Its number.
        number: u64,
    },
    /// A batch could not be written.
    PersistFailed {
        /// Its number.
        number: u64,
    },
    /// An agent's heartbeat.
    Heartbeat {
        /// Pairs the reply.
        ticket: ReplyTicket,
        /// The sender.
        note: ProcessNote,
        /// The heartbeat.
        heartbeat: AgentHeartbeat,
    },
    /// An entry asks for changes of the table.
    Table {
        /// Pairs the reply.
        ticket: ReplyTicket,
        /// The sender.
        note: ProcessNote,
        /// The pull.
        pull: TablePull,
    },
    /// An entry claims an idempotency key.
    Claim {
        /// Pairs the reply.
        ticket: ReplyTicket,
        /// The claim.
        claim: LedgerClaim,
    },
    /// An entry closes a claim.
    Close {
        /// Pairs the reply.
        ticket: ReplyTicket,
        /// The end.
        close: LedgerClose,
    },
    /// A process asks for newer declarations.
    Declarations {
        /// Pairs the reply.
        ticket: ReplyTicket,
        /// The pull.
        pull: DeclarationPull,
    },
    /// An operator's call.
    Operator {
        /// Pairs the answer.
        ticket: ReplyTicket,
        /// The call.
        call: OperatorCall,
    },
}

/// An operator's call.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorCall {
    /// Replaces the declarations.
    Apply(ApplyRequest),
    /// Reads the accepted declarations.
    Declarations,
    /// Submits a job.
    Submit(SubmitRequest),
    /// Lists the jobs.
    Jobs,
    /// Reads a job with its tasks.
    Job(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Lets a parked job be tried again.
    Unpark(JobId),
    /// Drains a worker, or takes that back.
    Drain {
        /// The worker.
        worker: WorkerId,
        /// True to drain it.
        draining: bool,
    },
    /// Reads the state of the fleet.
    Status,
    /// Changes the control group.
    Members(MemberRequest),
    /// Explains where a task is and why.
    ExplainTask(TaskId),
    /// Explains why a worker is treated as it is.
    ExplainWorker(WorkerId),
    /// Explains the values that are in force for a subject.
    ExplainPolicy(PolicySubject),
}

/// The answer to an operator's call.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// To [`OperatorCall::Apply`].
    Applied(ApplyReply),
    /// To [`OperatorCall::Declarations`].
    Declarations(DeclarationBundle),
    /// To [`OperatorCall::Submit`].
    Submitted(SubmitReply),
    /// To [`OperatorCall::Jobs`].
    Jobs(Vec<JobStatus>),
    /// To [`OperatorCall::Job`].
    Job(Box<JobStatus>),
    /// To [`OperatorCall::Cancel`].
    Cancelled(CancelReply),
    /// To [`OperatorCall::Unpark`].
    Unparked(UnparkReply),
    /// To [`OperatorCall::Drain`].
    Drained(DrainReply),
    /// To [`OperatorCall::Status`].
    Status(Box<FleetStatus>),
    /// To [`OperatorCall::Members`].
    Members(MemberReply),
    /// To the calls that explain.
    Explained(ExplainReply),
    /// The call came to nothing, or nobody knows.
    Problem(OperatorProblem),
}

/// A reply to whoever asked.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeReply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a table pull.
    Table(TableReply),
    /// To a claim.
    Claim(ClaimReply),
    /// To a close.
    Close(CloseReply),
    /// To a declaration pull.
    Declarations(DeclarationReply),
    /// To an operator.
    Operator(OperatorAnswer),
    /// The message was refused unread: proof that nothing was done.
    Refused(RpcRefusal),
}

/// What the driver is asked to do, in order.
#[derive(Debug)]
pub enum NodeEffect {
    /// Send a message to another replica. Losing it is harmless.
    SendQuorum {
        /// The receiver.
        to: ReplicaId,
        /// Where it listens.
        address: PeerAddress,
        /// The message.
        message: QuorumMessage,
    },
    /// Write and sync, then report.
    Persist(PersistBatch),
    /// Answer.
    Reply {
        /// Whom.
        ticket: ReplyTicket,
        /// What.
        reply: NodeReply,
    },
    /// Record an event.
    Record(ControlEvent),
    /// A revision is in force in this process.
    PutInForce(RevisionNumber),
    /// Whether a leader is known, which makes this process ready.
    Ready(bool),
    /// The log or a snapshot can't be decoded: the process has to stop, its files untouched.
    Halt(StateError),
}
