//! The dispatch protocol between an entry and the agent beside an endpoint.

use {
    super::PriorityClass,
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{EndpointId, IncarnationNumber, RequestId, ServiceName, SlotCount},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Identifies one dispatch of a request. A retry of the same request gets the next number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DispatchId {
    /// The caller's request.
    pub request: RequestId,
    /// The number of the dispatch, from 0.
    pub number: u32,
}

impl fmt::Display for DispatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.request, self.number)
    }
}

/// An idempotency key, under which a caller resends a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The service; keys of different services are independent.
    pub service: ServiceName,
    /// The caller's key, whose length the entry bounds.
    pub text: String,
}

/// A caller's request, in the form that the executor receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// End-to-end headers in the caller's order.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// An executor's complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedAnswer {
    /// The status code.
    pub status: u16,
    /// End-to-end headers in the executor's order.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// Asks an agent to run a request on its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// Identifies this dispatch. The agent runs a dispatch at most once.
    pub dispatch: DispatchId,
    /// The endpoint that should run the request.
    pub endpoint: EndpointId,
    /// The incarnation of the agent to which this dispatch applies.
    pub incarnation: IncarnationNumber,
    /// The priority of the request when not all can run.
    pub priority: PriorityClass,
    /// The time that remains until the caller's deadline, after which the agent gives up.
    pub remaining: Duration,
    /// The idempotency key, which the agent records and can fence.
    pub key: Option<IdempotencyKey>,
    /// The request.
    pub request: ForwardedRequest,
}

/// Why a request did not run. Every value is proof that it did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No connection to the agent was established.
    NotConnected,
    /// All slots or connections of the endpoint are in use.
    NoSlot,
    /// The endpoint accepts no new requests.
    Draining,
    /// The dispatch addressed an earlier incarnation of the agent.
    OtherIncarnation,
    /// The endpoint is not on this worker, or the executor refused the connection.
    NoEndpoint,
    /// The deadline passed before the request reached a slot.
    DeadlinePassed,
    /// The agent had been instructed to fence this key or this dispatch.
    Fenced,
    /// The endpoint's worker has no lease.
    NoLease,
    /// No service of this name is declared.
    UnknownService,
    /// The entry's queue is full.
    QueueFull,
    /// The request would have waited in the queue past its deadline.
    DeadlineUnreachable,
    /// A more urgent request displaced it from the entry's queue.
    Displaced,
    /// The caller disconnected before the request reached an endpoint.
    CallerGone,
    /// The entry is shutting down.
    ShuttingDown,
    /// The ledger of idempotency keys can't be reached.
    LedgerUnavailable,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// A request with the same idempotency key is in progress.
    KeyInProgress,
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the limit in the service's policy.
    BodyTooLarge,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The deadline passed after dispatch.
    DeadlinePassed,
    /// The connection to the agent was lost after the request had been sent.
    AgentLost,
    /// The connection to the executor was lost after the request had been sent.
    ExecutorLost,
    /// The answer was truncated, malformed or too large, or it belonged to another request.
    BadAnswer,
}

/// The outcome of a dispatch, as the agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchOutcome {
    /// The executor answered.
    Answered(ForwardedAnswer),
    /// The executor never received the request.
    NotRun(NotRunReason),
    /// The executor may have run the request.
    Unknown(UnknownReason),
}

/// The load of an endpoint. The agent sends it with every answer, so that entries need no other
/// source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The slots in use by requests of all entries.
    pub in_use: SlotCount,
    /// The total number of slots.
    pub slots: SlotCount,
    /// The smoothed service time.
    pub service_time: Duration,
    /// True if the endpoint accepts no new requests.
    pub draining: bool,
}

/// The reply to a [`DispatchRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// The dispatch that this reply belongs to; entries never pass on a reply to another dispatch.
    pub dispatch: DispatchId,
    /// The outcome of the dispatch.
    pub outcome: DispatchOutcome,
    /// The load of the endpoint.
    pub load: EndpointLoad,
}

impl RpcCall for DispatchRequest {
    const PATH: &'static str = "/internal/dispatch";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = DispatchReply;
}

/// Asks the agent for which a key was claimed about the outcome of the dispatch. If the agent never
/// received the dispatch, it fences the key: it rejects the key from then on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The endpoint for which the key was claimed.
    pub endpoint: EndpointId,
    /// The incarnation of the agent for which the key was claimed.
    pub incarnation: IncarnationNumber,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// The dispatch that the claim named.
    pub dispatch: DispatchId,
}

/// The reply to a [`FenceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The agent never received the dispatch, and will reject it.
    Fenced,
    /// The request is running.
    InProgress,
    /// The request has run, and this is its answer.
    Answered(ForwardedAnswer),
    /// The request may have run, and its answer is lost.
    Unknown(UnknownReason),
    /// The agent has restarted since. It has no record of what the earlier incarnation ran.
    OtherIncarnation(IncarnationNumber),
}

impl RpcCall for FenceRequest {
    const PATH: &'static str = "/internal/fence";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry, ProcessRole::Control];
    type Reply = FenceReply;
}
