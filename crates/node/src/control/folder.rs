//! The data folder of a control process. It contains one log folder for each replica id that this
//! disk has had. On a founder's disk it also contains the list of founders, because no entry of the
//! log names them. Logs that are being removed have a name of their own.

use {
    super::{ControlError, FolderSnafu},
    base::ReplicaId,
    quorum::{create_folder, DiskFiles, FileLayer},
    snafu::ResultExt,
    std::{fs, io, net::SocketAddr, path::PathBuf},
};

const LOG_PREFIX: &str = "replica-";
const REMOVED_PREFIX: &str = "removed-";
const FOUNDERS_NAME: &str = "founders";
const UNFINISHED_NAME: &str = "founders.new";

#[derive(Debug)]
pub(super) struct LogFolder<F = DiskFiles> {
    path: PathBuf,
    files: F,
}

impl LogFolder {
    pub(super) fn new(path: PathBuf) -> Self {
        Self::with_files(DiskFiles, path)
    }
}

impl<F: FileLayer> LogFolder<F> {
    /// Creates the folder like [`LogFolder::new`], with the given file operations.
    fn with_files(files: F, path: PathBuf) -> Self {
        Self { path, files }
    }

    pub(super) fn replica_path(&self, replica: ReplicaId) -> PathBuf {
        self.path.join(format!("{LOG_PREFIX}{replica}"))
    }

    /// The path of a log that is being removed.
    fn removed_path(&self, replica: ReplicaId) -> PathBuf {
        self.path.join(format!("{REMOVED_PREFIX}{replica}"))
    }

    /// Returns the newest replica id that has a log. Later ids are larger.
    pub(super) fn newest_replica(&self) -> Result<Option<ReplicaId>, ControlError> {
        Ok(self.replicas()?.into_iter().max())
    }

    fn replicas(&self) -> Result<Vec<ReplicaId>, ControlError> {
        self.ids_after(LOG_PREFIX)
    }

    /// Returns the replica ids in the names that begin with `prefix`.
    fn ids_after(&self, prefix: &str) -> Result<Vec<ReplicaId>, ControlError> {
        if !self.path.exists() {
            return Ok(Vec::new());
        }
        let path = &self.path;
        let mut replicas = Vec::new();
        for entry in fs::read_dir(path).context(FolderSnafu { path })? {
            let name = entry.context(FolderSnafu { path })?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(prefix));
            replicas.extend(number.and_then(|number| number.parse().ok()).map(ReplicaId));
        }
        Ok(replicas)
    }

    /// Stores the founders durably, before a log exists that could outlive the list.
    pub(super) fn store_founders(&mut self, founders: &[SocketAddr]) -> Result<(), ControlError> {
        let written = self.write_founders(founders);
        written.context(FolderSnafu { path: &self.path })
    }

    fn write_founders(&mut self, founders: &[SocketAddr]) -> io::Result<()> {
        let Self { path, files } = self;
        create_folder(files, path)?;
        let lines: Vec<String> = founders.iter().map(|founder| format!("{founder}\n")).collect();
        let unfinished = path.join(UNFINISHED_NAME);
        let mut file = files.create(&unfinished)?;
        files.append(&mut file, lines.concat().as_bytes())?;
        files.sync(&file)?;
        files.rename(&unfinished, &path.join(FOUNDERS_NAME))?;
        files.sync_folder(path)
    }

    /// Returns the founders, or an empty list on the disk of another process. Ignores lines that
    /// can't be parsed: no founder wrote them, since the file is synced before its rename.
    pub(super) fn founders(&self) -> Result<Vec<SocketAddr>, ControlError> {
        let path = self.path.join(FOUNDERS_NAME);
        if !path.exists() {
            return Ok(Vec::new());
        }
        let content = fs::read(&path).context(FolderSnafu { path })?;
        let text = String::from_utf8_lossy(&content);
        Ok(text.lines().filter_map(|line| line.parse().ok()).collect())
    }

    /// Removes every log and the list of founders. Only for a process that the group has removed.
    ///
    /// The logs are renamed first, so that a loss of power never leaves a part of one under its
    /// name, and so that the storage thread of the former member can't create more files in it.
    pub(super) fn clear(&mut self) -> Result<(), ControlError> {
        for replica in self.replicas()? {
            let path = self.replica_path(replica);
            let removed = self.removed_path(replica);
            self.files.rename(&path, &removed).context(FolderSnafu { path })?;
        }
        self.sync()?;
        self.remove_leftovers()
    }

    /// Finishes a removal of logs that the end of the process has interrupted.
    pub(super) fn remove_leftovers(&mut self) -> Result<(), ControlError> {
        let removed = self.ids_after(REMOVED_PREFIX)?;
        if removed.is_empty() {
            return Ok(());
        }
        // A log that came back after a loss of power still needs its founders.
        let founders = self.path.join(FOUNDERS_NAME);
        if founders.exists() && self.replicas()?.is_empty() {
            self.files.remove(&founders).context(FolderSnafu { path: founders })?;
            self.sync()?;
        }
        for replica in removed {
            let path = self.removed_path(replica);
            self.files.remove_folder(&path).context(FolderSnafu { path })?;
        }
        self.sync()
    }

    fn sync(&mut self) -> Result<(), ControlError> {
        let path = &self.path;
        self.files.sync_folder(path).context(FolderSnafu { path })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/folder.rs"]
mod tests;
