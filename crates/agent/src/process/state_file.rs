//! Saves the declarations in force across restarts, on workers that have a disk.

use {
    proto::messages::DeclarationBundle,
    std::{
        fs::{self, File},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

/// Reads the saved declarations. Returns `None` when the file does not exist.
pub(super) fn load(path: &Path) -> io::Result<Option<DeclarationBundle>> {
    match fs::read(path) {
        Ok(bytes) => serde_json::from_slice(&bytes).map(Some).map_err(io::Error::from),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Replaces the saved declarations. They are durable once this returns.
pub(super) fn save(path: &Path, bundle: &DeclarationBundle) -> io::Result<()> {
    let mut temporary = PathBuf::from(path);
    temporary.as_mut_os_string().push(".new");
    let bytes = serde_json::to_vec(bundle)?;
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => File::open(folder)?.sync_all(),
        _ => File::open(".")?.sync_all(),
    }
}
