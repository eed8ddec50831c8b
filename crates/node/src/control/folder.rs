//! The data folder: one folder for the log of each replica id that this disk has had, and on a
//! founder's disk the founders, which no entry of the log names.

use {
    super::{ControlError, FolderSnafu},
    base::ReplicaId,
    snafu::ResultExt,
    std::{
        fs::{self, File},
        io::{self, Write},
        net::SocketAddr,
        path::PathBuf,
    },
};

const LOG_PREFIX: &str = "replica-";
const FOUNDERS_NAME: &str = "founders";
const UNFINISHED_NAME: &str = "founders.new";

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

    /// Notes the founders for good, before there is a log that could outlive them.
    pub(super) fn found(&self, founders: &[SocketAddr]) -> Result<(), ControlError> {
        let path = &self.path;
        self.write_founders(founders).context(FolderSnafu { path })
    }

    fn write_founders(&self, founders: &[SocketAddr]) -> io::Result<()> {
        fs::create_dir_all(&self.path)?;
        let lines: Vec<String> = founders.iter().map(|founder| format!("{founder}\n")).collect();
        let unfinished = self.path.join(UNFINISHED_NAME);
        let mut file = File::create(&unfinished)?;
        file.write_all(lines.concat().as_bytes())?;
        file.sync_all()?;
        fs::rename(unfinished, self.path.join(FOUNDERS_NAME))?;
        File::open(&self.path)?.sync_all()
    }

    /// The founders, if this disk is one's. A line that can't be read is no founder's: the file
    /// was synced before it got its name.
    pub(super) fn founders(&self) -> Result<Vec<SocketAddr>, ControlError> {
        let path = self.path.join(FOUNDERS_NAME);
        if !path.exists() {
            return Ok(Vec::new());
        }
        let text = fs::read_to_string(&path).context(FolderSnafu { path })?;
        Ok(text.lines().filter_map(|line| line.parse().ok()).collect())
    }

    /// Removes every log. Only for a process that the group has let go of.
    pub(super) fn clear(&self) -> Result<(), ControlError> {
        for replica in self.replicas()? {
            let path = self.of(replica);
            fs::remove_dir_all(&path).context(FolderSnafu { path })?;
        }
        let path = self.path.join(FOUNDERS_NAME);
        if path.exists() {
            fs::remove_file(&path).context(FolderSnafu { path })?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/folder.rs"]
mod tests;
