//! Log storage: synced batches are recovered, an incomplete write is truncated, and files that
//! can't be trusted are rejected and left unchanged.

mod batches;

use {
    base::{ClusterName, LogIndex, ReplicaId, TermNumber},
    batches::{
        batches, check_partial, cluster, entries, model_after, open, retry_of, snapshot, vote,
        OWNER,
    },
    quorum::{
        DiskFiles, EntryPayload, FileLayer, LogEntry, LogStorage, PersistBatch, RecoveredLog,
        StorageError,
    },
    rstest::rstest,
    std::{
        cell::Cell,
        collections::BTreeMap,
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
        rc::Rc,
    },
};

const FIRST_SEGMENT: &str = "segment-00000000000000000001.log";

/// Returns all files but the lock file, with their content.
fn files_in(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let paths = fs::read_dir(folder).unwrap().map(|item| item.unwrap().path());
    let paths = paths.filter(|path| path.file_name().unwrap() != "lock");
    paths.map(|path| (path.clone(), fs::read(path).unwrap())).collect()
}

#[test]
fn synced_batches_are_recovered() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path().join("data/log");
    for (count, batch) in batches().iter().enumerate() {
        let (mut storage, recovered) = open(&folder).unwrap();
        assert_eq!(recovered, model_after(count));
        storage.persist(batch).unwrap();
    }
    assert_eq!(open(&folder).unwrap().1, model_after(batches().len()));
}

#[test]
fn a_batch_takes_one_sync() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    let batch = PersistBatch { entries: entries(1..=500, 1), ..PersistBatch::default() };
    storage.persist(&batch).unwrap();
    assert_eq!(storage.sync_count(), 1);
}

#[test]
fn segments_that_a_snapshot_covers_are_removed() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    batches().iter().for_each(|batch| storage.persist(batch).unwrap());
    let names = files_in(folder.path()).into_keys();
    let names: Vec<_> = names.map(|path| path.file_name().unwrap().to_owned()).collect();
    assert_eq!(names, ["segment-00000000000000000005.log", "snapshot-00000000000000000024.snap"]);
}

/// Writes the batches before the first snapshot, so that there is one segment. Returns the path of
/// the segment and its length after each batch.
fn one_segment(folder: &Path) -> (PathBuf, Vec<usize>) {
    let path = folder.join(FIRST_SEGMENT);
    let (mut storage, _) = open(folder).unwrap();
    let mut lengths = vec![fs::read(&path).unwrap().len()];
    for batch in batches().iter().take(3) {
        storage.persist(batch).unwrap();
        lengths.push(fs::read(&path).unwrap().len());
    }
    (path, lengths)
}

#[test]
fn a_torn_tail_is_truncated_whatever_its_length() {
    let folder = tempfile::tempdir().unwrap();
    let (path, lengths) = one_segment(folder.path());
    let content = fs::read(&path).unwrap();
    for length in lengths[0]..=content.len() {
        fs::write(&path, &content[..length]).unwrap();
        let complete = lengths.iter().filter(|end| **end <= length).count() - 1;
        let (mut storage, recovered) = open(folder.path()).unwrap();
        assert_eq!(recovered, model_after(complete), "cut at {length}");
        storage.persist(&PersistBatch { hard_state: vote(9), ..Default::default() }).unwrap();
        drop(storage);
        assert_eq!(open(folder.path()).unwrap().1.hard_state, vote(9).unwrap());
    }
}

/// A torn write may leave zeros, or later parts without earlier ones.
#[rstest]
#[case::zeros(|tail: &mut [u8]| tail.fill(0))]
#[case::half_written(|tail: &mut [u8]| { let half = tail.len() / 2; tail[..half].fill(0) })]
#[case::a_copy_of_another_frame(|tail: &mut [u8]| tail[8..40].fill(1))]
fn a_corrupt_tail_is_truncated(#[case] corrupt: fn(&mut [u8])) {
    let folder = tempfile::tempdir().unwrap();
    let (path, lengths) = one_segment(folder.path());
    let mut content = fs::read(&path).unwrap();
    corrupt(&mut content[lengths[2]..]);
    fs::write(&path, &content).unwrap();
    assert_eq!(open(folder.path()).unwrap().1, model_after(2));
}

/// Guards against taking a frame inside a payload for a frame that follows.
#[test]
fn a_torn_batch_whose_payload_contains_frames_is_truncated() {
    let folder = tempfile::tempdir().unwrap();
    let (path, lengths) = one_segment(folder.path());
    let content = fs::read(&path).unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    let payload = EntryPayload::Data(content.clone());
    let carrier = LogEntry { index: LogIndex(8), term: TermNumber(2), payload };
    storage.persist(&PersistBatch { entries: vec![carrier], ..Default::default() }).unwrap();
    drop(storage);
    let mut torn = fs::read(&path).unwrap();
    *torn.last_mut().unwrap() ^= 1;
    fs::write(&path, &torn).unwrap();
    assert_eq!(lengths.last(), Some(&content.len()));
    assert_eq!(open(folder.path()).unwrap().1, model_after(3));
}

#[test]
fn damage_before_the_tail_is_rejected_without_changing_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let (path, lengths) = one_segment(folder.path());
    let content = fs::read(&path).unwrap();
    for position in lengths[0]..lengths[2] {
        let mut corrupted = content.clone();
        corrupted[position] ^= 0x10;
        fs::write(&path, &corrupted).unwrap();
        let error = open(folder.path()).unwrap_err();
        assert!(matches!(error, StorageError::Damaged { .. }), "byte {position}: {error}");
        assert_eq!(fs::read(&path).unwrap(), corrupted);
    }
}

/// Modifies a folder with two segments and a snapshot, and expects an error that names the file,
/// without any change to the files.
#[rstest]
#[case::foreign_file(|folder: &Path| fs::write(folder.join("letter.txt"), "dear").unwrap(),
    "letter.txt: not a file of a replicated log")]
#[case::foreign_content(|folder: &Path| fs::write(folder.join(SEGMENT_2), "dear").unwrap(),
    "segment-00000000000000000002.log: not a file of a replicated log")]
#[case::newer_format(|folder: &Path| corrupt(&folder.join(SEGMENT_2), 8, 9),
    "segment-00000000000000000002.log: has format 9, but this release reads up to 1")]
#[case::damaged_header(|folder: &Path| corrupt(&folder.join(SEGMENT_2), 30, 0),
    "segment-00000000000000000002.log: damaged at byte 0; replace this replica under a new id")]
#[case::damaged_end_of_earlier_segment(|folder: &Path| shorten(&folder.join(FIRST_SEGMENT)),
    "segment-00000000000000000001.log: damaged at byte")]
#[case::damaged_snapshot(|folder: &Path| shorten(&folder.join(SNAPSHOT_4)),
    "snapshot-00000000000000000004.snap: damaged at byte")]
#[case::empty_segment(|folder: &Path| fs::write(folder.join(SEGMENT_2), "").unwrap(),
    "segment-00000000000000000002.log: damaged at byte 0; replace this replica under a new id")]
#[case::missing_segments(|folder: &Path| remove(folder, &[FIRST_SEGMENT, SEGMENT_2]),
    "segment-00000000000000000001.log: this segment of the log is missing; \
     found segments [], snapshots [4]")]
#[case::missing_snapshot(|folder: &Path| remove(folder, &[FIRST_SEGMENT, SNAPSHOT_4]),
    "segment-00000000000000000001.log: this segment of the log is missing; \
     found segments [2], snapshots []")]
#[case::missing_entries(|folder: &Path| remove(folder, &[FIRST_SEGMENT]),
    "position 5 is missing; found 8")]
#[case::missing_segment_with_entries_after_the_snapshot(|folder: &Path| {
    let (mut storage, _) = open(folder).unwrap();
    storage.persist(&PersistBatch { snapshot: snapshot(5, 1), ..Default::default() }).unwrap();
    drop(storage);
    remove(folder, &[SEGMENT_2]);
}, "segment-00000000000000000002.log: this segment of the log is missing; \
    found segments [1, 3], snapshots [5]")]
fn invalid_files_are_rejected(#[case] change: fn(&Path), #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, _) = open(folder.path()).unwrap();
    batches().iter().take(5).for_each(|batch| storage.persist(batch).unwrap());
    drop(storage);
    change(folder.path());
    let before = files_in(folder.path());
    let message = open(folder.path()).unwrap_err().to_string();
    assert!(message.contains(expected), "{message}");
    assert_eq!(files_in(folder.path()), before);
}

const SEGMENT_2: &str = "segment-00000000000000000002.log";
const SNAPSHOT_4: &str = "snapshot-00000000000000000004.snap";

fn corrupt(path: &Path, position: usize, byte: u8) {
    let mut content = fs::read(path).unwrap();
    content[position] = byte;
    fs::write(path, content).unwrap();
}

fn shorten(path: &Path) {
    let content = fs::read(path).unwrap();
    fs::write(path, &content[..content.len() - 1]).unwrap();
}

fn remove(folder: &Path, names: &[&str]) {
    names.iter().for_each(|name| fs::remove_file(folder.join(name)).unwrap());
}

#[rstest]
#[case::cluster("postal", 1, "belongs to cluster umoja, not to postal")]
#[case::replica("umoja", 2, "belongs to replica 1, not to 2")]
fn files_of_another_owner_are_rejected(
    #[case] name: &str,
    #[case] id: u64,
    #[case] expected: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    one_segment(folder.path());
    let before = files_in(folder.path());
    let name = ClusterName::new(name).unwrap();
    let error = LogStorage::open(folder.path(), &name, ReplicaId(id)).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(files_in(folder.path()), before);
}

#[test]
fn a_second_process_can_not_open_the_log() {
    let folder = tempfile::tempdir().unwrap();
    let first = open(folder.path()).unwrap();
    assert!(matches!(open(folder.path()), Err(StorageError::Locked { .. })));
    drop(first);
    assert!(open(folder.path()).is_ok());
}

/// File operations that fail after `remaining` successes, for as long as `failing` is set.
#[derive(Debug)]
struct FailingFiles {
    remaining: Rc<Cell<u64>>,
    failing: Rc<Cell<bool>>,
}

impl FailingFiles {
    fn check(&self) -> io::Result<()> {
        if self.remaining.get() > 0 {
            self.remaining.set(self.remaining.get() - 1);
            return Ok(());
        }
        match self.failing.get() {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl FileLayer for FailingFiles {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        self.check().and_then(|()| DiskFiles.create(path))
    }

    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.create_folder(folder))
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.check() {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        DiskFiles.append(file, bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.sync(file))
    }

    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.truncate(file, length))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.rename(from, to))
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.remove(path))
    }

    fn remove_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.remove_folder(folder))
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.check().and_then(|()| DiskFiles.sync_folder(folder))
    }
}

/// Whichever operation fails, synced batches stay readable, and a retry stores the rest.
#[rstest]
#[case::disk_full_then_crash(false)]
#[case::disk_full_then_retry(true)]
fn a_failed_file_operation_keeps_synced_batches(#[case] retry: bool) {
    let mut failures = 0;
    for point in 0.. {
        let folder = tempfile::tempdir().unwrap();
        let (remaining, failing) = (Rc::new(Cell::new(point)), Rc::new(Cell::new(true)));
        let files = FailingFiles { remaining: remaining.clone(), failing: failing.clone() };
        let Ok((mut storage, _)) = LogStorage::open_with(files, folder.path(), &cluster(), OWNER)
        else {
            assert_eq!(open(folder.path()).unwrap().1, RecoveredLog::default());
            continue;
        };
        let all = batches();
        let failed = all.iter().position(|batch| storage.persist(batch).is_err());
        let Some(failed) = failed else {
            assert!(failures > 20, "only {failures} failures were tried");
            return;
        };
        failures += 1;
        if retry {
            storage.persist(&all[failed]).unwrap_err();
            failing.set(false);
            storage.persist(&retry_of(&all[failed])).unwrap();
            all[failed + 1..].iter().for_each(|batch| storage.persist(batch).unwrap());
            drop(storage);
            assert_eq!(open(folder.path()).unwrap().1, model_after(all.len()), "point {point}");
            continue;
        }
        drop(storage);
        let recovered = open(folder.path()).unwrap().1;
        check_partial(&recovered, failed, point);
        let (mut storage, _) = open(folder.path()).unwrap();
        storage.persist(&retry_of(&all[failed])).unwrap();
        drop(storage);
        assert_eq!(open(folder.path()).unwrap().1, model_after(failed + 1), "point {point}");
    }
}
