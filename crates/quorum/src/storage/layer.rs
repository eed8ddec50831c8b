//! The file operations that can fail half-way, behind a trait so that tests can inject failures.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

/// File operations whose failures the log must survive.
pub trait FileLayer {
    /// Creates an empty file, or empties an existing one.
    fn create(&mut self, path: &Path) -> io::Result<File>;
    /// Creates a folder.
    fn create_folder(&mut self, folder: &Path) -> io::Result<()>;
    /// Appends bytes. On an error, any part of them may be in the file.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content and length durable.
    fn sync(&mut self, file: &File) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()>;
    /// Renames a file or folder.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
    /// Removes a folder with everything in it. On an error, any part of it may be left.
    fn remove_folder(&mut self, folder: &Path) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files in a folder durable.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
}

/// The operating system's file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiskFiles;

impl FileLayer for DiskFiles {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        fs::create_dir(folder)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn remove_folder(&mut self, folder: &Path) -> io::Result<()> {
        fs::remove_dir_all(folder)
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

/// Creates a folder and those above it if they do not exist, and makes their names durable. The name
/// of an existing folder is synced as well, because a killed process may have created it without.
///
/// # Errors
///
/// Returns the error of the operating system, unless the folder exists and the one above it may not
/// be read: this process has created nothing there then.
pub fn create_folder<F: FileLayer>(files: &mut F, folder: &Path) -> io::Result<()> {
    let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty());
    let exists = folder.is_dir();
    if !exists {
        if let Some(parent) = parent {
            create_folder(files, parent)?;
        }
        files.create_folder(folder)?;
    }
    match files.sync_folder(parent.unwrap_or(Path::new("."))) {
        Err(error) if exists && error.kind() == io::ErrorKind::PermissionDenied => Ok(()),
        synced => synced,
    }
}
