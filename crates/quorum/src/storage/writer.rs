//! Writes segments and snapshots.

use {
    super::{
        error::{FileAction, IoSnafu, StorageError},
        frame::{encode_frame, FramePlace},
        header::{encode_header, FileOwner},
        layer::FileLayer,
        names::{segment_path, snapshot_path, unfinished_path},
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

/// The segment that is written.
#[derive(Debug)]
pub(crate) struct SegmentWriter {
    path: PathBuf,
    number: u64,
    file: File,
    /// The length up to which the file is synced.
    synced: u64,
}

impl SegmentWriter {
    /// Starts a segment.
    pub(crate) fn create<F: FileLayer>(
        files: &mut F,
        folder: &Path,
        owner: &FileOwner,
        number: u64,
        details: SegmentDetails,
    ) -> Result<Self, StorageError> {
        let path = segment_path(folder, number);
        let header = encode_header(owner, number, &details)?;
        let file = publish(files, &path, &header)?;
        Ok(Self { path, number, file, synced: header.len() as u64 })
    }

    /// Goes on with a segment of which `intact` bytes are right. They are synced, because a process
    /// that was killed may have written them without.
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
        writer.cut_unsynced(files)?;
        Ok(writer)
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn length(&self) -> u64 {
        self.synced
    }

    /// Drops what was written but not synced.
    pub(crate) fn cut_unsynced<F: FileLayer>(&mut self, files: &mut F) -> Result<(), StorageError> {
        let path = &self.path;
        files
            .cut(&self.file, self.synced)
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
        let place = FramePlace { file: self.number, offset: self.synced };
        let frame = encode_frame(place, record)?;
        let path = &self.path;
        files
            .append(&mut self.file, &frame)
            .context(IoSnafu { path, action: FileAction::Write })?;
        files.sync(&self.file).context(IoSnafu { path, action: FileAction::Sync })?;
        self.synced += frame.len() as u64;
        Ok(())
    }
}

/// Writes a snapshot.
pub(crate) fn write_snapshot<F: FileLayer>(
    files: &mut F,
    folder: &Path,
    owner: &FileOwner,
    snapshot: &LogSnapshot,
) -> Result<(), StorageError> {
    let number = snapshot.index.0;
    let mut bytes = encode_header(owner, number, &())?;
    let place = FramePlace { file: number, offset: bytes.len() as u64 };
    bytes.extend(encode_frame(place, snapshot)?);
    publish(files, &snapshot_path(folder, snapshot.index), &bytes)?;
    Ok(())
}

/// Writes a file under another name, syncs it, renames it and syncs the folder: it is there
/// whole, or not at all.
fn publish<F: FileLayer>(files: &mut F, path: &Path, bytes: &[u8]) -> Result<File, StorageError> {
    let unfinished = unfinished_path(path);
    let mut file = File::create(&unfinished)
        .context(IoSnafu { path: &unfinished, action: FileAction::Create })?;
    files
        .append(&mut file, bytes)
        .context(IoSnafu { path: &unfinished, action: FileAction::Write })?;
    files.sync(&file).context(IoSnafu { path: &unfinished, action: FileAction::Sync })?;
    files
        .rename(&unfinished, path)
        .context(IoSnafu { path: &unfinished, action: FileAction::Rename })?;
    let folder = path.parent().unwrap_or(path);
    files.sync_folder(folder).context(IoSnafu { path: folder, action: FileAction::Sync })?;
    Ok(file)
}
