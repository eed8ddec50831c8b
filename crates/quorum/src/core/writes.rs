//! Tracks which changes still have to be written, are being written or are synced. One batch is in
//! flight at a time. Changes that arrive meanwhile go into the next batch, so that one fsync serves
//! many entries.

use {
    super::log::EntryLog,
    crate::interface::{HardState, LogSnapshot, PersistBatch},
    base::LogIndex,
};

/// A batch that the driver is writing.
#[derive(Debug, Clone)]
struct WriteInFlight {
    number: u64,
    /// The last log position that becomes stable when the batch is synced.
    last: LogIndex,
    hard_state: bool,
    snapshot: Option<LogSnapshot>,
}

/// The difference between the log in memory and the log on disk.
#[derive(Debug, Clone)]
pub(crate) struct WriteTracker {
    next_number: u64,
    /// The last position in memory that is synced.
    stable: LogIndex,
    /// The last position that is synced or in flight.
    written: LogIndex,
    truncate_from: Option<LogIndex>,
    snapshot: Option<LogSnapshot>,
    hard_state: bool,
    in_flight: Option<WriteInFlight>,
    failed: bool,
}

impl WriteTracker {
    /// Creates a tracker for a log whose entries up to `recovered` are on disk.
    pub(crate) fn new(recovered: LogIndex) -> Self {
        Self {
            next_number: 1,
            stable: recovered,
            written: recovered,
            truncate_from: None,
            snapshot: None,
            hard_state: false,
            in_flight: None,
            failed: false,
        }
    }

    /// Returns the last position in memory that is synced.
    pub(crate) fn stable(&self) -> LogIndex {
        self.stable
    }

    /// Whether a write has failed and no retried batch is synced yet.
    pub(crate) fn failed(&self) -> bool {
        self.failed
    }

    /// Returns the number of the batch that must be synced before the term, the vote and every
    /// entry up to `index` are durable, or `None` if they already are.
    pub(crate) fn needed_for(&self, index: LogIndex) -> Option<u64> {
        let next = self.next_number;
        if self.failed || self.hard_state {
            return Some(next);
        }
        if index > self.stable && (index > self.written || self.snapshot.is_some()) {
            return Some(next);
        }
        match &self.in_flight {
            Some(write) if write.hard_state || index > self.stable => Some(write.number),
            Some(_) => None,
            None if index > self.stable => Some(next),
            None => None,
        }
    }

    pub(crate) fn record_hard_state(&mut self) {
        self.hard_state = true;
    }

    /// Records that entries from a position on were removed from the log in memory.
    pub(crate) fn record_truncation(&mut self, from: LogIndex) {
        if from <= self.written {
            self.truncate_from = Some(self.truncate_from.map_or(from, |old| old.min(from)));
        }
        self.cap(LogIndex(from.0.saturating_sub(1)));
    }

    /// Records a snapshot, taken or received, at a position of the log in memory.
    pub(crate) fn record_snapshot(&mut self, snapshot: LogSnapshot) {
        self.written = self.written.max(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Records a received snapshot that replaces the whole log. Only entries up to `agreed` are
    /// known to match the leader's.
    pub(crate) fn record_reset(&mut self, snapshot: LogSnapshot, agreed: LogIndex) {
        self.truncate_from = Some(snapshot.index.next());
        self.cap(agreed);
        self.written = snapshot.index;
        self.snapshot = Some(snapshot);
    }

    fn cap(&mut self, last: LogIndex) {
        self.stable = self.stable.min(last);
        self.written = self.written.min(last);
        if let Some(write) = &mut self.in_flight {
            write.last = write.last.min(last);
        }
    }

    /// Returns the next batch if there are changes to write and no batch is in flight.
    pub(crate) fn next_batch(
        &mut self,
        log: &EntryLog,
        hard_state: HardState,
    ) -> Option<PersistBatch> {
        let clean = !self.hard_state
            && self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.written >= log.last_index();
        if clean || self.in_flight.is_some() {
            return None;
        }
        let first = self.written.max(log.snapshot_index());
        let batch = PersistBatch {
            number: self.next_number,
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            entries: log.after(first),
            hard_state: std::mem::take(&mut self.hard_state).then_some(hard_state),
        };
        self.next_number += 1;
        self.written = log.last_index();
        self.in_flight = Some(WriteInFlight {
            number: batch.number,
            last: self.written,
            hard_state: batch.hard_state.is_some(),
            snapshot: batch.snapshot.clone(),
        });
        Some(batch)
    }

    /// Records that a batch is synced. Returns false if it is not the one in flight.
    pub(crate) fn persisted(&mut self, number: u64) -> bool {
        let Some(write) = self.in_flight.take_if(|write| write.number == number) else {
            return false;
        };
        self.stable = self.stable.max(write.last);
        self.failed = false;
        true
    }

    /// Records that writing a batch failed. A part of it may be on disk, so its changes are merged
    /// into the next batch, which first truncates whatever was written. Returns false if the batch
    /// is not the one in flight.
    pub(crate) fn persist_failed(&mut self, number: u64) -> bool {
        let Some(write) = self.in_flight.take_if(|write| write.number == number) else {
            return false;
        };
        self.failed = true;
        self.hard_state = true;
        self.snapshot = self.snapshot.take().or(write.snapshot);
        let cut = self.stable.next();
        self.truncate_from = Some(self.truncate_from.map_or(cut, |old| old.min(cut)));
        self.written = self.stable;
        true
    }
}
