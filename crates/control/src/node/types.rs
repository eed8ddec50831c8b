//! The events and effects that the control reducer and its driver exchange.

use {
    crate::{leader::SenderInfo, state::StateError},
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

/// An input of the control reducer.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    /// Time has passed.
    Tick {
        /// Milliseconds of the wall clock since the Unix epoch. They are recorded in histories and
        /// decide which exceptions have expired. No lease or key expires by them.
        wall_ms: u64,
    },
    /// A message from another replica.
    Quorum {
        /// The sender.
        from: ReplicaId,
        /// The header fields that describe the sender.
        note: SenderInfo,
        /// The sender's address for operators.
        operator_address: PeerAddress,
        /// The message.
        message: QuorumMessage,
    },
    /// A batch has been written and synced.
    Persisted {
        /// The batch number.
        number: u64,
    },
    /// A batch could not be written.
    PersistFailed {
        /// The batch number.
        number: u64,
    },
    /// An agent's heartbeat.
    Heartbeat {
        /// Identifies the request to reply to.
        ticket: ReplyTicket,
        /// The header fields that describe the sender.
        note: SenderInfo,
        /// The heartbeat.
        heartbeat: AgentHeartbeat,
    },
    /// An entry asks for changes of the endpoint table.
    Table {
        /// Identifies the request to reply to.
        ticket: ReplyTicket,
        /// The header fields that describe the sender.
        note: SenderInfo,
        /// The pull.
        pull: TablePull,
    },
    /// An entry claims an idempotency key.
    Claim {
        /// Identifies the request to reply to.
        ticket: ReplyTicket,
        /// The claim.
        claim: LedgerClaim,
    },
    /// An entry closes a claim.
    Close {
        /// Identifies the request to reply to.
        ticket: ReplyTicket,
        /// The claim's end.
        close: LedgerClose,
    },
    /// A process asks for newer declarations.
    Declarations {
        /// Identifies the request to reply to.
        ticket: ReplyTicket,
        /// The pull.
        pull: DeclarationPull,
    },
    /// An operator's call.
    Operator {
        /// Identifies the request to reply to.
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
    /// Returns a parked job to the queue.
    Unpark(JobId),
    /// Drains a worker, or stops draining it.
    Drain {
        /// The worker.
        worker: WorkerId,
        /// True to drain the worker, false to stop draining it.
        draining: bool,
    },
    /// Reads the state of the fleet.
    Status,
    /// Changes the members of the control group.
    Members(MemberRequest),
    /// Explains the phase and the steps of a task.
    ExplainTask(TaskId),
    /// Explains the phase of a worker and the decisions about its tasks.
    ExplainWorker(WorkerId),
    /// Explains the values that are in force for a subject.
    ExplainPolicy(PolicySubject),
}

/// The answer to an operator's call.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    /// The reply to [`OperatorCall::Apply`].
    Applied(ApplyReply),
    /// The accepted declarations, for [`OperatorCall::Declarations`].
    Declarations(DeclarationBundle),
    /// The reply to [`OperatorCall::Submit`].
    Submitted(SubmitReply),
    /// The jobs without their tasks, for [`OperatorCall::Jobs`].
    Jobs(Vec<JobStatus>),
    /// The job with its tasks, for [`OperatorCall::Job`].
    Job(Box<JobStatus>),
    /// The reply to [`OperatorCall::Cancel`].
    Cancelled(CancelReply),
    /// The reply to [`OperatorCall::Unpark`].
    Unparked(UnparkReply),
    /// The reply to [`OperatorCall::Drain`].
    Drained(DrainReply),
    /// The state of the fleet, for [`OperatorCall::Status`].
    Status(Box<FleetStatus>),
    /// The reply to [`OperatorCall::Members`].
    Members(MemberReply),
    /// The explanation, for [`OperatorCall::ExplainTask`], [`OperatorCall::ExplainWorker`] and
    /// [`OperatorCall::ExplainPolicy`].
    Explained(ExplainReply),
    /// The call failed, or its outcome is unknown.
    Problem(OperatorProblem),
}

/// A reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeReply {
    /// The reply to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// The reply to a pull of the endpoint table.
    Table(TableReply),
    /// The reply to a claim.
    Claim(ClaimReply),
    /// The reply to the closing of a claim.
    Close(CloseReply),
    /// The reply to a pull of declarations.
    Declarations(DeclarationReply),
    /// The answer to an operator.
    Operator(OperatorAnswer),
    /// The node refused the message and changed nothing for it, except that the reports of a
    /// refused heartbeat may already have been proposed.
    Refused(RpcRefusal),
}

/// An action that the reducer asks of its driver. The driver performs the effects in order.
#[derive(Debug)]
pub enum NodeEffect {
    /// Sends a message to another replica. The protocol tolerates its loss.
    SendQuorum {
        /// The receiver.
        to: ReplicaId,
        /// The receiver's address.
        address: PeerAddress,
        /// The message.
        message: QuorumMessage,
    },
    /// Writes and syncs a batch, then reports the result as an event.
    Persist(PersistBatch),
    /// Replies to a request.
    Reply {
        /// Identifies the request.
        ticket: ReplyTicket,
        /// The reply.
        reply: NodeReply,
    },
    /// Records an event in the process's event log.
    Record(ControlEvent),
    /// Puts a revision in force in this process.
    PutInForce(RevisionNumber),
    /// Reports whether a leader is known, which makes this process ready.
    Ready(bool),
    /// Stops the reducer for good, because the log or a snapshot can't be decoded. The files stay
    /// as they are.
    Halt(StateError),
}
