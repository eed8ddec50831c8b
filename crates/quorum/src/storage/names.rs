//! The names of the log's files.

use {
    super::error::{FileAction, ForeignFileSnafu, IoSnafu, StorageError},
    base::LogIndex,
    snafu::ResultExt,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// The lock file.
pub(crate) const LOCK_NAME: &str = "lock";
const SEGMENT_PREFIX: &str = "segment-";
const SEGMENT_SUFFIX: &str = ".log";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_SUFFIX: &str = ".snap";
const UNFINISHED_SUFFIX: &str = ".tmp";

/// The files of a folder, by kind and in order.
#[derive(Debug, Default)]
pub(crate) struct FolderListing {
    pub(crate) segments: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
    /// Files that never got their final name.
    pub(crate) unfinished: Vec<PathBuf>,
}

/// The path of a segment.
pub(crate) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:020}{SEGMENT_SUFFIX}"))
}

/// The path of a snapshot.
pub(crate) fn snapshot_path(folder: &Path, index: LogIndex) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{:020}{SNAPSHOT_SUFFIX}", index.0))
}

/// The name of a file while it is written.
pub(crate) fn unfinished_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(UNFINISHED_SUFFIX);
    name.into()
}

/// Lists a folder, and refuses it when it holds anything else.
pub(crate) fn list_folder(folder: &Path) -> Result<FolderListing, StorageError> {
    let read = IoSnafu { path: folder, action: FileAction::Read };
    let mut listing = FolderListing::default();
    for item in fs::read_dir(folder).context(read)? {
        let path = item.context(read)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some(number) = numbered(name, SEGMENT_PREFIX, SEGMENT_SUFFIX) {
            listing.segments.push(number);
        } else if let Some(number) = numbered(name, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX) {
            listing.snapshots.push(number);
        } else if is_unfinished(name) {
            listing.unfinished.push(path);
        } else if name != LOCK_NAME {
            return ForeignFileSnafu { path }.fail();
        }
    }
    listing.segments.sort_unstable();
    listing.snapshots.sort_unstable();
    Ok(listing)
}

fn is_unfinished(name: &str) -> bool {
    let Some(finished) = name.strip_suffix(UNFINISHED_SUFFIX) else {
        return false;
    };
    numbered(finished, SEGMENT_PREFIX, SEGMENT_SUFFIX).is_some()
        || numbered(finished, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX).is_some()
}

fn numbered(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok()
}
