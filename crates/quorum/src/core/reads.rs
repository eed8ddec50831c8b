//! Reads that wait until the lead is confirmed. Reads that wait at the same time share one round
//! of messages, which starts after they arrived.

use {
    base::{LogIndex, ReplyTicket},
    std::collections::VecDeque,
};

/// A read that waits for its round.
#[derive(Debug, Clone, Copy)]
struct WaitingRead {
    ticket: ReplyTicket,
    round: u64,
    /// What was committed when the round started.
    index: LogIndex,
}

/// Reads in the order of their arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadQueue {
    /// Reads for which no round has started.
    arrived: Vec<ReplyTicket>,
    waiting: VecDeque<WaitingRead>,
    /// The newest round that has started.
    round: u64,
    /// The newest round that a quorum has echoed.
    confirmed: u64,
}

impl ReadQueue {
    /// The newest round that has started, which every message carries.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    pub(crate) fn push(&mut self, ticket: ReplyTicket) {
        self.arrived.push(ticket);
    }

    /// The number of reads that wait.
    pub(crate) fn len(&self) -> usize {
        self.arrived.len() + self.waiting.len()
    }

    /// Starts a round for the reads that have arrived, unless one is running. Heartbeats repeat
    /// the running one, so that lost messages don't stop it.
    pub(crate) fn start_round(&mut self, committed: LogIndex) -> bool {
        let running = self.round > self.confirmed;
        if self.arrived.is_empty() || running {
            return false;
        }
        self.round += 1;
        let round = self.round;
        let started =
            self.arrived.drain(..).map(|ticket| WaitingRead { ticket, round, index: committed });
        self.waiting.extend(started);
        true
    }

    /// A quorum has echoed a round.
    pub(crate) fn confirm(&mut self, round: u64) {
        self.confirmed = self.confirmed.max(round);
    }

    /// The next read that may be answered.
    pub(crate) fn pop_ready(&mut self, applied: LogIndex) -> Option<ReplyTicket> {
        let read = self.waiting.front()?;
        if read.round > self.confirmed || read.index > applied {
            return None;
        }
        self.waiting.pop_front().map(|read| read.ticket)
    }

    /// Every read that waits.
    pub(crate) fn into_tickets(self) -> impl Iterator<Item = ReplyTicket> {
        self.waiting.into_iter().map(|read| read.ticket).chain(self.arrived)
    }
}
