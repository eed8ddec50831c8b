//! Reads that wait for a confirmation of leadership. Reads that wait at the same time share one
//! round of messages, which starts after they arrived.

use {
    base::{LogIndex, ReplyTicket},
    std::collections::VecDeque,
};

/// A read that waits for its confirmation round.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    ticket: ReplyTicket,
    round: u64,
    /// The last committed position when the round started.
    index: LogIndex,
}

/// Pending reads in the order of arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadQueue {
    /// Reads whose confirmation round has not started.
    arrived: Vec<ReplyTicket>,
    pending: VecDeque<PendingRead>,
    /// The newest round that has started.
    round: u64,
    /// The newest round that a quorum has echoed.
    confirmed: u64,
}

impl ReadQueue {
    /// Returns the newest round that has started, which every append message carries.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    pub(crate) fn push(&mut self, ticket: ReplyTicket) {
        self.arrived.push(ticket);
    }

    /// Returns the number of pending reads.
    pub(crate) fn len(&self) -> usize {
        self.arrived.len() + self.pending.len()
    }

    /// Starts a round for the reads that have arrived, unless a round is running. Heartbeats repeat
    /// the running round, so that lost messages don't block it.
    pub(crate) fn start_round(&mut self, committed: LogIndex) -> bool {
        let running = self.round > self.confirmed;
        if self.arrived.is_empty() || running {
            return false;
        }
        self.round += 1;
        let round = self.round;
        let started =
            self.arrived.drain(..).map(|ticket| PendingRead { ticket, round, index: committed });
        self.pending.extend(started);
        true
    }

    /// Records that a quorum has echoed a round.
    pub(crate) fn confirm(&mut self, round: u64) {
        self.confirmed = self.confirmed.max(round);
    }

    /// Removes and returns the next read that may be answered.
    pub(crate) fn pop_ready(&mut self, applied: LogIndex) -> Option<ReplyTicket> {
        let read = self.pending.front()?;
        if read.round > self.confirmed || read.index > applied {
            return None;
        }
        self.pending.pop_front().map(|read| read.ticket)
    }

    /// Returns the tickets of all pending reads.
    pub(crate) fn into_tickets(self) -> impl Iterator<Item = ReplyTicket> {
        self.pending.into_iter().map(|read| read.ticket).chain(self.arrived)
    }
}
