//! When the log takes a snapshot, and what it keeps.

mod solo;

use {
    solo::SoloReplica,
    std::{fs, path::Path},
};

const MEGABYTE: usize = 1024 * 1024;
/// Far more entries than the test proposes.
const SNAPSHOT_EVERY: u64 = 1_000_000;

fn bytes_in(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().metadata().unwrap().len());
    files.sum()
}

// Review, case 1: large configurations filled the control disks, and no leader came back.
#[test]
fn few_large_entries_do_not_fill_the_disk() {
    let folder = tempfile::tempdir().unwrap();
    let mut replica = SoloReplica::open(folder.path(), SNAPSHOT_EVERY);
    replica.last_only = true;
    let mut largest = 0;
    for ticket in 0..100 {
        replica.propose([(ticket, vec![ticket as u8; MEGABYTE])]);
        largest = largest.max(bytes_in(folder.path()));
    }
    assert_eq!(replica.committed.len(), 100);
    assert!(largest <= 40 * MEGABYTE as u64, "{largest} bytes");
    drop(replica);
    let mut replica = SoloReplica::open(folder.path(), SNAPSHOT_EVERY);
    replica.last_only = true;
    replica.propose([(100, b"after the restart".to_vec())]);
    assert_eq!(replica.state.values().collect::<Vec<_>>(), [b"after the restart"]);
}
