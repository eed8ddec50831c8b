//! Who shared a worker when, so that a late measurement is held against those who were there.

use {
    crate::classes::ClassIndex,
    std::{collections::VecDeque, time::Duration},
};

/// The number of past occupancies that are kept for each worker.
const HISTORY_LIMIT: usize = 32;

/// What the tasks of one class take of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ClassShare {
    /// The class.
    pub(crate) class: ClassIndex,
    /// The part of the worker's processors that its tasks may use, throttles included.
    pub(crate) share: f64,
    /// The part that they might use without throttles.
    pub(crate) demand: f64,
    /// The number of its tasks.
    pub(crate) tasks: u32,
}

/// The occupancies of one worker, the newest last.
#[derive(Debug, Default)]
pub(crate) struct OccupancyHistory {
    entries: VecDeque<(Duration, Vec<ClassShare>)>,
}

impl OccupancyHistory {
    /// Notes that the worker is shared like this from `at`.
    pub(crate) fn push(&mut self, at: Duration, shares: &[ClassShare]) {
        if self.entries.back().is_some_and(|(_, last)| last == shares) {
            return;
        }
        if self.entries.back().is_some_and(|(since, _)| *since == at) {
            self.entries.pop_back();
        }
        if self.entries.len() == HISTORY_LIMIT {
            self.entries.pop_front();
        }
        self.entries.push_back((at, shares.to_vec()));
    }

    /// Who was there during the whole time from `from` to `to`; `None` when that has changed
    /// within it or is forgotten.
    pub(crate) fn during(&self, from: Duration, to: Duration) -> Option<&[ClassShare]> {
        let (since, shares) = self.entries.iter().rev().find(|(since, _)| *since <= to)?;
        (*since <= from).then_some(shares.as_slice())
    }
}
