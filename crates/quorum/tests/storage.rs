//! The log on disk: what is synced comes back, and what can't be trusted is refused.

use {
    base::{ClusterName, LogIndex, ReplicaId, TermNumber},
    quorum::{
        EntryPayload, HardState, LogEntry, LogSnapshot, LogStorage, PersistBatch, RecoveredLog,
    },
    std::path::Path,
};

const OWNER: ReplicaId = ReplicaId(1);

fn cluster() -> ClusterName {
    ClusterName::new("umoja").unwrap()
}

fn open(folder: &Path) -> (LogStorage, RecoveredLog) {
    LogStorage::open(folder, &cluster(), OWNER).unwrap()
}

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = EntryPayload::Data(format!("{index} in {term}").into_bytes());
    LogEntry { index: LogIndex(index), term: TermNumber(term), payload }
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Vec<LogEntry> {
    range.map(|index| entry(index, term)).collect()
}

fn snapshot(index: u64, term: u64) -> LogSnapshot {
    LogSnapshot {
        index: LogIndex(index),
        term: TermNumber(term),
        members: Vec::new(),
        retired: Vec::new(),
        data: format!("state at {index}").into_bytes().into(),
    }
}

fn vote(term: u64) -> Option<HardState> {
    Some(HardState { term: TermNumber(term), voted_for: Some(OWNER) })
}

#[test]
fn what_is_synced_comes_back() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path().join("data/log");
    let (mut storage, recovered) = open(&folder);
    assert_eq!(recovered, RecoveredLog::default());
    let batches = [
        PersistBatch { hard_state: vote(1), ..Default::default() },
        PersistBatch { entries: entries(1..=9, 1), ..Default::default() },
        PersistBatch {
            truncate_from: Some(LogIndex(6)),
            entries: entries(6..=7, 2),
            hard_state: vote(2),
            ..Default::default()
        },
        PersistBatch { snapshot: Some(snapshot(4, 1)), ..Default::default() },
        PersistBatch { entries: entries(8..=8, 2), ..Default::default() },
    ];
    for batch in &batches {
        storage.persist(batch).unwrap();
    }
    drop(storage);
    let expected = RecoveredLog {
        hard_state: vote(2).unwrap(),
        snapshot: Some(snapshot(4, 1)),
        entries: [entries(5..=5, 1), entries(6..=8, 2)].concat(),
    };
    assert_eq!(open(&folder).1, expected);
    assert_eq!(open(&folder).1, expected);
}
