//! The messages that replicas exchange.

use {
    base::{PeerAddress, ReplicaId},
    proto::{envelope::ProcessRole, rpc::RpcCall},
    quorum::QuorumMessage,
    serde::{Deserialize, Serialize},
};

/// One or more messages from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuorumEnvelope {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver. A different replica that now listens at the address ignores the messages.
    pub to: ReplicaId,
    /// The sender's address for operators, so that every replica can direct operators to the
    /// leader.
    pub operator_address: PeerAddress,
    /// The messages, in order.
    pub messages: Vec<QuorumMessage>,
}

/// Acknowledges that the messages arrived, and nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuorumAcknowledgement;

impl RpcCall for QuorumEnvelope {
    const PATH: &'static str = "/internal/quorum";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Control];
    type Reply = QuorumAcknowledgement;
}
