//! The ledger of idempotency keys, stored in the replicated log. See `docs/decisions/ledger.md`.

use {
    super::{DispatchId, ForwardedAnswer, IdempotencyKey, UnknownReason},
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{EndpointId, IncarnationNumber, PeerAddress, ReplicaId},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A digest of method, target and body, which distinguishes a resent request from a different one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub [u8; 16]);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The target of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTarget {
    /// The dispatch that the claim covers.
    pub dispatch: DispatchId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the agent beside the endpoint.
    pub incarnation: IncarnationNumber,
    /// The address of the agent.
    pub agent: PeerAddress,
}

/// Claims an idempotency key before the entry dispatches its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// The fingerprint of the request that the key identifies.
    pub fingerprint: RequestFingerprint,
    /// The target to which the entry is about to send the request.
    pub target: ClaimTarget,
    /// How long the ledger keeps the key after its request has ended.
    pub keep: Duration,
    /// Set once the target of an earlier claim has been fenced: the claim moves from that dispatch
    /// to `target`.
    pub replaces: Option<DispatchId>,
}

/// The reply to a [`LedgerClaim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This replica is not the leader, or lost leadership before the claim was committed. The entry
    /// must not dispatch the request.
    NotLeader {
        /// The leader and its address, if the replica knows them.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The claim is committed: the entry may dispatch the request to the target, once.
    Granted,
    /// The request has already run, and this is its answer.
    Stored(ForwardedAnswer),
    /// The request may have run, and its answer is lost.
    Lost(UnknownReason),
    /// Another dispatch has claimed the key. The entry resolves it by asking that dispatch's
    /// target.
    #[serde(rename = "Held")]
    Claimed(ClaimTarget),
    /// The key was used with a different request.
    OtherRequest,
}

impl RpcCall for LedgerClaim {
    const PATH: &'static str = "/internal/ledger/claim";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = ClaimReply;
}

/// The outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// The executor answered.
    Answered(ForwardedAnswer),
    /// The request provably did not run: the key may be claimed again.
    NotRun,
    /// The request may have run, and its answer is permanently lost.
    Lost(UnknownReason),
}

/// Closes a claim. Idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerClose {
    /// The key.
    pub key: IdempotencyKey,
    /// The dispatch that the claim named.
    pub dispatch: DispatchId,
    /// The outcome of the request.
    pub end: ClaimEnd,
}

/// The reply to a [`LedgerClose`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CloseReply {
    /// This replica is not the leader.
    NotLeader {
        /// The leader and its address, if the replica knows them.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The outcome is committed.
    Closed,
    /// The key is claimed by another dispatch, or by none.
    #[serde(rename = "NotHeld")]
    NotClaimed,
}

impl RpcCall for LedgerClose {
    const PATH: &'static str = "/internal/ledger/close";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = CloseReply;
}
