//! What a leader knows about one follower, and how fast it may send to it.

use {
    crate::interface::LogSnapshot,
    base::LogIndex,
    std::{collections::VecDeque, time::Duration},
};

/// How entries are sent to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProgressMode {
    /// Where the logs agree is unknown: one message at a time.
    Probe { sent: bool },
    /// The logs agree up to `next - 1` as far as is known: several messages at a time. Holds the
    /// last position of each message that is not acknowledged.
    Replicate { window: VecDeque<LogIndex> },
    /// The follower needs entries that are gone: it gets a snapshot, one chunk at a time.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: LogSnapshot,
    /// Bytes that the follower has.
    pub(crate) received: u64,
    /// Whether the chunk at `received` is on its way.
    pub(crate) sent: bool,
}

/// What a leader knows about one follower.
#[derive(Debug, Clone)]
pub(crate) struct PeerProgress {
    /// Up to here the follower's synced log equals the leader's.
    pub(crate) matched: LogIndex,
    /// The first position of the next message.
    pub(crate) next: LogIndex,
    pub(crate) mode: ProgressMode,
    /// The newest confirmation round that the follower echoed.
    pub(crate) round: u64,
    /// When the follower last answered in this term.
    pub(crate) heard: Option<Duration>,
    /// When a message was last sent.
    pub(crate) sent: Duration,
}

impl PeerProgress {
    /// A follower of which nothing is known.
    pub(crate) fn new(next: LogIndex, now: Duration) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            mode: ProgressMode::Probe { sent: false },
            round: 0,
            heard: None,
            sent: now,
        }
    }

    /// Whether the follower answered within the last `span`.
    pub(crate) fn is_active(&self, now: Duration, span: Duration) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) < span)
    }

    /// Whether flow control allows another message with entries.
    pub(crate) fn may_send(&self, in_flight: usize) -> bool {
        match &self.mode {
            ProgressMode::Probe { sent } => !sent,
            ProgressMode::Replicate { window } => window.len() < in_flight.max(1),
            ProgressMode::Snapshot(transfer) => !transfer.sent,
        }
    }

    /// Notes a message with entries up to `last`.
    pub(crate) fn note_sent(&mut self, last: LogIndex) {
        match &mut self.mode {
            ProgressMode::Probe { sent } => *sent = true,
            ProgressMode::Replicate { window } => {
                window.push_back(last);
                self.next = last.next();
            }
            ProgressMode::Snapshot(_) => {}
        }
    }

    /// The follower's synced log equals the leader's up to `matched`.
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

    /// The logs differ at `prev_index` and agree at most up to `agreed`.
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

    /// Goes back to one message at a time, because the follower fell silent.
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

    /// Starts to send a snapshot.
    pub(crate) fn start_snapshot(&mut self, snapshot: LogSnapshot) {
        self.mode = ProgressMode::Snapshot(SnapshotTransfer { snapshot, received: 0, sent: false });
    }
}
