//! Reads and writes one log stream over HTTP on loopback, against the stand-in of the
//! platform's log.

use std::fmt::Write as _;
use std::time::Instant;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::job_table::JobTable;
use flamingowalk_core::process::record::{LogEntry, LogOffset, StoredEntry};
use flamingowalk_core::process::snapshot::{SnapshotTimes, chunk_id, split_snapshot};
use flamingowalk_node::border::log::{NewRecord, StoredRecord};
use flamingowalk_node::border::records::{read_record, write_record};
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_node::process::host_clock::HostClock;
use flamingowalk_node::process::host_event::{HostEvent, LogStream};
use flamingowalk_node::process::log_link::LogLink;
use flamingowalk_node::process::log_port::{LogNotice, LogPort};
use flamingowalk_standin::LogStandin;
use tokio::sync::mpsc;

use crate::error::MeasureError;
use crate::recovery::record_size::{job_entries, stored_bytes};

/// Runs of each case; the table shows the median time.
const RUNS_PER_CASE: usize = 5;
/// Running tasks at the scale that the scheduler is planned for.
const PLANNED_TASKS: usize = 2_300;
/// Time limit of one run.
const RUN_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time between two ticks of the log port.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Log stream with its connections and the job table built from its records.
struct StreamRun {
    clock: HostClock,
    port: LogPort,
    link: LogLink,
    event_receiver: mpsc::UnboundedReceiver<HostEvent>,
    table: JobTable,
    applied: usize,
}

impl StreamRun {
    fn new(log: &LogStandin) -> Self {
        let clock = HostClock::start();
        let (events, event_receiver) = mpsc::unbounded_channel();
        let times = SnapshotTimes::for_retention(Duration::from_hours(24));
        let client = HttpClient::default();
        Self {
            clock,
            port: LogPort::new(clock.now(), "host/1".to_owned(), 1, times),
            link: LogLink::new(client, log.address(), LogStream::Jobs, events),
            event_receiver,
            table: JobTable::default(),
            applied: 0,
        }
    }

    /// Processes events until `is_done` returns true, and returns the time taken. Fails after
    /// [`RUN_TIMEOUT`].
    async fn run(&mut self, is_done: impl Fn(&Self) -> bool) -> Result<Duration, MeasureError> {
        let started_at = Instant::now();
        while !is_done(self) {
            if started_at.elapsed() > RUN_TIMEOUT {
                let reason = "a run took more than a minute".to_owned();
                return Err(MeasureError::Standin { reason });
            }
            self.port.tick(self.clock.now());
            self.process_output();
            let event = tokio::time::timeout(MAX_TICK_INTERVAL, self.event_receiver.recv()).await;
            if let Ok(Some(event)) = event {
                self.handle_event(event);
                self.process_output();
            }
        }
        Ok(started_at.elapsed())
    }

    fn handle_event(&mut self, event: HostEvent) {
        let now = self.clock.now();
        match event {
            HostEvent::LogRead { read, result, .. } => {
                self.link.finish_read(read);
                self.port.handle_read(now, read, result);
            }
            HostEvent::LogAppended { append, result, .. } => {
                self.port.handle_append(now, append, result);
            }
            _ => {}
        }
    }

    fn process_output(&mut self) {
        for request in self.port.take_requests() {
            self.link.send(request);
        }
        for notice in self.port.take_notices() {
            match notice {
                LogNotice::Record(record) => {
                    self.applied += 1;
                    self.table.apply(&record);
                }
                LogNotice::Restored(snapshot) => {
                    self.table.restore(&snapshot.records);
                }
                _ => {}
            }
        }
    }

    fn is_caught_up(&self) -> bool {
        self.port.caught_up_at().is_some()
    }
}

async fn start_log() -> Result<LogStandin, MeasureError> {
    let log = LogStandin::start().await;
    log.map_err(|error| MeasureError::Standin {
        reason: error.to_string(),
    })
}

fn records_of(entries: impl Iterator<Item = LogEntry>) -> Vec<NewRecord> {
    let numbered = entries.zip(0..);
    numbered
        .map(|(entry, index)| write_record(&RecordId::from(format!("other/1/{index}")), &entry))
        .collect()
}

/// Returns acceptance and start records of jobs that are still open. A job's acceptance time
/// must be close to the clock of the log, so it is the current time.
fn live_entries(jobs: usize, members: usize) -> Vec<LogEntry> {
    let mut entries: Vec<LogEntry> = (0..jobs)
        .flat_map(|number| job_entries(number, members, false).into_iter().take(2))
        .collect();
    for entry in &mut entries {
        if let LogEntry::JobAccepted(accepted) = entry {
            accepted.accepted_at = HostClock::wall_time();
        }
    }
    entries
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Returns the table of the time and rate at which a starting host reads a stream.
///
/// # Errors
/// Returns a [`MeasureError`] if the stand-in does not run.
pub async fn catch_up_table() -> Result<String, MeasureError> {
    let mut text = String::from(
        "| records read by a host that starts | MB | ms | records/s | MB/s |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for jobs in [1_000, 5_000, 20_000] {
        let entries = live_entries(jobs, 1);
        let bytes: usize = entries.iter().map(stored_bytes).sum();
        let records = entries.len();
        let log = start_log().await?;
        log.append(&LogStream::Jobs.name(), records_of(entries.into_iter()));
        let mut times = Vec::new();
        for _ in 0..RUNS_PER_CASE {
            let mut run = StreamRun::new(&log);
            times.push(run.run(StreamRun::is_caught_up).await?);
            assert_eq!(run.applied, records, "every record is read once");
        }
        let secs = median(times).as_secs_f64();
        let megabytes = bytes as f64 / 1e6;
        let _ = writeln!(
            text,
            "| {records} | {megabytes:.1} | {:.0} | {:.0} | {:.1} |",
            secs * 1e3,
            records as f64 / secs,
            megabytes / secs
        );
    }
    Ok(text)
}

/// Returns the table of the time to restore a snapshot at the planned scale from a long log.
///
/// # Errors
/// Returns a [`MeasureError`] if the stand-in does not run.
pub async fn snapshot_table() -> Result<String, MeasureError> {
    let mut text = String::from(
        "| state in the snapshot | chunks | KB | records before it | ms to restore |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for (jobs, members, older) in [
        (PLANNED_TASKS, 1, 1),
        (PLANNED_TASKS, 1, 20_000),
        (PLANNED_TASKS / 4, 4, 20_000),
    ] {
        let log = start_log().await?;
        let stream = LogStream::Jobs.name();
        let entries = live_entries(jobs, members);
        log.append(&stream, records_of(live_entries(older, 1).into_iter()));
        let live: Vec<StoredEntry> = with_offsets(entries);
        let covers = LogOffset(log.records(&stream).len() as u64);
        let mut bytes = 0;
        let chunks = split_snapshot(covers, "other/1", live);
        for chunk in &chunks {
            let entry = LogEntry::Snapshot(chunk.clone());
            bytes += stored_bytes(&entry);
            log.append(&stream, vec![write_record(&chunk_id(chunk), &entry)]);
        }
        // Retention has removed the first record, so a reader needs the snapshot.
        let retained = log.records(&stream).len();
        log.append(&stream, records_of(live_entries(1, 1).into_iter()));
        log.set_retention(retained);
        let mut times = Vec::new();
        for _ in 0..RUNS_PER_CASE {
            let mut run = StreamRun::new(&log);
            times.push(run.run(StreamRun::is_caught_up).await?);
            assert!(
                run.table.open_jobs().count() >= jobs,
                "every job is restored"
            );
        }
        let millis = median(times).as_secs_f64() * 1e3;
        let _ = writeln!(
            text,
            "| {jobs} jobs of {members} running tasks | {} | {} | {} | {millis:.0} |",
            chunks.len(),
            bytes / 1_000,
            older * 2
        );
    }
    Ok(text)
}

fn with_offsets(entries: Vec<LogEntry>) -> Vec<StoredEntry> {
    let placed = entries.into_iter().zip(0..);
    placed
        .map(|(entry, index)| StoredEntry {
            offset: LogOffset(index),
            id: RecordId::from(format!("earlier/1/{index}")),
            appended_at: HostClock::wall_time(),
            entry,
        })
        .collect()
}

/// Returns the table of appends and of the time for a burst of acceptances, until all of
/// them have been read back.
///
/// # Errors
/// Returns a [`MeasureError`] if the stand-in does not run.
pub async fn burst_table() -> Result<String, MeasureError> {
    let mut text = String::from(
        "| acceptances submitted at once | appends | ms until all are read back |\n\
         | --- | --- | --- |\n",
    );
    for jobs in [1, 100, 2_000] {
        let log = start_log().await?;
        let mut run = StreamRun::new(&log);
        // Waits until the host has caught up and its read is blocked at the tail of the log.
        let waited = MonotonicTime::from_millis(1_300);
        run.run(|run| run.clock.now() > waited).await?;
        let now = run.clock.now();
        for entry in live_entries(jobs, 1).into_iter().step_by(2) {
            let submitted = run.port.submit(now, entry, Some(RUN_TIMEOUT));
            submitted.map_err(|error| MeasureError::Standin {
                reason: error.to_string(),
            })?;
        }
        let time = run.run(|run| run.table.jobs().count() == jobs).await?;
        let _ = writeln!(
            text,
            "| {jobs} | {} | {:.0} |",
            log.append_count(),
            time.as_secs_f64() * 1e3
        );
    }
    Ok(text)
}

/// Returns the table of the resident memory of a job table by its number of jobs.
pub fn memory_table() -> String {
    let mut text = String::from(
        "| jobs in the table | KB of added memory | bytes per job |\n| --- | --- | --- |\n",
    );
    // Retained until the end, so that no case reuses memory that an earlier one freed.
    let mut retained = Vec::new();
    for (jobs, members) in [(20_000, 1), (20_000, 4)] {
        let records = records_of(live_entries(jobs, members).into_iter());
        let before = resident_bytes();
        let mut table = JobTable::default();
        for (record, offset) in records.iter().zip(0..) {
            table.apply(&read_record(StoredRecord {
                offset,
                appended_at_ms: HostClock::wall_time().0,
                record: record.clone(),
            }));
        }
        let growth = resident_bytes().saturating_sub(before);
        let open = table.open_jobs().count();
        let _ = writeln!(
            text,
            "| {open} of {members} running tasks | {} | {} |",
            growth / 1_024,
            growth / jobs as u64
        );
        retained.push((records, table));
    }
    text
}

/// Returns the resident bytes of this process; zero if the system does not report them.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
