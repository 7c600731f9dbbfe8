//! Encoding of the bodies of log records, schema version 1. A record of an unknown kind
//! or schema or with a malformed body is decoded as [`LogEntry::Unreadable`], which has no
//! effect.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::{
    AcceptedEntry, CancelledEntry, ConfigEntry, EndedEntry, LogEntry, LogOffset, LostEntry,
    MovedEntry, SnapshotChunk, StartedEntry, StoredEntry,
};
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_wire::records as wire;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::border::election::{read_election_record, write_election_record};
use crate::border::log::{NewRecord, StoredRecord};

/// Schema version of the record bodies that this process writes and reads.
const RECORD_SCHEMA: u32 = 1;

/// Decodes a stored record.
pub fn read_record(stored: StoredRecord) -> StoredEntry {
    StoredEntry {
        offset: LogOffset(stored.offset),
        id: RecordId::from(stored.record.id.as_str()),
        appended_at: WallTime(stored.appended_at_ms),
        entry: read_entry(stored),
    }
}

/// Encodes `entry` as a record with the identifier `id`.
pub fn write_record(id: &RecordId, entry: &LogEntry) -> NewRecord {
    let (kind, body) = write_entry(entry);
    NewRecord {
        id: id.to_string(),
        kind: kind.to_owned(),
        schema: RECORD_SCHEMA,
        body,
    }
}

fn read_entry(stored: StoredRecord) -> LogEntry {
    let kind = stored.record.kind.clone();
    if stored.record.schema != RECORD_SCHEMA {
        return LogEntry::Unreadable { kind };
    }
    read_body(stored).unwrap_or(LogEntry::Unreadable { kind })
}

fn read_body(stored: StoredRecord) -> Option<LogEntry> {
    if let Some(entry) = read_election_record(&stored) {
        return Some(LogEntry::Election(entry));
    }
    let body = stored.record.body;
    Some(match stored.record.kind.as_str() {
        "config" => LogEntry::Config(read_config(parse(body)?)),
        "job-accepted" => LogEntry::JobAccepted(read_accepted(parse(body)?)),
        "job-cancelled" => LogEntry::JobCancelled(read_cancelled(parse(body)?)),
        "job-started" => LogEntry::JobStarted(read_started(parse(body)?)),
        "job-ended" => LogEntry::JobEnded(read_ended(parse(body)?)),
        "job-moved" => LogEntry::JobMoved(read_moved(parse(body)?)),
        "zone-lost" => LogEntry::ZoneLost(read_lost(parse(body)?)),
        "snapshot" => LogEntry::Snapshot(read_chunk(parse(body)?)?),
        _ => return None,
    })
}

fn parse<T: DeserializeOwned>(body: serde_json::Value) -> Option<T> {
    serde_json::from_value(body).ok()
}

fn read_config(body: wire::ConfigRecord) -> ConfigEntry {
    ConfigEntry {
        base: ConfigVersion(body.base_version),
        content_hash: body.content_hash,
        settings: Arc::from(body.settings),
        publisher: body.publisher,
    }
}

fn read_accepted(body: wire::JobAccepted) -> AcceptedEntry {
    AcceptedEntry {
        job: body.job_id.into(),
        customer: body.customer.into(),
        class: body.class.into(),
        zone: body.zone.into(),
        config: ConfigVersion(body.config_version),
        accepted_at: WallTime(body.accepted_at_ms),
        start_before: body.start_before_ms.map(WallTime),
    }
}

fn read_cancelled(body: wire::JobCancelled) -> CancelledEntry {
    CancelledEntry {
        job: body.job_id.into(),
        requested_at: WallTime(body.requested_at_ms),
    }
}

fn read_started(body: wire::JobStarted) -> StartedEntry {
    StartedEntry {
        job: body.job_id.into(),
        attempt: body.attempt,
        term: LeaderTerm(body.term),
        zone: body.zone.into(),
        workers: body.workers.into_iter().map(Into::into).collect(),
        started_at: WallTime(body.started_at_ms),
    }
}

fn read_ended(body: wire::JobEnded) -> EndedEntry {
    let ending = match body.ending {
        wire::EndingKind::Finished => JobEnding::Finished,
        wire::EndingKind::Failed => JobEnding::Failed(body.reason),
        wire::EndingKind::Cancelled => JobEnding::Cancelled,
        wire::EndingKind::Refused => JobEnding::Refused(body.reason),
    };
    EndedEntry {
        job: body.job_id.into(),
        ending,
        term: LeaderTerm(body.term),
        ended_at: WallTime(body.ended_at_ms),
    }
}

fn read_moved(body: wire::JobMoved) -> MovedEntry {
    MovedEntry {
        job: body.job_id.into(),
        from: body.from_zone.into(),
        to: body.to_zone.into(),
        term: LeaderTerm(body.term),
    }
}

fn read_lost(body: wire::ZoneLost) -> LostEntry {
    LostEntry {
        zone: body.zone.into(),
        operator: body.operator,
        declared_at: WallTime(body.declared_at_ms),
    }
}

/// Decodes a chunk of a snapshot; returns `None` if any of its records is malformed.
fn read_chunk(body: wire::SnapshotChunk) -> Option<SnapshotChunk> {
    let records = body.records.into_iter().map(parse::<StoredRecord>);
    let records: Option<Vec<StoredRecord>> = records.collect();
    Some(SnapshotChunk {
        covers_until: LogOffset(body.covers_until),
        writer: body.writer.unwrap_or_default(),
        chunk: body.chunk,
        chunks: body.chunks,
        records: records?.into_iter().map(read_record).collect(),
    })
}

fn write_entry(entry: &LogEntry) -> (&str, serde_json::Value) {
    match entry {
        LogEntry::Config(entry) => ("config", to_value(&write_config(entry))),
        LogEntry::JobAccepted(entry) => ("job-accepted", to_value(&write_accepted(entry))),
        LogEntry::JobCancelled(entry) => ("job-cancelled", to_value(&write_cancelled(entry))),
        LogEntry::JobStarted(entry) => ("job-started", to_value(&write_started(entry))),
        LogEntry::JobEnded(entry) => ("job-ended", to_value(&write_ended(entry))),
        LogEntry::JobMoved(entry) => ("job-moved", to_value(&write_moved(entry))),
        LogEntry::ZoneLost(entry) => ("zone-lost", to_value(&write_lost(entry))),
        LogEntry::Election(entry) => write_election_record(entry),
        LogEntry::Snapshot(chunk) => ("snapshot", to_value(&write_chunk(chunk))),
        LogEntry::Unreadable { kind } => (kind, serde_json::Value::Null),
    }
}

fn to_value<T: Serialize>(body: &T) -> serde_json::Value {
    serde_json::to_value(body).unwrap_or_default()
}

fn write_config(entry: &ConfigEntry) -> wire::ConfigRecord {
    wire::ConfigRecord {
        base_version: entry.base.0,
        content_hash: entry.content_hash.clone(),
        settings: entry.settings.to_string(),
        publisher: entry.publisher.clone(),
    }
}

fn write_accepted(entry: &AcceptedEntry) -> wire::JobAccepted {
    wire::JobAccepted {
        job_id: entry.job.to_string(),
        customer: entry.customer.to_string(),
        class: entry.class.to_string(),
        zone: entry.zone.to_string(),
        config_version: entry.config.0,
        accepted_at_ms: entry.accepted_at.0,
        start_before_ms: entry.start_before.map(|at| at.0),
    }
}

fn write_cancelled(entry: &CancelledEntry) -> wire::JobCancelled {
    wire::JobCancelled {
        job_id: entry.job.to_string(),
        requested_at_ms: entry.requested_at.0,
    }
}

fn write_started(entry: &StartedEntry) -> wire::JobStarted {
    wire::JobStarted {
        job_id: entry.job.to_string(),
        attempt: entry.attempt,
        term: entry.term.0,
        zone: entry.zone.to_string(),
        workers: entry.workers.iter().map(WorkerName::to_string).collect(),
        started_at_ms: entry.started_at.0,
    }
}

fn write_ended(entry: &EndedEntry) -> wire::JobEnded {
    let (ending, reason) = match &entry.ending {
        JobEnding::Finished => (wire::EndingKind::Finished, String::new()),
        JobEnding::Failed(reason) => (wire::EndingKind::Failed, reason.clone()),
        JobEnding::Cancelled => (wire::EndingKind::Cancelled, String::new()),
        JobEnding::Refused(reason) => (wire::EndingKind::Refused, reason.clone()),
    };
    wire::JobEnded {
        job_id: entry.job.to_string(),
        ending,
        reason,
        term: entry.term.0,
        ended_at_ms: entry.ended_at.0,
    }
}

fn write_moved(entry: &MovedEntry) -> wire::JobMoved {
    wire::JobMoved {
        job_id: entry.job.to_string(),
        from_zone: entry.from.to_string(),
        to_zone: entry.to.to_string(),
        term: entry.term.0,
    }
}

fn write_lost(entry: &LostEntry) -> wire::ZoneLost {
    wire::ZoneLost {
        zone: entry.zone.to_string(),
        operator: entry.operator.clone(),
        declared_at_ms: entry.declared_at.0,
    }
}

fn write_chunk(chunk: &SnapshotChunk) -> wire::SnapshotChunk {
    let records = chunk.records.iter().map(|record| {
        to_value(&StoredRecord {
            offset: record.offset.0,
            appended_at_ms: record.appended_at.0,
            record: write_record(&record.id, &record.entry),
        })
    });
    wire::SnapshotChunk {
        covers_until: chunk.covers_until.0,
        writer: Some(chunk.writer.clone()),
        chunk: chunk.chunk,
        chunks: chunk.chunks,
        records: records.collect(),
    }
}
