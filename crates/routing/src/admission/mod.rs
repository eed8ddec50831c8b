//! Requests that wait for an endpoint: how many, in which order, and who is refused first.

use {
    crate::router::RequestNumber,
    proto::messages::PriorityClass,
    std::{cmp::Reverse, collections::BTreeSet, time::Duration},
};

/// A waiting request's place: the most urgent class first, then the earliest deadline, then the
/// order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePlace {
    /// How urgent the request is.
    pub priority: Reverse<PriorityClass>,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// The request.
    pub number: RequestNumber,
}

impl QueuePlace {
    /// The place of a request.
    pub fn new(priority: PriorityClass, deadline: Duration, number: RequestNumber) -> Self {
        Self { priority: Reverse(priority), deadline, number }
    }
}

/// What became of a request that asked for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceOutcome {
    /// It waits.
    Waiting,
    /// It waits in place of a less urgent request, which is to be refused.
    Displaced(RequestNumber),
    /// The queue is full of requests that are at least as urgent.
    Full,
}

/// A bounded queue.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    places: BTreeSet<QueuePlace>,
}

impl AdmissionQueue {
    /// Asks for a place among at most `bound`.
    pub fn join(&mut self, place: QueuePlace, bound: usize) -> PlaceOutcome {
        if self.places.len() < bound {
            self.places.insert(place);
            return PlaceOutcome::Waiting;
        }
        match self.places.last().copied() {
            Some(last) if last.priority > place.priority => {
                self.places.remove(&last);
                self.places.insert(place);
                PlaceOutcome::Displaced(last.number)
            }
            _ => PlaceOutcome::Full,
        }
    }

    /// Puts a request back that was admitted before. It keeps its right to a place.
    pub fn rejoin(&mut self, place: QueuePlace) {
        self.places.insert(place);
    }

    /// The waiting requests in order.
    pub fn places(&self) -> impl Iterator<Item = &QueuePlace> {
        self.places.iter()
    }

    /// The first in order.
    pub fn first(&self) -> Option<QueuePlace> {
        self.places.first().copied()
    }

    /// True while a request waits here.
    pub fn contains(&self, place: &QueuePlace) -> bool {
        self.places.contains(place)
    }

    /// Takes a request out; `false` when it does not wait.
    pub fn leave(&mut self, place: &QueuePlace) -> bool {
        self.places.remove(place)
    }

    /// Requests that wait before a newcomer of this place.
    pub fn ahead_of(&self, place: &QueuePlace) -> usize {
        self.places.range(..place).count()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// True when none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
