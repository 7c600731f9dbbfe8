//! Errors of an operator folder. Every error has file, line, section and key, and its
//! message ends with the remedy, so that one report suffices to correct the folder.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use arcstr::ArcStr;
use thiserror::Error as ThisError;

/// A line of a file in the operator folder.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SettingLocation {
    /// Name of the file.
    pub file: ArcStr,
    /// Line, counted from one; zero for the whole file or folder.
    pub line: u32,
}

impl Display for SettingLocation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match (self.file.is_empty(), self.line) {
            (true, _) => write!(f, "folder"),
            (false, 0) => write!(f, "{}", self.file),
            (false, line) => write!(f, "{}:{line}", self.file),
        }
    }
}

/// Description of the error, with the remedy.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum FolderErrorKind {
    /// The text is not INI.
    #[error("cannot be read: {message}; write `[section]` and `key = value` lines only")]
    Unreadable {
        /// Message of the parser.
        message: String,
    },
    /// A line is neither a section, a key, a comment nor blank.
    #[error("neither `[section]` nor `key = value`; start comments with `;` or `#`")]
    UnrecognizedLine,
    /// A key is set before the first section.
    #[error("outside any section; move it below a line like `[policy]`")]
    OutsideSection,
    /// One file sets a key of a section twice.
    #[error("set twice in one file, first on line {first_line}; keep one of them")]
    DuplicateKey {
        /// Line of the first setting.
        first_line: u32,
    },
    /// The header is not one of the known forms.
    #[error("unknown section; use {known}")]
    UnknownSection {
        /// Forms that a section may take.
        known: &'static str,
    },
    /// A name is not valid in addresses and messages.
    #[error("`{name}` is not a name; use 1 to 64 letters, digits, `-`, `_` and `.`")]
    BadName {
        /// The name.
        name: String,
    },
    /// The section has no such key.
    #[error("unknown key; use one of {known}")]
    UnknownKey {
        /// Valid keys of the section.
        known: String,
    },
    /// A key without a default is missing.
    #[error("missing; add `{key} = {expected}`")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// Form of a valid value.
        expected: String,
    },
    /// The value of a key is invalid.
    #[error("`{value}` does not do; write {expected}")]
    BadValue {
        /// The value.
        value: String,
        /// Form of a valid value.
        expected: String,
    },
    /// A name is used that no section declares.
    #[error("`{name}` is not declared; add a section `[{section} {name}]` or correct the name")]
    UnknownReference {
        /// Kind of section that would declare it.
        section: &'static str,
        /// The name.
        name: String,
    },
    /// Several attempts are declared for a job that must not run twice.
    #[error(
        "{attempts} attempts of a job that is not idempotent; set `attempts = 1` or `idempotent = yes`"
    )]
    UnsafeAttempts {
        /// Number of declared attempts.
        attempts: u32,
    },
    /// No zone is declared, so nothing can be planned.
    #[error("no zone is declared; add a section like `[zone NAME]`")]
    NoZone,
    /// A zone is larger than the system supports.
    #[error("{workers} workers in one zone; declare at most {limit}")]
    ZoneTooLarge {
        /// Number of declared workers.
        workers: u64,
        /// Maximum number of workers in a zone.
        limit: u64,
    },
    /// The reclaim bound is not longer than the lease of an unreachable worker, which
    /// must expire first.
    #[error("is not above task-lease-s, which is {lease}; raise it or lower task-lease-s")]
    BoundTooShort {
        /// Task lease in seconds.
        lease: u64,
    },
    /// A job fits no zone and would wait forever.
    #[error(
        "fits no zone even when it is empty; lower tasks, accelerators, cores, memory-gb or adjacency"
    )]
    JobTooLarge,
    /// A block is larger than its empty zone can hold.
    #[error("a block of {size} is larger than any {adjacent} of zone {zone}, which holds {limit}")]
    BlockTooLarge {
        /// Accelerators of the block.
        size: u32,
        /// Adjacency of the block.
        adjacent: &'static str,
        /// Zone of the block.
        zone: String,
        /// Accelerators of the largest possible block.
        limit: u64,
    },
    /// The guarantees of a zone cannot all be met at the same time.
    #[error(
        "with the other guarantees of zone {zone} only {placed} of {blocks} blocks fit; \
         lower blocks or size, or declare more racks"
    )]
    GuaranteesTooLarge {
        /// Zone of the guarantees.
        zone: String,
        /// Blocks of this guarantee that could be placed.
        placed: u32,
        /// Declared blocks of this guarantee.
        blocks: u32,
    },
}

/// An error and its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderError {
    /// File and line of the error.
    pub location: SettingLocation,
    /// Section without brackets; empty for the whole file.
    pub section: String,
    /// Key; empty for the whole section.
    pub key: String,
    /// Description of the error.
    pub kind: FolderErrorKind,
}

impl Display for FolderError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.location)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.kind)
    }
}

impl Error for FolderError {}

/// All errors of a folder, ordered by file and line; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderErrors(Vec<FolderError>);

impl FolderErrors {
    /// Sorts errors by file and line; returns `None` if there are none.
    pub fn from_list(mut errors: Vec<FolderError>) -> Option<Self> {
        errors.sort_by(|a, b| a.location.cmp(&b.location));
        (!errors.is_empty()).then_some(Self(errors))
    }

    /// Returns the errors.
    pub fn list(&self) -> &[FolderError] {
        &self.0
    }
}

impl Display for FolderErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let noun = if self.0.len() == 1 { "fault" } else { "faults" };
        write!(f, "{} {noun} in the folder", self.0.len())?;
        for error in &self.0 {
            write!(f, "\n{error}")?;
        }
        Ok(())
    }
}

impl Error for FolderErrors {}
