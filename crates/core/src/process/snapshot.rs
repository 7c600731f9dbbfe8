//! Snapshots: live state that is appended again before retention removes it. A
//! snapshot holds the records that were live at one offset. A host that restores it
//! continues reading at that offset, so that a snapshot never reverts a later record.
//! Several hosts may write snapshots at the same time; chunks carry their writer.

use crate::prelude::*;
use crate::process::record::{LogEntry, LogOffset, SnapshotChunk, StoredEntry};

/// Maximum estimated size of a chunk, unless one record alone is larger. Far below the
/// maximum size of a log record.
const MAX_CHUNK_BYTES: usize = 64 * 1_024;
/// Maximum number of chunks of a snapshot; a chunk that states more is ignored.
const MAX_CHUNKS: u32 = 4_096;
/// Maximum number of incomplete snapshots; the oldest are dropped first.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// Splits live state into chunks. `entries` must be ordered by offset.
pub fn split_snapshot(
    covers_until: LogOffset,
    writer: &str,
    entries: Vec<StoredEntry>,
) -> Vec<SnapshotChunk> {
    let mut parts: Vec<Vec<StoredEntry>> = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        let size = estimated_bytes(&entry);
        if bytes > 0 && bytes + size > MAX_CHUNK_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(entry);
        }
    }
    let chunks = parts.len() as u32;
    let numbered = parts.into_iter().zip(0..);
    numbered
        .map(|(records, chunk)| SnapshotChunk {
            covers_until,
            writer: writer.to_owned(),
            chunk,
            chunks,
            records,
        })
        .collect()
}

/// Returns the identifier of a chunk's record.
pub fn chunk_id(chunk: &SnapshotChunk) -> RecordId {
    let SnapshotChunk {
        covers_until,
        writer,
        chunk,
        ..
    } = chunk;
    RecordId::from(format!("snapshot/{}/{writer}/{chunk}", covers_until.0))
}

/// Estimates the size of a record on the wire, for splitting only.
fn estimated_bytes(record: &StoredEntry) -> usize {
    const ENVELOPE_BYTES: usize = 300;
    match &record.entry {
        LogEntry::Config(config) => ENVELOPE_BYTES + config.settings.len(),
        LogEntry::JobStarted(start) => ENVELOPE_BYTES + 24 * start.workers.len(),
        _ => ENVELOPE_BYTES,
    }
}

/// A complete snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Offset before which all records are covered; reading continues there.
    pub covers_until: LogOffset,
    /// Unix time of the append of its last chunk.
    pub appended_at: WallTime,
    /// Records that were live at that offset, oldest first.
    pub records: Vec<StoredEntry>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SnapshotKey {
    covers_until: LogOffset,
    writer: String,
}

/// Collects chunks until a snapshot is complete. Chunks may be duplicated and mixed
/// with those of other snapshots.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotCollector {
    partial: BTreeMap<SnapshotKey, BTreeMap<u32, SnapshotChunk>>,
    newest: Option<Snapshot>,
}

impl SnapshotCollector {
    /// Adds a snapshot chunk; ignores any other record.
    pub fn handle_record(&mut self, record: &StoredEntry) {
        if let LogEntry::Snapshot(chunk) = &record.entry {
            self.handle_chunk(chunk.clone(), record.appended_at);
        }
    }

    /// Adds a chunk as `handle_record` does, but without its records. This suffices for
    /// hosts that only need to know when a snapshot was written.
    pub fn observe_record(&mut self, record: &StoredEntry) {
        if let LogEntry::Snapshot(chunk) = &record.entry {
            let header = SnapshotChunk {
                records: Vec::new(),
                writer: chunk.writer.clone(),
                ..*chunk
            };
            self.handle_chunk(header, record.appended_at);
        }
    }

    /// Returns the complete snapshot that covers the most records.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.newest.as_ref()
    }

    /// Converts the collector into the complete snapshot that covers the most records.
    pub fn into_newest(self) -> Option<Snapshot> {
        self.newest
    }

    fn handle_chunk(&mut self, chunk: SnapshotChunk, appended_at: WallTime) {
        let is_newer = |snapshot: &Snapshot| chunk.covers_until > snapshot.covers_until;
        let is_valid = chunk.chunk < chunk.chunks && chunk.chunks <= MAX_CHUNKS;
        if !is_valid || !self.newest.as_ref().is_none_or(is_newer) {
            return;
        }
        let key = SnapshotKey {
            covers_until: chunk.covers_until,
            writer: chunk.writer.clone(),
        };
        let chunks = chunk.chunks;
        let parts = self.partial.entry(key.clone()).or_default();
        parts.retain(|_, part| part.chunks == chunks);
        parts.insert(chunk.chunk, chunk);
        if parts.len() == chunks as usize {
            self.complete(&key, appended_at);
        }
        while self.partial.len() > MAX_PARTIAL_SNAPSHOTS {
            self.partial.pop_first();
        }
    }

    fn complete(&mut self, key: &SnapshotKey, appended_at: WallTime) {
        let parts = self.partial.remove(key).unwrap_or_default();
        let mut records: Vec<StoredEntry> = parts
            .into_values()
            .flat_map(|chunk| chunk.records)
            .collect();
        records.sort_by_key(|record| record.offset);
        self.newest = Some(Snapshot {
            covers_until: key.covers_until,
            appended_at,
            records,
        });
        let covered = key.covers_until;
        self.partial.retain(|other, _| other.covers_until > covered);
    }
}

/// Schedule of writing snapshots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotTimes {
    /// Age of the newest snapshot at which the first host writes another; at most a
    /// quarter of the log's retention.
    pub interval: Duration,
    /// Additional delay of each further host, so that usually only one writes.
    pub fallback_step: Duration,
}

impl SnapshotTimes {
    /// Returns the times for a log that keeps records for `retention`.
    pub fn for_retention(retention: Duration) -> Self {
        const MAX_INTERVAL: Duration = Duration::from_hours(1);
        let interval = (retention / 4).min(MAX_INTERVAL);
        Self {
            interval,
            fallback_step: interval / 8,
        }
    }
}

/// Decides whether this host writes a snapshot now. If several hosts write one, the
/// only cost is the space in the log.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    times: SnapshotTimes,
    observed: SnapshotCollector,
    /// When this host last wrote a snapshot, even if the append failed.
    written_at: Option<MonotonicTime>,
}

impl SnapshotSchedule {
    /// Creates a schedule that has observed no snapshot.
    pub fn new(times: SnapshotTimes) -> Self {
        Self {
            times,
            observed: SnapshotCollector::default(),
            written_at: None,
        }
    }

    /// Handles a record from the log.
    pub fn handle_record(&mut self, record: &StoredEntry) {
        self.observed.observe_record(record);
    }

    /// Handles a snapshot that was restored.
    pub fn handle_restored(&mut self, snapshot: &Snapshot) {
        let is_older = |observed: &Snapshot| observed.covers_until < snapshot.covers_until;
        if self.observed.newest().is_none_or(is_older) {
            self.observed.newest = Some(Snapshot {
                covers_until: snapshot.covers_until,
                appended_at: snapshot.appended_at,
                records: Vec::new(),
            });
        }
    }

    /// Clears the schedule, since no snapshot in the log can be used any more.
    pub fn reset(&mut self) {
        self.observed = SnapshotCollector::default();
        self.written_at = None;
    }

    /// Returns the newest complete snapshot observed, without its records.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.observed.newest()
    }

    /// Returns whether to write a snapshot. `rank` is the number of live hosts before
    /// this one. Must be called only while the host's state is complete and it has read
    /// the log to its tail.
    pub fn is_due(&self, now: MonotonicTime, wall: WallTime, rank: u32) -> bool {
        let wait = self.times.fallback_step.saturating_mul(rank);
        let min_interval = self.times.interval / 2;
        if self
            .written_at
            .is_some_and(|at| now.since(at) < min_interval)
        {
            return false;
        }
        let Some(newest) = self.observed.newest() else {
            return true;
        };
        let age = Duration::from_millis(wall.0.saturating_sub(newest.appended_at.0));
        age >= self.times.interval.saturating_add(wait)
    }

    /// Records that this host writes a snapshot.
    pub fn mark_written(&mut self, now: MonotonicTime) {
        self.written_at = Some(now);
    }
}
