//! Merges the files of the operator folder in the order of their names. For each
//! section and key the last file takes precedence. The canonical text of the result
//! is written to the log.

use std::fmt::{self, Display, Formatter, Write};

use sha2::{Digest, Sha256};

use crate::prelude::*;
use crate::version::folder_error::{FolderError, FolderErrors, SettingLocation};
use crate::version::folder_text::{FileSetting, read_file};

/// A file of the operator folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderFile {
    /// Name within the folder.
    pub name: String,
    /// Complete text.
    pub text: String,
}

/// A value and the line that set it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocatedValue {
    /// Value; one line without surrounding white space.
    pub value: String,
    /// Where it is set.
    pub location: SettingLocation,
}

/// A section after merging.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MergedSection {
    /// Location of the first header of the section.
    pub location: SettingLocation,
    /// Values by key, after overrides.
    pub values: BTreeMap<String, LocatedValue>,
}

/// A setting that a later file overrides.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OverriddenKey {
    /// Section.
    pub section: String,
    /// Key.
    pub key: String,
    /// Overridden value.
    pub old: LocatedValue,
    /// Value that replaces it.
    pub replacement: LocatedValue,
}

impl Display for OverriddenKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            section,
            key,
            old,
            replacement,
        } = self;
        write!(
            f,
            "[{section}] {key}: `{}` of {} is replaced by `{}` of {}",
            old.value, old.location, replacement.value, replacement.location
        )
    }
}

/// All sections of a folder. Displayed as canonical INI text, sorted by section and
/// key, so that equal contents give equal text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MergedFolder {
    /// Sections by name.
    pub sections: BTreeMap<String, MergedSection>,
    /// Overridden settings, in the order in which they were replaced.
    pub overridden: Vec<OverriddenKey>,
}

impl MergedFolder {
    /// Returns whether any file has the section.
    pub fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    fn apply_setting(&mut self, setting: FileSetting) {
        let values = &mut self
            .sections
            .entry(setting.section.clone())
            .or_default()
            .values;
        let replacement = LocatedValue {
            value: setting.value,
            location: setting.location,
        };
        if let Some(old) = values.insert(setting.key.clone(), replacement.clone()) {
            self.overridden.push(OverriddenKey {
                section: setting.section,
                key: setting.key,
                old,
                replacement,
            });
        }
    }
}

impl Display for MergedFolder {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, (name, section)) in self.sections.iter().enumerate() {
            let gap = if index == 0 { "" } else { "\n" };
            writeln!(f, "{gap}[{name}]")?;
            for (key, located) in &section.values {
                writeln!(f, "{key} = {}", located.value)?;
            }
        }
        Ok(())
    }
}

/// Merges files in the order of their names.
///
/// # Errors
///
/// Returns the syntax errors of all files. Sections, keys and values are checked by
/// `check_folder`.
pub fn merge_folder(files: &[FolderFile]) -> Result<MergedFolder, FolderErrors> {
    let mut files: Vec<&FolderFile> = files.iter().collect();
    files.sort_by(|a, b| a.name.cmp(&b.name));
    let mut merged = MergedFolder::default();
    let mut errors: Vec<FolderError> = Vec::new();
    for file in files {
        let text = read_file(file, &mut errors);
        for section in text.sections {
            let location = section.location;
            merged
                .sections
                .entry(section.name)
                .or_insert_with(|| MergedSection {
                    location,
                    values: BTreeMap::new(),
                });
        }
        for setting in text.settings {
            merged.apply_setting(setting);
        }
    }
    match FolderErrors::from_list(errors) {
        Some(errors) => Err(errors),
        None => Ok(merged),
    }
}

/// Returns the SHA-256 of a text in hexadecimal.
pub fn content_hash(text: &str) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(text.as_bytes()) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
