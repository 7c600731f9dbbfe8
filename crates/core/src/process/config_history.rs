//! History of the published configurations for operators: the state of each
//! version, the outcome of a race between publishers, and the differences between
//! two versions.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::config_table::{ConfigChange, ConfigRejection, ConfigTable, version_at};
use crate::process::record::{ConfigEntry, LogEntry, LogOffset, SnapshotChunk, StoredEntry};
use crate::version::merged_folder::MergedFolder;
use crate::version::settings::ConfigVersion;
use crate::version::{FolderErrors, FolderFile, merge_folder};

/// State of a published configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishedState {
    /// It is in force.
    InForce,
    /// It was in force until this version replaced it.
    Superseded(ConfigVersion),
    /// It was never in force.
    Rejected(ConfigRejection),
    /// It is older than the version in force at the first snapshot. The log no longer
    /// shows whether it was ever in force.
    Undetermined,
}

/// One published configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedConfig {
    /// Version by its offset, assigned to rejected records as well.
    pub version: ConfigVersion,
    /// Identifier of the record.
    pub id: RecordId,
    /// Unix time of the append.
    pub appended_at: WallTime,
    /// Published configuration.
    pub entry: ConfigEntry,
    /// State by the records of the log.
    pub state: PublishedState,
}

/// All published configurations that the log still holds, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigHistory {
    table: ConfigTable,
    list: Vec<PublishedConfig>,
}

/// Outcome of publishing a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// The record is in force as this version.
    InForce(ConfigVersion),
    /// The record was in force; a later one has replaced it.
    Superseded {
        /// Version of the record.
        version: ConfigVersion,
        /// Version in force now.
        newest: ConfigVersion,
    },
    /// Another publisher was faster; the record has no effect.
    LostRace {
        /// Version that was in force at the record's offset.
        winner: ConfigVersion,
        /// Publisher of that version.
        publisher: String,
        /// Changes that the record would make to the version in force now.
        differences: Vec<SettingDifference>,
    },
    /// The record's settings do not match its hash, so it has no effect.
    Damaged,
    /// The log does not show the record, or no longer shows whether it took effect.
    NotSeen,
}

/// A setting that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingDifference {
    /// Section without brackets.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Value in the first configuration; `None` if absent.
    pub old: Option<String>,
    /// Value in the second configuration; `None` if absent.
    pub new: Option<String>,
}

impl Display for SettingDifference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: ", self.section, self.key)?;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "`{old}` becomes `{new}`"),
            (Some(old), None) => write!(f, "`{old}` is removed"),
            (None, Some(new)) => write!(f, "`{new}` is added"),
            (None, None) => write!(f, "absent in both"),
        }
    }
}

impl Display for PublishOutcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::InForce(version) => write!(f, "{version} is in force"),
            Self::Superseded { version, newest } => {
                write!(f, "{version} was in force; {newest} has replaced it since")
            }
            Self::LostRace {
                winner,
                publisher,
                differences,
            } => {
                write!(f, "not in force: {publisher} published {winner} first; ")?;
                write!(f, "look at the differences, take {winner} into the folder ")?;
                write!(f, "and publish again with it as base")?;
                for difference in differences {
                    write!(f, "\n  {difference}")?;
                }
                Ok(())
            }
            Self::Damaged => write!(f, "not in force: the record is damaged; publish again"),
            Self::NotSeen => write!(
                f,
                "not seen in the log yet; ask for the history before you publish again"
            ),
        }
    }
}

impl ConfigHistory {
    /// Builds the history from records in the order of their offsets. If the beginning
    /// of the stream is missing, the first snapshot determines which version was in
    /// force there; the state of versions before that one is undetermined.
    pub fn read(records: &[StoredEntry], is_start_known: bool) -> Self {
        let mut history = Self::default();
        let snapshot = records.iter().find_map(config_snapshot);
        let mut validated_from = LogOffset(0);
        match (is_start_known, snapshot) {
            (true, _) => {}
            (false, None) => history.table = ConfigTable::with_unknown_start(),
            (false, Some(chunk)) => {
                validated_from = chunk.covers_until;
                history.restore(&chunk.records);
            }
        }
        for record in records {
            if let LogEntry::Config(entry) = &record.entry {
                history.apply(record, entry, validated_from);
            }
        }
        history.list.sort_by_key(|config| config.version);
        history
    }

    /// Returns all published configurations, oldest first.
    pub fn list(&self) -> &[PublishedConfig] {
        &self.list
    }

    /// Returns the version in force; zero if there is none.
    pub fn in_force(&self) -> ConfigVersion {
        self.table.head()
    }

    /// Returns the configuration of a version, which may be a rejected one.
    pub fn get(&self, version: ConfigVersion) -> Option<&PublishedConfig> {
        self.list.iter().find(|config| config.version == version)
    }

    /// Returns the outcome of the record with this identifier.
    pub fn outcome(&self, id: &RecordId) -> PublishOutcome {
        let copies = self.list.iter().filter(|config| &config.id == id);
        let best = copies.min_by_key(|config| matches!(config.state, PublishedState::Rejected(_)));
        let Some(config) = best else {
            return PublishOutcome::NotSeen;
        };
        match config.state {
            PublishedState::InForce => PublishOutcome::InForce(config.version),
            PublishedState::Superseded(_) => PublishOutcome::Superseded {
                version: config.version,
                newest: self.in_force(),
            },
            PublishedState::Undetermined => PublishOutcome::NotSeen,
            PublishedState::Rejected(ConfigRejection::BadHash) => PublishOutcome::Damaged,
            PublishedState::Rejected(ConfigRejection::LostRace) => self.lost_race(config),
        }
    }

    fn lost_race(&self, config: &PublishedConfig) -> PublishOutcome {
        let was_in_force = |c: &&PublishedConfig| {
            matches!(
                c.state,
                PublishedState::InForce | PublishedState::Superseded(_)
            )
        };
        let before = |c: &&PublishedConfig| c.version < config.version;
        let winner = self.list.iter().filter(was_in_force).rfind(before);
        let newest = self.get(self.in_force());
        let current = newest.map_or("", |newest| &newest.entry.settings);
        PublishOutcome::LostRace {
            winner: winner.map_or(ConfigVersion(0), |winner| winner.version),
            publisher: winner.map_or_else(String::new, |winner| winner.entry.publisher.clone()),
            differences: diff_texts(current, &config.entry.settings).unwrap_or_default(),
        }
    }

    fn apply(&mut self, record: &StoredEntry, entry: &ConfigEntry, validated_from: LogOffset) {
        let version = version_at(record.offset);
        if self.get(version).is_some() {
            return;
        }
        if record.offset >= validated_from {
            let state = match self.table.apply(record) {
                Some(ConfigChange::Rejected(reason)) => PublishedState::Rejected(reason),
                _ => PublishedState::InForce,
            };
            return self.push(record, entry, state);
        }
        let is_rejected = version > self.table.head();
        let state = if is_rejected {
            PublishedState::Rejected(ConfigRejection::LostRace)
        } else {
            PublishedState::Undetermined
        };
        self.push(record, entry, state);
    }

    fn restore(&mut self, records: &[StoredEntry]) {
        self.table.restore(records);
        let head = self.table.head();
        for record in records {
            if let LogEntry::Config(entry) = &record.entry
                && version_at(record.offset) == head
            {
                self.push(record, entry, PublishedState::InForce);
            }
        }
    }

    fn push(&mut self, record: &StoredEntry, entry: &ConfigEntry, state: PublishedState) {
        let version = version_at(record.offset);
        if state == PublishedState::InForce {
            let before = self
                .list
                .iter_mut()
                .filter(|c| c.state == PublishedState::InForce);
            before.for_each(|config| config.state = PublishedState::Superseded(version));
        }
        self.list.push(PublishedConfig {
            version,
            id: record.id.clone(),
            appended_at: record.appended_at,
            entry: entry.clone(),
            state,
        });
    }
}

impl Display for ConfigHistory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for config in &self.list {
            write!(f, "{} on {}", config.version, config.entry.base)?;
            write!(f, " by {}: ", config.entry.publisher)?;
            match config.state {
                PublishedState::InForce => writeln!(f, "in force")?,
                PublishedState::Superseded(by) => writeln!(f, "replaced by {by}")?,
                PublishedState::Rejected(ConfigRejection::LostRace) => {
                    writeln!(f, "void, another version was in force")?;
                }
                PublishedState::Rejected(ConfigRejection::BadHash) => writeln!(f, "void, damaged")?,
                PublishedState::Undetermined => writeln!(f, "older than the oldest snapshot")?,
            }
        }
        Ok(())
    }
}

/// Returns the snapshot chunk of a record, if it holds a configuration.
fn config_snapshot(record: &StoredEntry) -> Option<&SnapshotChunk> {
    let LogEntry::Snapshot(chunk) = &record.entry else {
        return None;
    };
    let has_config = |record: &StoredEntry| matches!(record.entry, LogEntry::Config(_));
    chunk.records.iter().any(has_config).then_some(chunk)
}

/// Returns the settings that differ between two merged folders, by section and key.
pub fn diff_folders(old: &MergedFolder, new: &MergedFolder) -> Vec<SettingDifference> {
    let sections: BTreeSet<&String> = old.sections.keys().chain(new.sections.keys()).collect();
    let mut differences = Vec::new();
    for section in sections {
        let values = |folder: &MergedFolder| {
            let section = folder.sections.get(section);
            section.map_or_else(BTreeMap::new, |section| section.values.clone())
        };
        let (old, new) = (values(old), values(new));
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let text = |located: &crate::version::merged_folder::LocatedValue| located.value.clone();
        differences.extend(keys.into_iter().filter_map(|key| {
            let difference = SettingDifference {
                section: section.clone(),
                key: key.clone(),
                old: old.get(key).map(text),
                new: new.get(key).map(text),
            };
            (difference.old != difference.new).then_some(difference)
        }));
    }
    differences
}

/// Returns the settings that differ between two canonical texts.
///
/// # Errors
///
/// Returns the errors of a text that is not INI.
pub fn diff_texts(old: &str, new: &str) -> Result<Vec<SettingDifference>, FolderErrors> {
    let read = |name: &str, text: &str| {
        merge_folder(&[FolderFile {
            name: name.to_owned(),
            text: text.to_owned(),
        }])
    };
    Ok(diff_folders(&read("in force", old)?, &read("new", new)?))
}
