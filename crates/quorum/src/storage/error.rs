//! Why files of the log can't be used.

use {
    base::{ClusterName, LogIndex, ReplicaId},
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Why the log can't be opened or written. Files that are refused are left as they are.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The operating system refused.
    #[snafu(display("{}: can't {action}: {source}", path.display()))]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What was tried.
        action: FileAction,
        /// What the operating system said.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[snafu(display("{}: another process uses this log", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file is none of the log's.
    #[snafu(display("{}: this is no file of a replicated log", path.display()))]
    ForeignFile {
        /// The file.
        path: PathBuf,
    },
    /// The file belongs to another cluster.
    #[snafu(display("{}: belongs to cluster {found}, not to {expected}", path.display()))]
    OtherCluster {
        /// The file.
        path: PathBuf,
        /// The cluster named in the file.
        found: ClusterName,
        /// The cluster of this process.
        expected: ClusterName,
    },
    /// The file belongs to another replica.
    #[snafu(display("{}: belongs to replica {found}, not to {expected}", path.display()))]
    OtherReplica {
        /// The file.
        path: PathBuf,
        /// The replica named in the file.
        found: ReplicaId,
        /// The replica of this process.
        expected: ReplicaId,
    },
    /// The file was written by a newer release.
    #[snafu(display(
        "{}: has format {found}, but this release reads up to {supported}",
        path.display()
    ))]
    NewerFormat {
        /// The file.
        path: PathBuf,
        /// The format of the file.
        found: u32,
        /// The newest format that this release reads.
        supported: u32,
    },
    /// Bytes that were synced are not what was written.
    #[snafu(display(
        "{}: damaged at byte {offset}; replace this replica under a new id",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage starts.
        offset: u64,
    },
    /// A segment between others is gone.
    #[snafu(display("{}: this file of the log is missing", path.display()))]
    MissingSegment {
        /// The file that should be there.
        path: PathBuf,
    },
    /// Positions are missing between the snapshot and the log, or between entries.
    #[snafu(display("{}: position {expected} is missing; found {found}", path.display()))]
    MissingEntries {
        /// The folder.
        path: PathBuf,
        /// The position that should come next.
        expected: LogIndex,
        /// The position that came.
        found: LogIndex,
    },
    /// A batch does not follow what is stored.
    #[snafu(display("the batch starts at position {found}, but the log ends before {expected}"))]
    BatchGap {
        /// The position that should come next.
        expected: LogIndex,
        /// The position that came.
        found: LogIndex,
    },
    /// A record can't be encoded.
    #[snafu(display("a record can't be encoded: {source}"))]
    Encode {
        /// What the codec said.
        source: rmp_serde::encode::Error,
    },
    /// A record is larger than a frame can be.
    #[snafu(display("a record of {bytes} bytes does not fit into a frame"))]
    RecordTooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// What was tried on a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FileAction {
    /// Create it.
    #[snafu(display("create it"))]
    Create,
    /// Lock it.
    #[snafu(display("lock it"))]
    Lock,
    /// Read it.
    #[snafu(display("read it"))]
    Read,
    /// Write it.
    #[snafu(display("write it"))]
    Write,
    /// Sync it.
    #[snafu(display("sync it"))]
    Sync,
    /// Rename it.
    #[snafu(display("rename it"))]
    Rename,
    /// Cut its end.
    #[snafu(display("cut its end"))]
    Truncate,
    /// Remove it.
    #[snafu(display("remove it"))]
    Remove,
}
