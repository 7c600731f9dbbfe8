//! Drives the ports of the log streams and handles the notices that they report.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_table::{ConfigChange, ConfigRejection};
use flamingowalk_core::process::election::ElectionEvent;
use flamingowalk_core::process::job_table::{JobChange, RejectionReason};
use flamingowalk_core::process::log_appender::SubmitError;
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::PlannerEvent;
use flamingowalk_core::process::record::{LogEntry, StoredEntry};
use flamingowalk_core::process::snapshot::Snapshot;
use metrics::{counter, gauge};

use crate::process::counters::{CONFIG_VERSION, OPEN_JOBS, RECORDS_SKIPPED};
use crate::process::host_clock::HostClock;
use crate::process::host_event::LogStream;
use crate::process::host_state::HostState;
use crate::process::job_handler::accepted_job;
use crate::process::log_port::{LogNotice, LogPort};
use crate::process::planner_events::handle_planner_event;

/// Advances the time of every stream, and writes the snapshots that are due.
pub fn tick_streams(state: &mut HostState, actions: &mut Vec<PlannerAction>) {
    let now = state.clock.now();
    let streams: Vec<LogStream> = state.streams.keys().cloned().collect();
    for stream in streams {
        write_due_snapshot(state, &stream);
        with_port(state, &stream, actions, |port| port.tick(now));
    }
}

/// Sends the records that were submitted since the last event.
pub fn flush_streams(state: &mut HostState, actions: &mut Vec<PlannerAction>) {
    let now = state.clock.now();
    let submitted = state.streams.iter();
    let submitted = submitted.filter(|(_, stream_state)| stream_state.port.has_submissions());
    let streams: Vec<LogStream> = submitted.map(|(stream, _)| stream.clone()).collect();
    for stream in streams {
        with_port(state, &stream, actions, |port| port.tick(now));
    }
}

/// Submits a record. It has no effect on the state until it is read back.
///
/// # Errors
/// Returns a [`SubmitError`] if the record is not accepted for writing.
pub fn submit(
    state: &mut HostState,
    stream: &LogStream,
    entry: LogEntry,
    timeout: Option<Duration>,
) -> Result<RecordId, SubmitError> {
    let now = state.clock.now();
    let Some(stream_state) = state.streams.get_mut(stream) else {
        debug_assert!(false, "stream {} is not followed", stream.name());
        return Err(SubmitError::QueueFull);
    };
    stream_state.port.submit(now, entry, timeout)
}

/// Submits a record that is retried until it is in the log.
pub fn submit_durable(state: &mut HostState, stream: &LogStream, entry: LogEntry) {
    if let Err(error) = submit(state, stream, entry, None) {
        // A record without a timeout is only refused if it exceeds the size limit.
        log::error!(stream = stream.name().as_str(); "cannot submit a record: {error}");
    }
}

/// Passes an event to the port of a stream, then executes its requests and handles its
/// notices.
pub fn with_port(
    state: &mut HostState,
    stream: &LogStream,
    actions: &mut Vec<PlannerAction>,
    handle_event: impl FnOnce(&mut LogPort),
) {
    let Some(stream_state) = state.streams.get_mut(stream) else {
        return;
    };
    handle_event(&mut stream_state.port);
    for request in stream_state.port.take_requests() {
        stream_state.link.send(request);
    }
    for notice in stream_state.port.take_notices() {
        handle_notice(state, stream, notice, actions);
    }
    let now = state.clock.now();
    state.jobs.answer_waiters(now);
}

fn handle_notice(
    state: &mut HostState,
    stream: &LogStream,
    notice: LogNotice,
    actions: &mut Vec<PlannerAction>,
) {
    let now = state.clock.now();
    let is_election = matches!(stream, LogStream::Seat(_));
    match notice {
        LogNotice::Record(record) => apply_record(state, stream, &record, actions),
        LogNotice::CaughtUp { sent_at } if is_election => {
            state
                .election
                .handle(now, ElectionEvent::LogTailRead { sent_at });
        }
        LogNotice::ReadFailed if is_election => {
            state.election.handle(now, ElectionEvent::LogFailed);
        }
        LogNotice::CaughtUp { .. } | LogNotice::ReadFailed => {}
        LogNotice::Truncated { first } => {
            log::warn!(stream = stream.name().as_str();
                "records before {first} were removed by log retention before they were read");
        }
        LogNotice::Restored(snapshot) => restore(state, stream, &snapshot, actions),
        LogNotice::Abandoned { first } => {
            log::warn!(stream = stream.name().as_str();
                "no snapshot found; reading continues at {first}");
            if is_election {
                state.election.reset_history(now);
            } else if *stream == LogStream::Config {
                state.config.mark_records_lost();
            }
        }
        LogNotice::NotWritten { id, reason } => state.jobs.report_not_written(&id, &reason),
        LogNotice::Unresolved { id } => state.jobs.report_unknown_outcome(&id),
    }
}

fn apply_record(
    state: &mut HostState,
    stream: &LogStream,
    record: &StoredEntry,
    actions: &mut Vec<PlannerAction>,
) {
    match (stream, &record.entry) {
        (LogStream::Config, LogEntry::Config(_)) => apply_config(state, record, actions),
        (LogStream::Jobs, _) if apply_job_record(state, record, actions) => {}
        (LogStream::Seat(zone), LogEntry::Election(entry)) if *zone == entry.zone => {
            let (offset, record) = (record.offset.0, entry.record.clone());
            let now = state.clock.now();
            state
                .election
                .handle(now, ElectionEvent::LogRecord { offset, record });
        }
        (_, LogEntry::Snapshot(_)) => {}
        _ => skip(stream, "kind"),
    }
}

fn skip(stream: &LogStream, cause: &'static str) {
    counter!(RECORDS_SKIPPED, "stream" => stream.name(), "cause" => cause).increment(1);
}

fn apply_config(state: &mut HostState, record: &StoredEntry, actions: &mut Vec<PlannerAction>) {
    if let Some(change) = state.config.apply(record) {
        handle_config_change(state, &change, actions);
    }
}

/// Applies a configuration that a peer reports as in force.
pub fn apply_peer_config(
    state: &mut HostState,
    record: &StoredEntry,
    actions: &mut Vec<PlannerAction>,
) {
    if let Some(change) = state.config.adopt_newer(record) {
        handle_config_change(state, &change, actions);
    }
}

fn handle_config_change(
    state: &mut HostState,
    change: &ConfigChange,
    actions: &mut Vec<PlannerAction>,
) {
    match change {
        ConfigChange::Adopted(_) => adopt_config(state, actions),
        ConfigChange::Known(_) | ConfigChange::Deferred(_) => {}
        ConfigChange::Unreadable(version) => {
            skip(&LogStream::Config, "unreadable");
            log::warn!(host = state.settings.name.as_str(), version = version.0;
                "cannot decode the settings in force; keeping the previous ones");
        }
        ConfigChange::Rejected(ConfigRejection::LostRace) => skip(&LogStream::Config, "base"),
        ConfigChange::Rejected(ConfigRejection::BadHash) => skip(&LogStream::Config, "hash"),
    }
}

fn adopt_config(state: &mut HostState, actions: &mut Vec<PlannerAction>) {
    let Some(config) = state.config.adopted() else {
        return;
    };
    let version = config.version;
    let settings = Arc::clone(&config.settings);
    debug_assert!(
        version > state.config_version,
        "configuration versions increase"
    );
    state.config_version = version;
    state.system = Arc::clone(&settings);
    gauge!(CONFIG_VERSION).set(version.0 as f64);
    log::info!(host = state.settings.name.as_str(), version = version.0; "configuration adopted");
    state.calls.adopt(Arc::clone(&settings));
    handle_planner_event(
        state,
        PlannerEvent::ConfigAdopted { version, settings },
        actions,
    );
}

/// Applies a record about a job. Returns `false` if the record is not about jobs.
fn apply_job_record(
    state: &mut HostState,
    record: &StoredEntry,
    actions: &mut Vec<PlannerAction>,
) -> bool {
    let Some(change) = state.jobs.table.apply(record) else {
        return false;
    };
    gauge!(OPEN_JOBS).set(state.jobs.open_count() as f64);
    if change == JobChange::Rejected(RejectionReason::ClockSkew) {
        state.jobs.report_clock_skew(&record.id);
    }
    if is_start_of_other_term(state, &change) {
        // The planner did not know this start of an earlier leader. A new planner replaces
        // it, which counts the start and lists the tasks of the workers.
        state.planner = None;
    }
    if let Some(event) = planner_event(state, change) {
        handle_planner_event(state, event, actions);
    }
    true
}

/// Returns whether the change is a start in this zone that another term recorded.
fn is_start_of_other_term(state: &HostState, change: &JobChange) -> bool {
    let (JobChange::Started(job), Some(planner)) = (change, &state.planner) else {
        return false;
    };
    let started = state
        .jobs
        .table
        .get(job)
        .and_then(|job| job.started.as_ref());
    started.is_some_and(|started| {
        started.entry.zone == state.settings.zone && started.entry.term != planner.port.term
    })
}

fn planner_event(state: &HostState, change: JobChange) -> Option<PlannerEvent> {
    let own = &state.settings.zone;
    match change {
        JobChange::Cancelled(job) => Some(PlannerEvent::JobCancelled { job }),
        JobChange::Started(job) => {
            let started = state.jobs.table.get(&job)?.started.as_ref()?;
            let attempt = started.entry.attempt;
            Some(PlannerEvent::StartRecorded { job, attempt })
        }
        JobChange::Ended(job) => Some(PlannerEvent::EndRecorded { job }),
        JobChange::Moved { job, from } if from == *own => Some(PlannerEvent::JobClosed { job }),
        JobChange::Accepted(job) | JobChange::Moved { job, .. } => acceptance_event(state, &job),
        JobChange::ZoneLost(_) => None,
        JobChange::Rejected(reason) => {
            skip(&LogStream::Jobs, rejection_label(reason));
            None
        }
    }
}

fn acceptance_event(state: &HostState, job: &JobId) -> Option<PlannerEvent> {
    let job = state.jobs.table.get(job)?;
    let is_own = *job.home() == state.settings.zone;
    is_own.then(|| PlannerEvent::JobAccepted {
        job: accepted_job(job),
    })
}

const fn rejection_label(reason: RejectionReason) -> &'static str {
    match reason {
        RejectionReason::Repeated => "repeated",
        RejectionReason::OtherWork => "other-work",
        RejectionReason::ClockSkew => "clock",
        RejectionReason::UnknownJob => "unknown-job",
        RejectionReason::EndedJob => "ended-job",
        RejectionReason::OtherZone => "other-zone",
    }
}

/// Restores the state of a stream from a snapshot. If this changes the jobs, the active
/// planner is dropped so that a new one is set up, as at the start of a term: any of the
/// records could be missing from its state.
fn restore(
    state: &mut HostState,
    stream: &LogStream,
    snapshot: &Snapshot,
    actions: &mut Vec<PlannerAction>,
) {
    let covers = snapshot.covers_until;
    log::info!(stream = stream.name().as_str(); "restored from a snapshot at {covers}");
    match stream {
        LogStream::Config => {
            for change in state.config.restore(&snapshot.records) {
                handle_config_change(state, &change, actions);
            }
        }
        LogStream::Jobs => {
            let change = state.jobs.table.restore(&snapshot.records);
            gauge!(OPEN_JOBS).set(state.jobs.open_count() as f64);
            if change != flamingowalk_core::process::job_table::RestoreChange::default() {
                state.planner = None;
            }
        }
        LogStream::Seat(_) => state.election.restore(state.clock.now(), snapshot),
    }
}

fn write_due_snapshot(state: &mut HostState, stream: &LogStream) {
    let now = state.clock.now();
    let rank = snapshot_rank(state, stream);
    let is_due = state
        .streams
        .get(stream)
        .is_some_and(|log| log.port.is_snapshot_due(now, HostClock::wall_time(), rank));
    if !is_due {
        return;
    }
    let entries = match stream {
        LogStream::Config => state.config.live_entries(),
        LogStream::Jobs => state.jobs.table.live_entries(),
        LogStream::Seat(_) => state.election.live_entries(),
    };
    if let Some(stream_state) = state.streams.get_mut(stream) {
        stream_state.port.write_snapshot(now, entries);
    }
}

/// Returns the number of live hosts that write a snapshot before this one.
fn snapshot_rank(state: &HostState, stream: &LogStream) -> u32 {
    let hosts = state.listing.hosts.iter().filter(|host| !host.draining);
    let is_reader = |zone: &ZoneName| match stream {
        LogStream::Config | LogStream::Jobs => true,
        LogStream::Seat(own) => zone == own,
    };
    let preceding = hosts.filter(|host| is_reader(&host.zone) && host.name < state.settings.name);
    preceding.count() as u32
}
