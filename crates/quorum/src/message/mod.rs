//! The messages between replicas. The driver transports them without reading their content.

use {
    crate::interface::{GroupMember, LogEntry},
    base::{LogIndex, PeerAddress, ReplicaId, TermNumber},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// A message from one replica to another. Loss, duplication, delay and reordering are harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumMessage {
    /// The sender's term. In [`MessageBody::PreVote`], and in a reply that grants it, the term in
    /// which the candidate would start an election.
    pub(crate) term: TermNumber,
    /// The address on which the sender listens, for receivers that don't know the group yet.
    pub(crate) reply_to: Option<PeerAddress>,
    /// The kind of message and its content.
    pub(crate) body: MessageBody,
}

impl QuorumMessage {
    /// Returns a short name of the message kind, for events and scenarios.
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

    /// Returns the term that the message carries.
    pub fn term(&self) -> TermNumber {
        self.term
    }

    /// Returns the number of log entries that the message carries.
    pub fn entry_count(&self) -> usize {
        match &self.body {
            MessageBody::Append(append) => append.entries.len(),
            _ => 0,
        }
    }
}

/// The kind of a message, with its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MessageBody {
    /// Asks whether the receiver would grant its vote. Does not change the receiver's state.
    PreVote(VoteRequest),
    /// Replies to a pre-vote request.
    PreVoteReply { granted: bool },
    /// Requests a vote.
    Vote(VoteRequest),
    /// Replies to a vote request.
    VoteReply { granted: bool },
    /// Replicates entries. Without entries it serves as a heartbeat.
    Append(AppendRequest),
    /// Replies to an append request.
    AppendReply(AppendReply),
    /// Transfers a part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Acknowledges a part of a snapshot, with the number of bytes received so far.
    SnapshotReply { index: LogIndex, received: u64 },
}

/// The last position and term of a candidate's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteRequest {
    pub(crate) last_index: LogIndex,
    pub(crate) last_term: TermNumber,
}

/// Entries that follow the position `prev_index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendRequest {
    pub(crate) prev_index: LogIndex,
    pub(crate) prev_term: TermNumber,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) committed: LogIndex,
    pub(crate) round: u64,
}

/// The reply to an append request. It echoes the request's round, which confirms leadership for
/// reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppendReply {
    pub(crate) round: u64,
    pub(crate) outcome: AppendOutcome,
}

/// Whether the receiver's log contains the position that precedes the appended entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AppendOutcome {
    /// Every entry up to `matched` equals the leader's and is synced.
    Accepted { matched: LogIndex },
    /// The logs differ at `prev_index`, or the request is of an earlier term. The logs can match at
    /// most up to `hint_index`, where the receiver's entry has term `hint_term`.
    Rejected { prev_index: LogIndex, hint_index: LogIndex, hint_term: TermNumber },
}

/// A part of a snapshot, with the metadata of the whole.
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
