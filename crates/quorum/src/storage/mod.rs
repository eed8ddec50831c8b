//! Log storage on disk: numbered segments of checksummed frames, with one frame and one fsync per
//! batch, and snapshots. The layout is described in `docs/decisions/quorum.md`.

mod error;
mod frame;
mod header;
mod layer;
mod names;
mod record;
mod recover;
mod writer;

pub use {
    error::{FileAction, StorageError},
    layer::{create_folder, DiskFiles, FileLayer},
    names::FolderListing,
};

use {
    self::{
        error::{BatchGapSnafu, IoSnafu, LockedSnafu},
        header::FileOwner,
        names::{list_folder, segment_path, snapshot_path, LOCK_NAME},
        record::{BorrowedRecord, SegmentDetails},
        recover::{read_folder, FolderContent, SegmentSummary, FIRST_SEGMENT},
        writer::{write_snapshot, SegmentWriter},
    },
    crate::interface::{HardState, LogSnapshot, PersistBatch, RecoveredLog},
    base::{ClusterName, LogIndex, ReplicaId},
    snafu::{ensure, ResultExt},
    std::{
        fs::{File, TryLockError},
        path::{Path, PathBuf},
    },
};

/// Size at which a segment is closed and the next one started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// The files of one replica's log. The folder must not contain any other files.
#[derive(Debug)]
pub struct LogStorage<F = DiskFiles> {
    folder: PathBuf,
    owner: FileOwner,
    files: F,
    /// Locks out other processes while the log is open.
    _lock: File,
    writer: SegmentWriter,
    /// Every segment before the active one.
    closed_segments: Vec<SegmentSummary>,
    /// The largest position of an entry in the active segment; a lower one if it has no entries.
    highest_index: LogIndex,
    next_index: LogIndex,
    hard_state: HardState,
    /// Set after a failed write: the active segment may end in unsynced bytes.
    tail_uncertain: bool,
    sync_count: u64,
}

impl LogStorage<DiskFiles> {
    /// Opens the log in `folder` and creates the folder if it does not exist. Truncates an
    /// incomplete write at the end of the log, as a crash leaves it. On any other mismatch, returns
    /// an error and leaves the files unchanged.
    pub fn open(
        folder: &Path,
        cluster: &ClusterName,
        replica: ReplicaId,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        Self::open_with(DiskFiles, folder, cluster, replica)
    }
}

impl<F: FileLayer> LogStorage<F> {
    /// Opens the log like [`LogStorage::open`], with the given file operations.
    pub fn open_with(
        mut files: F,
        folder: &Path,
        cluster: &ClusterName,
        replica: ReplicaId,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        let owner = FileOwner { cluster: cluster.clone(), replica };
        create_folder(&mut files, folder)
            .context(IoSnafu { path: folder, action: FileAction::Create })?;
        list_folder(folder)?;
        let lock = lock_folder(folder)?;
        let listing = list_folder(folder)?;
        let content = read_folder(folder, &owner, &listing)?;
        // A killed process may have left the newest snapshot under a name that is not synced. The
        // older one must not go before.
        sync_folder(&mut files, folder)?;
        remove_leftovers(&mut files, folder, &listing, &content.obsolete_segments)?;
        let FolderContent { log, mut segments, intact_length, restart, .. } = content;
        let next_index = log.next_index();
        let details = SegmentDetails { next_index, hard_state: log.hard_state };
        let (writer, highest_index) = match segments.pop() {
            Some(end) => {
                let path = segment_path(folder, end.number);
                let mut writer =
                    SegmentWriter::resume(&mut files, path, end.number, intact_length)?;
                if restart {
                    writer.append(&mut files, &BorrowedRecord::restart(next_index))?;
                }
                (writer, end.highest_index)
            }
            None => {
                let writer =
                    SegmentWriter::create(&mut files, folder, &owner, FIRST_SEGMENT, details)?;
                (writer, LogIndex(0))
            }
        };
        let storage = Self {
            folder: folder.to_owned(),
            owner,
            files,
            _lock: lock,
            writer,
            closed_segments: segments,
            highest_index,
            next_index,
            hard_state: log.hard_state,
            tail_uncertain: false,
            sync_count: 0,
        };
        Ok((storage, log))
    }

    /// Writes and syncs a batch. After an error, everything synced before is still stored, and a
    /// part of the batch may be. The caller must include the whole failed batch in the next one.
    pub fn persist(&mut self, batch: &PersistBatch) -> Result<(), StorageError> {
        if self.tail_uncertain {
            self.writer.truncate_unsynced(&mut self.files)?;
            self.start_segment()?;
            self.tail_uncertain = false;
        }
        let result = self.try_persist(batch);
        self.tail_uncertain = result.is_err();
        result
    }

    /// Returns how often a segment or snapshot has been written and synced since the log was
    /// opened.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    fn try_persist(&mut self, batch: &PersistBatch) -> Result<(), StorageError> {
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&mut self.files, &self.folder, &self.owner, snapshot)?;
            self.sync_count += 1;
        }
        let record = self.record_for(batch)?;
        if !record.is_empty() {
            self.writer.append(&mut self.files, &record)?;
            self.sync_count += 1;
        }
        self.apply_record(&record);
        if let Some(snapshot) = &batch.snapshot {
            self.start_segment()?;
            self.remove_covered(snapshot);
        } else if self.writer.length() >= SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Returns the position after which the log restarts, if the batch replaces the whole log by
    /// its snapshot. It does so when the log ends before the snapshot or no entry after the
    /// snapshot remains. Stored entries up to that position may contradict the snapshot.
    fn restart_position(&self, batch: &PersistBatch) -> Option<LogIndex> {
        let covered = batch.snapshot.as_ref()?.index;
        let cut = batch.truncate_from.is_some_and(|from| from <= covered.next());
        (cut || covered >= self.next_index).then_some(covered)
    }

    fn record_for<'a>(&self, batch: &'a PersistBatch) -> Result<BorrowedRecord<'a>, StorageError> {
        let restart_after = self.restart_position(batch);
        let next = restart_after.map_or(self.next_index, LogIndex::next);
        let truncate_from = batch.truncate_from.filter(|from| *from < next);
        let truncate_from = truncate_from.filter(|_| restart_after.is_none());
        let record = BorrowedRecord {
            restart_after,
            truncate_from,
            entries: &batch.entries,
            hard_state: batch.hard_state,
        };
        let expected = truncate_from.unwrap_or(next);
        if let Some(first) = batch.entries.first() {
            ensure!(first.index == expected, BatchGapSnafu { expected, found: first.index });
        }
        Ok(record)
    }

    fn apply_record(&mut self, record: &BorrowedRecord<'_>) {
        if let Some(index) = record.restart_after {
            self.next_index = index.next();
            self.highest_index = self.highest_index.min(index);
            self.closed_segments
                .iter_mut()
                .for_each(|end| end.highest_index = end.highest_index.min(index));
        }
        self.next_index = record.truncate_from.unwrap_or(self.next_index);
        if let Some(last) = record.entries.last() {
            self.next_index = last.index.next();
            self.highest_index = self.highest_index.max(last.index);
        }
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let number = self.writer.number() + 1;
        let details = SegmentDetails { next_index: self.next_index, hard_state: self.hard_state };
        let writer =
            SegmentWriter::create(&mut self.files, &self.folder, &self.owner, number, details)?;
        self.sync_count += 1;
        let ended = std::mem::replace(&mut self.writer, writer);
        self.closed_segments
            .push(SegmentSummary { number: ended.number(), highest_index: self.highest_index });
        self.highest_index = LogIndex(0);
        Ok(())
    }

    /// Removes the segments and snapshots that `snapshot` makes obsolete, the oldest first. A
    /// failed removal is retried with the next snapshot, and what a loss of power brings back is
    /// removed when the log is opened.
    fn remove_covered(&mut self, snapshot: &LogSnapshot) {
        while let Some(first) = self.closed_segments.first() {
            let path = segment_path(&self.folder, first.number);
            if first.highest_index > snapshot.index || self.files.remove(&path).is_err() {
                break;
            }
            self.closed_segments.remove(0);
        }
        let Ok(listing) = list_folder(&self.folder) else {
            return;
        };
        for index in listing.snapshots.into_iter().filter(|index| *index < snapshot.index.0) {
            // Opening the log removes snapshots that could not be removed here.
            let _ = self.files.remove(&snapshot_path(&self.folder, LogIndex(index)));
        }
        // Keeps removed files from coming back much later and filling the disk. If the sync fails,
        // the next one covers them.
        let _ = self.files.sync_folder(&self.folder);
    }
}

impl RecoveredLog {
    /// Returns the position after the last entry.
    fn next_index(&self) -> LogIndex {
        let covered = self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        self.entries.last().map_or(covered, |entry| entry.index).next()
    }
}

fn sync_folder<F: FileLayer>(files: &mut F, folder: &Path) -> Result<(), StorageError> {
    files.sync_folder(folder).context(IoSnafu { path: folder, action: FileAction::Sync })
}

fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_NAME);
    let lock = File::options()
        .write(true)
        .create(true)
        .truncate(false)
        .open(&path)
        .context(IoSnafu { path: &path, action: FileAction::Create })?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(TryLockError::Error(source)) => {
            Err(source).context(IoSnafu { path, action: FileAction::Lock })
        }
    }
}

/// Removes files with a temporary name, all snapshots but the newest, and obsolete segments, and
/// syncs the folder if there were any.
fn remove_leftovers<F: FileLayer>(
    files: &mut F,
    folder: &Path,
    listing: &FolderListing,
    obsolete_segments: &[u64],
) -> Result<(), StorageError> {
    let old = listing.snapshots.iter().rev().skip(1);
    let old = old.map(|index| snapshot_path(folder, LogIndex(*index)));
    let segments = obsolete_segments.iter().map(|number| segment_path(folder, *number));
    let leftovers: Vec<_> = old.chain(segments).chain(listing.temporary.iter().cloned()).collect();
    if leftovers.is_empty() {
        return Ok(());
    }
    for path in leftovers {
        files.remove(&path).context(IoSnafu { path, action: FileAction::Remove })?;
    }
    sync_folder(files, folder)
}
