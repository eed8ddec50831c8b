//! Errors of the log's files.

use {
    super::names::FolderListing,
    base::{ClusterName, LogIndex, ReplicaId},
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Why the log can't be opened or written. Opening never modifies files that it rejects.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operating system call failed.
    #[snafu(display("{}: can't {action}: {source}", path.display()))]
    Io {
        /// The file or folder on which the operation failed.
        path: PathBuf,
        /// The attempted operation.
        action: FileAction,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[snafu(display("{}: another process uses this log", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file in the folder does not belong to a replicated log.
    #[snafu(display("{}: not a file of a replicated log", path.display()))]
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
    /// A newer release wrote the file.
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
    /// Synced bytes differ from what was written.
    #[snafu(display(
        "{}: damaged at byte {offset}; replace this replica under a new id",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the first damaged frame, in bytes.
        offset: u64,
    },
    /// A segment file is missing from the sequence, and no snapshot covers what it held.
    #[snafu(display("{}: this segment of the log is missing; found {listing}", path.display()))]
    MissingSegment {
        /// The expected path of the missing file.
        path: PathBuf,
        /// The files that the folder contains.
        listing: FolderListing,
    },
    /// Positions are missing between the snapshot and the log, or between entries.
    #[snafu(display("{}: position {expected} is missing; found {found}", path.display()))]
    MissingEntries {
        /// The folder or segment in which the gap was found.
        path: PathBuf,
        /// The next expected position.
        expected: LogIndex,
        /// The position that was found instead.
        found: LogIndex,
    },
    /// The first entry of a batch does not follow the last stored entry.
    #[snafu(display("the batch starts at position {found}, but the log ends before {expected}"))]
    BatchGap {
        /// The next expected position.
        expected: LogIndex,
        /// The position of the batch's first entry.
        found: LogIndex,
    },
    /// A record can't be encoded.
    #[snafu(display("a record can't be encoded: {source}"))]
    Encode {
        /// The error of the encoder.
        source: rmp_serde::encode::Error,
    },
    /// A record exceeds the largest size of a frame.
    #[snafu(display("a record of {bytes} bytes does not fit into a frame"))]
    RecordTooLarge {
        /// Size of the record in bytes.
        bytes: usize,
    },
}

/// An attempted file operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum FileAction {
    /// Create the file or folder.
    #[snafu(display("create it"))]
    Create,
    /// Lock the file.
    #[snafu(display("lock it"))]
    Lock,
    /// Read the file or folder.
    #[snafu(display("read it"))]
    Read,
    /// Write the file.
    #[snafu(display("write it"))]
    Write,
    /// Sync the file or folder.
    #[snafu(display("sync it"))]
    Sync,
    /// Rename the file.
    #[snafu(display("rename it"))]
    Rename,
    /// Truncate the file.
    #[snafu(display("truncate it"))]
    Truncate,
    /// Remove the file.
    #[snafu(display("remove it"))]
    Remove,
}
