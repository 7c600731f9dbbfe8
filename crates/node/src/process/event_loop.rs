//! The loop of an entry host: takes one event after the other and owns the state.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_follower::{ReadFault, ReadId};
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::PlannerEvent;
use flamingowalk_core::process::record::LogEntry;
use flamingowalk_core::process::router::table::TargetRecord;
use flamingowalk_core::process::seat::SeatEvent;
use metrics::{counter, gauge};
use tokio::sync::mpsc;

use crate::border::caller::JobFault;
use crate::border::hosts::{HostListing, ListedWorker};
use crate::border::log::LogPage;
use crate::border::target::START_TIMEOUT;
use crate::connection::http_client::{ExchangeFault, HttpClient};
use crate::connection::http_server::ServePhase;
use crate::process::call_port::CallMessage;
use crate::process::counters::{LIST_READS, SEAT_HELD};
use crate::process::host_event::{HostEvent, LogStream};
use crate::process::host_state::{HeldTerm, HostState};
use crate::process::job_events::{accept_cancel, accept_job};
use crate::process::log_events::{flush_streams, submit_kept, tick_streams, with_port};
use crate::process::log_port::LogPort;
use crate::process::peer_exchange::{answer_peer, own_digest, take_report};
use crate::process::planner_events::{
    carry_out, gain_seat, lose_or_pause, mark_leaving, pass_workers, plan,
};
use crate::process::seat_port::SeatOutput;
use crate::process::usage_poll::poll_usage;
use crate::request::call::CallContext;

/// Authority that has to be left for the planner to start something: a request's
/// time and a few ticks.
const START_MARGIN: Duration = START_TIMEOUT.saturating_add(Duration::from_millis(300));

/// Runs until the drain is over.
pub async fn run_loop(
    mut state: HostState,
    client: HttpClient,
    calls: CallContext,
    mut arrivals: mpsc::UnboundedReceiver<HostEvent>,
) {
    let mut actions = Vec::new();
    while let Some(event) = arrivals.recv().await {
        handle_event(&mut state, &client, &calls, event, &mut actions);
        if is_drained(&mut state) {
            break;
        }
    }
}

/// Moves the shutdown on: readiness goes first, so that the balancer sends no new
/// connections; after the wait the listener closes and each connection ends after
/// its request; nothing is cut before the limit. Records that wait for the log, the
/// yield of the seat among them, are written first.
fn is_drained(state: &mut HostState) -> bool {
    let Some(since) = state.drain_since else {
        return false;
    };
    let elapsed = state.clock.now().since(since);
    let phase = if elapsed >= state.settings.drain_limit {
        ServePhase::Cut
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
    phase == ServePhase::Cut || is_done
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
        HostEvent::JobAsked { job, reply } => {
            let status = state.jobs.status(&job);
            let _ = reply.send(status.ok_or(JobFault::UnknownJob(job)));
        }
        HostEvent::CancelAsked { job, reply } => accept_cancel(state, job, reply),
        HostEvent::StatusAsked { reply } => {
            let _ = reply.send(state.status());
        }
        HostEvent::DumpAsked { reply } => {
            let _ = reply.send(state.dump(calls.pool.idle_count()));
        }
        HostEvent::ReadyAsked { reply } => {
            let _ = reply.send(state.is_ready());
        }
        HostEvent::DrainAsked => begin_drain(state),
        HostEvent::LogRead {
            stream,
            read,
            result,
        } => take_log_read(state, &stream, read, result, actions),
        HostEvent::LogAppended {
            stream,
            append,
            result,
        } => {
            let now = state.clock.now();
            let take = |port: &mut LogPort| port.take_append(now, append, result);
            with_port(state, &stream, actions, take);
        }
        HostEvent::HostsRead { result } => take_listing(state, result, actions),
        HostEvent::LeavingSeen {
            worker,
            incarnation,
        } => mark_leaving(state, &worker, incarnation, actions),
        HostEvent::HostsUnchanged => {
            counter!(LIST_READS, "outcome" => "unchanged").increment(1);
        }
        HostEvent::PlannerAnswered { term, event } => {
            let current = state
                .planner
                .as_ref()
                .is_some_and(|planner| planner.port.term == term);
            if current {
                plan(state, event, actions);
            }
        }
        HostEvent::PeerReported { host, report } => take_report(state, &host, report, actions),
        HostEvent::PeerAsked {
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
    carry_out_seat(state);
    carry_out(state, actions);
    flush_streams(state, actions);
    carry_out(state, actions);
}

fn begin_drain(state: &mut HostState) {
    if state.drain_since.is_none() {
        state.drain_since = Some(state.clock.now());
        state
            .seat
            .handle(state.clock.now(), SeatEvent::YieldRequested);
        log::info!(host = state.settings.name.as_str(); "drain began");
    }
}

fn take_log_read(
    state: &mut HostState,
    stream: &LogStream,
    read: ReadId,
    result: Result<LogPage, ReadFault>,
    actions: &mut Vec<PlannerAction>,
) {
    if let Some(streamed) = state.streams.get_mut(stream) {
        streamed.link.end_read(read);
    }
    let now = state.clock.now();
    let take = |port: &mut LogPort| port.take_read(now, read, result);
    with_port(state, stream, actions, take);
}

fn take_listing(
    state: &mut HostState,
    result: Result<HostListing, ExchangeFault>,
    actions: &mut Vec<PlannerAction>,
) {
    let outcome = if result.is_ok() { "done" } else { "failed" };
    counter!(LIST_READS, "outcome" => outcome).increment(1);
    let Ok(listing) = result else { return };
    if listing.revision < state.listing.revision {
        return;
    }
    let hosts = listing.hosts.iter().filter(|host| !host.leaving).count() as u32;
    let records = listing.workers.iter().map(target_record).collect();
    state.calls.update(records, hosts);
    let before = std::mem::replace(&mut state.listing, listing);
    state.peers.update(&state.listing.hosts);
    pass_workers(state, &before, actions);
}

fn target_record(worker: &ListedWorker) -> TargetRecord {
    TargetRecord {
        name: worker.record.name.clone(),
        zone: worker.zone.clone(),
        address: worker.address,
        incarnation: worker.record.incarnation,
        leaving: worker.record.leaving,
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
    gauge!(SEAT_HELD).set(f64::from(u8::from(state.seat.may_start(now))));
    let may_start = state.seat.state.starts_until(now) >= now + START_MARGIN;
    note_seat(state, now);
    if may_start && state.planner.is_none() && state.is_ready() && has_read_jobs(state) {
        gain_seat(state, client, &calls.events, actions);
    }
    lose_or_pause(state, may_start, actions);
    plan(state, PlannerEvent::Tick, actions);
    state.seat.handle(now, SeatEvent::Tick);
    poll_usage(state, client, now);
    state.peers.publish_digest(own_digest(state));
}

/// Keeps since when this host holds its term.
fn note_seat(state: &mut HostState, now: MonotonicTime) {
    let term = state.seat.state.held_term();
    state.held_since = match (state.held_since, term) {
        (Some(held), Some(term)) if held.term == term => Some(held),
        (_, Some(term)) => Some(HeldTerm { term, since: now }),
        (_, None) => None,
    };
}

/// Whether the jobs were read to the tail by a read sent since the term is held. Only
/// then are all starts known that an earlier holder has recorded.
fn has_read_jobs(state: &HostState) -> bool {
    let jobs = state.streams.get(&LogStream::Jobs);
    let read_at = jobs.and_then(|stream| stream.port.caught_up_at());
    let held = state.held_since.zip(read_at);
    held.is_some_and(|(held, read_at)| read_at >= held.since)
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
            // A loop that has ended routes no more calls.
            let _ = calls.events.send(HostEvent::Call(message));
        });
    }
}

fn carry_out_seat(state: &mut HostState) {
    let zone = state.settings.zone.clone();
    for output in state.seat.take_outputs() {
        let now = state.clock.now();
        match output {
            SeatOutput::Append(entry) => {
                submit_kept(state, &LogStream::Seat(zone.clone()), LogEntry::Seat(entry));
            }
            SeatOutput::AskPromise { to, term } => {
                state
                    .peers
                    .ask_promise(now, &to.host, to.incarnation, &zone, term);
            }
            SeatOutput::AskRefusal { to, term } => {
                state.peers.ask_refusal(&to.host, &zone, term);
            }
        }
    }
}
