//! The events, effects and data types that the log's state machine exchanges with its driver.

use {
    base::{LogIndex, PeerAddress, ReplicaId, ReplyTicket, TermNumber},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// A member of the group: a voter or a learner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The replica.
    pub replica: ReplicaId,
    /// The address on which the replica accepts messages from the other replicas.
    pub address: PeerAddress,
    /// True for a voter, false for a learner.
    pub voter: bool,
}

/// A membership change that affects a single member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner, under an id that was never used.
    AddLearner {
        /// The new replica.
        replica: ReplicaId,
        /// The address on which the replica accepts messages from the other replicas.
        address: PeerAddress,
    },
    /// Turns a learner that has caught up into a voter.
    Promote {
        /// The learner.
        replica: ReplicaId,
    },
    /// Removes a replica permanently.
    Remove {
        /// The replica to remove.
        replica: ReplicaId,
    },
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No content. A new leader commits such an entry to find out which earlier entries are
    /// committed.
    Empty,
    /// Opaque data of the caller.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The whole group after a membership change, with every id that was ever removed.
    Members {
        /// The members after the change.
        members: Vec<GroupMember>,
        /// Ids of removed replicas, which must never be used again.
        retired: Vec<ReplicaId>,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: TermNumber,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// The term and vote that must be on disk before the replica sends a vote or an acknowledgement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: TermNumber,
    /// The candidate that received this replica's vote in that term, or the leader from which the
    /// replica learned of the term. The replica votes for no other candidate of that term.
    pub voted_for: Option<ReplicaId>,
}

/// A snapshot of the caller's state and of the group at one log position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last position that the snapshot covers.
    pub index: LogIndex,
    /// The term of that position.
    pub term: TermNumber,
    /// The group at that position.
    pub members: Vec<GroupMember>,
    /// Ids of replicas that were removed up to that position.
    pub retired: Vec<ReplicaId>,
    /// The caller's serialized state.
    pub data: Bytes,
}

/// What a replica reads from its disk when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The last synced term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// The entries after the snapshot, in order and without gaps.
    pub entries: Vec<LogEntry>,
}

impl RecoveredLog {
    /// Applies a batch as writing and syncing it to disk would, in the order of the batch's fields.
    /// A driver that keeps the log in memory calls this when a batch is synced, so that it holds
    /// exactly what [`LogStorage`](crate::LogStorage) would recover after a crash.
    pub fn apply(&mut self, batch: &PersistBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
    }
}

/// Limits and timeouts of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuorumSettings {
    /// Id of this replica.
    pub replica: ReplicaId,
    /// The voters of a newly founded group; ignored when the log or snapshot contains a group.
    pub founders: Vec<GroupMember>,
    /// The shortest time without a leader after which the replica starts an election; the longest
    /// is twice that. A leader that receives no replies from a quorum for this long steps down.
    pub election_timeout: Duration,
    /// The interval between a leader's messages to an idle follower.
    pub heartbeat: Duration,
    /// The largest number of bytes of entries in one message; a single larger entry is still sent.
    pub batch_bytes: usize,
    /// The largest number of unacknowledged messages to one follower.
    pub in_flight_limit: usize,
    /// The largest number of proposals that may be waiting for commitment, and of reads that may be
    /// waiting for a confirmation of leadership.
    pub pending_limit: usize,
    /// The largest number of bytes of snapshot data in one message.
    pub snapshot_chunk: usize,
    /// The number of applied entries after a snapshot that triggers the next one.
    pub snapshot_every: u64,
}

/// A set of changes that the driver writes and syncs together, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Sequence number of the batch, counted from 1 since the replica started.
    pub number: u64,
    /// A snapshot received from the leader or taken here; it replaces the log up to its position.
    pub snapshot: Option<LogSnapshot>,
    /// Removes every entry from this position on.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
}

/// The current role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one to appear.
    Follower,
    /// Runs a pre-vote or an election, or has won one and not yet applied every entry of earlier
    /// terms.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Why a proposal, read or membership change failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ProposalError {
    /// This replica is not the leader; it appended nothing.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// The leader, if this replica knows it.
        leader: Option<ReplicaId>,
    },
    /// Leadership was lost after the entry was appended. Another leader may still commit the entry.
    #[snafu(display("leadership was lost before the entry was committed"))]
    Unresolved,
    /// The limit of pending proposals or reads is reached; nothing was appended.
    #[snafu(display("too many proposals or reads are pending"))]
    Overloaded,
    /// The previous membership change, or the first entry that the leader appended, is not committed
    /// yet.
    #[snafu(display("another membership change is in progress"))]
    ChangeInProgress,
    /// The membership change is not valid for the current group.
    #[snafu(display("the change does not apply to the present group: {reason}"))]
    ChangeRefused {
        /// Why the change is not valid.
        reason: ChangeRefusal,
    },
}

/// Why a membership change is not valid for the current group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ChangeRefusal {
    /// The replica id is or was in use.
    #[snafu(display("the replica id is or was in use; choose one that was never used"))]
    IdUsed,
    /// The group has no replica with this id.
    #[snafu(display("there is no such replica in the group"))]
    NoSuchReplica,
    /// The replica is a voter already.
    #[snafu(display("the replica is already a voter"))]
    AlreadyVoter,
    /// The learner has not caught up with the log.
    #[snafu(display("the learner has not caught up with the log"))]
    NotCaughtUp,
    /// The group would have no voter left.
    #[snafu(display("the last voter can't be removed"))]
    LastVoter,
    /// Too few voters of the changed group respond now to form its quorum.
    #[snafu(display("the remaining voters that respond now would not form a quorum"))]
    QuorumAtRisk,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum QuorumEvent<M> {
    /// Time has passed. The driver must send this at least once per heartbeat interval.
    Tick,
    /// A message has arrived. The driver has authenticated the sender.
    Received {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: M,
    },
    /// The batch with this number and all earlier ones are synced.
    Persisted {
        /// The number of the batch.
        number: u64,
    },
    /// Writing a batch failed, for example because the disk is full. The replica gives up
    /// leadership and neither votes nor acknowledges entries until [`QuorumEvent::Persisted`]
    /// reports a retried batch.
    PersistFailed {
        /// The number of the batch.
        number: u64,
    },
    /// The caller proposes data to append and commit.
    Propose {
        /// Identifies the proposal in the effect that reports its outcome.
        ticket: ReplyTicket,
        /// The data.
        data: Vec<u8>,
    },
    /// The caller requests a read that must reflect every entry committed before the request.
    ConfirmRead {
        /// Identifies the read in the effect that reports its outcome.
        ticket: ReplyTicket,
    },
    /// The caller requests a membership change.
    ChangeMembers {
        /// Identifies the change in the effect that reports its outcome.
        ticket: ReplyTicket,
        /// The change.
        change: MemberChange,
    },
    /// The caller has taken the snapshot that [`QuorumEffect::TakeSnapshot`] requested.
    SnapshotTaken {
        /// The last position that the state includes.
        index: LogIndex,
        /// The serialized state.
        data: Vec<u8>,
    },
}

/// An output of the state machine. The driver carries out effects in order.
#[derive(Debug, Clone)]
pub enum QuorumEffect<M> {
    /// Sends a message. Message loss is harmless.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The address on which the receiver listens.
        address: PeerAddress,
        /// The message.
        message: M,
    },
    /// Writes and syncs a batch, then reports [`QuorumEvent::Persisted`] or
    /// [`QuorumEvent::PersistFailed`].
    Persist(PersistBatch),
    /// Replaces the caller's state by the snapshot.
    InstallSnapshot(LogSnapshot),
    /// Applies a committed entry. Each position after the last installed snapshot is applied once,
    /// in order.
    Apply(LogEntry),
    /// Reports that the proposal or membership change is committed. Follows the
    /// [`QuorumEffect::Apply`] of the same position.
    Committed {
        /// The ticket of the proposal or change.
        ticket: ReplyTicket,
        /// The position of the committed entry.
        index: LogIndex,
    },
    /// Reports that the caller may answer the read from the applied state.
    ReadConfirmed {
        /// The ticket of the read.
        ticket: ReplyTicket,
    },
    /// Reports that the proposal, read or membership change failed.
    Rejected {
        /// The ticket of the request.
        ticket: ReplyTicket,
        /// Why the request failed.
        error: ProposalError,
    },
    /// Reports a change of the role, the term or the known leader. A leader reports itself only
    /// after applying every entry of earlier terms.
    RoleChanged {
        /// The new role.
        role: ReplicaRole,
        /// The current term.
        term: TermNumber,
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Requests a snapshot of the applied state, which the driver returns with
    /// [`QuorumEvent::SnapshotTaken`].
    TakeSnapshot,
}
