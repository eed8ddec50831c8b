//! Snapshots: created from the caller's state, sent in chunks to followers that need compacted
//! entries, and reassembled there.

use {
    super::{
        outbox::MessageSender,
        progress::{ProgressMode, SnapshotTransfer},
        role::RoleState,
        QuorumCore,
    },
    crate::{
        interface::{LogSnapshot, QuorumEffect},
        message::{AppendOutcome, AppendReply, MessageBody, SnapshotChunk},
    },
    base::{LogIndex, ReplicaId},
    bytes::Bytes,
};

/// Divisor of `snapshot_every` that gives the number of covered entries to keep in memory. A
/// follower that is slightly behind then needs no snapshot.
const RETAINED_PART: u64 = 2;
/// The most bytes of such entries.
const RETAINED_BYTES: usize = 4 * 1024 * 1024;

/// A snapshot that has been received in part.
#[derive(Debug, Clone)]
pub(crate) struct IncomingSnapshot {
    leader: ReplicaId,
    first: SnapshotChunk,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn belongs_to(&self, leader: ReplicaId, chunk: &SnapshotChunk) -> bool {
        let first = &self.first;
        self.leader == leader
            && (first.index, first.term, first.total) == (chunk.index, chunk.term, chunk.total)
    }

    fn received(&self) -> u64 {
        self.data.len() as u64
    }

    fn append(&mut self, chunk: &SnapshotChunk) {
        if chunk.offset == self.received() {
            self.data.extend_from_slice(&chunk.data);
        }
    }

    fn into_snapshot(self) -> LogSnapshot {
        LogSnapshot {
            index: self.first.index,
            term: self.first.term,
            members: self.first.members,
            retired: self.first.retired,
            data: self.data.into(),
        }
    }
}

impl SnapshotTransfer {
    /// Returns the next chunk to send to the follower.
    pub(crate) fn next_chunk(&mut self, limit: usize) -> MessageBody {
        self.sent = true;
        let data = &self.snapshot.data;
        let start = usize::try_from(self.received).unwrap_or(usize::MAX).min(data.len());
        let end = start.saturating_add(limit).min(data.len());
        MessageBody::SnapshotChunk(SnapshotChunk {
            index: self.snapshot.index,
            term: self.snapshot.term,
            members: self.snapshot.members.clone(),
            retired: self.snapshot.retired.clone(),
            total: data.len() as u64,
            offset: start as u64,
            data: data.slice(start..end),
        })
    }
}

impl QuorumCore {
    /// Turns `data`, the caller's state at `index`, into a snapshot and compacts the log up to
    /// there.
    pub(crate) fn snapshot_taken(&mut self, index: LogIndex, data: Vec<u8>) {
        self.snapshot_requested = false;
        if index <= self.log.snapshot_index() || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let group = self.group.at(index);
        let snapshot = LogSnapshot {
            index,
            term,
            members: group.members.clone(),
            retired: group.retired.clone(),
            data: Bytes::from(data),
        };
        self.compact(snapshot);
    }

    fn compact(&mut self, snapshot: LogSnapshot) {
        self.group.compact(&snapshot);
        self.writes.record_snapshot(snapshot.clone());
        let retained = self.settings.snapshot_every / RETAINED_PART;
        self.uncompacted_bytes = self.log.bytes_between(snapshot.index, self.applied);
        self.log.compact(snapshot, retained, RETAINED_BYTES);
    }

    pub(crate) fn handle_chunk(&mut self, sender: MessageSender, chunk: SnapshotChunk) {
        if sender.term < self.hard_state.term {
            self.reject_chunk(sender, &chunk);
            return;
        }
        self.follow(sender.replica, sender.term);
        if self.writes.failed() {
            return;
        }
        let index = chunk.index;
        if index <= self.committed {
            self.acknowledge(sender, index, 0);
            return;
        }
        let Some(received) = self.append_chunk(sender.replica, chunk) else {
            self.acknowledge(sender, index, 0);
            return;
        };
        let reply = self.message(MessageBody::SnapshotReply { index, received });
        self.reply_durably(sender, LogIndex(0), reply);
    }

    /// Adds a received chunk. Returns the number of bytes received so far, or `None` once the
    /// snapshot is complete.
    fn append_chunk(&mut self, leader: ReplicaId, chunk: SnapshotChunk) -> Option<u64> {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.belongs_to(leader, &chunk) => incoming,
            _ if chunk.offset > 0 => return Some(0),
            _ => IncomingSnapshot { leader, first: chunk.clone(), data: Vec::new() },
        };
        incoming.append(&chunk);
        let received = incoming.received();
        if received > incoming.first.total {
            return Some(0);
        }
        if received < incoming.first.total {
            self.incoming = Some(incoming);
            return Some(received);
        }
        self.install(incoming.into_snapshot());
        None
    }

    fn install(&mut self, snapshot: LogSnapshot) {
        self.snapshot_requested = false;
        self.effects.push(QuorumEffect::InstallSnapshot(snapshot.clone()));
        let agrees = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let index = snapshot.index;
        if agrees {
            self.compact(snapshot);
        } else {
            self.group.reset(&snapshot);
            self.writes.record_reset(snapshot.clone(), self.committed);
            self.log.reset(snapshot);
        }
        self.uncompacted_bytes = 0;
        self.committed = index;
        self.applied = index;
    }

    fn reject_chunk(&mut self, sender: MessageSender, chunk: &SnapshotChunk) {
        let outcome = AppendOutcome::Rejected {
            prev_index: chunk.index,
            hint_index: LogIndex(0),
            hint_term: Default::default(),
        };
        let reply = self.message(MessageBody::AppendReply(AppendReply { round: 0, outcome }));
        self.reply_durably(sender, LogIndex(0), reply);
    }

    pub(crate) fn handle_chunk_reply(
        &mut self,
        sender: MessageSender,
        index: LogIndex,
        received: u64,
    ) {
        if !self.record_reply(sender) {
            return;
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&sender.replica) else {
            return;
        };
        let ProgressMode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.snapshot.index == index && transfer.received != received {
            transfer.received = received;
            transfer.sent = false;
        }
    }
}
