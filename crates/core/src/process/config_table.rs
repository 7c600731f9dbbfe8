//! Determines which configuration is in force, as a fold over the records of the
//! log. A record takes effect only if its base is the version in force at its
//! offset, so all readers agree which of two racing publishers wins.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::record::{ConfigEntry, LogEntry, LogOffset, StoredEntry};
use crate::version::settings::{ConfigVersion, SystemSettings};
use crate::version::{content_hash, parse_canonical};

/// Why a configuration record has no effect.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConfigRejection {
    /// The record's base was not the version in force at its offset.
    LostRace,
    /// The settings do not match the publisher's hash.
    BadHash,
}

/// Effect of a configuration record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The settings of the version are adopted.
    Adopted(ConfigVersion),
    /// The version is in force in the log, but this process cannot parse its
    /// settings and keeps the present ones. A later release may parse them.
    Unreadable(ConfigVersion),
    /// This version or a newer one was adopted before, from a peer or a snapshot.
    Known(ConfigVersion),
    /// Adoption is deferred until a snapshot is restored, since records were lost.
    Deferred(ConfigVersion),
    /// The record has no effect.
    Rejected(ConfigRejection),
}

/// A configuration that this process uses.
#[derive(Clone, Debug, PartialEq)]
pub struct AdoptedConfig {
    /// Its record, which is passed on to peers and written to snapshots.
    pub record: StoredEntry,
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Its settings, shared with the requests in flight that started under them.
    pub settings: Arc<SystemSettings>,
}

/// The configuration in force. Adoption is monotone: no input makes the adopted
/// version lower.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigTable {
    /// Newest version in force by the followed records; its settings may be
    /// unreadable. Only a restored snapshot can lower it.
    head: ConfigVersion,
    /// Record of `head`.
    head_record: Option<StoredEntry>,
    /// Newest readable version from records, snapshots or peers. May be above `head`,
    /// for example while the log cannot be read.
    adopted: Option<AdoptedConfig>,
    rejected: BTreeMap<ConfigRejection, u64>,
    unreadable: u64,
    /// Whether records before the next one are missing, so that its base cannot be
    /// validated.
    is_start_unknown: bool,
    /// Whether adoption is deferred until a snapshot is restored, since records were
    /// lost for good.
    is_adoption_deferred: bool,
}

/// Returns the version of the configuration record at an offset.
pub const fn version_at(offset: LogOffset) -> ConfigVersion {
    ConfigVersion(offset.0.saturating_add(1))
}

impl ConfigTable {
    /// Creates a table for a log whose first records were removed by retention, with no
    /// snapshot to replace them: the first record takes effect whatever its base.
    pub fn with_unknown_start() -> Self {
        Self {
            is_start_unknown: true,
            ..Self::default()
        }
    }

    /// Returns the version in force by the records followed so far. Publishers use it
    /// as base.
    pub fn head(&self) -> ConfigVersion {
        self.head
    }

    /// Returns the configuration that this process uses.
    pub fn adopted(&self) -> Option<&AdoptedConfig> {
        self.adopted.as_ref()
    }

    /// Returns the version that this process uses; zero if there is none.
    pub fn adopted_version(&self) -> ConfigVersion {
        self.adopted
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Returns the number of rejected records by reason.
    pub fn rejected_records(&self) -> &BTreeMap<ConfigRejection, u64> {
        &self.rejected
    }

    /// Returns the number of versions whose settings this process could not parse.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable
    }

    /// Applies a configuration record and returns its effect; `None` for any other
    /// record. Records must be applied in the order of their offsets.
    pub fn apply(&mut self, record: &StoredEntry) -> Option<ConfigChange> {
        let LogEntry::Config(entry) = &record.entry else {
            return None;
        };
        Some(match self.validate(entry) {
            Ok(()) => self.advance(record, entry),
            Err(reason) => {
                *self.rejected.entry(reason).or_default() += 1;
                ConfigChange::Rejected(reason)
            }
        })
    }

    /// Adopts a configuration from a peer or a snapshot if its version is newer.
    /// The base is not validated again: the sender has done so by records that this
    /// process may not have read yet.
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

    /// Restores the version in force from a snapshot. Its base was validated by the
    /// writer, which had read the records before it. After records were lost, the
    /// snapshot may be older than this table. `head` is then the snapshot's version, so
    /// that all hosts agree, while the adopted version never becomes lower.
    pub fn restore(&mut self, records: &[StoredEntry]) -> Vec<ConfigChange> {
        let is_config = |record: &&StoredEntry| matches!(record.entry, LogEntry::Config(_));
        let mut configs: Vec<&StoredEntry> = records.iter().filter(is_config).collect();
        configs.sort_by_key(|record| record.offset);
        self.is_start_unknown = false;
        self.is_adoption_deferred = false;
        self.head_record = configs.last().copied().cloned();
        let head = self.head_record.as_ref();
        self.head = head.map_or(ConfigVersion(0), |record| version_at(record.offset));
        configs
            .into_iter()
            .filter_map(|record| self.adopt_newer(record))
            .collect()
    }

    /// Marks records as lost for good. The next record takes effect whatever its base,
    /// and adoption is deferred until a snapshot gives all hosts the same version.
    pub fn mark_records_lost(&mut self) {
        self.is_start_unknown = true;
        self.is_adoption_deferred = true;
    }

    /// Returns the records from which the version in force can be restored: the newest
    /// one and, if this process cannot parse it, the newest readable one.
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

    /// Validates a record by base and hash alone, which all releases interpret alike.
    /// If a release rejected settings that it cannot parse, it would disagree with the
    /// others on every later base.
    fn validate(&mut self, entry: &ConfigEntry) -> Result<(), ConfigRejection> {
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
        if self.is_adoption_deferred {
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
        let rejected: u64 = self.rejected.values().sum();
        writeln!(f, ", {rejected} void, {} unreadable", self.unreadable)
    }
}
