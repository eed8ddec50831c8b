//! A leader's view of one follower, with flow control.

use {
    crate::interface::LogSnapshot,
    base::LogIndex,
    std::{collections::VecDeque, time::Duration},
};

/// How a leader sends entries to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProgressMode {
    /// The last matching position is unknown. The leader sends one message at a time.
    Probe { sent: bool },
    /// The logs are assumed to match up to `next - 1`. The leader sends several messages at a time;
    /// `window` holds the last position of each unacknowledged one.
    Replicate { window: VecDeque<LogIndex> },
    /// The follower needs entries that are no longer in memory. The leader sends a snapshot, one
    /// chunk at a time.
    Snapshot(SnapshotTransfer),
}

/// An ongoing transfer of a snapshot to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: LogSnapshot,
    /// Number of bytes that the follower has received.
    pub(crate) received: u64,
    /// Whether the chunk at offset `received` has been sent.
    pub(crate) sent: bool,
}

/// Replication progress of one follower.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// The last position up to which the follower's synced log equals the leader's.
    pub(crate) matched: LogIndex,
    /// The first position of the next message.
    pub(crate) next: LogIndex,
    pub(crate) mode: ProgressMode,
    /// The newest confirmation round that the follower echoed.
    pub(crate) round: u64,
    /// When the follower last replied in this term.
    pub(crate) last_reply: Option<Duration>,
    /// When the leader last sent a message.
    pub(crate) last_sent: Duration,
}

impl PeerProgress {
    /// Creates the progress of a follower whose log is unknown.
    pub(crate) fn new(next: LogIndex, now: Duration) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            mode: ProgressMode::Probe { sent: false },
            round: 0,
            last_reply: None,
            last_sent: now,
        }
    }

    /// Whether the follower replied within the last `span`.
    pub(crate) fn is_active(&self, now: Duration, span: Duration) -> bool {
        self.last_reply.is_some_and(|last_reply| now.saturating_sub(last_reply) < span)
    }

    /// Whether flow control allows another message with entries.
    pub(crate) fn may_send(&self, in_flight: usize) -> bool {
        match &self.mode {
            ProgressMode::Probe { sent } => !sent,
            ProgressMode::Replicate { window } => window.len() < in_flight.max(1),
            ProgressMode::Snapshot(transfer) => !transfer.sent,
        }
    }

    /// Records a sent message with entries up to `last`.
    pub(crate) fn record_sent(&mut self, last: LogIndex) {
        match &mut self.mode {
            ProgressMode::Probe { sent } => *sent = true,
            ProgressMode::Replicate { window } => {
                window.push_back(last);
                self.next = last.next();
            }
            ProgressMode::Snapshot(_) => {}
        }
    }

    /// Records that the follower's synced log equals the leader's up to `matched`.
    pub(crate) fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        let reached = self.matched.next();
        match &mut self.mode {
            ProgressMode::Probe { .. } if reached >= self.next => {
                self.next = reached;
                self.mode = ProgressMode::Replicate { window: VecDeque::new() };
            }
            ProgressMode::Probe { .. } => {}
            ProgressMode::Replicate { window } => {
                window.retain(|last| *last > matched);
                self.next = self.next.max(reached);
            }
            ProgressMode::Snapshot(transfer) if self.matched >= transfer.snapshot.index => {
                self.next = reached;
                self.mode = ProgressMode::Replicate { window: VecDeque::new() };
            }
            ProgressMode::Snapshot(_) => {}
        }
    }

    /// Records that the logs differ at `prev_index` and match at most up to `agreed`.
    pub(crate) fn rejected(&mut self, prev_index: LogIndex, agreed: LogIndex) {
        let stale = match &self.mode {
            ProgressMode::Probe { .. } => prev_index.next() != self.next,
            ProgressMode::Replicate { .. } => prev_index <= self.matched,
            ProgressMode::Snapshot(_) => true,
        };
        if stale {
            return;
        }
        self.next = agreed.next().min(prev_index).max(self.matched.next());
        self.mode = ProgressMode::Probe { sent: false };
    }

    /// Resends what may have been lost. Falls back to one message at a time.
    pub(crate) fn probe_again(&mut self) {
        match &mut self.mode {
            ProgressMode::Probe { sent } => *sent = false,
            ProgressMode::Snapshot(transfer) => transfer.sent = false,
            ProgressMode::Replicate { .. } => {
                self.next = self.matched.next();
                self.mode = ProgressMode::Probe { sent: false };
            }
        }
    }

    /// Starts a snapshot transfer.
    pub(crate) fn start_snapshot(&mut self, snapshot: LogSnapshot) {
        self.mode = ProgressMode::Snapshot(SnapshotTransfer { snapshot, received: 0, sent: false });
    }
}
