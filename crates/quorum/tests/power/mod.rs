//! A disk that loses power: it keeps what was synced, and any part of what was not.

#![allow(dead_code)]

use {
    quorum::{DiskFiles, FileLayer},
    std::{
        cell::{RefCell, RefMut},
        collections::BTreeMap,
        ffi::OsString,
        fs::{self, File},
        io,
        os::unix::fs::MetadataExt,
        path::{Path, PathBuf},
        rc::Rc,
    },
    tempfile::TempDir,
};

/// The number of a file or folder, which stays the same when it is renamed.
type FileNumber = u64;

/// A name in a folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FileName {
    folder: FileNumber,
    name: OsString,
}

/// The names on a disk, and what they refer to.
type NameTable = BTreeMap<FileName, FileNumber>;

/// A change of names that the folder's next sync makes durable.
#[derive(Debug, Clone)]
enum NameChange {
    Created(FileName, FileNumber),
    Renamed(FileName, FileName),
    Removed(FileName),
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
    /// The names that a loss of power leaves.
    names: NameTable,
    /// Changes of names that are not durable yet, in their order.
    unsynced: Vec<NameChange>,
    /// What a loss of power leaves in each file.
    contents: BTreeMap<FileNumber, Vec<u8>>,
    /// All files and folders that ever were, open so that no number is assigned twice.
    handles: Vec<File>,
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
            handles: Vec::new(),
        })))
    }

    /// The root folder as a running process sees it.
    pub fn path(&self) -> PathBuf {
        self.0.borrow().live.path().to_owned()
    }

    /// Lets the next process run for `operations` operations.
    pub fn restart(&self, operations: u64) {
        self.0.borrow_mut().remaining = operations;
    }

    /// Cuts the power, and passes each root folder that may be left: one for each combination of
    /// the unsynced changes.
    pub fn cut_power(&self, mut check: impl FnMut(&Path)) {
        let state = self.0.borrow();
        let changes = state.unsynced.len() + state.unsynced_contents().len();
        assert!(changes <= 10, "{changes} changes have too many combinations");
        for kept in 0..1 << changes {
            let root = tempfile::tempdir().unwrap();
            state.write_outcome(kept, root.path());
            check(root.path());
        }
    }

    fn operate(&self) -> io::Result<RefMut<'_, DiskState>> {
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
        let files = paths_below(self.live.path()).into_iter().filter(|path| path.is_file());
        let live = files.map(|path| (number_of(&path), fs::read(path).unwrap()));
        live.filter(|(number, content)| self.contents.get(number) != Some(content)).collect()
    }

    /// Writes what is left if the changes whose bits are set in `kept` are kept.
    fn write_outcome(&self, kept: u32, root: &Path) {
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
        self.write_folder(number_of(self.live.path()), root, &names, &contents);
    }

    fn write_folder(
        &self,
        folder: FileNumber,
        target: &Path,
        names: &NameTable,
        contents: &BTreeMap<FileNumber, Vec<u8>>,
    ) {
        for (FileName { name, .. }, number) in names.iter().filter(|(at, _)| at.folder == folder) {
            let target = target.join(name);
            if self.is_folder(*number) {
                fs::create_dir(&target).unwrap();
                self.write_folder(*number, &target, names, contents);
            } else {
                fs::write(target, contents.get(number).map_or(&[][..], Vec::as_slice)).unwrap();
            }
        }
    }

    fn is_folder(&self, number: FileNumber) -> bool {
        let mut details = self.handles.iter().map(|handle| handle.metadata().unwrap());
        details.any(|details| details.ino() == number && details.is_dir())
    }

    fn record_creation(&mut self, path: &Path) -> io::Result<()> {
        self.handles.push(File::open(path)?);
        self.unsynced.push(NameChange::Created(name_of(path), number_of(path)));
        Ok(())
    }

    fn sync_names(&mut self, durable: impl Fn(&NameChange) -> bool) {
        let changes = std::mem::take(&mut self.unsynced);
        let (synced, unsynced): (Vec<_>, Vec<_>) = changes.into_iter().partition(durable);
        synced.iter().for_each(|change| change.apply(&mut self.names));
        self.unsynced = unsynced;
    }
}

impl NameChange {
    fn folder(&self) -> FileNumber {
        let (Self::Created(at, _) | Self::Renamed(at, _) | Self::Removed(at)) = self;
        at.folder
    }

    fn apply(&self, names: &mut NameTable) {
        match self {
            Self::Created(at, number) => {
                names.insert(at.clone(), *number);
            }
            Self::Renamed(from, to) => {
                if let Some(number) = names.remove(from) {
                    names.insert(to.clone(), number);
                }
            }
            Self::Removed(at) => {
                names.remove(at);
            }
        }
    }
}

fn paths_below(folder: &Path) -> Vec<PathBuf> {
    let mut paths: Vec<_> =
        fs::read_dir(folder).unwrap().map(|item| item.unwrap().path()).collect();
    let below: Vec<_> =
        paths.iter().filter(|path| path.is_dir()).map(|path| paths_below(path)).collect();
    paths.extend(below.into_iter().flatten());
    paths
}

fn number_of(path: &Path) -> FileNumber {
    fs::metadata(path).unwrap().ino()
}

fn name_of(path: &Path) -> FileName {
    let folder = number_of(path.parent().unwrap());
    FileName { folder, name: path.file_name().unwrap().to_owned() }
}

impl FileLayer for PowerDisk {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        let mut state = self.operate()?;
        let existed = path.exists();
        let file = DiskFiles.create(path)?;
        if !existed {
            state.record_creation(path)?;
        }
        Ok(file)
    }

    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        DiskFiles.create_folder(folder)?;
        state.record_creation(folder)
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
        let paths = paths_below(state.live.path());
        let path = paths.into_iter().find(|path| number_of(path) == number).unwrap();
        state.contents.insert(number, fs::read(path)?);
        state.sync_names(|change| matches!(change, NameChange::Created(_, of) if *of == number));
        Ok(())
    }

    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        self.operate()?;
        DiskFiles.truncate(file, length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        DiskFiles.rename(from, to)?;
        state.unsynced.push(NameChange::Renamed(name_of(from), name_of(to)));
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        DiskFiles.remove(path)?;
        state.unsynced.push(NameChange::Removed(name_of(path)));
        Ok(())
    }

    fn remove_folder(&mut self, folder: &Path) -> io::Result<()> {
        for item in fs::read_dir(folder)? {
            self.remove(&item?.path())?;
        }
        let mut state = self.operate()?;
        let name = name_of(folder);
        fs::remove_dir(folder)?;
        state.unsynced.push(NameChange::Removed(name));
        Ok(())
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        let folder = number_of(folder);
        state.sync_names(|change| change.folder() == folder);
        Ok(())
    }
}
