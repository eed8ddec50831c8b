//! The records in the log's files.

use {
    crate::interface::{HardState, LogEntry},
    base::LogIndex,
    serde::{Deserialize, Serialize},
};

/// What a segment's header says: the state at its start, so that earlier segments can go.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SegmentDetails {
    pub(crate) next_index: LogIndex,
    pub(crate) hard_state: HardState,
}

/// One batch, applied in the order of the fields.
#[derive(Debug, Deserialize)]
pub(crate) struct BatchRecord {
    /// The log is empty and goes on after this position, which a snapshot covers.
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
    /// A record after which the log is empty and goes on at `next_index`.
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
