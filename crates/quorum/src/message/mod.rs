//! The messages between replicas. They are opaque to the driver, which only carries them.

use {
    crate::interface::{GroupMember, LogEntry},
    base::{LogIndex, PeerAddress, ReplicaId, TermNumber},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// A message from one replica to another. Losing, repeating, delaying or reordering messages is
/// harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumMessage {
    /// The sender's term; for [`MessageBody::PreVote`] the term that it would stand for.
    pub(crate) term: TermNumber,
    /// Where the sender listens, for receivers that don't know the group yet.
    pub(crate) reply_to: Option<PeerAddress>,
    /// What is said.
    pub(crate) body: MessageBody,
}

impl QuorumMessage {
    /// A short name of the kind of message, for events and scenarios.
    pub fn kind(&self) -> &'static str {
        match &self.body {
            MessageBody::PreVote(_) => "pre-vote",
            MessageBody::PreVoteReply { .. } => "pre-vote-reply",
            MessageBody::Vote(_) => "vote",
            MessageBody::VoteReply { .. } => "vote-reply",
            MessageBody::Append(_) => "append",
            MessageBody::AppendReply(_) => "append-reply",
            MessageBody::SnapshotChunk(_) => "snapshot-chunk",
            MessageBody::SnapshotReply { .. } => "snapshot-reply",
        }
    }

    /// The term that the message carries.
    pub fn term(&self) -> TermNumber {
        self.term
    }

    /// The number of log entries that the message carries.
    pub fn entry_count(&self) -> usize {
        match &self.body {
            MessageBody::Append(append) => append.entries.len(),
            _ => 0,
        }
    }
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    /// Asks whether a vote would be granted. Changes nothing at the receiver.
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    PreVoteReply { granted: bool },
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote.
    VoteReply { granted: bool },
    /// Replicates entries, or none as a heartbeat.
    Append(AppendRequest),
    /// Answers an append.
    AppendReply(AppendReply),
    /// A piece of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers a piece of a snapshot with the number of bytes received so far.
    SnapshotReply { index: LogIndex, received: u64 },
}

/// The end of a candidate's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub(crate) last_index: LogIndex,
    pub(crate) last_term: TermNumber,
}

/// Entries that follow a known position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    pub(crate) prev_index: LogIndex,
    pub(crate) prev_term: TermNumber,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) committed: LogIndex,
    pub(crate) round: u64,
}

/// The answer to an append. It echoes the leader's confirmation round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendReply {
    pub(crate) round: u64,
    pub(crate) outcome: AppendOutcome,
}

/// Whether the receiver's log has the position that an append builds on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AppendOutcome {
    /// Every entry up to this position equals the leader's and is synced.
    Accepted { matched: LogIndex },
    /// The logs differ at `prev_index`. They can agree at most up to `hint_index`, where the
    /// receiver has `hint_term`.
    Rejected { prev_index: LogIndex, hint_index: LogIndex, hint_term: TermNumber },
}

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotChunk {
    pub(crate) index: LogIndex,
    pub(crate) term: TermNumber,
    pub(crate) members: Vec<GroupMember>,
    pub(crate) retired: Vec<ReplicaId>,
    pub(crate) total: u64,
    pub(crate) offset: u64,
    pub(crate) data: Bytes,
}
