//! Folders of declarations on the operator's disk.

use {
    crate::failure::{CommandFailure, FileSnafu},
    proto::messages::DeclarationFile,
    settings::FleetDeclaration,
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Reads all TOML files below a folder, ordered by path.
pub(crate) fn read_folder(folder: &Path) -> Result<Vec<DeclarationFile>, CommandFailure> {
    let mut files = Vec::new();
    collect(folder, folder, &mut files)?;
    files.sort_by(|left, right| left.path.cmp(&right.path));
    Ok(files)
}

/// Checks files as control will.
pub(crate) fn check_files(files: &[DeclarationFile]) -> Result<FleetDeclaration, CommandFailure> {
    let texts = files.iter().map(|file| (file.path.as_str(), file.text.as_str()));
    FleetDeclaration::parse(base::RevisionNumber(0), texts)
        .map_err(|errors| CommandFailure::Invalid { errors })
}

fn collect(
    root: &Path,
    folder: &Path,
    files: &mut Vec<DeclarationFile>,
) -> Result<(), CommandFailure> {
    for item in fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let path = item.context(FileSnafu { path: folder })?.path();
        let hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
        if hidden {
            continue;
        }
        if path.is_dir() {
            collect(root, &path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "toml") {
            let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
            let below = path.strip_prefix(root).unwrap_or(&path);
            files.push(DeclarationFile { path: below.to_string_lossy().into_owned(), text });
        }
    }
    Ok(())
}
