//! Bounded queue of requests that wait for an endpoint: its order, and which request is rejected
//! when the queue is full.

use {
    crate::router::RequestNumber,
    proto::messages::PriorityClass,
    std::{cmp::Reverse, collections::BTreeSet, time::Duration},
};

/// Position of a waiting request in the queue: the most urgent class first, then the earliest
/// deadline, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Priority class, the most urgent first.
    pub priority: Reverse<PriorityClass>,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// Request that waits.
    pub number: RequestNumber,
}

impl QueuePosition {
    /// Creates the position of a request.
    pub fn new(priority: PriorityClass, deadline: Duration, number: RequestNumber) -> Self {
        Self { priority: Reverse(priority), deadline, number }
    }
}

/// Result of adding a request to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The request waits.
    Waiting,
    /// The request waits in place of a less urgent one, which the caller must reject.
    Displaced(RequestNumber),
    /// The queue is full of requests that are at least as urgent.
    Full,
}

/// A bounded priority queue.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    positions: BTreeSet<QueuePosition>,
}

impl AdmissionQueue {
    /// Adds a request if fewer than `limit` wait; otherwise displaces the last one if that is less
    /// urgent.
    pub fn join(&mut self, position: QueuePosition, limit: usize) -> JoinOutcome {
        if self.positions.len() < limit {
            self.positions.insert(position);
            return JoinOutcome::Waiting;
        }
        match self.positions.last().copied() {
            Some(last) if last.priority > position.priority => {
                self.positions.remove(&last);
                self.positions.insert(position);
                JoinOutcome::Displaced(last.number)
            }
            _ => JoinOutcome::Full,
        }
    }

    /// Returns a request that was admitted before to the queue, regardless of the limit.
    pub fn rejoin(&mut self, position: QueuePosition) {
        self.positions.insert(position);
    }

    /// Returns the waiting requests in order.
    pub fn positions(&self) -> impl Iterator<Item = &QueuePosition> {
        self.positions.iter()
    }

    /// Returns the first waiting request.
    pub fn first(&self) -> Option<QueuePosition> {
        self.positions.first().copied()
    }

    /// Returns true while a request waits in the queue.
    pub fn contains(&self, position: &QueuePosition) -> bool {
        self.positions.contains(position)
    }

    /// Removes a request. Returns false if the request did not wait.
    pub fn leave(&mut self, position: &QueuePosition) -> bool {
        self.positions.remove(position)
    }

    /// Returns the number of requests that wait ahead of a new request at this position.
    pub fn ahead_of(&self, position: &QueuePosition) -> usize {
        self.positions.range(..position).count()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
