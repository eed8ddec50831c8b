//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A file to which all threads of a case write.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|lock| lock.into_inner());
        // A case whose record can't be written has failed to run, which its exit shows.
        let _ = file.write_all(line.as_bytes());
    }
}
