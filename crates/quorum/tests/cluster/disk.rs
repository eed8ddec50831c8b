//! A simulated disk that holds exactly what was synced.

#![allow(dead_code)]

use {
    base::{ClusterName, ReplicaId, TermNumber},
    quorum::{DiskFiles, FileLayer, HardState, LogStorage, PersistBatch, RecoveredLog},
    std::{
        fs::File,
        io,
        path::{Path, PathBuf},
    },
    tempfile::TempDir,
};

#[derive(Debug, Default)]
pub struct FakeDisk {
    log: RecoveredLog,
    files: Option<ShadowFiles>,
}

impl FakeDisk {
    /// Creates a disk that also writes every batch to real files, and checks that their content
    /// agrees.
    pub fn with_files() -> Self {
        Self { files: Some(ShadowFiles::new()), ..Self::default() }
    }

    /// Writes and syncs a batch.
    pub fn write(&mut self, batch: &PersistBatch) {
        self.log.apply(batch);
        if let Some(files) = &mut self.files {
            files.write(batch);
        }
    }

    /// Truncates the files in the middle of a record, as a crash during a write does.
    pub fn tear(&mut self) {
        self.files.as_mut().expect("real files").tear();
    }

    pub fn recover(&mut self) -> RecoveredLog {
        let recovered = self.log.clone();
        if let Some(files) = &mut self.files {
            assert_eq!(files.recover(), recovered, "the files hold what was synced");
        }
        recovered
    }
}

/// Real files written alongside the simulated disk.
#[derive(Debug)]
struct ShadowFiles {
    folder: TempDir,
    storage: Option<LogStorage<UnsyncedFiles>>,
}

impl ShadowFiles {
    fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut files = Self { folder, storage: None };
        files.recover();
        files
    }

    fn write(&mut self, batch: &PersistBatch) {
        self.storage.as_mut().unwrap().persist(batch).unwrap();
    }

    /// Writes a batch that the simulated disk does not hold, and truncates its second half.
    fn tear(&mut self) {
        let before = self.last_segment();
        let batch = PersistBatch {
            hard_state: Some(HardState { term: TermNumber(1_000_000), voted_for: None }),
            ..PersistBatch::default()
        };
        self.write(&batch);
        self.storage = None;
        let (path, end) = self.last_segment();
        assert_eq!(before.0, path, "the batch went to the segment before it");
        let file = File::options().write(true).open(path).unwrap();
        file.set_len(before.1 + (end - before.1) / 2).unwrap();
    }

    /// Returns the newest segment and its length in bytes.
    fn last_segment(&self) -> (PathBuf, u64) {
        let paths = std::fs::read_dir(self.folder.path()).unwrap().map(|item| item.unwrap().path());
        let last = paths.filter(|path| path.extension().is_some_and(|end| end == "log")).max();
        let path = last.expect("a segment");
        let length = path.metadata().unwrap().len();
        (path, length)
    }

    fn recover(&mut self) -> RecoveredLog {
        self.storage = None;
        let cluster = ClusterName::new("umoja").unwrap();
        let opened =
            LogStorage::open_with(UnsyncedFiles, self.folder.path(), &cluster, ReplicaId(1));
        let (storage, recovered) = opened.unwrap();
        self.storage = Some(storage);
        recovered
    }
}

/// File operations without syncs, which take time and make no difference unless the system crashes.
#[derive(Debug)]
struct UnsyncedFiles;

impl FileLayer for UnsyncedFiles {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        DiskFiles.create(path)
    }

    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        DiskFiles.create_folder(folder)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        DiskFiles.append(file, bytes)
    }

    fn sync(&mut self, _file: &File) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        DiskFiles.truncate(file, length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        DiskFiles.rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        DiskFiles.remove(path)
    }

    fn remove_folder(&mut self, folder: &Path) -> io::Result<()> {
        DiskFiles.remove_folder(folder)
    }

    fn sync_folder(&mut self, _folder: &Path) -> io::Result<()> {
        Ok(())
    }
}
