//! The data folder: one folder for the log of each replica id that this disk has had.

use {
    super::{ControlError, FolderSnafu},
    base::ReplicaId,
    snafu::ResultExt,
    std::{fs, path::PathBuf},
};

const LOG_PREFIX: &str = "replica-";

#[derive(Debug)]
pub(super) struct LogFolder {
    path: PathBuf,
}

impl LogFolder {
    pub(super) fn new(path: PathBuf) -> Self {
        Self { path }
    }

    pub(super) fn of(&self, replica: ReplicaId) -> PathBuf {
        self.path.join(format!("{LOG_PREFIX}{replica}"))
    }

    /// The newest replica id of which there is a log. Later ids are larger.
    pub(super) fn find(&self) -> Result<Option<ReplicaId>, ControlError> {
        Ok(self.replicas()?.into_iter().max())
    }

    fn replicas(&self) -> Result<Vec<ReplicaId>, ControlError> {
        if !self.path.exists() {
            return Ok(Vec::new());
        }
        let path = &self.path;
        let mut replicas = Vec::new();
        for entry in fs::read_dir(path).context(FolderSnafu { path })? {
            let name = entry.context(FolderSnafu { path })?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(LOG_PREFIX));
            replicas.extend(number.and_then(|number| number.parse().ok()).map(ReplicaId));
        }
        Ok(replicas)
    }

    /// Removes every log. Only for a process that the group has let go of.
    pub(super) fn clear(&self) -> Result<(), ControlError> {
        for replica in self.replicas()? {
            let path = self.of(replica);
            fs::remove_dir_all(&path).context(FolderSnafu { path })?;
        }
        Ok(())
    }
}
