//! The log in memory: a snapshot and the entries after it. Some entries before the snapshot stay
//! available for followers that are only slightly behind.

use {
    crate::interface::{EntryPayload, LogEntry, LogSnapshot},
    base::{LogIndex, TermNumber},
    std::collections::VecDeque,
};

/// Approximate size of an entry in a message besides its data, in bytes.
const ENTRY_OVERHEAD: usize = 32;

/// Entries in memory, without gaps, after a base position with a known term.
#[derive(Debug, Clone)]
pub(crate) struct EntryLog {
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
    snapshot: Option<LogSnapshot>,
}

impl EntryLog {
    /// Creates a log from the recovered snapshot and the entries after it.
    pub(crate) fn new(snapshot: Option<LogSnapshot>, entries: Vec<LogEntry>) -> Self {
        let (base_index, base_term) =
            snapshot.as_ref().map_or_else(Default::default, |s| (s.index, s.term));
        Self { base_index, base_term, entries: entries.into(), snapshot }
    }

    pub(crate) fn snapshot(&self) -> Option<&LogSnapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index)
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term at a position, or `None` if the position is not in memory.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at a position, or `None` if it is not in memory.
    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from a position on that fit into `limit` bytes, but at least one.
    pub(crate) fn slice(&self, from: LogIndex, limit: usize) -> Vec<LogEntry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            bytes += entry_bytes(entry);
            if bytes > limit && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// Returns every entry after a position that is in memory.
    pub(crate) fn after(&self, index: LogIndex) -> Vec<LogEntry> {
        let skipped = index.0.saturating_sub(self.base_index.0);
        self.entries.iter().skip(usize::try_from(skipped).unwrap_or(usize::MAX)).cloned().collect()
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.entries.push_back(entry);
    }

    /// Removes every entry from a position on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        let kept = from.0.saturating_sub(self.base_index.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Returns the last position up to `index` whose term is at most `term`.
    pub(crate) fn last_up_to(&self, index: LogIndex, term: TermNumber) -> LogIndex {
        let mut at = index.min(self.last_index());
        while at > self.base_index && self.term_at(at).is_some_and(|found| found > term) {
            at = LogIndex(at.0 - 1);
        }
        at
    }

    /// Returns the size of the entries after one position and up to another, in bytes.
    pub(crate) fn bytes_between(&self, after: LogIndex, last: LogIndex) -> usize {
        let indexes = (after.0 + 1..=last.0).map(LogIndex);
        indexes.filter_map(|index| self.entry(index)).map(entry_bytes).sum()
    }

    /// Returns the position after which at most `count` entries and `limit` bytes lie up to `last`.
    fn position_before(&self, last: LogIndex, count: u64, limit: usize) -> LogIndex {
        let lowest = LogIndex(last.0.saturating_sub(count)).max(self.base_index);
        let mut position = last;
        let mut bytes = 0;
        while position > lowest {
            bytes += self.entry(position).map_or(0, entry_bytes);
            if bytes > limit {
                break;
            }
            position = LogIndex(position.0 - 1);
        }
        position
    }

    /// Sets a snapshot at a position of this log, and keeps up to `retained` entries before it, of
    /// up to `retained_bytes`.
    pub(crate) fn compact(&mut self, snapshot: LogSnapshot, retained: u64, retained_bytes: usize) {
        let base = self.position_before(snapshot.index, retained, retained_bytes);
        let dropped = usize::try_from(base.0 - self.base_index.0).unwrap_or(usize::MAX);
        if let Some(term) = self.term_at(base) {
            self.base_term = term;
            self.entries.drain(..dropped.min(self.entries.len()));
            self.base_index = base;
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn reset(&mut self, snapshot: LogSnapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.snapshot = Some(snapshot);
    }
}

/// Returns the approximate size of an entry, in bytes.
pub(crate) fn entry_bytes(entry: &LogEntry) -> usize {
    let payload = match &entry.payload {
        EntryPayload::Empty => 0,
        EntryPayload::Data(data) => data.len(),
        EntryPayload::Members { members, retired } => (members.len() + retired.len()) * 32,
    };
    ENTRY_OVERHEAD + payload
}
