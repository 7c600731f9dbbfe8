//! Reads one file of the operator folder. The INI parser returns no line numbers and
//! silently skips some malformed text. Therefore a separate scan finds the line of
//! each key and reports malformed lines before the text is parsed.

use arcstr::ArcStr;
use ini::{Ini, ParseOption};

use crate::prelude::*;
use crate::version::folder_error::{FolderError, FolderErrorKind, SettingLocation};
use crate::version::merged_folder::FolderFile;

/// A setting of one file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileSetting {
    /// Section, its words separated by one space.
    pub section: String,
    /// Key.
    pub key: String,
    /// Value without surrounding white space; one line.
    pub value: String,
    /// Where it is set.
    pub location: SettingLocation,
}

/// A section header of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileSection {
    /// Section, its words separated by one space.
    pub name: String,
    /// Where it begins.
    pub location: SettingLocation,
}

/// Content of one file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FileText {
    /// Section headers, including those without keys.
    pub sections: Vec<FileSection>,
    /// Settings in the order of their lines; no key of a section occurs twice.
    pub settings: Vec<FileSetting>,
}

/// A key found by the scan of lines.
struct ScannedKey {
    section: Option<String>,
    key: String,
    line: u32,
}

/// Reads a file and adds its errors to `errors`.
pub fn read_file(file: &FolderFile, errors: &mut Vec<FolderError>) -> FileText {
    let mut reader = FileReader {
        name: ArcStr::from(file.name.as_str()),
        text: FileText::default(),
        keys: Vec::new(),
        errors,
        unrecognized_lines: 0,
    };
    reader.scan_lines(&file.text);
    if reader.unrecognized_lines == 0 {
        reader.parse_values(&file.text);
    }
    reader.text
}

/// Returns the words of a section header, separated by one space.
pub fn normalize_section(header: &str) -> String {
    header.split_whitespace().collect::<Vec<_>>().join(" ")
}

struct FileReader<'a> {
    name: ArcStr,
    text: FileText,
    keys: Vec<ScannedKey>,
    errors: &'a mut Vec<FolderError>,
    unrecognized_lines: usize,
}

impl FileReader<'_> {
    fn location(&self, line: u32) -> SettingLocation {
        SettingLocation {
            file: self.name.clone(),
            line,
        }
    }

    fn push_error(&mut self, line: u32, section: &str, key: &str, kind: FolderErrorKind) {
        let error = FolderError {
            location: self.location(line),
            section: section.to_owned(),
            key: key.to_owned(),
            kind,
        };
        self.errors.push(error);
    }

    fn scan_lines(&mut self, text: &str) {
        let mut section = None;
        for (index, line) in text.lines().enumerate() {
            let number = index as u32 + 1;
            let line = line.trim();
            if line.is_empty() || line.starts_with([';', '#']) {
                continue;
            }
            if let Some(header) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                section = Some(self.scan_header(header, number));
            } else {
                self.scan_key(section.as_ref(), line, number);
            }
        }
    }

    fn scan_header(&mut self, header: &str, line: u32) -> String {
        if header.contains(['[', ']', '\\']) {
            self.push_unrecognized_line(line);
        }
        let name = normalize_section(header);
        let location = self.location(line);
        self.text.sections.push(FileSection {
            name: name.clone(),
            location,
        });
        name
    }

    /// Records the key of a line. Rejects a trailing backslash, by which the parser would
    /// join two lines and hide the second.
    fn scan_key(&mut self, section: Option<&String>, line: &str, number: u32) {
        let key = match line.split_once(['=', ':']) {
            Some((key, _)) if !line.starts_with('[') && !line.ends_with('\\') => key.trim(),
            _ => return self.push_unrecognized_line(number),
        };
        if key.is_empty() || key.contains('\\') {
            return self.push_unrecognized_line(number);
        }
        self.keys.push(ScannedKey {
            section: section.cloned(),
            key: key.to_owned(),
            line: number,
        });
    }

    fn push_unrecognized_line(&mut self, line: u32) {
        self.unrecognized_lines += 1;
        self.push_error(line, "", "", FolderErrorKind::UnrecognizedLine);
    }

    fn parse_values(&mut self, text: &str) {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(text, option) {
            Ok(parsed) => self.add_values(&parsed),
            Err(error) => {
                let message = error.msg.to_string();
                self.push_error(
                    error.line as u32,
                    "",
                    "",
                    FolderErrorKind::Unreadable { message },
                );
            }
        }
    }

    /// Adds the parsed values. Parser and scan find the same keys in the same order,
    /// since text with unrecognized lines is not parsed.
    fn add_values(&mut self, parsed: &Ini) {
        let values: Vec<(Option<String>, &str, &str)> = parsed
            .iter()
            .flat_map(|(section, keys)| {
                let section = section.map(normalize_section);
                keys.iter().map(move |(k, v)| (section.clone(), k, v))
            })
            .collect();
        let keys = std::mem::take(&mut self.keys);
        let is_consistent = values.len() == keys.len()
            && values
                .iter()
                .zip(&keys)
                .all(|(value, key)| value.0 == key.section && value.1 == key.key);
        if !is_consistent {
            let message = "a line is not understood".to_owned();
            return self.push_error(0, "", "", FolderErrorKind::Unreadable { message });
        }
        let mut first_lines = BTreeMap::new();
        for (key, (_, _, value)) in keys.into_iter().zip(values) {
            self.add_value(key, value, &mut first_lines);
        }
    }

    fn add_value(
        &mut self,
        scanned: ScannedKey,
        value: &str,
        first_lines: &mut BTreeMap<(String, String), u32>,
    ) {
        let ScannedKey { section, key, line } = scanned;
        let Some(section) = section else {
            return self.push_error(line, "", &key, FolderErrorKind::OutsideSection);
        };
        if let Some(&first_line) = first_lines.get(&(section.clone(), key.clone())) {
            return self.push_error(
                line,
                &section,
                &key,
                FolderErrorKind::DuplicateKey { first_line },
            );
        }
        first_lines.insert((section.clone(), key.clone()), line);
        let location = self.location(line);
        self.text.settings.push(FileSetting {
            section,
            key,
            value: value.trim().to_owned(),
            location,
        });
    }
}
