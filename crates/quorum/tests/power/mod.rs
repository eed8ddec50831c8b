//! A disk that loses power: it keeps what was synced, and any part of what was not.

#![allow(dead_code)]

use {
    quorum::{DiskFiles, FileLayer},
    std::{
        cell::RefCell,
        collections::BTreeMap,
        fs::{self, File},
        io,
        os::unix::fs::MetadataExt,
        path::{Path, PathBuf},
        rc::Rc,
    },
    tempfile::TempDir,
};

/// The number of a file, which stays the same when the file is renamed.
type FileNumber = u64;

/// A change of names that the folder's next sync makes durable.
#[derive(Debug, Clone)]
enum NameChange {
    Created(PathBuf, FileNumber),
    Renamed(PathBuf, PathBuf),
    Removed(PathBuf),
}

/// File operations of a process that is killed after a number of them, on a disk that may then lose
/// power.
#[derive(Debug, Clone)]
pub struct PowerDisk(Rc<RefCell<DiskState>>);

#[derive(Debug)]
struct DiskState {
    /// What a running process reads.
    live: TempDir,
    /// Operations until the process is killed.
    remaining: u64,
    /// The names that a loss of power leaves, and their files.
    names: BTreeMap<PathBuf, FileNumber>,
    /// Changes of names that are not durable yet, in their order.
    unsynced: Vec<NameChange>,
    contents: BTreeMap<FileNumber, Vec<u8>>,
    /// Keeps the numbers of removed files from being assigned again.
    _open_files: Vec<File>,
}

impl PowerDisk {
    /// Creates an empty disk. The process is killed after `operations` operations.
    pub fn new(operations: u64) -> Self {
        Self(Rc::new(RefCell::new(DiskState {
            live: tempfile::tempdir().unwrap(),
            remaining: operations,
            names: BTreeMap::new(),
            unsynced: Vec::new(),
            contents: BTreeMap::new(),
            _open_files: Vec::new(),
        })))
    }

    /// The folder as a running process sees it.
    pub fn path(&self) -> PathBuf {
        self.0.borrow().live.path().to_owned()
    }

    /// Lets the next process run for `operations` operations.
    pub fn restart(&self, operations: u64) {
        self.0.borrow_mut().remaining = operations;
    }

    /// Cuts the power, and passes each folder that may be left: one for each combination of the
    /// unsynced changes.
    pub fn cut_power(&self, mut check: impl FnMut(&Path)) {
        let state = self.0.borrow();
        let changes = state.unsynced.len() + state.unsynced_contents().len();
        assert!(changes <= 10, "{changes} changes have too many combinations");
        for kept in 0..1 << changes {
            let folder = tempfile::tempdir().unwrap();
            state.write_outcome(kept, folder.path());
            check(folder.path());
        }
    }

    fn operate(&self) -> io::Result<std::cell::RefMut<'_, DiskState>> {
        let mut state = self.0.borrow_mut();
        if state.remaining == 0 {
            return Err(io::ErrorKind::Interrupted.into());
        }
        state.remaining -= 1;
        Ok(state)
    }
}

impl DiskState {
    /// The files whose content was written but not synced.
    fn unsynced_contents(&self) -> BTreeMap<FileNumber, Vec<u8>> {
        let paths = files_below(self.live.path()).into_iter();
        let live = paths.map(|path| (number_of(&path), fs::read(path).unwrap()));
        live.filter(|(number, content)| self.contents.get(number) != Some(content)).collect()
    }

    /// Writes what is left if the changes whose bits are set in `kept` are kept.
    fn write_outcome(&self, kept: u32, folder: &Path) {
        let mut bits = (0..u32::BITS).map(|bit| kept >> bit & 1 == 1);
        let mut names = self.names.clone();
        for (change, kept) in self.unsynced.iter().zip(bits.by_ref()) {
            if kept {
                change.apply(&mut names);
            }
        }
        let mut contents = self.contents.clone();
        for ((number, content), kept) in self.unsynced_contents().into_iter().zip(bits) {
            if kept {
                contents.insert(number, content);
            }
        }
        for (path, number) in &names {
            let target = folder.join(path.strip_prefix(self.live.path()).unwrap());
            // A file is lost with its folder.
            if target.parent().is_some_and(Path::is_dir) {
                fs::write(target, contents.get(number).map_or(&[][..], Vec::as_slice)).unwrap();
            }
        }
    }
}

impl NameChange {
    fn folder(&self) -> Option<&Path> {
        let (Self::Created(path, _) | Self::Renamed(path, _) | Self::Removed(path)) = self;
        path.parent()
    }

    fn apply(&self, names: &mut BTreeMap<PathBuf, FileNumber>) {
        match self {
            Self::Created(path, number) => {
                names.insert(path.clone(), *number);
            }
            Self::Renamed(from, to) => {
                if let Some(number) = names.remove(from) {
                    names.insert(to.clone(), number);
                }
            }
            Self::Removed(path) => {
                names.remove(path);
            }
        }
    }
}

fn files_below(folder: &Path) -> Vec<PathBuf> {
    fs::read_dir(folder).unwrap().map(|item| item.unwrap().path()).collect()
}

fn number_of(path: &Path) -> FileNumber {
    fs::metadata(path).unwrap().ino()
}

impl FileLayer for PowerDisk {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        let mut state = self.operate()?;
        let existed = path.exists();
        let file = DiskFiles.create(path)?;
        if !existed {
            state.unsynced.push(NameChange::Created(path.to_owned(), number_of(path)));
            state._open_files.push(file.try_clone()?);
        }
        Ok(file)
    }

    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.operate()?;
        DiskFiles.create_folder(folder)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.operate() {
            // A killed process may have written a part.
            DiskFiles.append(file, &bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        DiskFiles.append(file, bytes)
    }

    /// A new file becomes durable with its own sync.
    fn sync(&mut self, file: &File) -> io::Result<()> {
        let mut state = self.operate()?;
        let number = file.metadata()?.ino();
        let paths = files_below(state.live.path());
        let path = paths.into_iter().find(|path| number_of(path) == number).unwrap();
        state.contents.insert(number, fs::read(path)?);
        let created =
            |change: &NameChange| matches!(change, NameChange::Created(_, of) if *of == number);
        if let Some(position) = state.unsynced.iter().position(created) {
            let change = state.unsynced.remove(position);
            change.apply(&mut state.names);
        }
        Ok(())
    }

    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        self.operate()?;
        DiskFiles.truncate(file, length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        DiskFiles.rename(from, to)?;
        state.unsynced.push(NameChange::Renamed(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        DiskFiles.remove(path)?;
        state.unsynced.push(NameChange::Removed(path.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        let changes = std::mem::take(&mut state.unsynced);
        let (synced, unsynced): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(|change| change.folder() == Some(folder));
        synced.iter().for_each(|change| change.apply(&mut state.names));
        state.unsynced = unsynced;
        Ok(())
    }
}
