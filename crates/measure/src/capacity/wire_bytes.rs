//! Serialized size of the records and messages that grow with a parameter.

use flamingowalk_core::version::content_hash;
use flamingowalk_wire::log::{LogRecord, StoredRecord};
use flamingowalk_wire::peer::{PeerHeartbeat, PeerMessage, ZoneDigest};
use flamingowalk_wire::records::{ConfigRecord, EndingKind, JobAccepted, JobEnded, JobStarted};
use serde::Serialize;

use super::MeasuredSlope;
use super::reference_folder::reference_folder;
use super::slope::SlopeFit;
use crate::plot::PlotPoint;

/// Customers in the configuration records.
const CUSTOMERS: [u32; 4] = [10, 29, 58, 116];
/// Tasks of the gangs in the job records.
const GANGS: [u32; 4] = [1, 8, 16, 32];
/// Draining workers in the peer heartbeats.
const DRAINING: [u32; 4] = [0, 4, 16, 64];
/// Unix time in milliseconds with as many digits as real ones.
const UNIX_TIME_MS: u64 = 1_790_000_000_000;

/// Measures all slopes of the records and messages.
pub(super) fn measure() -> Vec<MeasuredSlope> {
    vec![
        slope(
            "configuration record",
            "customers",
            "config-bytes",
            &CUSTOMERS,
            config_bytes,
        ),
        slope(
            "records of one job",
            "tasks of the gang",
            "job-bytes",
            &GANGS,
            job_bytes,
        ),
        slope(
            "peer heartbeat",
            "draining workers",
            "heartbeat-bytes",
            &DRAINING,
            heartbeat_bytes,
        ),
    ]
}

fn slope(
    name: &'static str,
    size: &'static str,
    file: &'static str,
    sizes: &[u32],
    bytes: fn(u32) -> usize,
) -> MeasuredSlope {
    let points = sizes.iter().map(|size| PlotPoint {
        x: f64::from(*size),
        y: bytes(*size) as f64,
    });
    MeasuredSlope {
        name,
        size,
        unit: "bytes",
        file,
        fit: SlopeFit::of(points.collect()),
    }
}

/// Returns the size in bytes of a record as a reader of the log receives it.
fn stored_bytes<T: Serialize>(id: String, kind: &str, body: &T) -> usize {
    let record = StoredRecord {
        offset: 1_000_000,
        appended_at_ms: UNIX_TIME_MS,
        record: LogRecord {
            id,
            kind: kind.into(),
            schema: 1,
            body: serde_json::to_value(body).expect("border types serialise"),
        },
    };
    serde_json::to_vec(&record)
        .expect("border types serialise")
        .len()
}

fn config_bytes(customers: u32) -> usize {
    let settings = reference_folder(40, customers).merged.to_string();
    let content_hash = content_hash(&settings);
    let id = format!("config/1000000/{content_hash}");
    let record = ConfigRecord {
        base_version: 1_000_000,
        content_hash,
        publisher: "operator".into(),
        settings,
    };
    stored_bytes(id, "config", &record)
}

fn job_bytes(tasks: u32) -> usize {
    let job_id = "team-057-night-training-0123";
    let zone = "region-3-zone-b";
    let accepted = JobAccepted {
        accepted_at_ms: UNIX_TIME_MS,
        class: "night-training".into(),
        config_version: 1_000_000,
        customer: "team-057".into(),
        job_id: job_id.into(),
        start_before_ms: None,
        zone: zone.into(),
    };
    let workers = (0..tasks).map(|number| format!("{zone}-r4-w{number:02}"));
    let started = JobStarted {
        attempt: 1,
        job_id: job_id.into(),
        started_at_ms: UNIX_TIME_MS,
        term: 1_000_000,
        workers: workers.collect(),
        zone: zone.into(),
    };
    let ended = JobEnded {
        ended_at_ms: UNIX_TIME_MS,
        ending: EndingKind::Finished,
        job_id: job_id.into(),
        reason: String::new(),
        term: 1_000_000,
    };
    stored_bytes(format!("accepted/{job_id}"), "job-accepted", &accepted)
        + stored_bytes(format!("started/{job_id}/1"), "job-started", &started)
        + stored_bytes(format!("ended/{job_id}"), "job-ended", &ended)
}

fn heartbeat_bytes(draining: u32) -> usize {
    let names =
        (0..draining).map(|number| format!("region-3-zone-b-r4-w{number:02}/{UNIX_TIME_MS}"));
    let digest = ZoneDigest {
        config_version: 1_000_000,
        draining: false,
        host: "region-3-zone-b-entry1".into(),
        leaving: names.collect(),
        queued_jobs: 1_000,
        seat_term: 1_000_000,
        zone: "region-3-zone-b".into(),
    };
    let message = PeerMessage::PeerHeartbeat(PeerHeartbeat {
        digest: Some(digest),
        sequence: 1_000_000,
    });
    let mut bytes = Vec::new();
    ciborium::into_writer(&message, &mut bytes).expect("memory takes any message");
    bytes.len()
}
