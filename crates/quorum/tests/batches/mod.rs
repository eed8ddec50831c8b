//! Batches that make the log write, replace and remove its files, and what must be recovered of
//! them.

#![allow(dead_code)]

#[path = "../cluster/disk.rs"]
mod disk;

use {
    base::{ClusterName, LogIndex, ReplicaId, TermNumber},
    disk::FakeDisk,
    quorum::{
        EntryPayload, HardState, LogEntry, LogSnapshot, LogStorage, PersistBatch, RecoveredLog,
        StorageError,
    },
    std::path::Path,
};

pub const OWNER: ReplicaId = ReplicaId(1);

pub fn cluster() -> ClusterName {
    ClusterName::new("umoja").unwrap()
}

pub fn open(folder: &Path) -> Result<(LogStorage, RecoveredLog), StorageError> {
    LogStorage::open(folder, &cluster(), OWNER)
}

pub fn entry(index: u64, term: u64) -> LogEntry {
    let payload = EntryPayload::Data(format!("{index} in {term}").into_bytes());
    LogEntry { index: LogIndex(index), term: TermNumber(term), payload }
}

pub fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Vec<LogEntry> {
    range.map(|index| entry(index, term)).collect()
}

pub fn snapshot(index: u64, term: u64) -> Option<LogSnapshot> {
    Some(LogSnapshot {
        index: LogIndex(index),
        term: TermNumber(term),
        members: Vec::new(),
        retired: Vec::new(),
        data: format!("state at {index}").into_bytes().into(),
    })
}

pub fn vote(term: u64) -> Option<HardState> {
    Some(HardState { term: TermNumber(term), voted_for: Some(OWNER) })
}

/// Returns batches with appends, conflicts, a snapshot taken here, a received snapshot beyond the
/// end of the log, and a received snapshot that contradicts the log.
pub fn batches() -> Vec<PersistBatch> {
    let none = PersistBatch::default;
    vec![
        PersistBatch { hard_state: vote(1), ..none() },
        PersistBatch { entries: entries(1..=9, 1), ..none() },
        PersistBatch {
            truncate_from: Some(LogIndex(6)),
            entries: entries(6..=7, 2),
            hard_state: vote(2),
            ..none()
        },
        PersistBatch { snapshot: snapshot(4, 1), ..none() },
        PersistBatch { entries: entries(8..=8, 2), ..none() },
        PersistBatch { snapshot: snapshot(20, 3), entries: entries(21..=25, 3), ..none() },
        PersistBatch {
            snapshot: snapshot(22, 4),
            truncate_from: Some(LogIndex(23)),
            hard_state: vote(4),
            ..none()
        },
        PersistBatch { entries: entries(23..=24, 4), ..none() },
        PersistBatch { snapshot: snapshot(24, 5), truncate_from: Some(LogIndex(25)), ..none() },
        PersistBatch { entries: entries(25..=26, 5), ..none() },
    ]
}

pub fn model_after(count: usize) -> RecoveredLog {
    let mut model = FakeDisk::default();
    batches().iter().take(count).for_each(|batch| model.write(batch));
    model.recover()
}

/// Checks that after a crash the failed batch is stored completely, not at all, or as its snapshot
/// alone. The snapshot is written first and supersedes a log that it contradicts.
pub fn check_partial(recovered: &RecoveredLog, failed: usize, point: u64) {
    let (before, after) = (model_after(failed), model_after(failed + 1));
    if *recovered == before || *recovered == after {
        return;
    }
    let LogSnapshot { index: start, term, .. } = *after.snapshot.as_ref().unwrap();
    let mut only_snapshot = before;
    if only_snapshot.entries.iter().any(|entry| entry.index == start && entry.term != term) {
        only_snapshot.entries.clear();
    }
    only_snapshot.entries.retain(|entry| entry.index > start);
    only_snapshot.snapshot = after.snapshot;
    assert_eq!(*recovered, only_snapshot, "point {point}");
}

/// Returns the batch as the state machine retries it: it first truncates what may be on disk.
pub fn retry_of(batch: &PersistBatch) -> PersistBatch {
    let first = batch.entries.first().map(|entry| entry.index);
    PersistBatch { truncate_from: batch.truncate_from.or(first), ..batch.clone() }
}
