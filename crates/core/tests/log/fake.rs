//! An in-memory log whose offsets have gaps, and constructors for records.

use std::cell::Cell;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_table::ConfigTable;
use flamingowalk_core::process::job_table::{JobTable, RestoreChange};
use flamingowalk_core::process::log_follower::ReadPage;
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::{
    AcceptedEntry, CancelledEntry, ConfigEntry, EndedEntry, LogEntry, LogOffset, MovedEntry,
    StartedEntry, StoredEntry,
};
use flamingowalk_core::process::snapshot::Snapshot;
use flamingowalk_core::version::content_hash;
use flamingowalk_core::version::settings::ConfigVersion;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Unix time in milliseconds at the origin of the virtual clock.
pub const WALL_START_MS: u64 = 1_700_000_000_000;

#[derive(Debug, Default)]
pub struct FakeLog {
    /// All records ever appended, including those that retention removed.
    pub records: Vec<StoredEntry>,
    /// Oldest offset that retention has kept.
    pub first: u64,
    pub tail: u64,
    /// Milliseconds since `WALL_START_MS`.
    pub wall: Cell<u64>,
}

impl FakeLog {
    pub fn append(&mut self, id: &RecordId, entry: LogEntry) -> LogOffset {
        let offset = LogOffset(self.tail + u64::from(self.tail % 5 == 3));
        self.tail = offset.0 + 1;
        self.records.push(StoredEntry {
            offset,
            id: id.clone(),
            appended_at: WallTime(WALL_START_MS + self.wall.get()),
            entry,
        });
        offset
    }

    pub fn read(&self, from: LogOffset, limit: u32) -> ReadPage {
        let kept = |r: &&StoredEntry| r.offset.0 >= from.0.max(self.first);
        let records: Vec<StoredEntry> = self
            .records
            .iter()
            .filter(kept)
            .take(limit as usize)
            .cloned()
            .collect();
        let is_last = records.len() < limit as usize;
        let last = records.last().map_or(from, |record| record.offset.next());
        ReadPage {
            records,
            first: LogOffset(self.first),
            next: if is_last {
                LogOffset(self.tail.max(last.0))
            } else {
                last
            },
            tail: LogOffset(self.tail),
        }
    }

    pub fn has(&self, id: &RecordId) -> bool {
        self.records.iter().any(|record| &record.id == id)
    }
}

/// Tables for all kinds of records, as if they came in one stream.
#[derive(Default)]
pub struct Tables {
    pub config: ConfigTable,
    pub jobs: JobTable,
}

impl Tables {
    pub fn apply(&mut self, record: &StoredEntry) {
        self.config.apply(record);
        self.jobs.apply(record);
    }

    pub fn restore(&mut self, snapshot: &Snapshot) -> RestoreChange {
        self.config.restore(&snapshot.records);
        self.jobs.restore(&snapshot.records)
    }

    pub fn live_entries(&self) -> Vec<StoredEntry> {
        let mut entries = self.config.live_entries();
        entries.extend(self.jobs.live_entries());
        entries.sort_by_key(|entry| entry.offset);
        entries
    }
}

pub fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn accepted(job: &str, wall: u64) -> LogEntry {
    LogEntry::JobAccepted(AcceptedEntry {
        job: JobId::from(job),
        customer: CustomerName::from("c"),
        class: ClassName::from("k"),
        zone: ZoneName::from("a"),
        config: ConfigVersion(1),
        accepted_at: WallTime(WALL_START_MS + wall),
        start_before: None,
    })
}

pub fn cancelled(job: &str) -> LogEntry {
    LogEntry::JobCancelled(CancelledEntry {
        job: JobId::from(job),
        requested_at: WallTime(WALL_START_MS),
    })
}

pub fn started(job: &str, attempt: u32) -> LogEntry {
    LogEntry::JobStarted(StartedEntry {
        job: JobId::from(job),
        attempt,
        term: LeaderTerm(1),
        zone: ZoneName::from("a"),
        workers: vec![WorkerName::from("w1")],
        started_at: WallTime(WALL_START_MS),
    })
}

pub fn ended(job: &str, ending: JobEnding) -> LogEntry {
    LogEntry::JobEnded(EndedEntry {
        job: JobId::from(job),
        ending,
        term: LeaderTerm(1),
        ended_at: WallTime(WALL_START_MS),
    })
}

pub fn moved(job: &str, from: &str, to: &str) -> LogEntry {
    LogEntry::JobMoved(MovedEntry {
        job: JobId::from(job),
        from: ZoneName::from(from),
        to: ZoneName::from(to),
        term: LeaderTerm(1),
    })
}

pub fn settings_text(weight: &str) -> String {
    format!(
        "[policy]\nweight = {weight}\n\n[zone a]\naccelerators-per-worker = 8\n\
         connections-per-worker = 64\ncores-per-worker = 32\nmemory-gb-per-worker = 64\n\
         racks = 2\nregion = r\nslots-per-worker = 8\nworkers-per-rack = 8\n"
    )
}

pub fn config(base: ConfigVersion, text: &str) -> LogEntry {
    LogEntry::Config(ConfigEntry {
        base,
        content_hash: content_hash(text),
        settings: Arc::from(text),
        publisher: "operator".to_owned(),
    })
}
