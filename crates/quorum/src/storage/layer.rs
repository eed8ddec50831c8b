//! The few operations on files that can fail half way, as an interface, so that tests can make
//! them fail.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

/// Operations on files whose failures the log must survive.
pub trait FileLayer {
    /// Appends bytes. On an error any part of them may be in the file.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content and length survive a crash.
    fn sync(&mut self, file: &File) -> io::Result<()>;
    /// Cuts a file to a length.
    fn cut(&mut self, file: &File, length: u64) -> io::Result<()>;
    /// Gives a file its final name.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes creations, renames and removals in a folder survive a crash.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
}

/// The file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiskFiles;

impl FileLayer for DiskFiles {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn cut(&mut self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}
