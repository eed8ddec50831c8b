//! Losses of power: whatever of the unsynced changes they undo, the log opens and holds what was
//! synced.

mod batches;
mod power;

use {
    batches::{
        batches, check_partial, cluster, entries, model_after, open, retry_of, snapshot, OWNER,
    },
    power::PowerDisk,
    quorum::{FileLayer, LogStorage, PersistBatch, RecoveredLog, StorageError},
    std::{
        collections::BTreeMap,
        fs,
        path::{Path, PathBuf},
    },
};

/// The log's folder in the root folder of a disk.
fn log_folder(root: &Path) -> PathBuf {
    root.join("data/log")
}

fn open_on(disk: &PowerDisk) -> Result<(LogStorage<PowerDisk>, RecoveredLog), StorageError> {
    LogStorage::open_with(disk.clone(), &log_folder(&disk.path()), &cluster(), OWNER)
}

/// Writes the batches until the process is killed. Returns the number of complete ones, or `None`
/// if the log didn't open.
fn write_batches(disk: &PowerDisk) -> Option<usize> {
    let (mut storage, _) = open_on(disk).ok()?;
    let all = batches();
    let failed = all.iter().position(|batch| storage.persist(batch).is_err());
    Some(failed.unwrap_or(all.len()))
}

/// Checks that the log opens with the first `count` batches and possibly parts of the next, and
/// that the log goes on from there.
fn check_root(root: &Path, count: Option<usize>, point: u64) {
    let all = batches();
    let folder = log_folder(root);
    let opened = open(&folder);
    let (mut storage, recovered) = opened.unwrap_or_else(|error| panic!("point {point}: {error}"));
    match count {
        None => assert_eq!(recovered, RecoveredLog::default(), "point {point}"),
        Some(count) if count == all.len() => {
            assert_eq!(recovered, model_after(count), "point {point}")
        }
        Some(count) => check_partial(&recovered, count, point),
    }
    write_rest(&mut storage, count);
    drop(storage);
    assert_eq!(open(&folder).unwrap().1, model_after(all.len()), "point {point}");
}

/// Writes the batches after the first `count`, beginning with the one that a killed process left.
fn write_rest<F: FileLayer>(storage: &mut LogStorage<F>, count: Option<usize>) {
    let all = batches();
    let mut rest = all[count.unwrap_or(0)..].iter();
    rest.next().into_iter().for_each(|batch| storage.persist(&retry_of(batch)).unwrap());
    rest.for_each(|batch| storage.persist(batch).unwrap());
}

/// Calls `check` for each number of operations after which a process may be killed, and once for a
/// process that writes all batches.
fn for_each_point(mut check: impl FnMut(u64, &PowerDisk, Option<usize>)) {
    for point in 0.. {
        let disk = PowerDisk::new(point);
        let count = write_batches(&disk);
        check(point, &disk, count);
        if count == Some(batches().len()) {
            assert!(point > 60, "only {point} operations");
            return;
        }
    }
}

// Review 2, case 6: segments that came back after a loss of power kept the log from opening.
#[test]
fn power_may_be_lost_between_any_two_operations() {
    for_each_point(|point, disk, count| {
        disk.cut_power(|root| check_root(root, count, point));
    });
}

// A killed process left an unsynced snapshot, and its successor removed the one before it.
#[test]
fn power_may_be_lost_while_a_killed_process_starts_again() {
    for_each_point(|point, _, _| {
        for operations in 0.. {
            let disk = PowerDisk::new(point);
            let count = write_batches(&disk);
            disk.restart(operations);
            let opened = open_on(&disk);
            disk.cut_power(|root| check_root(root, count, point));
            if opened.is_ok() {
                break;
            }
        }
    });
}

// The name of a folder that a killed process had created was never synced, nor was its log then.
#[test]
fn a_process_syncs_what_a_killed_one_has_left() {
    for_each_point(|point, disk, count| {
        disk.restart(u64::MAX);
        let (mut storage, _) = open_on(disk).unwrap();
        write_rest(&mut storage, count);
        let all = model_after(batches().len());
        disk.cut_power(|root| {
            let opened = open(&log_folder(root));
            assert_eq!(opened.unwrap().1, all, "point {point}");
        });
    });
}

// Review 2, case 6: three segments were removed under one snapshot, and not all of them came back.
#[test]
fn any_part_of_the_removed_segments_may_come_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    let none = PersistBatch::default;
    let mut persist = |batch: PersistBatch| storage.persist(&batch).unwrap();
    persist(PersistBatch { entries: entries(1..=10, 1), ..none() });
    for index in 1..=3 {
        persist(PersistBatch { snapshot: snapshot(index, 1), ..none() });
        persist(PersistBatch { entries: entries(10 + index..=10 + index, 1), ..none() });
    }
    let before = segments_in(folder.path());
    persist(PersistBatch { snapshot: snapshot(12, 1), ..none() });
    drop(storage);
    let after = segments_in(folder.path());
    let expected = open(folder.path()).unwrap().1;
    assert_eq!(expected.entries, entries(13..=13, 1));
    let removed: Vec<_> = before.iter().filter(|(path, _)| !after.contains_key(*path)).collect();
    assert_eq!(removed.len(), 3);
    for returned in 0..1 << removed.len() {
        for (bit, (path, content)) in removed.iter().enumerate() {
            if returned >> bit & 1 == 1 {
                fs::write(path, content).unwrap();
            }
        }
        for _ in 0..2 {
            assert_eq!(open(folder.path()).unwrap().1, expected, "returned {returned:03b}");
        }
        removed.iter().for_each(|(path, _)| drop(fs::remove_file(path)));
    }
}

fn segments_in(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let paths = fs::read_dir(folder).unwrap().map(|item| item.unwrap().path());
    let paths = paths.filter(|path| path.extension().is_some_and(|end| end == "log"));
    paths.map(|path| (path.clone(), fs::read(path).unwrap())).collect()
}
