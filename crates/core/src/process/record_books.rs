//! Everything that the followed records say, in one place: the books that apply
//! records and snapshots, and from which snapshots are cut.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::config_book::{ConfigBook, ConfigChange};
use crate::process::job_book::{JobBook, JobChange, JobRecord};
use crate::process::record::{LogEntry, LostEntry, StoredEntry};
use crate::process::snapshot::Snapshot;

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BookChange {
    /// A configuration record was applied.
    Config(ConfigChange),
    /// A record about a job was applied.
    Job(JobChange),
    /// An operator declared a zone lost.
    ZoneLost(ZoneName),
    /// A snapshot chunk; it changes nothing for who reads the log in order.
    Snapshot,
    /// A record that this release cannot read was skipped.
    Unreadable,
}

/// What a snapshot changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoreChange {
    /// Jobs that were open and are no more: they ended, or were forgotten, by
    /// records that are lost.
    pub closed: Vec<JobId>,
    /// Jobs that are open and were not known as such.
    pub opened: Vec<JobId>,
    /// Open jobs whose records differ from those known.
    pub changed: Vec<JobId>,
    /// Changes of the configuration.
    pub configs: Vec<ConfigChange>,
}

/// All books of a host. Equal records give equal books on every host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordBooks {
    /// The configuration in force.
    pub config: ConfigBook,
    /// Jobs.
    pub jobs: JobBook,
    /// Latest word that a zone is lost, by zone.
    lost_zones: BTreeMap<ZoneName, StoredEntry>,
    unreadable: u64,
}

impl RecordBooks {
    /// Zones that operators declared lost.
    pub fn lost_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.lost_zones.keys()
    }

    /// Records that this release cannot read.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable
    }

    /// Applies the next record. Records come in the order of their offsets, each
    /// offset once; copies of a record at later offsets do no harm.
    pub fn apply(&mut self, record: &StoredEntry) -> BookChange {
        if let Some(change) = self.config.apply(record) {
            return BookChange::Config(change);
        }
        if let Some(change) = self.jobs.apply(record) {
            return BookChange::Job(change);
        }
        match &record.entry {
            LogEntry::ZoneLost(entry) => self.lose_zone(record, entry),
            LogEntry::Snapshot(_) => BookChange::Snapshot,
            _ => {
                self.unreadable += 1;
                BookChange::Unreadable
            }
        }
    }

    /// Replaces what records said before the snapshot. The adopted configuration
    /// never gets an older version by it.
    pub fn restore(&mut self, snapshot: &Snapshot) -> RestoreChange {
        let configs = self.config.restore(&snapshot.records);
        let mut restored = JobBook::default();
        self.lost_zones.clear();
        for record in &snapshot.records {
            restored.apply(record);
            if let LogEntry::ZoneLost(entry) = &record.entry {
                self.lose_zone(record, entry);
            }
        }
        let before = std::mem::replace(&mut self.jobs, restored);
        RestoreChange {
            configs,
            ..compare_jobs(&before, &self.jobs)
        }
    }

    /// Records from which equal books can be made, oldest first.
    pub fn live_entries(&self) -> Vec<StoredEntry> {
        let mut entries = self.config.live_entries();
        entries.extend(self.jobs.live_entries());
        entries.extend(self.lost_zones.values().cloned());
        entries.sort_by_key(|entry| entry.offset);
        entries
    }

    fn lose_zone(&mut self, record: &StoredEntry, entry: &LostEntry) -> BookChange {
        self.lost_zones.insert(entry.zone.clone(), record.clone());
        BookChange::ZoneLost(entry.zone.clone())
    }
}

fn compare_jobs(before: &JobBook, after: &JobBook) -> RestoreChange {
    let mut change = RestoreChange::default();
    let is_open = |book: &JobBook, id: &JobId| book.get(id).is_some_and(JobRecord::is_open);
    for (id, _) in before.open_jobs() {
        if !is_open(after, id) {
            change.closed.push(id.clone());
        }
    }
    for (id, job) in after.open_jobs() {
        if !is_open(before, id) {
            change.opened.push(id.clone());
        } else if before.get(id) != Some(job) {
            change.changed.push(id.clone());
        }
    }
    change
}

impl Display for RecordBooks {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.config, self.jobs)?;
        for zone in self.lost_zones.keys() {
            writeln!(f, "  zone {zone} declared lost")?;
        }
        writeln!(f, "  {} unreadable records", self.unreadable)
    }
}
