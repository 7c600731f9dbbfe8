//! Reads a settings file and collects all its errors, each with line, key and remedy.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use ini::Ini;
use thiserror::Error;

/// One error in a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{file}:{line}: [{section}] {key}: {problem}; {remedy}")]
pub struct SettingsError {
    /// File as named on the command line.
    pub file: String,
    /// Line, counted from one; zero when the key is absent.
    pub line: usize,
    /// Section of the key.
    pub section: String,
    /// Name of the key.
    pub key: String,
    /// Description of the error.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

/// All errors in a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct SettingsErrors {
    /// The errors in the order in which they were found; never empty.
    pub errors: Vec<SettingsError>,
}

impl Display for SettingsErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for error in &self.errors {
            writeln!(f, "{error}")?;
        }
        Ok(())
    }
}

/// A key that a settings file may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownKey {
    /// Section of the key.
    pub section: &'static str,
    /// Name of the key.
    pub key: &'static str,
    /// Value when the key is absent; a key without one is required.
    pub default: Option<&'static str>,
}

/// Declares a key without a default.
pub const fn required(section: &'static str, key: &'static str) -> KnownKey {
    KnownKey {
        section,
        key,
        default: None,
    }
}

/// Declares a key with a default.
pub const fn optional(section: &'static str, key: &'static str, default: &'static str) -> KnownKey {
    KnownKey {
        section,
        key,
        default: Some(default),
    }
}

/// Reads keys and collects errors.
#[derive(Debug)]
pub struct SettingsReader {
    keys: &'static [KnownKey],
    file: String,
    lines: Vec<String>,
    ini: Ini,
    /// Errors found so far.
    pub errors: Vec<SettingsError>,
}

impl SettingsReader {
    /// Opens INI text that may contain only `keys`; `file` is used only in errors.
    ///
    /// # Errors
    /// Returns an error if the text is not valid INI.
    pub fn open(file: &str, text: &str, keys: &'static [KnownKey]) -> Result<Self, SettingsErrors> {
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok(Self {
                keys,
                file: file.to_owned(),
                lines: text.lines().map(str::to_owned).collect(),
                ini,
                errors: Vec::new(),
            }),
            Err(error) => Err(SettingsErrors {
                errors: vec![SettingsError {
                    file: file.to_owned(),
                    line: error.line + 1,
                    section: String::new(),
                    key: String::new(),
                    problem: error.msg.to_string(),
                    remedy: "write the file as INI sections of `key = value` lines".to_owned(),
                }],
            }),
        }
    }

    /// Records an error in the value of a key.
    pub fn record_error(&mut self, section: &str, key: &str, problem: &str, remedy: &str) {
        let error = SettingsError {
            file: self.file.clone(),
            line: self.line_of(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        };
        self.errors.push(error);
    }

    /// Returns the line of a key, counted from one; zero if the key is absent.
    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut current = "";
        for (index, line) in self.lines.iter().enumerate() {
            let line = line.trim();
            if let Some(header) = line.strip_prefix('[') {
                current = header.trim_end_matches(']').trim();
            } else if current == section
                && line
                    .split('=')
                    .next()
                    .is_some_and(|name| name.trim() == key)
            {
                return index + 1;
            }
        }
        0
    }

    /// Records an error for every key that is not declared.
    pub fn record_unknown_keys(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if !self
                    .keys
                    .iter()
                    .any(|known| known.section == section && known.key == key)
                {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.record_error(
                &section,
                &key,
                "unknown key",
                "remove it or correct its spelling",
            );
        }
    }

    /// Returns the value of a key, or its default. If there is neither, records an error
    /// and returns an empty text.
    pub fn text(&mut self, section: &str, key: &str) -> String {
        let known = self
            .keys
            .iter()
            .find(|known| known.section == section && known.key == key);
        debug_assert!(known.is_some(), "key {section}.{key} is not declared");
        let default = known.and_then(|known| known.default);
        let value = self
            .ini
            .get_from(Some(section), key)
            .or(default)
            .unwrap_or_default();
        let value = value.trim().to_owned();
        if value.is_empty() {
            self.record_error(section, key, "no value", "add the key with a value");
        }
        value
    }

    /// Returns the value of a key as a socket address.
    pub fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let value = self.text(section, key);
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        if value.is_empty() {
            return fallback;
        }
        value.parse().unwrap_or_else(|_error| {
            let problem = format!("{value:?} is not an address");
            self.record_error(
                section,
                key,
                &problem,
                "write an IP number and port, as 127.0.0.1:7000",
            );
            fallback
        })
    }

    /// Returns the value of a key as a whole number above zero.
    pub fn count(&mut self, section: &str, key: &str) -> usize {
        let value = self.text(section, key);
        let count = value.parse::<u32>().ok().filter(|count| *count > 0);
        count.unwrap_or_else(|| {
            let problem = format!("{value:?} is not a whole number above zero");
            self.record_error(section, key, &problem, "write a number, as 1000");
            1
        }) as usize
    }

    /// Returns the value of a key as a number of milliseconds above zero.
    pub fn millis(&mut self, section: &str, key: &str) -> Duration {
        let value = self.text(section, key);
        let millis = value.parse::<u64>().ok().filter(|millis| *millis > 0);
        Duration::from_millis(millis.unwrap_or_else(|| {
            let problem = format!("{value:?} is not a whole number above zero");
            self.record_error(section, key, &problem, "write milliseconds, as 1000");
            1
        }))
    }
}
