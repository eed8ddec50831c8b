//! The ledger of idempotency keys, kept in the replicated log. See `docs/decisions/ledger.md`.

use {
    super::{DispatchId, ForwardedAnswer, IdempotencyKey, UnknownReason},
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{EndpointId, IncarnationNumber, PeerAddress, ReplicaId},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A digest of method, target and body, which tells a resend from another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub [u8; 16]);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Where a claimed request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTarget {
    /// The dispatch that the claim covers.
    pub dispatch: DispatchId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life of the agent beside it.
    pub incarnation: IncarnationNumber,
    /// Where the agent listens.
    pub agent: PeerAddress,
}

/// Claims a key before its request is dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that the key stands for.
    pub fingerprint: RequestFingerprint,
    /// Where the request is about to be sent.
    pub target: ClaimTarget,
    /// How long the key is kept after its request has ended.
    pub keep: Duration,
    /// Set when an earlier claim's target has been fenced: the claim moves from it to `target`.
    pub replaces: Option<DispatchId>,
}

/// What an entry learns of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This replica does not lead, or lost the lead before the claim was committed. Nothing must
    /// be dispatched.
    NotLeader {
        /// Who leads, as far as the replica knows, and where.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The claim is committed: the request may be dispatched to the target, once.
    Granted,
    /// The request has run before, and this is its answer.
    Stored(ForwardedAnswer),
    /// The request may have run before, and its answer is lost.
    Lost(UnknownReason),
    /// Another dispatch holds the key. It is resolved by asking its target.
    Held(ClaimTarget),
    /// The key was used with another request.
    OtherRequest,
}

impl RpcCall for LedgerClaim {
    const PATH: &'static str = "/internal/ledger/claim";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = ClaimReply;
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// It was answered.
    Answered(ForwardedAnswer),
    /// It provably did not run: the key is free again.
    NotRun,
    /// It may have run, and its answer is lost for good.
    Lost(UnknownReason),
}

/// Closes a claim. Repeating it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerClose {
    /// The key.
    pub key: IdempotencyKey,
    /// The dispatch that the claim named.
    pub dispatch: DispatchId,
    /// How the request ended.
    pub end: ClaimEnd,
}

/// Answers a [`LedgerClose`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CloseReply {
    /// This replica does not lead.
    NotLeader {
        /// Who leads, as far as the replica knows, and where.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The end is committed.
    Closed,
    /// The key is held by another dispatch, or by none.
    NotHeld,
}

impl RpcCall for LedgerClose {
    const PATH: &'static str = "/internal/ledger/close";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = CloseReply;
}
