//! The event loop of an entry host: owns the state and handles one event at a time.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::ElectionEvent;
use flamingowalk_core::process::log_follower::{ReadError, ReadId};
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::PlannerEvent;
use flamingowalk_core::process::record::LogEntry;
use flamingowalk_core::process::router::table::TargetRecord;
use metrics::{counter, gauge};
use tokio::sync::mpsc;

use crate::border::caller::JobError;
use crate::border::hosts::{HostListing, ListedWorker};
use crate::border::log::LogPage;
use crate::border::target::START_TIMEOUT;
use crate::connection::http_client::{ExchangeError, HttpClient};
use crate::connection::http_server::ServePhase;
use crate::process::call_port::CallMessage;
use crate::process::counters::{HOST_LIST_READS, LEADERSHIP_HELD};
use crate::process::election_port::ElectionOutput;
use crate::process::host_event::{HostEvent, LogStream};
use crate::process::host_state::{HeldTerm, HostState};
use crate::process::job_events::{accept_cancel, accept_job};
use crate::process::log_events::{flush_streams, submit_durable, tick_streams, with_port};
use crate::process::log_port::LogPort;
use crate::process::peer_exchange::{answer_peer, handle_report, own_digest};
use crate::process::planner_events::{
    execute_actions, handle_planner_event, mark_draining, start_planner, stop_or_pause_planner,
    update_workers,
};
use crate::process::usage_poll::poll_usage;
use crate::request::call::CallContext;

/// Time that must be left of the leader lease for the planner to start a task: the
/// timeout of a start request and three ticks of the loop.
const START_MARGIN: Duration = START_TIMEOUT.saturating_add(Duration::from_millis(300));

/// Handles events until the drain is over.
pub async fn run_loop(
    mut state: HostState,
    client: HttpClient,
    calls: CallContext,
    mut events: mpsc::UnboundedReceiver<HostEvent>,
) {
    let mut actions = Vec::new();
    while let Some(event) = events.recv().await {
        handle_event(&mut state, &client, &calls, event, &mut actions);
        if advance_drain(&mut state) {
            break;
        }
    }
}

/// Advances the shutdown and returns whether it is over. The host stops being ready
/// first, so that the load balancer sends no new connections. After `drain_wait` the
/// listener closes and each connection ends after its request; no request is aborted
/// before `drain_limit`. Pending records, such as the resignation of the leader, are
/// written before the shutdown is over, unless `drain_limit` passes first.
fn advance_drain(state: &mut HostState) -> bool {
    let Some(since) = state.drain_since else {
        return false;
    };
    let elapsed = state.clock.now().since(since);
    let phase = if elapsed >= state.settings.drain_limit {
        ServePhase::Aborting
    } else if elapsed >= state.settings.drain_wait {
        ServePhase::Closing
    } else {
        ServePhase::Accepting
    };
    state
        .phase
        .send_if_modified(|current| std::mem::replace(current, phase) != phase);
    let is_written = state
        .streams
        .values()
        .all(|stream| stream.port.open_records() == 0);
    let is_done = state.server_ended && state.calls.open_calls() == 0 && is_written;
    phase == ServePhase::Aborting || is_done
}

fn handle_event(
    state: &mut HostState,
    client: &HttpClient,
    calls: &CallContext,
    event: HostEvent,
    actions: &mut Vec<PlannerAction>,
) {
    match event {
        HostEvent::Call(message) => {
            let now = state.clock.now();
            return state.calls.handle(message, now);
        }
        HostEvent::ServerEnded => state.server_ended = true,
        HostEvent::JobSubmitted { submission, reply } => accept_job(state, &submission, reply),
        HostEvent::JobStatusRequested { job, reply } => {
            let status = state.jobs.status(&job);
            let _ = reply.send(status.ok_or(JobError::UnknownJob(job)));
        }
        HostEvent::CancelRequested { job, reply } => accept_cancel(state, job, reply),
        HostEvent::StatusRequested { reply } => {
            let _ = reply.send(state.status());
        }
        HostEvent::DumpRequested { reply } => {
            let _ = reply.send(state.dump(calls.pool.idle_count()));
        }
        HostEvent::ReadinessRequested { reply } => {
            let _ = reply.send(state.is_ready());
        }
        HostEvent::DrainRequested => start_drain(state),
        HostEvent::LogRead {
            stream,
            read,
            result,
        } => handle_log_read(state, &stream, read, result, actions),
        HostEvent::LogAppended {
            stream,
            append,
            result,
        } => {
            let now = state.clock.now();
            let handle = |port: &mut LogPort| port.handle_append(now, append, result);
            with_port(state, &stream, actions, handle);
        }
        HostEvent::HostsRead { result } => apply_listing(state, result, actions),
        HostEvent::WorkerDraining {
            worker,
            incarnation,
        } => mark_draining(state, &worker, incarnation, actions),
        HostEvent::HostsUnchanged => {
            counter!(HOST_LIST_READS, "outcome" => "unchanged").increment(1);
        }
        HostEvent::PlannerAnswered { term, event } => {
            let is_current = state
                .planner
                .as_ref()
                .is_some_and(|planner| planner.port.term == term);
            if is_current {
                handle_planner_event(state, event, actions);
            }
        }
        HostEvent::PeerReported { host, report } => handle_report(state, &host, report, actions),
        HostEvent::PeerRequested {
            peer,
            message,
            reply,
        } => {
            if let Some(answer) = answer_peer(state, &peer, message) {
                let _ = reply.send(answer);
            }
        }
        HostEvent::Ticked => tick(state, client, calls, actions),
    }
    execute_election_outputs(state);
    execute_actions(state, actions);
    flush_streams(state, actions);
    execute_actions(state, actions);
}

fn start_drain(state: &mut HostState) {
    if state.drain_since.is_none() {
        state.drain_since = Some(state.clock.now());
        state
            .election
            .handle(state.clock.now(), ElectionEvent::ResignationRequested);
        log::info!(host = state.settings.name.as_str(); "drain started");
    }
}

fn handle_log_read(
    state: &mut HostState,
    stream: &LogStream,
    read: ReadId,
    result: Result<LogPage, ReadError>,
    actions: &mut Vec<PlannerAction>,
) {
    if let Some(stream_state) = state.streams.get_mut(stream) {
        stream_state.link.finish_read(read);
    }
    let now = state.clock.now();
    let handle = |port: &mut LogPort| port.handle_read(now, read, result);
    with_port(state, stream, actions, handle);
}

fn apply_listing(
    state: &mut HostState,
    result: Result<HostListing, ExchangeError>,
    actions: &mut Vec<PlannerAction>,
) {
    let outcome = if result.is_ok() { "done" } else { "failed" };
    counter!(HOST_LIST_READS, "outcome" => outcome).increment(1);
    let Ok(listing) = result else { return };
    if listing.revision < state.listing.revision {
        return;
    }
    let hosts = listing.hosts.iter().filter(|host| !host.draining).count() as u32;
    let records = listing.workers.iter().map(target_record).collect();
    state.calls.apply_listing(records, hosts);
    let previous = std::mem::replace(&mut state.listing, listing);
    state.peers.apply_listing(&state.listing.hosts);
    update_workers(state, &previous, actions);
}

fn target_record(worker: &ListedWorker) -> TargetRecord {
    TargetRecord {
        name: worker.record.name.clone(),
        zone: worker.zone.clone(),
        address: worker.address,
        incarnation: worker.record.incarnation,
        draining: worker.record.draining,
        services: worker.record.services.clone(),
        slots: worker.record.slots,
        connections: worker.connections,
    }
}

fn tick(
    state: &mut HostState,
    client: &HttpClient,
    calls: &CallContext,
    actions: &mut Vec<PlannerAction>,
) {
    let now = state.clock.now();
    calls.pool.sweep(now);
    probe_targets(state, calls, now);
    tick_streams(state, actions);
    gauge!(LEADERSHIP_HELD).set(f64::from(u8::from(state.election.may_start(now))));
    let may_start = state.election.state.may_start_until(now) >= now + START_MARGIN;
    update_held_term(state, now);
    if may_start && state.planner.is_none() && state.is_ready() && has_read_jobs(state) {
        start_planner(state, client, &calls.events, actions);
    }
    stop_or_pause_planner(state, may_start, actions);
    handle_planner_event(state, PlannerEvent::Tick, actions);
    state.election.handle(now, ElectionEvent::Tick);
    poll_usage(state, client, now);
    state.peers.publish_digest(own_digest(state));
}

/// Records the term that this host holds, and since when.
fn update_held_term(state: &mut HostState, now: MonotonicTime) {
    let term = state.election.state.held_term();
    state.held_term = match (state.held_term, term) {
        (Some(held), Some(term)) if held.term == term => Some(held),
        (_, Some(term)) => Some(HeldTerm { term, since: now }),
        (_, None) => None,
    };
}

/// Returns whether a read sent after this host gained its term has reached the tail of
/// the jobs stream. Only then are all starts known that an earlier leader has recorded.
fn has_read_jobs(state: &HostState) -> bool {
    let jobs = state.streams.get(&LogStream::Jobs);
    let caught_up_at = jobs.and_then(|stream| stream.port.caught_up_at());
    let held = state.held_term.zip(caught_up_at);
    held.is_some_and(|(held, caught_up_at)| caught_up_at >= held.since)
}

fn probe_targets(state: &mut HostState, calls: &CallContext, now: MonotonicTime) {
    for due in state.calls.due_probes(now) {
        let calls = calls.clone();
        tokio::task::spawn_local(async move {
            let clock = calls.clock;
            let is_answered = calls
                .pool
                .probe_target(due.address, move || clock.now())
                .await;
            let message = CallMessage::Probed {
                index: due.index,
                is_answered,
            };
            // Sending fails only if the loop has ended; it needs no probes then.
            let _ = calls.events.send(HostEvent::Call(message));
        });
    }
}

fn execute_election_outputs(state: &mut HostState) {
    let zone = state.settings.zone.clone();
    for output in state.election.take_outputs() {
        let now = state.clock.now();
        match output {
            ElectionOutput::Append(entry) => {
                submit_durable(
                    state,
                    &LogStream::Seat(zone.clone()),
                    LogEntry::Election(entry),
                );
            }
            ElectionOutput::RequestGrant { to, term } => {
                state
                    .peers
                    .request_grant(now, &to.host, to.incarnation, &zone, term);
            }
            ElectionOutput::RequestRefusal { to, term } => {
                state.peers.request_refusal(&to.host, &zone, term);
            }
        }
    }
}
