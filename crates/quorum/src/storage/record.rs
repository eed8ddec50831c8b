//! The records that segment files contain.

use {
    crate::interface::{HardState, LogEntry},
    base::LogIndex,
    serde::{Deserialize, Serialize},
};

/// The state at the start of a segment, kept in its header so that earlier segments can be removed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SegmentDetails {
    pub(crate) next_index: LogIndex,
    pub(crate) hard_state: HardState,
}

/// One persisted batch. Readers apply its parts in the order of the fields.
#[derive(Debug, Deserialize)]
pub(crate) struct BatchRecord {
    /// Discards all entries: the log restarts after this position, which a snapshot covers.
    pub(crate) restart_after: Option<LogIndex>,
    pub(crate) truncate_from: Option<LogIndex>,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) hard_state: Option<HardState>,
}

impl BatchRecord {
    pub(crate) fn last_index(&self) -> Option<LogIndex> {
        self.entries.last().map(|entry| entry.index)
    }
}

/// A [`BatchRecord`] that borrows its entries.
#[derive(Debug, Serialize)]
pub(crate) struct BorrowedRecord<'a> {
    pub(crate) restart_after: Option<LogIndex>,
    pub(crate) truncate_from: Option<LogIndex>,
    pub(crate) entries: &'a [LogEntry],
    pub(crate) hard_state: Option<HardState>,
}

impl BorrowedRecord<'_> {
    /// Returns a record that discards all entries, so that the log continues at `next_index`.
    pub(crate) fn restart(next_index: LogIndex) -> Self {
        let restart_after = Some(LogIndex(next_index.0 - 1));
        Self { restart_after, truncate_from: None, entries: &[], hard_state: None }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.restart_after.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
            && self.hard_state.is_none()
    }
}
