//! A disk that holds exactly what was synced.

use quorum::{HardState, LogEntry, LogSnapshot, PersistBatch, RecoveredLog};

#[derive(Debug, Clone, Default)]
pub struct FakeDisk {
    hard_state: HardState,
    snapshot: Option<LogSnapshot>,
    entries: Vec<LogEntry>,
}

impl FakeDisk {
    /// Applies a batch in the order of its fields.
    pub fn write(&mut self, batch: &PersistBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
    }

    pub fn recover(&self) -> RecoveredLog {
        RecoveredLog {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}
