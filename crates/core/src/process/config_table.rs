//! Which configuration is in force, as a fold over the records of the log. A
//! record counts only if its base is the version in force at its offset, so of
//! two racing publishers every reader sees the same one win.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::record::{ConfigEntry, LogEntry, LogOffset, StoredEntry};
use crate::version::settings::{ConfigVersion, SystemSettings};
use crate::version::{content_hash, parse_canonical};

/// Why a configuration record has no effect.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConfigRejection {
    /// Another version was in force at the record's offset.
    LostRace,
    /// The settings are not those that the publisher hashed.
    BadHash,
}

/// What a configuration record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The version is in force and its settings are adopted.
    Adopted(ConfigVersion),
    /// The version is in force in the log, but this process cannot read its
    /// settings and keeps those that it has. A later release may read them.
    Unreadable(ConfigVersion),
    /// The version was adopted before, from a peer or a snapshot.
    Known(ConfigVersion),
    /// Adoption waits for a snapshot, since records were lost.
    Deferred(ConfigVersion),
    /// Nothing.
    Rejected(ConfigRejection),
}

/// A configuration that this process uses.
#[derive(Clone, Debug, PartialEq)]
pub struct AdoptedConfig {
    /// Its record, for peers and snapshots.
    pub record: StoredEntry,
    /// Its version.
    pub version: ConfigVersion,
    /// Its settings; requests in flight hold on to them.
    pub settings: Arc<SystemSettings>,
}

/// The configuration in force. Adoption is monotone: no input makes the adopted
/// version lower.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigTable {
    /// Newest version by the followed records; its settings may be unreadable.
    /// Never lower than before.
    head: ConfigVersion,
    /// Record of `head`.
    head_record: Option<StoredEntry>,
    /// Newest readable version, by records or peers. May be above `head` while
    /// the log is out of reach.
    adopted: Option<AdoptedConfig>,
    void: BTreeMap<ConfigRejection, u64>,
    unreadable: u64,
    /// Whether records before the first one read are missing, so that its base
    /// cannot be judged.
    is_start_unknown: bool,
    /// Whether adoption waits for a snapshot, since records were lost for good.
    is_held: bool,
}

/// Version of the configuration record at an offset.
pub const fn version_at(offset: LogOffset) -> ConfigVersion {
    ConfigVersion(offset.0.saturating_add(1))
}

impl ConfigTable {
    /// A book whose first records are lost to retention, with no snapshot to
    /// replace them: the first record counts whatever its base.
    pub fn with_unknown_start() -> Self {
        Self {
            is_start_unknown: true,
            ..Self::default()
        }
    }

    /// Version in force by the records followed so far; publishers use it as base.
    pub fn head(&self) -> ConfigVersion {
        self.head
    }

    /// The configuration that this process uses.
    pub fn adopted(&self) -> Option<&AdoptedConfig> {
        self.adopted.as_ref()
    }

    /// Version that this process uses; zero for none.
    pub fn adopted_version(&self) -> ConfigVersion {
        self.adopted
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Records without effect, by reason.
    pub fn rejected_records(&self) -> &BTreeMap<ConfigRejection, u64> {
        &self.void
    }

    /// Versions in force whose settings this process could not read.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable
    }

    /// Applies a configuration record; nothing for any other record. Records
    /// must come in the order of their offsets.
    pub fn apply(&mut self, record: &StoredEntry) -> Option<ConfigChange> {
        let LogEntry::Config(entry) = &record.entry else {
            return None;
        };
        Some(match self.judge(entry) {
            Ok(()) => self.advance(record, entry),
            Err(reason) => {
                *self.void.entry(reason).or_default() += 1;
                ConfigChange::Rejected(reason)
            }
        })
    }

    /// Learns a configuration that a peer holds as in force. Only the version
    /// counts: the peer has judged the base by records that this process may
    /// not have read yet.
    pub fn adopt_newer(&mut self, record: &StoredEntry) -> Option<ConfigChange> {
        let LogEntry::Config(entry) = &record.entry else {
            return None;
        };
        let version = version_at(record.offset);
        if version <= self.adopted_version() {
            return Some(ConfigChange::Known(version));
        }
        if content_hash(&entry.settings) != entry.content_hash {
            return Some(ConfigChange::Rejected(ConfigRejection::BadHash));
        }
        Some(self.adopt(record, entry))
    }

    /// Takes the version in force from a snapshot. Its base was judged by the
    /// writer, which had read the records before it. After records were lost the
    /// snapshot may know less than this book: the version in force is then the
    /// snapshot's, for all hosts alike, while the adopted one stays.
    pub fn restore(&mut self, records: &[StoredEntry]) -> Vec<ConfigChange> {
        let is_config = |record: &&StoredEntry| matches!(record.entry, LogEntry::Config(_));
        let mut configs: Vec<&StoredEntry> = records.iter().filter(is_config).collect();
        configs.sort_by_key(|record| record.offset);
        self.is_start_unknown = false;
        self.is_held = false;
        self.head_record = configs.last().copied().cloned();
        let head = self.head_record.as_ref();
        self.head = head.map_or(ConfigVersion(0), |record| version_at(record.offset));
        configs
            .into_iter()
            .filter_map(|record| self.adopt_newer(record))
            .collect()
    }

    /// Notes that records were lost for good. The next record counts whatever its
    /// base, and nothing is adopted before a snapshot says what all hosts hold.
    pub fn mark_records_lost(&mut self) {
        self.is_start_unknown = true;
        self.is_held = true;
    }

    /// Records from which the version in force can be restored: the newest, and
    /// the newest readable one when that is another.
    pub fn live_entries(&self) -> Vec<StoredEntry> {
        let adopted = self.adopted.iter().map(|config| &config.record);
        let mut entries: Vec<StoredEntry> = adopted
            .filter(|record| version_at(record.offset) < self.head)
            .chain(&self.head_record)
            .cloned()
            .collect();
        entries.sort_by_key(|record| record.offset);
        entries
    }

    /// Judges by base and hash alone, which every release reads alike. Were
    /// settings that one release cannot read void for it, it would disagree
    /// with the others on every later base.
    fn judge(&mut self, entry: &ConfigEntry) -> Result<(), ConfigRejection> {
        let is_base_unknown = std::mem::take(&mut self.is_start_unknown);
        if entry.base != self.head && !is_base_unknown {
            return Err(ConfigRejection::LostRace);
        }
        if content_hash(&entry.settings) != entry.content_hash {
            self.is_start_unknown = is_base_unknown;
            return Err(ConfigRejection::BadHash);
        }
        Ok(())
    }

    fn advance(&mut self, record: &StoredEntry, entry: &ConfigEntry) -> ConfigChange {
        let version = version_at(record.offset);
        debug_assert!(version > self.head, "records come in the order of offsets");
        self.is_start_unknown = false;
        self.head = version;
        self.head_record = Some(record.clone());
        if version <= self.adopted_version() {
            return ConfigChange::Known(version);
        }
        if self.is_held {
            return ConfigChange::Deferred(version);
        }
        self.adopt(record, entry)
    }

    fn adopt(&mut self, record: &StoredEntry, entry: &ConfigEntry) -> ConfigChange {
        let version = version_at(record.offset);
        let Ok(settings) = parse_canonical(&entry.settings) else {
            self.unreadable += 1;
            return ConfigChange::Unreadable(version);
        };
        self.adopted = Some(AdoptedConfig {
            record: record.clone(),
            version,
            settings: Arc::new(settings),
        });
        ConfigChange::Adopted(version)
    }
}

impl Display for ConfigTable {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "in force {}, adopted {}",
            self.head,
            self.adopted_version()
        )?;
        let void: u64 = self.void.values().sum();
        writeln!(f, ", {void} void, {} unreadable", self.unreadable)
    }
}
