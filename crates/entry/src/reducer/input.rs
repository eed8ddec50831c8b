//! Inputs and effects of the entry reducer.

use {
    crate::problem::ProblemReport,
    base::{ByteSize, PeerAddress, ReplyTicket, RevisionNumber, ServiceName},
    proto::{
        messages::{
            ClaimReply, ClaimTarget, CloseReply, DeclarationBundle, DeclarationReply, DispatchId,
            DispatchReply, FenceReply, FenceRequest, ForwardedAnswer, IdempotencyKey, LedgerClaim,
            LedgerClose, PriorityClass, RequestFingerprint, TablePull, TableReply,
        },
        rpc::RpcError,
    },
    routing::{FlightNumber, RequestNumber},
    std::time::{Duration, SystemTime},
    telemetry::EntryEvent,
};

/// The part of a caller's request that the reducer decides by. The driver keeps the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Candidate services, the most likely first.
    pub services: Vec<ServiceName>,
    /// HTTP method.
    pub method: String,
    /// Text of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// Fingerprint that distinguishes a resend from another request under the same key.
    pub fingerprint: RequestFingerprint,
    /// How long the caller waits, if it sent a deadline.
    pub deadline: Option<Duration>,
    /// Size of the body, in bytes.
    pub body: ByteSize,
}

/// An input of the entry reducer.
#[derive(Debug)]
pub enum EntryInput {
    /// A complete request arrived. Numbers increase.
    CallerRequest {
        /// Request number.
        number: RequestNumber,
        /// Head of the request.
        head: RequestHead,
    },
    /// The caller of a request closed its connection.
    CallerGone {
        /// Request of the caller.
        number: RequestNumber,
    },
    /// A dispatch call returned.
    DispatchDone {
        /// Dispatch that was called.
        flight: FlightNumber,
        /// Reply of the agent, or the error of the call.
        result: Result<DispatchReply, RpcError>,
    },
    /// A claim call returned.
    ClaimReceived {
        /// Dispatch for which the key was claimed.
        flight: FlightNumber,
        /// Member that was called.
        peer: PeerAddress,
        /// Claim that was sent.
        claim: LedgerClaim,
        /// Reply of the member, or the error of the call.
        result: Result<ClaimReply, RpcError>,
    },
    /// A close call returned.
    CloseReceived {
        /// Dispatch of the claim.
        dispatch: DispatchId,
        /// Member that was called.
        peer: PeerAddress,
        /// Reply of the member, or the error of the call.
        result: Result<CloseReply, RpcError>,
    },
    /// A fence call returned.
    FenceReceived {
        /// Dispatch on whose behalf the agent was asked.
        flight: FlightNumber,
        /// Reply of the agent, or the error of the call.
        result: Result<FenceReply, RpcError>,
    },
    /// A pull of the endpoint table returned.
    TableReceived {
        /// Member that was called.
        peer: PeerAddress,
        /// Reply of the member, or the error of the call.
        result: Result<TableReply, RpcError>,
    },
    /// A peer sent newer declarations.
    DeclarationsReceived {
        /// Declarations of the peer.
        bundle: DeclarationBundle,
    },
    /// A peer requests newer declarations.
    DeclarationsRequested {
        /// Ticket of the pending reply.
        ticket: ReplyTicket,
        /// Revision that the peer has.
        known: RevisionNumber,
    },
    /// A message from a peer carried the revision that the peer has in force.
    RevisionReported {
        /// Peer that sent the message.
        peer: PeerAddress,
        /// Revision in force at the peer.
        revision: RevisionNumber,
    },
    /// Time has passed.
    Tick {
        /// Wall-clock time, against which exceptions expire.
        wall: SystemTime,
    },
    /// The process shuts down.
    Shutdown,
}

/// A dispatch for the driver to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchPlan {
    /// Dispatch to send.
    pub flight: FlightNumber,
    /// Id and destination of the dispatch.
    pub target: ClaimTarget,
    /// Priority class.
    pub priority: PriorityClass,
    /// When the caller stops waiting, on the entry's monotonic clock.
    pub deadline: Duration,
    /// Key under which the agent can be asked about the dispatch.
    pub key: Option<IdempotencyKey>,
    /// True if the request is idempotent. Only then may its dispatch use a pooled connection, on
    /// which a failed call does not prove that nothing was sent.
    pub repeatable: bool,
    /// True if another dispatch of the request is in flight.
    pub hedge: bool,
}

/// An effect that the driver performs.
#[derive(Debug, PartialEq)]
pub enum EntryEffect {
    /// Send a request to an agent.
    Dispatch(DispatchPlan),
    /// Send an answer to a caller.
    Answer {
        /// Request to answer.
        number: RequestNumber,
        /// Answer of the executor.
        answer: ForwardedAnswer,
    },
    /// Send a problem to a caller.
    Refuse {
        /// Request to answer.
        number: RequestNumber,
        /// Problem to send.
        problem: ProblemReport,
    },
    /// Claim a key in the ledger.
    Claim {
        /// Dispatch for which the key is claimed.
        flight: FlightNumber,
        /// Member to call.
        peer: PeerAddress,
        /// Claim to send.
        claim: LedgerClaim,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Close a claim in the ledger.
    Close {
        /// Member to call.
        peer: PeerAddress,
        /// Close to send.
        close: LedgerClose,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Ask an agent about a dispatch.
    Fence {
        /// Dispatch on whose behalf the agent is asked.
        flight: FlightNumber,
        /// Agent to call.
        agent: PeerAddress,
        /// Fence request to send.
        fence: FenceRequest,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Pull the endpoint table.
    PullTable {
        /// Member to call.
        peer: PeerAddress,
        /// Pull to send.
        pull: TablePull,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Pull newer declarations.
    PullDeclarations {
        /// Peer to call.
        peer: PeerAddress,
        /// Revision in force at this entry.
        known: RevisionNumber,
    },
    /// Reply to a peer that requested declarations.
    ServeDeclarations {
        /// Ticket of the pending reply.
        ticket: ReplyTicket,
        /// Reply to send.
        reply: DeclarationReply,
    },
    /// Newer declarations are in force.
    InForce(RevisionNumber),
    /// Declarations from a peer were rejected.
    DeclarationsRefused {
        /// Revision of the declarations.
        revision: RevisionNumber,
        /// First error in the declarations.
        reason: String,
    },
    /// The first endpoint table has arrived: the entry can route requests.
    Ready,
    /// Record an event.
    Record(EntryEvent),
    /// Every open request and every pending close has ended after a shutdown.
    Drained,
}
