//! The log port of a stream against a small fake log, on a virtual clock: its requests, its
//! notices to the event loop, and the encoding of records.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{ElectionRecord, VoterIdentity, VoterSetOffset};
use flamingowalk_core::process::log_appender::{AppendError, AppendId};
use flamingowalk_core::process::log_follower::{ReadError, ReadId};
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_core::process::record::{
    AcceptedEntry, CancelledEntry, ConfigEntry, ElectionEntry, EndedEntry, LogEntry, LogOffset,
    LostEntry, MovedEntry, SnapshotChunk, StartedEntry, StoredEntry,
};
use flamingowalk_core::process::snapshot::SnapshotTimes;
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_node::border::log::{AppendedRange, LogPage, NewRecord, StoredRecord};
use flamingowalk_node::border::records::{read_record, write_record};
use flamingowalk_node::process::log_port::{LogNotice, LogPort, LogRequest};
use rstest::rstest;

const TICK: Duration = Duration::from_millis(100);
const DAY: Duration = Duration::from_hours(24);

fn cancelled(job: &str) -> LogEntry {
    LogEntry::JobCancelled(CancelledEntry {
        job: job.into(),
        requested_at: WallTime(5),
    })
}

/// The fake log, one port, and the requests and notices of the port.
struct Bench {
    now: MonotonicTime,
    port: LogPort,
    records: Vec<StoredRecord>,
    first: u64,
    reads: Vec<(ReadId, u64, u32)>,
    appends: Vec<(AppendId, Vec<NewRecord>)>,
    notices: Vec<LogNotice>,
}

impl Bench {
    fn new() -> Self {
        let now = MonotonicTime::from_secs(1);
        let times = SnapshotTimes::for_retention(DAY);
        Self {
            now,
            port: LogPort::new(now, "h/1".to_owned(), 1, times),
            records: Vec::new(),
            first: 0,
            reads: Vec::new(),
            appends: Vec::new(),
            notices: Vec::new(),
        }
    }

    fn fill(&mut self, count: usize) {
        for index in 0..count {
            let id = RecordId::from(format!("other/{index}"));
            self.write(vec![write_record(&id, &cancelled("j"))]);
        }
    }

    fn write(&mut self, records: Vec<NewRecord>) -> AppendedRange {
        let first_offset = self.records.len() as u64;
        for record in records {
            let offset = self.records.len() as u64;
            self.records.push(StoredRecord {
                offset,
                appended_at_ms: 1_000 + offset,
                record,
            });
        }
        AppendedRange {
            first_offset,
            next_offset: self.records.len() as u64,
        }
    }

    fn page(&self, from: u64, limit: u32) -> LogPage {
        let start = from.max(self.first);
        let records = self.records.iter().skip(start as usize);
        let records: Vec<StoredRecord> = records.take(limit as usize).cloned().collect();
        LogPage {
            first_offset: self.first,
            next_offset: start + records.len() as u64,
            tail_offset: self.records.len() as u64,
            records,
        }
    }

    fn collect(&mut self) {
        for request in self.port.take_requests() {
            match request {
                LogRequest::Read {
                    read, from, limit, ..
                } => self.reads.push((read, from.0, limit)),
                LogRequest::AbandonRead { read } => self.reads.retain(|open| open.0 != read),
                LogRequest::Append { append, records } => self.appends.push((append, records)),
            }
        }
        self.notices.extend(self.port.take_notices());
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.port.tick(self.now);
        self.collect();
    }

    fn respond_to_reads(&mut self) {
        for (read, from, limit) in std::mem::take(&mut self.reads) {
            let page = self.page(from, limit);
            self.port.handle_read(self.now, read, Ok(page));
            self.collect();
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
            self.respond_to_reads();
        }
    }

    /// Applies the next append to the log and reports `result` for it.
    fn append(&mut self, result: Option<AppendError>) {
        while self.appends.is_empty() {
            self.tick();
        }
        let (append, records) = self.appends.remove(0);
        let range = self.write(records);
        let result = result.map_or(Ok(range), Err);
        self.port.handle_append(self.now, append, result);
        self.collect();
    }

    fn submit(&mut self, timeout: Option<Duration>) -> RecordId {
        let submitted = self.port.submit(self.now, cancelled("j"), timeout);
        submitted.expect("space in the queue")
    }

    fn count_read(&self, id: &RecordId) -> usize {
        let is_own = |notice: &&LogNotice| matches!(notice, LogNotice::Record(r) if &r.id == id);
        self.notices.iter().filter(is_own).count()
    }

    fn last_caught_up(&self) -> Option<MonotonicTime> {
        self.notices.iter().rev().find_map(|notice| match notice {
            LogNotice::CaughtUp { sent_at } => Some(*sent_at),
            _ => None,
        })
    }
}

#[test]
fn port_record_read_back() {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(1));
    let id = bench.submit(None);
    bench.append(None);
    bench.run(Duration::from_secs(2));
    assert_eq!(bench.count_read(&id), 1);
    assert_eq!(bench.port.open_records(), 0);
}

/// The response is lost after the append has taken effect: the record is resolved by
/// reading and not written twice.
#[test]
fn port_append_response_lost() {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(1));
    let id = bench.submit(Some(Duration::from_secs(5)));
    bench.append(Some(AppendError::Unknown));
    bench.run(Duration::from_secs(10));
    assert_eq!(bench.count_read(&id), 1);
    assert_eq!((bench.appends.len(), bench.records.len()), (0, 1));
    let is_reported = |notice: &LogNotice| {
        matches!(
            notice,
            LogNotice::Unresolved { .. } | LogNotice::NotWritten { .. }
        )
    };
    assert!(!bench.notices.iter().any(is_reported));
}

#[rstest]
#[case::not_sent(AppendError::NotSent, true)]
#[case::refused(AppendError::Refused("malformed".to_owned()), true)]
#[case::unknown(AppendError::Unknown, false)]
fn port_log_down(#[case] error: AppendError, #[case] is_definite: bool) {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(1));
    let id = bench.submit(Some(Duration::from_secs(5)));
    for _ in 0..80 {
        bench.tick();
        for (read, ..) in std::mem::take(&mut bench.reads) {
            bench
                .port
                .handle_read(bench.now, read, Err(ReadError::Unavailable));
        }
        for (append, _) in std::mem::take(&mut bench.appends) {
            bench
                .port
                .handle_append(bench.now, append, Err(error.clone()));
        }
        bench.collect();
    }
    let not_written =
        |n: &&LogNotice| matches!(n, LogNotice::NotWritten { id: other, .. } if *other == id);
    let unresolved =
        |n: &&LogNotice| matches!(n, LogNotice::Unresolved { id: other } if *other == id);
    assert_eq!(
        bench.notices.iter().filter(not_written).count(),
        usize::from(is_definite)
    );
    assert_eq!(
        bench.notices.iter().filter(unresolved).count(),
        usize::from(!is_definite)
    );
}

/// The port is caught up as of the time when a read was sent, however late its response.
#[test]
fn port_caught_up_from_request() {
    let mut bench = Bench::new();
    bench.fill(3);
    bench.run(Duration::from_secs(1));
    while bench.reads.is_empty() {
        bench.tick();
    }
    let sent = bench.now;
    (0..15).for_each(|_| bench.tick());
    bench.respond_to_reads();
    assert_eq!(bench.last_caught_up(), Some(sent));
}

/// A host whose read offset has been truncated restores the snapshot of another host.
#[test]
fn port_truncated_restores_snapshot() {
    let mut writer = Bench::new();
    writer.fill(30);
    writer.run(Duration::from_secs(2));
    assert!(writer.port.is_snapshot_due(writer.now, WallTime(2_000), 0));
    let entry = |(offset, job): (u64, &str)| StoredEntry {
        offset: LogOffset(offset),
        id: RecordId::from(job),
        appended_at: WallTime(7),
        entry: cancelled(job),
    };
    let live: Vec<StoredEntry> = [(3, "a"), (9, "b")].into_iter().map(entry).collect();
    writer.port.write_snapshot(writer.now, live.clone());
    writer.append(None);
    writer.run(Duration::from_secs(1));
    assert!(!writer.port.is_snapshot_due(writer.now, WallTime(2_000), 0));

    let mut reader = Bench::new();
    reader.records = writer.records[..20].to_vec();
    reader.run(Duration::from_secs(2));
    reader.records = writer.records;
    reader.first = 25;
    reader.run(Duration::from_secs(3));
    let kinds: Vec<&LogNotice> = reader
        .notices
        .iter()
        .filter(|notice| matches!(notice, LogNotice::Truncated { .. } | LogNotice::Restored(_)))
        .collect();
    let [
        LogNotice::Truncated {
            first: LogOffset(25),
        },
        LogNotice::Restored(snapshot),
    ] = kinds[..]
    else {
        panic!("truncated, then restored: {kinds:?}");
    };
    assert_eq!(
        (snapshot.covers_until, &snapshot.records),
        (LogOffset(30), &live)
    );
    assert!(reader.port.caught_up_at().is_some());
}

/// A stream without records needs no snapshot.
#[test]
fn port_empty_stream_no_snapshot() {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(2));
    assert!(bench.port.caught_up_at().is_some());
    assert!(!bench.port.is_snapshot_due(bench.now, WallTime(u64::MAX), 0));
}

fn voter() -> VoterIdentity {
    VoterIdentity {
        host: "h".into(),
        incarnation: 3,
        address: "127.0.0.1:7001".parse().expect("an address"),
    }
}

fn election_entry(record: ElectionRecord) -> LogEntry {
    LogEntry::Election(ElectionEntry {
        zone: "a".into(),
        record,
    })
}

fn stored(offset: u64, entry: LogEntry) -> StoredEntry {
    StoredEntry {
        offset: LogOffset(offset),
        id: RecordId::from(format!("id{offset}")),
        appended_at: WallTime(70 + offset),
        entry,
    }
}

fn all_entries() -> Vec<LogEntry> {
    let accepted = AcceptedEntry {
        job: "j".into(),
        customer: "c".into(),
        class: "k".into(),
        zone: "a".into(),
        config: ConfigVersion(3),
        accepted_at: WallTime(9),
        start_before: Some(WallTime(99)),
    };
    let ended = |ending| {
        LogEntry::JobEnded(EndedEntry {
            job: "j".into(),
            ending,
            term: LeaderTerm(4),
            ended_at: WallTime(8),
        })
    };
    vec![
        LogEntry::Config(ConfigEntry {
            base: ConfigVersion(2),
            content_hash: "f00".to_owned(),
            settings: Arc::from("[policy]\n"),
            publisher: "p".to_owned(),
        }),
        LogEntry::JobAccepted(accepted.clone()),
        LogEntry::JobAccepted(AcceptedEntry {
            start_before: None,
            ..accepted
        }),
        cancelled("j"),
        LogEntry::JobStarted(StartedEntry {
            job: "j".into(),
            attempt: 2,
            term: LeaderTerm(4),
            zone: "a".into(),
            workers: vec!["w1".into(), "w2".into()],
            started_at: WallTime(6),
        }),
        ended(JobEnding::Finished),
        ended(JobEnding::Failed("no memory".to_owned())),
        ended(JobEnding::Cancelled),
        ended(JobEnding::Refused("too large".to_owned())),
        LogEntry::JobMoved(MovedEntry {
            job: "j".into(),
            from: "a".into(),
            to: "b".into(),
            term: LeaderTerm(4),
        }),
        LogEntry::ZoneLost(LostEntry {
            zone: "a".into(),
            operator: "o".to_owned(),
            declared_at: WallTime(1),
        }),
        election_entry(ElectionRecord::Claim {
            base_term: LeaderTerm(1),
            holder: voter(),
            voters: vec![voter()],
        }),
        election_entry(ElectionRecord::Active {
            term: LeaderTerm(2),
        }),
        election_entry(ElectionRecord::VoterSet {
            term: LeaderTerm(2),
            base_voter_set: VoterSetOffset(1),
            voters: vec![voter()],
        }),
        election_entry(ElectionRecord::Resign {
            term: LeaderTerm(2),
            successor: Some("h2".into()),
        }),
    ]
}

/// Every kind of record, alone and within a snapshot, is decoded as it was written.
#[test]
fn record_round_trip() {
    let records: Vec<StoredEntry> = (0..)
        .zip(all_entries())
        .map(|(o, e)| stored(o, e))
        .collect();
    let chunk = LogEntry::Snapshot(SnapshotChunk {
        covers_until: LogOffset(40),
        writer: "h/1".to_owned(),
        chunk: 0,
        chunks: 1,
        records: records.clone(),
    });
    for record in records.into_iter().chain([stored(50, chunk)]) {
        let read = read_record(StoredRecord {
            offset: record.offset.0,
            appended_at_ms: record.appended_at.0,
            record: write_record(&record.id, &record.entry),
        });
        assert_eq!(read, record);
    }
}

#[rstest]
#[case::kind("job-promoted", 1, r#"{"job_id":"j"}"#)]
#[case::schema("job-cancelled", 2, r#"{"job_id":"j","requested_at_ms":1}"#)]
#[case::body("job-cancelled", 1, r#"{"job":"j"}"#)]
#[case::no_object("config", 1, "7")]
#[case::election(
    "seat-claim",
    1,
    r#"{"zone":"a","base_term":0,"claimed_at_ms":1,
    "holder":{"host":"h","incarnation":1,"address":"nowhere"}}"#
)]
#[case::chunk(
    "snapshot",
    1,
    r#"{"covers_until":1,"chunk":0,"chunks":1,"records":[{"offset":"x"}]}"#
)]
fn record_unreadable(#[case] kind: &str, #[case] schema: u32, #[case] body: &str) {
    let read = read_record(StoredRecord {
        offset: 4,
        appended_at_ms: 1,
        record: NewRecord {
            id: "id".to_owned(),
            kind: kind.to_owned(),
            schema,
            body: serde_json::from_str(body).expect("JSON"),
        },
    });
    let kind = kind.to_owned();
    assert_eq!(read.entry, LogEntry::Unreadable { kind });
}

/// A newer release may add fields; they are ignored.
#[test]
fn record_unknown_field() {
    let body = r#"{"job_id":"j","requested_at_ms":5,"added_later":true}"#;
    let read = read_record(StoredRecord {
        offset: 4,
        appended_at_ms: 1,
        record: NewRecord {
            id: "id".to_owned(),
            kind: "job-cancelled".to_owned(),
            schema: 1,
            body: serde_json::from_str(body).expect("JSON"),
        },
    });
    assert_eq!(read.entry, cancelled("j"));
}
