//! The conversation between an entry and the agent beside an endpoint.

use {
    super::PriorityClass,
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{EndpointId, IncarnationNumber, RequestId, ServiceName, SlotCount},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// One dispatch of a request. A retry of the same request gets the next number.
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

/// A key under which a caller resends a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The service; keys of different services never meet.
    pub service: ServiceName,
    /// The caller's text, bounded by the entry.
    pub text: String,
}

/// A caller's request, as its executor is to see it.
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

/// An executor's whole answer.
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
    /// Names this dispatch. The agent runs a dispatch at most once.
    pub dispatch: DispatchId,
    /// The endpoint that is meant.
    pub endpoint: EndpointId,
    /// The life of the agent that is meant.
    pub incarnation: IncarnationNumber,
    /// Which requests go first when there is no room for all.
    pub priority: PriorityClass,
    /// How long the caller still waits. The agent gives up at its end.
    pub remaining: Duration,
    /// The key that the agent remembers and can fence.
    pub key: Option<IdempotencyKey>,
    /// The request.
    pub request: ForwardedRequest,
}

/// Why a request did not run. Every value is proof, not a guess.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No connection to the agent came about.
    NotConnected,
    /// All slots or connections of the endpoint are in use.
    NoSlot,
    /// The endpoint takes no new requests.
    Draining,
    /// The dispatch was meant for an earlier life of the agent.
    OtherIncarnation,
    /// The endpoint is not here, or the executor refused the connection.
    NoEndpoint,
    /// The time that was left had passed before the request reached a slot.
    DeadlinePassed,
    /// The agent had been told never to run this key, or this dispatch.
    Fenced,
    /// The endpoint's worker has no lease.
    NoLease,
    /// No service of this name is declared.
    UnknownService,
    /// The entry's queue is full.
    QueueFull,
    /// The request would have waited past its deadline.
    DeadlineUnreachable,
    /// A more urgent request took its place in the entry's queue.
    Displaced,
    /// The caller went away before the request reached an endpoint.
    CallerGone,
    /// The entry is shutting down.
    ShuttingDown,
    /// The ledger of idempotency keys can't be reached.
    LedgerUnavailable,
    /// The key was used before with another request.
    KeyReused,
    /// A request with the same key is in progress.
    KeyInProgress,
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the service's policy allows.
    BodyTooLarge,
}

/// Why nobody knows whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The deadline passed after dispatch.
    DeadlinePassed,
    /// The connection to the agent was lost after the request had been sent.
    AgentLost,
    /// The connection to the executor was lost after the request had been sent.
    ExecutorLost,
    /// The answer was cut short, malformed, too large or belonged to another request.
    BadAnswer,
}

/// What became of a dispatch, as the agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchOutcome {
    /// The executor answered.
    Answered(ForwardedAnswer),
    /// The executor never saw the request.
    NotRun(NotRunReason),
    /// The executor may have run the request.
    Unknown(UnknownReason),
}

/// How busy an endpoint is. Sent with every answer, so that entries need no other source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Slots in use by requests of all entries.
    pub in_use: SlotCount,
    /// All slots.
    pub slots: SlotCount,
    /// A smoothed service time.
    pub service_time: Duration,
    /// True when the endpoint takes no new requests.
    pub draining: bool,
}

/// Answers a [`DispatchRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// Echoes the dispatch; a reply to another dispatch is never passed on.
    pub dispatch: DispatchId,
    /// What became of it.
    pub outcome: DispatchOutcome,
    /// How busy the endpoint is.
    pub load: EndpointLoad,
}

impl RpcCall for DispatchRequest {
    const PATH: &'static str = "/internal/dispatch";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = DispatchReply;
}

/// Asks the agent that a key was claimed for what became of it, and to refuse the key from now
/// on when it never saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The endpoint that the key was claimed for.
    pub endpoint: EndpointId,
    /// The life of the agent that the key was claimed for.
    pub incarnation: IncarnationNumber,
    /// The key.
    pub key: IdempotencyKey,
    /// The dispatch that the claim named.
    pub dispatch: DispatchId,
}

/// Answers a [`FenceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The dispatch was never seen, and will be refused.
    Fenced,
    /// The request is running.
    InProgress,
    /// The request ran, and this is its answer.
    Answered(ForwardedAnswer),
    /// The request may have run, and its answer is lost.
    Unknown(UnknownReason),
    /// The agent has restarted since. What the earlier life ran is not known here.
    OtherIncarnation(IncarnationNumber),
}

impl RpcCall for FenceRequest {
    const PATH: &'static str = "/internal/fence";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry, ProcessRole::Control];
    type Reply = FenceReply;
}
