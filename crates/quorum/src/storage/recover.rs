//! Reads the content of a log folder without modifying it.

use {
    super::{
        error::{
            DamagedSnafu, FileAction, IoSnafu, MissingEntriesSnafu, MissingSegmentSnafu,
            StorageError,
        },
        frame::{decode_frame, frame_follows, FramePosition},
        header::{decode_header, FileOwner},
        names::{segment_path, snapshot_path, FolderListing},
        record::{BatchRecord, SegmentDetails},
    },
    crate::interface::{HardState, LogEntry, LogSnapshot, RecoveredLog},
    base::LogIndex,
    snafu::{ensure, OptionExt, ResultExt},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Number of the first segment.
pub(crate) const FIRST_SEGMENT: u64 = 1;

/// A segment's number and the largest position that it contains.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SegmentSummary {
    pub(crate) number: u64,
    /// The largest position of an entry in the segment, or the position before its start.
    pub(crate) highest_index: LogIndex,
}

/// The recovered content of a folder.
#[derive(Debug)]
pub(crate) struct FolderContent {
    pub(crate) log: RecoveredLog,
    pub(crate) segments: Vec<SegmentSummary>,
    /// Numbers of the segments before a gap. They were removed and came back after a loss of power.
    pub(crate) obsolete_segments: Vec<u64>,
    /// Length of the last segment up to the end of its last intact frame, in bytes.
    pub(crate) intact_length: u64,
    /// Whether a crash occurred after a snapshot was written and before the record that restarts
    /// the log.
    pub(crate) restart: bool,
}

/// Reads the newest snapshot and the segments after the last gap in their numbers. Fails if any of
/// them is damaged or foreign, or if the snapshot does not cover all that precedes the segments.
///
/// Segments are removed without a sync after each, so that a loss of power may bring back any of
/// them (`docs/decisions/quorum.md`, "Files").
pub(crate) fn read_folder(
    folder: &Path,
    owner: &FileOwner,
    listing: &FolderListing,
) -> Result<FolderContent, StorageError> {
    let mut replay = LogReplay::default();
    let mut segments = Vec::new();
    let mut intact_length = 0;
    let (obsolete, contiguous) = split_at_last_gap(&listing.segments);
    check_first_segment(folder, listing, contiguous)?;
    for number in contiguous {
        let path = segment_path(folder, *number);
        let last = Some(number) == listing.segments.last();
        let segment = SegmentFile { path, number: *number, last };
        let (end, length) = segment.replay_into(owner, &mut replay)?;
        segments.push(end);
        intact_length = length;
    }
    let snapshot = match listing.snapshots.last() {
        Some(index) => Some(read_snapshot(folder, owner, LogIndex(*index))?),
        None => None,
    };
    let restart = snapshot.as_ref().is_some_and(|snapshot| replay.must_restart(snapshot));
    let log = match replay.finish(folder, snapshot) {
        Err(StorageError::MissingEntries { .. }) if !obsolete.is_empty() => {
            return missing_before(folder, listing, contiguous);
        }
        finished => finished?,
    };
    let obsolete_segments = obsolete.to_vec();
    Ok(FolderContent { log, segments, obsolete_segments, intact_length, restart })
}

/// Splits ascending segment numbers into those before the last gap and the contiguous ones after
/// it.
fn split_at_last_gap(numbers: &[u64]) -> (&[u64], &[u64]) {
    let gap = numbers.windows(2).rposition(|pair| pair[0] + 1 != pair[1]);
    numbers.split_at(gap.map_or(0, |position| position + 1))
}

/// Checks that the contiguous segments begin with the first one, unless a snapshot exists. Without
/// any segment, there must be no snapshot either.
fn check_first_segment(
    folder: &Path,
    listing: &FolderListing,
    contiguous: &[u64],
) -> Result<(), StorageError> {
    match (contiguous.first(), listing.snapshots.is_empty()) {
        (None, true) | (Some(&FIRST_SEGMENT), true) | (Some(_), false) => Ok(()),
        (None, false) | (Some(_), true) => missing_before(folder, listing, contiguous),
    }
}

/// Reports that the segment before the contiguous ones is missing.
fn missing_before<T>(
    folder: &Path,
    listing: &FolderListing,
    contiguous: &[u64],
) -> Result<T, StorageError> {
    let missing = contiguous.first().map_or(FIRST_SEGMENT, |first| first - 1);
    MissingSegmentSnafu { path: segment_path(folder, missing), listing: listing.clone() }.fail()
}

fn read_snapshot(
    folder: &Path,
    owner: &FileOwner,
    index: LogIndex,
) -> Result<LogSnapshot, StorageError> {
    let path = snapshot_path(folder, index);
    let content = read_file(&path)?;
    let header = decode_header::<()>(&path, &content, owner, index.0)?;
    let position = FramePosition { file: index.0, offset: header.offset };
    let damaged = DamagedSnafu { path: &path, offset: position.offset };
    let (payload, end) = decode_frame(&content, position).context(damaged)?;
    ensure!(end == content.len() as u64, DamagedSnafu { path: &path, offset: end });
    let snapshot: LogSnapshot = rmp_serde::from_slice(payload).ok().context(damaged)?;
    ensure!(snapshot.index == index, damaged);
    Ok(snapshot)
}

/// A segment file to replay.
struct SegmentFile {
    path: PathBuf,
    number: u64,
    /// Whether this is the last segment, the only one that may end in an incomplete frame.
    last: bool,
}

impl SegmentFile {
    fn replay_into(
        &self,
        owner: &FileOwner,
        replay: &mut LogReplay,
    ) -> Result<(SegmentSummary, u64), StorageError> {
        let path = &self.path;
        let content = read_file(path)?;
        let header = decode_header::<SegmentDetails>(path, &content, owner, self.number)?;
        replay.start_segment(path, &header.details)?;
        let mut highest_index = LogIndex(header.details.next_index.0 - 1);
        let mut offset = header.offset;
        while offset < content.len() as u64 {
            let position = FramePosition { file: self.number, offset };
            let Some((payload, end)) = decode_frame(&content, position) else {
                let torn = self.last && !frame_follows(&content, position);
                ensure!(torn, DamagedSnafu { path, offset });
                break;
            };
            let record: BatchRecord =
                rmp_serde::from_slice(payload).ok().context(DamagedSnafu { path, offset })?;
            highest_index = highest_index.max(record.last_index().unwrap_or(highest_index));
            replay.apply(path, record)?;
            offset = end;
        }
        Ok((SegmentSummary { number: self.number, highest_index }, offset))
    }
}

/// The log state that results from the records read so far.
#[derive(Debug, Default)]
struct LogReplay {
    started: bool,
    hard_state: HardState,
    next_index: LogIndex,
    entries: Vec<LogEntry>,
}

impl LogReplay {
    fn start_segment(&mut self, path: &Path, details: &SegmentDetails) -> Result<(), StorageError> {
        if !self.started {
            self.started = true;
            self.next_index = details.next_index;
        }
        self.hard_state = details.hard_state;
        let (expected, found) = (self.next_index, details.next_index);
        ensure!(expected == found, MissingEntriesSnafu { path, expected, found });
        Ok(())
    }

    fn apply(&mut self, path: &Path, record: BatchRecord) -> Result<(), StorageError> {
        if let Some(index) = record.restart_after {
            self.entries.clear();
            self.next_index = index.next();
        }
        if let Some(from) = record.truncate_from.filter(|from| *from < self.next_index) {
            self.entries.retain(|entry| entry.index < from);
            self.next_index = from;
        }
        for entry in record.entries {
            let (expected, found) = (self.next_index, entry.index);
            ensure!(expected == found, MissingEntriesSnafu { path, expected, found });
            self.next_index = found.next();
            self.entries.push(entry);
        }
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        Ok(())
    }

    /// Whether the log ends before the snapshot or contradicts it, so that all its entries must be
    /// discarded.
    fn must_restart(&self, snapshot: &LogSnapshot) -> bool {
        let LogSnapshot { index, term, .. } = *snapshot;
        let contradicts = |entry: &LogEntry| entry.index == index && entry.term != term;
        self.next_index <= index || self.entries.iter().any(contradicts)
    }

    /// Combines the entries with the snapshot. Fails if positions are missing between them.
    fn finish(
        mut self,
        folder: &Path,
        snapshot: Option<LogSnapshot>,
    ) -> Result<RecoveredLog, StorageError> {
        let start = snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        if snapshot.as_ref().is_some_and(|snapshot| self.must_restart(snapshot)) {
            self.entries.clear();
            self.next_index = start.next();
        }
        self.entries.retain(|entry| entry.index > start);
        let expected = start.next();
        let found = self.entries.first().map_or(self.next_index, |entry| entry.index);
        ensure!(
            !self.started || found == expected,
            MissingEntriesSnafu { path: folder, expected, found }
        );
        Ok(RecoveredLog { hard_state: self.hard_state, snapshot, entries: self.entries })
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, StorageError> {
    fs::read(path).context(IoSnafu { path, action: FileAction::Read })
}
