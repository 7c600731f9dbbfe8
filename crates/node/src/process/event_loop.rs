//! The loop of an entry host: takes one event after the other and owns the state.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_follower::{ReadFault, ReadId};
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::{PlannerEvent, SeatTerm};
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::process::record::{
    AcceptedEntry, CancelledEntry, EndedEntry, LogEntry, StartedEntry,
};
use flamingowalk_core::process::router::table::TargetRecord;
use flamingowalk_core::process::seat::SeatEvent;
use flamingowalk_wire::caller::JobSubmission;
use metrics::{counter, gauge};
use tokio::sync::mpsc;

use crate::border::caller::JobFault;
use crate::border::hosts::{HostListing, ListedWorker};
use crate::border::log::LogPage;
use crate::connection::http_client::{ExchangeFault, HttpClient};
use crate::connection::http_server::ServePhase;
use crate::process::call_port::CallMessage;
use crate::process::counters::{LIST_READS, SEAT_HELD};
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, HostEvent, LogStream};
use crate::process::host_state::{HostState, SeatedPlanner};
use crate::process::job_desk::{JobReply, JobWaiter, JobWish, not_run, settled_answer};
use crate::process::log_events::{flush_streams, submit, submit_kept, tick_streams, with_port};
use crate::process::log_port::LogPort;
use crate::process::peer_exchange::{answer_peer, own_digest, take_report};
use crate::process::planner_port::PlannerPort;
use crate::process::seat_port::SeatOutput;
use crate::process::usage_poll::poll_usage;
use crate::process::zone_outlook::choose_zone;
use crate::request::call::CallContext;

/// Time a caller of a job request waits for the log.
const RECORD_WAIT: Duration = Duration::from_secs(5);
/// Time beyond it for a record that is in the log to be read back.
const READ_BACK_WAIT: Duration = Duration::from_secs(1);

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
/// its request; nothing is cut before the limit.
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
    phase == ServePhase::Cut || (state.server_ended && state.calls.open_calls() == 0)
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
            let _ = reply.send(state.dump());
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

fn accept_job(state: &mut HostState, submission: &JobSubmission, reply: JobReply) {
    let entry = accepted_entry(state, submission);
    let is_known = state.jobs.book.get(&entry.job).is_some();
    if !is_known && let Err(fault) = check_submission(state, &entry) {
        let _ = reply.send(Err(fault));
        return;
    }
    let job = entry.job.clone();
    let wish = JobWish::Accepted(entry.clone());
    let record = LogEntry::JobAccepted(entry);
    await_record(state, job, wish, record, reply);
}

/// Submits the record unless the job's records give the answer already.
fn await_record(
    state: &mut HostState,
    job: JobId,
    wish: JobWish,
    record: LogEntry,
    reply: JobReply,
) {
    let known = state.jobs.book.get(&job);
    if let Some(answer) = known.and_then(|known| settled_answer(known, &wish)) {
        let _ = reply.send(answer);
        return;
    }
    match submit(state, &LogStream::Jobs, record, Some(RECORD_WAIT)) {
        Ok(record) => state.jobs.wait(JobWaiter {
            job,
            record,
            wish,
            until: state.clock.now() + RECORD_WAIT + READ_BACK_WAIT,
            reply,
        }),
        Err(error) => {
            let _ = reply.send(Err(not_run(error.to_string())));
        }
    }
}

fn accepted_entry(state: &HostState, submission: &JobSubmission) -> AcceptedEntry {
    let class = state.system.classes.get(&submission.class.as_str().into());
    let customer = submission.customer.as_str().into();
    let best_zone = || class.and_then(|class| choose_zone(state, &customer, class));
    let free_zone = || best_zone().unwrap_or_else(|| state.settings.zone.clone());
    let accepted_at = HostClock::wall();
    let within = |ms| WallTime(accepted_at.0.saturating_add(ms));
    AcceptedEntry {
        job: submission.id.as_str().into(),
        customer: submission.customer.as_str().into(),
        class: submission.class.as_str().into(),
        zone: submission
            .zone
            .as_deref()
            .map_or_else(free_zone, Into::into),
        config: state.config_version,
        accepted_at,
        start_before: submission.start_within_ms.map(within),
    }
}

fn check_submission(state: &HostState, entry: &AcceptedEntry) -> Result<(), JobFault> {
    if !state.is_ready() {
        let message = "the host is starting or draining; use another host".to_owned();
        return Err(not_run(message));
    }
    if !state.is_caught_up() {
        let message = "the host has not read the log; use another host".to_owned();
        return Err(not_run(message));
    }
    let invalid = |text: String| Err(JobFault::Invalid(text));
    let AcceptedEntry {
        customer,
        class,
        zone,
        ..
    } = entry;
    if !state.system.customers.contains_key(customer) {
        return invalid(format!(
            "customer {customer} is not declared; add it to the folder"
        ));
    }
    let Some(declared) = state.system.classes.get(class) else {
        return invalid(format!(
            "job class {class} is not declared; add it to the folder"
        ));
    };
    if declared
        .customer
        .as_ref()
        .is_some_and(|owner| owner != customer)
    {
        return invalid(format!("job class {class} is not for customer {customer}"));
    }
    if !state.system.zones.contains_key(zone) {
        return invalid(format!(
            "availability zone {zone} is not declared; check its name"
        ));
    }
    Ok(())
}

fn accept_cancel(state: &mut HostState, job: JobId, reply: JobReply) {
    if state.jobs.book.get(&job).is_none() {
        let _ = reply.send(Err(JobFault::UnknownJob(job)));
        return;
    }
    let record = LogEntry::JobCancelled(CancelledEntry {
        job: job.clone(),
        requested_at: HostClock::wall(),
    });
    await_record(state, job, JobWish::Cancelled, record, reply);
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
    let zone = state.settings.zone.clone();
    let own = |listing: &HostListing| -> BTreeMap<WorkerName, _> {
        let workers = listing.workers.iter().filter(|worker| worker.zone == zone);
        workers
            .map(|worker| (worker.record.name.clone(), worker.record.clone()))
            .collect()
    };
    let (old, new) = (own(&before), own(&state.listing));
    for (name, worker) in &new {
        if old.get(name) != Some(worker) {
            plan(
                state,
                PlannerEvent::WorkerSeen {
                    worker: worker.clone(),
                },
                actions,
            );
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        plan(
            state,
            PlannerEvent::WorkerGone {
                worker: name.clone(),
            },
            actions,
        );
    }
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
    let may_start = state.seat.may_start(now);
    gauge!(SEAT_HELD).set(f64::from(u8::from(may_start)));
    if may_start && state.planner.is_none() && state.is_ready() && state.is_caught_up() {
        gain_seat(state, client, &calls.events, actions);
    } else if !may_start && state.planner.is_some() {
        log::info!(host = state.settings.name.as_str(); "planner seat lost");
        state.planner = None;
    }
    plan(state, PlannerEvent::Tick, actions);
    state.seat.handle(now, SeatEvent::Tick);
    poll_usage(state, client, now);
    state.peers.publish_digest(own_digest(state));
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

fn gain_seat(
    state: &mut HostState,
    client: &HttpClient,
    events: &EventSender,
    actions: &mut Vec<PlannerAction>,
) {
    let term = state.seat.term();
    log::info!(host = state.settings.name.as_str(), term = term.0; "planner seat gained");
    let port = PlannerPort {
        client: client.clone(),
        events: events.clone(),
        term,
    };
    let planner = PlannerState::new(state.settings.zone.clone(), state.incarnation);
    state.planner = Some(SeatedPlanner {
        state: planner,
        port,
        usage_asked_at: state.clock.now(),
    });
    for event in seat_events(state, term) {
        plan(state, event, actions);
    }
}

/// What a new planner has to know, in the order in which it takes it.
fn seat_events(state: &HostState, term: SeatTerm) -> Vec<PlannerEvent> {
    let settings = Arc::clone(&state.system);
    let mut events = vec![PlannerEvent::ConfigAdopted {
        version: state.config_version,
        settings,
    }];
    let workers = state
        .listing
        .workers
        .iter()
        .filter(|w| w.zone == state.settings.zone);
    let seen = workers.map(|w| PlannerEvent::WorkerSeen {
        worker: w.record.clone(),
    });
    events.extend(seen);
    for job in state.jobs.open_jobs(&state.settings.zone) {
        let entry = state.jobs.book.get(&job.id);
        let cancelled = entry
            .is_some_and(|entry| entry.cancelled.is_some())
            .then(|| job.id.clone());
        events.push(PlannerEvent::JobAccepted { job });
        events.extend(cancelled.map(|job| PlannerEvent::JobCancelled { job }));
    }
    events.push(PlannerEvent::SeatGained { term });
    events
}

/// Passes an event to the planner, if this host holds the seat.
pub fn plan(state: &mut HostState, event: PlannerEvent, actions: &mut Vec<PlannerAction>) {
    let now = state.clock.now();
    if let Some(planner) = &mut state.planner {
        planner.state.handle(now, event, actions);
    }
}

fn carry_out(state: &mut HostState, actions: &mut Vec<PlannerAction>) {
    let Some(planner) = &state.planner else {
        actions.clear();
        return;
    };
    let port = planner.port.clone();
    for action in actions.drain(..) {
        match action {
            PlannerAction::RecordStart {
                job,
                attempt,
                workers,
            } => {
                let entry = LogEntry::JobStarted(StartedEntry {
                    job,
                    attempt,
                    term: port.term,
                    zone: state.settings.zone.clone(),
                    workers,
                    started_at: HostClock::wall(),
                });
                submit_kept(state, &LogStream::Jobs, entry);
            }
            PlannerAction::RecordEnd { job, ending } => {
                let entry = LogEntry::JobEnded(EndedEntry {
                    job,
                    ending,
                    term: port.term,
                    ended_at: HostClock::wall(),
                });
                submit_kept(state, &LogStream::Jobs, entry);
            }
            PlannerAction::ListTasks { ref worker }
            | PlannerAction::Reserve { ref worker, .. }
            | PlannerAction::Release { ref worker, .. }
            | PlannerAction::Start { ref worker, .. }
            | PlannerAction::Renew { ref worker, .. }
            | PlannerAction::Checkpoint { ref worker, .. }
            | PlannerAction::Throttle { ref worker, .. }
            | PlannerAction::Stop { ref worker, .. } => {
                let address = state.worker_address(worker);
                // The clock is read again before every start: a pause may have ended the seat.
                let starts = matches!(
                    action,
                    PlannerAction::Start { .. } | PlannerAction::Reserve { .. }
                );
                let allowed = !starts || state.seat.may_start(state.clock.now());
                port.send(action, address.filter(|_| allowed));
            }
        }
    }
}
