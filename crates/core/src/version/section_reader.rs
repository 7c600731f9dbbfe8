//! Typed reader of one merged section. Each read records its key, so that keys that
//! were never read can be reported as unknown.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::prelude::*;
use crate::version::folder_error::{FolderError, FolderErrorKind, SettingLocation};
use crate::version::merged_folder::MergedSection;

/// Maximum run time that a class may declare.
const MAX_RUN_TIME: Duration = Duration::from_hours(24 * 365);

/// Reader of one section. Collects errors instead of stopping at the first.
#[derive(Debug)]
pub struct SectionReader<'a> {
    name: &'a str,
    section: &'a MergedSection,
    known: Vec<&'static str>,
    errors: Vec<FolderError>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader that has read nothing yet.
    pub fn new(name: &'a str, section: &'a MergedSection) -> Self {
        Self {
            name,
            section,
            known: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Reads a number within `range`; reports an error if the key is absent.
    pub fn number<T>(&mut self, key: &'static str, range: &RangeInclusive<T>) -> Option<T>
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        let expected = number_range(range);
        let value = self.require_value(key, &expected)?;
        self.parse_value(key, value, &expected, |text| parse_number(text, range))
    }

    /// Reads a number within `range`; returns `default` if the key is absent.
    pub fn number_or<T>(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<T>,
        default: T,
    ) -> Option<T>
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        let Some(value) = self.value(key) else {
            return Some(default);
        };
        self.parse_value(key, value, &number_range(range), |text| {
            parse_number(text, range)
        })
    }

    /// Reads one of the words of `choices`; returns `default` if the key is absent.
    pub fn choice_or<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> Option<T> {
        if self.section.values.contains_key(key) {
            return self.choice(key, choices);
        }
        self.known.push(key);
        Some(default)
    }

    /// Reads one of the words of `choices`; reports an error if the key is absent.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let labels: Vec<&str> = choices.iter().map(|choice| choice.0).collect();
        let expected = labels.join("|");
        let value = self.require_value(key, &expected)?;
        self.parse_value(key, value, &expected, |text| {
            choices
                .iter()
                .find(|choice| choice.0 == text)
                .map(|choice| choice.1)
        })
    }

    /// Reads `yes` or `no`; returns `false` if the key is absent.
    pub fn flag(&mut self, key: &'static str) -> Option<bool> {
        self.choice_or(key, &[("yes", true), ("no", false)], false)
    }

    /// Reads a duration such as `90s`, `15m` or `4h`; reports an error if the key is
    /// absent.
    pub fn run_time(&mut self, key: &'static str) -> Option<Duration> {
        let expected = "90s, 15m or 4h, at most a year";
        let value = self.require_value(key, expected)?;
        self.parse_value(key, value, expected, parse_run_time)
    }

    /// Reads a name; reports an error if the key is absent or the name invalid.
    pub fn name(&mut self, key: &'static str) -> Option<&'a str> {
        let value = self.require_value(key, "a name")?;
        if is_name(value) {
            return Some(value);
        }
        let name = value.to_owned();
        self.push_error(key, FolderErrorKind::BadName { name });
        None
    }

    /// Reads an optional name: `Some(None)` if the key is absent, `None` if the name is
    /// invalid.
    pub fn optional_name(&mut self, key: &'static str) -> Option<Option<&'a str>> {
        if self.section.values.contains_key(key) {
            return self.name(key).map(Some);
        }
        self.known.push(key);
        Some(None)
    }

    /// Adds an error at a key, or at the section's header if the key is absent.
    pub fn push_error(&mut self, key: &str, kind: FolderErrorKind) {
        let error = section_error(self.name, self.section, key, kind);
        self.errors.push(error);
    }

    /// Reports keys that were never read as unknown and returns all errors.
    pub fn finish(mut self) -> Vec<FolderError> {
        let known = self.known.join(", ");
        for key in self.section.values.keys() {
            if !self.known.contains(&key.as_str()) {
                let kind = FolderErrorKind::UnknownKey {
                    known: known.clone(),
                };
                let error = section_error(self.name, self.section, key, kind);
                self.errors.push(error);
            }
        }
        self.errors
    }

    fn value(&mut self, key: &'static str) -> Option<&'a str> {
        self.known.push(key);
        let located = self.section.values.get(key)?;
        Some(located.value.as_str())
    }

    fn require_value(&mut self, key: &'static str, expected: &str) -> Option<&'a str> {
        let value = self.value(key);
        if value.is_none() {
            let expected = expected.to_owned();
            self.push_error(key, FolderErrorKind::MissingKey { key, expected });
        }
        value
    }

    fn parse_value<T>(
        &mut self,
        key: &str,
        value: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = parse(value);
        if parsed.is_none() {
            let kind = FolderErrorKind::BadValue {
                value: value.to_owned(),
                expected: expected.to_owned(),
            };
            self.push_error(key, kind);
        }
        parsed
    }
}

/// Creates an error at a key, or at the section's header if the key is absent.
pub fn section_error(
    name: &str,
    section: &MergedSection,
    key: &str,
    kind: FolderErrorKind,
) -> FolderError {
    let location: &SettingLocation = section
        .values
        .get(key)
        .map_or(&section.location, |located| &located.location);
    FolderError {
        location: location.clone(),
        section: name.to_owned(),
        key: key.to_owned(),
        kind,
    }
}

/// Returns whether a text is valid as a name in addresses, messages and task
/// identifiers.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&text.len()) && text.chars().all(allowed)
}

fn number_range<T: Display>(range: &RangeInclusive<T>) -> String {
    format!("a number from {} to {}", range.start(), range.end())
}

fn parse_number<T: FromStr + PartialOrd>(text: &str, range: &RangeInclusive<T>) -> Option<T> {
    let number = text.parse().ok()?;
    range.contains(&number).then_some(number)
}

fn parse_run_time(text: &str) -> Option<Duration> {
    let unit = text.chars().last()?;
    let secs_per_unit: u64 = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3_600,
        _ => return None,
    };
    let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
    let time = Duration::from_secs(count.checked_mul(secs_per_unit)?);
    (time > Duration::ZERO && time <= MAX_RUN_TIME).then_some(time)
}
