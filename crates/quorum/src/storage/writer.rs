//! Writes segment and snapshot files.

use {
    super::{
        error::{FileAction, IoSnafu, StorageError},
        frame::{encode_frame, FramePosition},
        header::{encode_header, FileOwner},
        layer::FileLayer,
        names::{segment_path, snapshot_path, temporary_path},
        record::{BorrowedRecord, SegmentDetails},
    },
    crate::interface::LogSnapshot,
    snafu::ResultExt,
    std::{
        fs::File,
        io::{Seek, SeekFrom},
        path::{Path, PathBuf},
    },
};

/// The active segment, to which records are appended.
#[derive(Debug)]
pub(crate) struct SegmentWriter {
    path: PathBuf,
    number: u64,
    file: File,
    /// Length of the synced part of the file, in bytes.
    synced: u64,
}

impl SegmentWriter {
    /// Creates a segment file with its header.
    pub(crate) fn create<F: FileLayer>(
        files: &mut F,
        folder: &Path,
        owner: &FileOwner,
        number: u64,
        details: SegmentDetails,
    ) -> Result<Self, StorageError> {
        let path = segment_path(folder, number);
        let header = encode_header(owner, number, &details)?;
        let file = write_atomically(files, &path, &header)?;
        Ok(Self { path, number, file, synced: header.len() as u64 })
    }

    /// Opens an existing segment for appending and truncates it to its first `intact` bytes. Syncs
    /// these bytes, because a killed process may have written them without syncing.
    pub(crate) fn resume<F: FileLayer>(
        files: &mut F,
        path: PathBuf,
        number: u64,
        intact: u64,
    ) -> Result<Self, StorageError> {
        let file = File::options()
            .write(true)
            .open(&path)
            .context(IoSnafu { path: &path, action: FileAction::Write })?;
        let mut writer = Self { path, number, file, synced: intact };
        writer.truncate_unsynced(files)?;
        Ok(writer)
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn length(&self) -> u64 {
        self.synced
    }

    /// Truncates the segment to its synced length.
    pub(crate) fn truncate_unsynced<F: FileLayer>(
        &mut self,
        files: &mut F,
    ) -> Result<(), StorageError> {
        let path = &self.path;
        files
            .truncate(&self.file, self.synced)
            .context(IoSnafu { path, action: FileAction::Truncate })?;
        files.sync(&self.file).context(IoSnafu { path, action: FileAction::Sync })?;
        self.file
            .seek(SeekFrom::Start(self.synced))
            .context(IoSnafu { path, action: FileAction::Write })?;
        Ok(())
    }

    /// Appends and syncs a record.
    pub(crate) fn append<F: FileLayer>(
        &mut self,
        files: &mut F,
        record: &BorrowedRecord<'_>,
    ) -> Result<(), StorageError> {
        let position = FramePosition { file: self.number, offset: self.synced };
        let frame = encode_frame(position, record)?;
        let path = &self.path;
        files
            .append(&mut self.file, &frame)
            .context(IoSnafu { path, action: FileAction::Write })?;
        files.sync(&self.file).context(IoSnafu { path, action: FileAction::Sync })?;
        self.synced += frame.len() as u64;
        Ok(())
    }
}

/// Writes and syncs a snapshot file.
pub(crate) fn write_snapshot<F: FileLayer>(
    files: &mut F,
    folder: &Path,
    owner: &FileOwner,
    snapshot: &LogSnapshot,
) -> Result<(), StorageError> {
    let number = snapshot.index.0;
    let mut bytes = encode_header(owner, number, &())?;
    let position = FramePosition { file: number, offset: bytes.len() as u64 };
    bytes.extend(encode_frame(position, snapshot)?);
    write_atomically(files, &snapshot_path(folder, snapshot.index), &bytes)?;
    Ok(())
}

/// Creates a file atomically: writes and syncs it under a temporary name, renames it and syncs the
/// folder. After a crash, the file is either complete or absent under its final name.
fn write_atomically<F: FileLayer>(
    files: &mut F,
    path: &Path,
    bytes: &[u8],
) -> Result<File, StorageError> {
    let temporary = temporary_path(path);
    let mut file = files
        .create(&temporary)
        .context(IoSnafu { path: &temporary, action: FileAction::Create })?;
    files
        .append(&mut file, bytes)
        .context(IoSnafu { path: &temporary, action: FileAction::Write })?;
    files.sync(&file).context(IoSnafu { path: &temporary, action: FileAction::Sync })?;
    files
        .rename(&temporary, path)
        .context(IoSnafu { path: &temporary, action: FileAction::Rename })?;
    let folder = path.parent().unwrap_or(path);
    files.sync_folder(folder).context(IoSnafu { path: folder, action: FileAction::Sync })?;
    Ok(file)
}
