//! Snapshots: live state appended again before retention takes it. A snapshot
//! says what still mattered at one offset; who restores it then reads on from
//! that offset, so that it never brings back what a later record changed. Two
//! hosts may write at once: chunks are told apart by their writer.

use crate::prelude::*;
use crate::process::record::{LogEntry, LogOffset, SnapshotChunk, StoredEntry};

/// Estimated bytes after which a chunk is full; far below the largest record.
const CHUNK_BYTES: usize = 64 * 1_024;
/// Most chunks of a snapshot; a record that names more is ignored.
const CHUNK_LIMIT: u32 = 4_096;
/// Most snapshots that are collected at the same time.
const PARTIAL_LIMIT: usize = 4;

/// Cuts live state into chunks. `entries` are ordered by offset.
pub fn split_snapshot(
    covers_until: LogOffset,
    writer: &str,
    entries: Vec<StoredEntry>,
) -> Vec<SnapshotChunk> {
    let mut parts: Vec<Vec<StoredEntry>> = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        let size = entry_size(&entry);
        if bytes > 0 && bytes + size > CHUNK_BYTES {
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

/// Identifier of a chunk's record.
pub fn chunk_id(chunk: &SnapshotChunk) -> RecordId {
    let SnapshotChunk {
        covers_until,
        writer,
        chunk,
        ..
    } = chunk;
    RecordId::from(format!("snapshot/{}/{writer}/{chunk}", covers_until.0))
}

/// Estimated bytes of a record on the wire, for cutting only.
fn entry_size(record: &StoredEntry) -> usize {
    const ENVELOPE: usize = 300;
    match &record.entry {
        LogEntry::Config(config) => ENVELOPE + config.settings.len(),
        LogEntry::JobStarted(start) => ENVELOPE + 24 * start.workers.len(),
        _ => ENVELOPE,
    }
}

/// A complete snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Offset before which all records are covered; reading goes on there.
    pub covers_until: LogOffset,
    /// Unix time of the append of its last chunk.
    pub appended_at: WallTime,
    /// Records that still mattered, oldest first.
    pub records: Vec<StoredEntry>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SnapshotKey {
    covers_until: LogOffset,
    writer: String,
}

/// Collects chunks until a snapshot is complete. Chunks may come twice and mixed
/// with those of other snapshots.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotCollector {
    partial: BTreeMap<SnapshotKey, BTreeMap<u32, SnapshotChunk>>,
    newest: Option<Snapshot>,
}

impl SnapshotCollector {
    /// Takes a record; any but a snapshot chunk is ignored.
    pub fn handle_record(&mut self, record: &StoredEntry) {
        if let LogEntry::Snapshot(chunk) = &record.entry {
            self.take_chunk(chunk.clone(), record.appended_at);
        }
    }

    /// Takes a record as `handle_record` does, but keeps no more of a chunk than that it
    /// was seen. For hosts that only need to know when a snapshot was written.
    pub fn observe_record(&mut self, record: &StoredEntry) {
        if let LogEntry::Snapshot(chunk) = &record.entry {
            let header = SnapshotChunk {
                records: Vec::new(),
                writer: chunk.writer.clone(),
                ..*chunk
            };
            self.take_chunk(header, record.appended_at);
        }
    }

    /// The complete snapshot that covers most.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.newest.as_ref()
    }

    /// Gives up the complete snapshot that covers most.
    pub fn into_newest(self) -> Option<Snapshot> {
        self.newest
    }

    fn take_chunk(&mut self, chunk: SnapshotChunk, appended_at: WallTime) {
        let is_newer = |snapshot: &Snapshot| chunk.covers_until > snapshot.covers_until;
        let is_sound = chunk.chunk < chunk.chunks && chunk.chunks <= CHUNK_LIMIT;
        if !is_sound || !self.newest.as_ref().is_none_or(is_newer) {
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
        while self.partial.len() > PARTIAL_LIMIT {
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

/// When to write a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotTimes {
    /// Age of the newest snapshot at which the first host writes another; at
    /// most a quarter of the log's retention.
    pub interval: Duration,
    /// Wait of each further host, so that usually one writes.
    pub fallback_step: Duration,
}

impl SnapshotTimes {
    /// Times for a log that keeps records for `retention`.
    pub fn for_retention(retention: Duration) -> Self {
        const LONGEST_INTERVAL: Duration = Duration::from_hours(1);
        let interval = (retention / 4).min(LONGEST_INTERVAL);
        Self {
            interval,
            fallback_step: interval / 8,
        }
    }
}

/// Decides whether this host writes a snapshot now. Several hosts that decide so
/// do no harm beyond the bytes.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    times: SnapshotTimes,
    seen: SnapshotCollector,
    /// When this host last wrote, whatever became of it.
    written_at: Option<MonotonicTime>,
}

impl SnapshotSchedule {
    /// A schedule that has seen no snapshot.
    pub fn new(times: SnapshotTimes) -> Self {
        Self {
            times,
            seen: SnapshotCollector::default(),
            written_at: None,
        }
    }

    /// Takes a followed record.
    pub fn handle_record(&mut self, record: &StoredEntry) {
        self.seen.observe_record(record);
    }

    /// Takes a snapshot that was restored.
    pub fn handle_restored(&mut self, snapshot: &Snapshot) {
        let newer = |seen: &Snapshot| seen.covers_until < snapshot.covers_until;
        if self.seen.newest().is_none_or(newer) {
            self.seen.newest = Some(Snapshot {
                covers_until: snapshot.covers_until,
                appended_at: snapshot.appended_at,
                records: Vec::new(),
            });
        }
    }

    /// Forgets what was seen: no snapshot in the log is of use any more.
    pub fn reset(&mut self) {
        self.seen = SnapshotCollector::default();
        self.written_at = None;
    }

    /// Newest complete snapshot seen, without its records.
    pub fn newest(&self) -> Option<&Snapshot> {
        self.seen.newest()
    }

    /// Whether to write. `rank` counts the live hosts before this one. The caller
    /// asks only while its state is complete and it has read the log to its tail.
    pub fn is_due(&self, now: MonotonicTime, wall: WallTime, rank: u32) -> bool {
        let wait = self.times.fallback_step.saturating_mul(rank);
        let pause = self.times.interval / 2;
        if self.written_at.is_some_and(|at| now.since(at) < pause) {
            return false;
        }
        let Some(newest) = self.seen.newest() else {
            return true;
        };
        let age = Duration::from_millis(wall.0.saturating_sub(newest.appended_at.0));
        age >= self.times.interval.saturating_add(wait)
    }

    /// Notes that this host writes a snapshot.
    pub fn mark_written(&mut self, now: MonotonicTime) {
        self.written_at = Some(now);
    }
}
