//! What can happen to an entry, and what it asks its driver to do.

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

/// What the reducer needs to know of a caller's request. The rest stays with the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The services that it may be meant for, the likeliest first.
    pub services: Vec<ServiceName>,
    /// The method.
    pub method: String,
    /// The text of its `Idempotency-Key`.
    pub key: Option<String>,
    /// Tells a resend from another request.
    pub fingerprint: RequestFingerprint,
    /// How long the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// The size of the body.
    pub body: ByteSize,
}

/// What can happen to an entry.
#[derive(Debug)]
pub enum EntryInput {
    /// A whole request has arrived. Numbers rise.
    CallerRequest {
        /// Its number.
        number: RequestNumber,
        /// What it says.
        head: RequestHead,
    },
    /// The caller of a request has closed its connection.
    CallerGone {
        /// The request.
        number: RequestNumber,
    },
    /// A dispatch has ended.
    DispatchDone {
        /// The dispatch.
        flight: FlightNumber,
        /// What the agent answered, or why there is no answer.
        result: Result<DispatchReply, RpcError>,
    },
    /// A claim has ended.
    ClaimReceived {
        /// The dispatch that was claimed for.
        flight: FlightNumber,
        /// Who was asked.
        peer: PeerAddress,
        /// What it was asked.
        claim: LedgerClaim,
        /// What it answered.
        result: Result<ClaimReply, RpcError>,
    },
    /// The closing of a claim has ended.
    CloseReceived {
        /// The dispatch of the claim.
        dispatch: DispatchId,
        /// Who was asked.
        peer: PeerAddress,
        /// What it answered.
        result: Result<CloseReply, RpcError>,
    },
    /// An agent was asked about a dispatch.
    FenceReceived {
        /// The dispatch on whose behalf it was asked.
        flight: FlightNumber,
        /// What it answered.
        result: Result<FenceReply, RpcError>,
    },
    /// A pull of the table has ended.
    TableReceived {
        /// Who was asked.
        peer: PeerAddress,
        /// What it answered.
        result: Result<TableReply, RpcError>,
    },
    /// A peer sent newer declarations.
    DeclarationsReceived {
        /// The declarations.
        bundle: DeclarationBundle,
    },
    /// A peer asks for newer declarations.
    DeclarationsAsked {
        /// Where the reply goes.
        ticket: ReplyTicket,
        /// What the peer has.
        known: RevisionNumber,
    },
    /// A message of a peer named the revision that it has in force.
    RevisionHeard {
        /// The peer.
        peer: PeerAddress,
        /// The revision.
        revision: RevisionNumber,
    },
    /// Time has passed.
    Tick {
        /// The wall-clock time, which decides whether an exception has expired.
        wall: SystemTime,
    },
    /// The process is to end.
    Shutdown,
}

/// A dispatch as the driver is to send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchPlan {
    /// The dispatch.
    pub flight: FlightNumber,
    /// Its id and where it goes.
    pub target: ClaimTarget,
    /// How urgent it is.
    pub priority: PriorityClass,
    /// When the caller stops waiting, on the clock of the entry.
    pub deadline: Duration,
    /// The key under which the agent can be asked about it.
    pub key: Option<IdempotencyKey>,
    /// True when a connection that has been used before may be tried.
    pub repeatable: bool,
    /// True when another dispatch of the request is out.
    pub hedge: bool,
}

/// What the driver is asked to do.
#[derive(Debug, PartialEq)]
pub enum EntryEffect {
    /// Send a request to an agent.
    Dispatch(DispatchPlan),
    /// Give a caller its answer.
    Answer {
        /// The request.
        number: RequestNumber,
        /// The answer.
        answer: ForwardedAnswer,
    },
    /// Tell a caller why there is no answer.
    Refuse {
        /// The request.
        number: RequestNumber,
        /// What to say.
        problem: ProblemReport,
    },
    /// Claim a key.
    Claim {
        /// The dispatch that is claimed for.
        flight: FlightNumber,
        /// Whom to ask.
        peer: PeerAddress,
        /// What to ask.
        claim: LedgerClaim,
        /// How long to wait.
        timeout: Duration,
    },
    /// Close a claim.
    Close {
        /// Whom to tell.
        peer: PeerAddress,
        /// What to tell.
        close: LedgerClose,
        /// How long to wait.
        timeout: Duration,
    },
    /// Ask an agent about a dispatch.
    Fence {
        /// The dispatch on whose behalf it is asked.
        flight: FlightNumber,
        /// Whom to ask.
        agent: PeerAddress,
        /// What to ask.
        fence: FenceRequest,
        /// How long to wait.
        timeout: Duration,
    },
    /// Pull the table of endpoints.
    PullTable {
        /// Whom to ask.
        peer: PeerAddress,
        /// What to ask.
        pull: TablePull,
        /// How long to wait.
        timeout: Duration,
    },
    /// Pull newer declarations.
    PullDeclarations {
        /// Whom to ask.
        peer: PeerAddress,
        /// What is in force here.
        known: RevisionNumber,
    },
    /// Answer a peer that asked for declarations.
    ServeDeclarations {
        /// Where the reply goes.
        ticket: ReplyTicket,
        /// The reply.
        reply: DeclarationReply,
    },
    /// Newer declarations are in force.
    InForce(RevisionNumber),
    /// Declarations that were offered can't be used.
    DeclarationsRefused {
        /// Their revision.
        revision: RevisionNumber,
        /// The first error in them.
        reason: String,
    },
    /// The first table has arrived: requests can be routed.
    Ready,
    /// Record an event.
    Record(EntryEvent),
    /// Everything in progress has ended after a shutdown began.
    Drained,
}
