//! A disk that holds exactly what was synced.

#![allow(dead_code)]

use {
    base::{ClusterName, ReplicaId},
    quorum::{FileLayer, HardState, LogEntry, LogSnapshot, LogStorage, PersistBatch, RecoveredLog},
    std::{
        fs::File,
        io::{self, Write},
        path::Path,
    },
    tempfile::TempDir,
};

#[derive(Debug, Default)]
pub struct FakeDisk {
    hard_state: HardState,
    snapshot: Option<LogSnapshot>,
    entries: Vec<LogEntry>,
    files: Option<ShadowFiles>,
}

impl FakeDisk {
    /// Writes everything to files, too, and checks that they hold the same.
    pub fn with_files() -> Self {
        Self { files: Some(ShadowFiles::new()), ..Self::default() }
    }

    /// Applies a batch in the order of its fields.
    pub fn write(&mut self, batch: &PersistBatch) {
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
        if let Some(files) = &mut self.files {
            files.write(batch);
        }
    }

    pub fn recover(&mut self) -> RecoveredLog {
        let recovered = RecoveredLog {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        };
        if let Some(files) = &mut self.files {
            assert_eq!(files.recover(), recovered, "the files hold what was synced");
        }
        recovered
    }
}

/// Real files that are written beside the model.
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

/// Files without syncs, which cost time and change nothing while the system runs.
#[derive(Debug)]
struct UnsyncedFiles;

impl FileLayer for UnsyncedFiles {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&mut self, _file: &File) -> io::Result<()> {
        Ok(())
    }

    fn cut(&mut self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_folder(&mut self, _folder: &Path) -> io::Result<()> {
        Ok(())
    }
}
