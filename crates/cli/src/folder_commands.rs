//! Commands that read an operator folder: `check` and `merge`.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use flamingowalk_core::version::{FolderFile, MergedFolder, check_folder, merge_folder};

use crate::exit::CommandError;

/// Extension of the files that belong to a folder.
const FOLDER_FILE_EXTENSION: &str = "ini";

/// Reads the INI files of a folder in the order of their names.
///
/// # Errors
/// Returns [`CommandError::Refused`] if the folder or a file cannot be read.
pub fn read_folder(folder: &Path) -> Result<Vec<FolderFile>, CommandError> {
    let read_error = |path: &Path, error: std::io::Error| {
        let text = format!(
            "{}: cannot be read ({error}); check the path",
            path.display()
        );
        CommandError::Refused(text)
    };
    let entries = fs::read_dir(folder).map_err(|error| read_error(folder, error))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| read_error(folder, error))?.path();
        if path
            .extension()
            .is_some_and(|suffix| suffix == FOLDER_FILE_EXTENSION)
        {
            let text = fs::read_to_string(&path).map_err(|error| read_error(&path, error))?;
            let name = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            files.push(FolderFile { name, text });
        }
    }
    if files.is_empty() {
        let text = format!("{}: holds no .ini files; check the path", folder.display());
        return Err(CommandError::Refused(text));
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(files)
}

/// Reads, merges and checks a folder; returns the merged folder.
///
/// # Errors
/// Returns [`CommandError::Refused`] with all errors of the folder.
pub fn checked_folder(folder: &Path) -> Result<MergedFolder, CommandError> {
    let files = read_folder(folder)?;
    let merged =
        merge_folder(&files).map_err(|errors| CommandError::Refused(errors.to_string()))?;
    check_folder(&merged).map_err(|errors| CommandError::Refused(errors.to_string()))?;
    Ok(merged)
}

/// Checks a folder and returns a summary.
///
/// # Errors
/// Returns [`CommandError::Refused`] with all errors of the folder.
pub fn check(folder: &Path) -> Result<String, CommandError> {
    let merged = checked_folder(folder)?;
    let count = merged.sections.len();
    Ok(format!(
        "{}: no faults in {count} sections",
        folder.display()
    ))
}

/// Renders the merged folder; overridden keys follow as comments.
///
/// # Errors
/// Returns [`CommandError::Refused`] if the folder cannot be read or parsed.
pub fn merge(folder: &Path) -> Result<String, CommandError> {
    let files = read_folder(folder)?;
    let merged =
        merge_folder(&files).map_err(|errors| CommandError::Refused(errors.to_string()))?;
    let mut text = merged.to_string();
    for key in &merged.overridden {
        let _ = write!(text, "\n; {key}");
    }
    Ok(text)
}
