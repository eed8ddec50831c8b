//! What passes between the state machine of the log and its driver.

use {
    base::{LogIndex, PeerAddress, ReplicaId, ReplyTicket, TermNumber},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// A member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The replica.
    pub replica: ReplicaId,
    /// Where the other replicas reach it.
    pub address: PeerAddress,
    /// True for a voter, false for a learner.
    pub voter: bool,
}

/// A change of the group by one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica without a vote, under an id that was never used.
    AddLearner {
        /// The new replica.
        replica: ReplicaId,
        /// Where the other replicas reach it.
        address: PeerAddress,
    },
    /// Gives a learner that has caught up a vote.
    Promote {
        /// The learner.
        replica: ReplicaId,
    },
    /// Removes a replica for good.
    Remove {
        /// The replica.
        replica: ReplicaId,
    },
}

/// What an entry of the log carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing: a new leader commits it to learn what is committed.
    Empty,
    /// Data of the caller.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The whole group after a membership change, and every id that was ever used.
    Members {
        /// The group.
        members: Vec<GroupMember>,
        /// Ids of replicas that were removed. They never come back.
        retired: Vec<ReplicaId>,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: TermNumber,
    /// What it carries.
    pub payload: EntryPayload,
}

/// What must be on disk before a vote or an acknowledgement is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that was seen.
    pub term: TermNumber,
    /// Who got this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A snapshot of the caller's state and of the group at a position of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last position that it covers.
    pub index: LogIndex,
    /// The term of that position.
    pub term: TermNumber,
    /// The group at that position.
    pub members: Vec<GroupMember>,
    /// Ids of replicas that were removed before that position.
    pub retired: Vec<ReplicaId>,
    /// The caller's state.
    pub data: Bytes,
}

/// What a replica finds on its disk when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

impl RecoveredLog {
    /// Does what writing and syncing a batch does to a disk, in the order of the batch's fields.
    /// Drivers that keep the log in memory call it when a batch is synced, so that they hold what
    /// [`LogStorage`](crate::LogStorage) would find after a crash.
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

/// Bounds and delays of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuorumSettings {
    /// This replica.
    pub replica: ReplicaId,
    /// The voters with which the group is founded; ignored when the log or snapshot names a group.
    pub founders: Vec<GroupMember>,
    /// The shortest time without a leader after which an election is tried; the longest is twice
    /// that. A leader that hears no quorum for this long steps down.
    pub election_timeout: Duration,
    /// The time between a leader's messages to an idle follower.
    pub heartbeat: Duration,
    /// The largest number of payload bytes in one message.
    pub batch_bytes: usize,
    /// The largest number of unacknowledged messages to one follower.
    pub in_flight: usize,
    /// The largest number of proposals that wait for commitment.
    pub pending: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk: usize,
    /// Entries after a snapshot that call for the next one.
    pub snapshot_every: u64,
}

/// What a replica writes and syncs in one go. Parts are applied in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// Numbers the batches of one life, from 1.
    pub number: u64,
    /// A snapshot received from the leader or taken here; the log up to its position goes.
    pub snapshot: Option<LogSnapshot>,
    /// Every entry from this position on is dropped.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
    /// Term and vote.
    pub hard_state: Option<HardState>,
}

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election would succeed, or stands in one.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal, read or membership change came to nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ProposalError {
    /// This replica does not lead; nothing was appended.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// Who leads, as far as this replica knows.
        leader: Option<ReplicaId>,
    },
    /// The lead was lost after the entry was appended: it may yet be committed by another leader.
    #[snafu(display("the lead was lost before the entry was committed"))]
    Unresolved,
    /// Too many proposals wait; nothing was appended.
    #[snafu(display("too many proposals wait"))]
    Overloaded,
    /// The membership change before is not committed yet.
    #[snafu(display("another membership change is in progress"))]
    ChangeInProgress,
    /// The membership change makes no sense for the present group.
    #[snafu(display("the change does not apply to the present group: {reason}"))]
    ChangeRefused {
        /// Why.
        reason: ChangeRefusal,
    },
}

/// Why a membership change is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ChangeRefusal {
    /// The id is or was in use.
    #[snafu(display("the replica id is or was in use; choose one that was never used"))]
    IdUsed,
    /// There is no such replica.
    #[snafu(display("there is no such replica in the group"))]
    NoSuchReplica,
    /// The replica has a vote already.
    #[snafu(display("the replica has a vote already"))]
    AlreadyVoter,
    /// The learner has not caught up.
    #[snafu(display("the learner has not caught up with the log"))]
    NotCaughtUp,
    /// The group would have no voter left.
    #[snafu(display("the last voter can't be removed"))]
    LastVoter,
    /// The group would have no quorum among the voters that answer now.
    #[snafu(display("the voters that would remain and answer now are no quorum"))]
    QuorumAtRisk,
}

/// What happens to a replica.
#[derive(Debug, Clone)]
pub enum QuorumEvent<M> {
    /// Time has passed. Expected at least once per heartbeat interval.
    Tick,
    /// A message has arrived. The sender is authenticated by the driver.
    Received {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: M,
    },
    /// A batch and all before it are synced.
    Persisted {
        /// The batch's number.
        number: u64,
    },
    /// A batch could not be written, for example because the disk is full. The replica gives up
    /// its lead and neither votes nor acknowledges until [`QuorumEvent::Persisted`] comes for a
    /// retried batch.
    PersistFailed {
        /// The batch's number.
        number: u64,
    },
    /// Data is to be appended and committed.
    Propose {
        /// Pairs the outcome with the proposal.
        ticket: ReplyTicket,
        /// The data.
        data: Vec<u8>,
    },
    /// A read is to see every entry that was committed before it.
    ConfirmRead {
        /// Pairs the outcome with the read.
        ticket: ReplyTicket,
    },
    /// The group is to change.
    ChangeMembers {
        /// Pairs the outcome with the change.
        ticket: ReplyTicket,
        /// The change.
        change: MemberChange,
    },
    /// The caller's state at a position it has applied, as asked for by
    /// [`QuorumEffect::TakeSnapshot`].
    SnapshotTaken {
        /// The position.
        index: LogIndex,
        /// The state.
        data: Vec<u8>,
    },
}

/// What a replica asks its driver to do, in order.
#[derive(Debug, Clone)]
pub enum QuorumEffect<M> {
    /// Send a message. Losing it is harmless.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// Where it listens.
        address: PeerAddress,
        /// The message.
        message: M,
    },
    /// Write and sync, then report [`QuorumEvent::Persisted`].
    Persist(PersistBatch),
    /// Replace the caller's state by a snapshot's.
    InstallSnapshot(LogSnapshot),
    /// Apply a committed entry. Comes once for each position after the last snapshot, in order.
    Apply(LogEntry),
    /// The proposal or membership change with this ticket is committed at this position. Comes
    /// after the [`QuorumEffect::Apply`] of that position.
    Committed {
        /// The ticket.
        ticket: ReplyTicket,
        /// The position.
        index: LogIndex,
    },
    /// The read with this ticket may be answered from the applied state.
    ReadConfirmed {
        /// The ticket.
        ticket: ReplyTicket,
    },
    /// The proposal, read or membership change with this ticket came to nothing.
    Rejected {
        /// The ticket.
        ticket: ReplyTicket,
        /// Why.
        error: ProposalError,
    },
    /// The role, the term or the known leader has changed. A leader reports this only once it
    /// has applied every entry of earlier terms.
    RoleChanged {
        /// The role.
        role: ReplicaRole,
        /// The term.
        term: TermNumber,
        /// Who leads, if known.
        leader: Option<ReplicaId>,
    },
    /// Enough entries have gathered: report [`QuorumEvent::SnapshotTaken`] for the applied state.
    TakeSnapshot,
}
