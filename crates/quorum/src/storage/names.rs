//! The names of the log's files.

use {
    super::error::{FileAction, ForeignFileSnafu, IoSnafu, StorageError},
    base::LogIndex,
    snafu::ResultExt,
    std::{
        fmt, fs,
        path::{Path, PathBuf},
    },
};

/// Name of the lock file.
pub(crate) const LOCK_NAME: &str = "lock";
const SEGMENT_PREFIX: &str = "segment-";
const SEGMENT_SUFFIX: &str = ".log";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_SUFFIX: &str = ".snap";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The files of a folder, by kind and in ascending order.
#[derive(Debug, Clone, Default)]
pub struct FolderListing {
    pub(crate) segments: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
    /// Files that a crash left under their temporary name.
    pub(crate) temporary: Vec<PathBuf>,
}

impl fmt::Display for FolderListing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { segments, snapshots, .. } = self;
        write!(formatter, "segments {segments:?}, snapshots {snapshots:?}")
    }
}

/// Returns the path of a segment.
pub(crate) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:020}{SEGMENT_SUFFIX}"))
}

/// Returns the path of the snapshot at `index`.
pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{:020}{SNAPSHOT_SUFFIX}", index.0))
}

/// Returns the temporary path of a file that is still being written.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    name.into()
}

/// Lists the files of a folder. Fails if the folder contains any file that does not belong to the
/// log.
pub(crate) fn list_folder(folder: &Path) -> Result<FolderListing, StorageError> {
    let read = IoSnafu { path: folder, action: FileAction::Read };
    let mut listing = FolderListing::default();
    for item in fs::read_dir(folder).context(read)? {
        let path = item.context(read)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some(number) = parse_number(name, SEGMENT_PREFIX, SEGMENT_SUFFIX) {
            listing.segments.push(number);
        } else if let Some(number) = parse_number(name, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX) {
            listing.snapshots.push(number);
        } else if is_temporary(name) {
            listing.temporary.push(path);
        } else if name != LOCK_NAME {
            return ForeignFileSnafu { path }.fail();
        }
    }
    listing.segments.sort_unstable();
    listing.snapshots.sort_unstable();
    Ok(listing)
}

fn is_temporary(name: &str) -> bool {
    let Some(finished) = name.strip_suffix(TEMPORARY_SUFFIX) else {
        return false;
    };
    parse_number(finished, SEGMENT_PREFIX, SEGMENT_SUFFIX).is_some()
        || parse_number(finished, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX).is_some()
}

fn parse_number(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok()
}
