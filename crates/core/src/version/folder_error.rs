//! Faults of an operator folder. Every fault names file, line, section and key,
//! and its message ends with the remedy, so that one report mends the folder.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use arcstr::ArcStr;
use thiserror::Error as ThisError;

/// A line of a file in the operator folder.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SettingPlace {
    /// Name of the file.
    pub file: ArcStr,
    /// Line, counted from one; zero stands for the whole file or folder.
    pub line: u32,
}

impl Display for SettingPlace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match (self.file.is_empty(), self.line) {
            (true, _) => write!(f, "folder"),
            (false, 0) => write!(f, "{}", self.file),
            (false, line) => write!(f, "{}:{line}", self.file),
        }
    }
}

/// What is wrong, with the remedy.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum FolderErrorKind {
    /// The text is not INI.
    #[error("cannot be read: {message}; write `[section]` and `key = value` lines only")]
    Unreadable {
        /// Complaint of the parser.
        message: String,
    },
    /// A line is neither a section, a key, a comment nor blank.
    #[error("neither `[section]` nor `key = value`; start comments with `;` or `#`")]
    StrayLine,
    /// A key stands before the first section.
    #[error("outside any section; move it below a line like `[policy]`")]
    OutsideSection,
    /// One file sets a key of a section twice.
    #[error("set twice in one file, first on line {first_line}; keep one of them")]
    DuplicateKey {
        /// Line of the first setting.
        first_line: u32,
    },
    /// No such kind of section.
    #[error("unknown section; use {known}")]
    UnknownSection {
        /// Forms that a section may take.
        known: &'static str,
    },
    /// A name that cannot stand in addresses and messages.
    #[error("`{name}` is not a name; use 1 to 64 letters, digits, `-`, `_` and `.`")]
    BadName {
        /// The name.
        name: String,
    },
    /// The section has no such key.
    #[error("unknown key; use one of {known}")]
    UnknownKey {
        /// Keys of the section.
        known: String,
    },
    /// A key without a default is missing.
    #[error("missing; add `{key} = {expected}`")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// What it takes.
        expected: String,
    },
    /// The value of a key cannot be used.
    #[error("`{value}` does not do; write {expected}")]
    BadValue {
        /// The value.
        value: String,
        /// What the key takes.
        expected: String,
    },
    /// A name that no section declares.
    #[error("`{name}` is not declared; add a section `[{section} {name}]` or correct the name")]
    UnknownReference {
        /// Kind of section that would declare it.
        section: &'static str,
        /// The name.
        name: String,
    },
    /// Several attempts of a job that must not run twice.
    #[error(
        "{attempts} attempts of a job that is not idempotent; set `attempts = 1` or `idempotent = yes`"
    )]
    UnsafeAttempts {
        /// Declared attempts.
        attempts: u32,
    },
    /// Nothing can be planned.
    #[error("no zone is declared; add a section like `[zone NAME]`")]
    NoZone,
    /// A zone larger than the system is made for.
    #[error("{workers} workers in one zone; declare at most {limit}")]
    ZoneTooLarge {
        /// Workers declared.
        workers: u64,
        /// Most workers of a zone.
        limit: u64,
    },
    /// A reclaim bound that a silent worker's lease outlasts.
    #[error("is not above task-lease-s, which is {lease}; raise it or lower task-lease-s")]
    BoundTooShort {
        /// Task lease in seconds.
        lease: u64,
    },
    /// A job that would wait for ever.
    #[error(
        "fits no zone even when it is empty; lower tasks, accelerators, cores, memory-gb or adjacency"
    )]
    JobTooLarge,
    /// A block that no empty zone can hold.
    #[error("a block of {size} is larger than any {adjacent} of zone {zone}, which holds {limit}")]
    BlockTooLarge {
        /// Accelerators of the block.
        size: u32,
        /// Adjacency of the block.
        adjacent: &'static str,
        /// Zone of the block.
        zone: String,
        /// Accelerators of the largest place.
        limit: u64,
    },
    /// All guarantees of a zone cannot be honoured at once.
    #[error(
        "with the other guarantees of zone {zone} only {placed} of {blocks} blocks fit; \
         lower blocks or size, or declare more racks"
    )]
    GuaranteesTooLarge {
        /// Zone of the guarantees.
        zone: String,
        /// Blocks that found a place.
        placed: u32,
        /// Blocks of this guarantee.
        blocks: u32,
    },
}

/// One fault and where it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderError {
    /// File and line.
    pub place: SettingPlace,
    /// Section without brackets; empty for the whole file.
    pub section: String,
    /// Key; empty for the whole section.
    pub key: String,
    /// What is wrong.
    pub kind: FolderErrorKind,
}

impl Display for FolderError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.place)?;
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

/// All faults of a folder, in the order of their places; never empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderErrors(Vec<FolderError>);

impl FolderErrors {
    /// The faults in the order of their places; nothing when there are none.
    pub fn from_list(mut errors: Vec<FolderError>) -> Option<Self> {
        errors.sort_by(|a, b| a.place.cmp(&b.place));
        (!errors.is_empty()).then_some(Self(errors))
    }

    /// The faults.
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
