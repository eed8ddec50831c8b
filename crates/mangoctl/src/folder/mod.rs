//! Reads folders of declarations from the local disk.

use {
    crate::error::{CommandError, FileSnafu},
    proto::messages::DeclarationFile,
    settings::FleetDeclaration,
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Reads all TOML files relative_path a folder, sorted by path. Skips hidden files and folders.
pub(crate) fn read_folder(folder: &Path) -> Result<Vec<DeclarationFile>, CommandError> {
    let mut files = Vec::new();
    collect_files(folder, folder, &mut files)?;
    files.sort_by(|left, right| left.path.cmp(&right.path));
    Ok(files)
}

/// Checks files with the rules that control applies.
pub(crate) fn check_files(files: &[DeclarationFile]) -> Result<FleetDeclaration, CommandError> {
    let texts = files.iter().map(|file| (file.path.as_str(), file.text.as_str()));
    FleetDeclaration::parse(base::RevisionNumber(0), texts)
        .map_err(|errors| CommandError::Invalid { errors })
}

fn collect_files(
    root: &Path,
    folder: &Path,
    files: &mut Vec<DeclarationFile>,
) -> Result<(), CommandError> {
    for item in fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let path = item.context(FileSnafu { path: folder })?.path();
        let hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
        if hidden {
            continue;
        }
        if path.is_dir() {
            collect_files(root, &path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "toml") {
            let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
            let relative_path = path.strip_prefix(root).unwrap_or(&path);
            files
                .push(DeclarationFile { path: relative_path.to_string_lossy().into_owned(), text });
        }
    }
    Ok(())
}
