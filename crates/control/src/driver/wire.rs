//! How the messages of the log travel.

use {
    base::{PeerAddress, ReplicaId},
    proto::{envelope::ProcessRole, rpc::RpcCall},
    quorum::QuorumMessage,
    serde::{Deserialize, Serialize},
};

/// Messages from one replica to another, several at once when they have gathered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuorumEnvelope {
    /// The sender.
    pub from: ReplicaId,
    /// The replica that is meant. Another one that has come to listen at its address ignores them.
    pub to: ReplicaId,
    /// Where operators reach the sender, so that every replica can name the leader to them.
    pub operator_address: PeerAddress,
    /// The messages, in order.
    pub messages: Vec<QuorumMessage>,
}

/// Says no more than that the messages arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuorumAcknowledgement;

impl RpcCall for QuorumEnvelope {
    const PATH: &'static str = "/internal/quorum";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Control];
    type Reply = QuorumAcknowledgement;
}
