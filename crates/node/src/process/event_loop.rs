//! The loop of an entry host: takes one event after the other and owns the state.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::{PlannerEvent, SeatTerm};
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::process::router::table::TargetRecord;
use flamingowalk_core::process::seat::SeatEvent;
use flamingowalk_core::version::folder_check::parse_canonical;
use flamingowalk_core::version::settings::ConfigVersion;
use flamingowalk_wire::caller::{JobStatus, JobSubmission};
use flamingowalk_wire::records::ConfigRecord;
use metrics::{counter, gauge};
use tokio::sync::{mpsc, oneshot};

use crate::border::caller::JobFault;
use crate::border::hosts::{HostListing, ListedWorker};
use crate::border::log::{LogPage, StoredRecord};
use crate::connection::http_client::{ExchangeFault, HttpClient};
use crate::connection::http_server::ServePhase;
use crate::process::call_port::CallMessage;
use crate::process::counters::{
    CONFIG_VERSION, LIST_READS, LOG_READS, OPEN_JOBS, RECORDS_SKIPPED, SEAT_HELD,
};
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, HostEvent, LogStream};
use crate::process::host_state::{HostState, SeatedPlanner};
use crate::process::job_desk::{
    JobChange, acceptance_record, cancellation_record, ending_record, start_record,
};
use crate::process::peer_exchange::{answer_peer, own_digest, take_report};
use crate::process::planner_port::PlannerPort;
use crate::process::seat_port::SeatOutput;
use crate::request::call::CallContext;

/// Time a caller of a job request waits for the log.
const RECORD_WAIT: Duration = Duration::from_secs(5);
/// Suggested delay before a refused job request is repeated.
const RETRY_AFTER: Duration = Duration::from_secs(2);

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
            let status = state
                .jobs
                .jobs
                .get(&job)
                .map(super::job_desk::JobEntry::status);
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
            sent_at,
            result,
        } => {
            take_page(state, &stream, sent_at, result, actions);
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
}

fn accept_job(
    state: &mut HostState,
    submission: &JobSubmission,
    reply: oneshot::Sender<Result<JobStatus, JobFault>>,
) {
    let job = JobId::from(submission.id.as_str());
    if let Some(entry) = state.jobs.jobs.get(&job) {
        let _ = reply.send(Ok(entry.status()));
        return;
    }
    match check_submission(state, submission) {
        Ok(zone) => {
            let version = state.config_version.0;
            let record = acceptance_record(submission, &zone, version, HostClock::wall());
            state.append(&LogStream::Jobs, record);
            let until = state.clock.now() + RECORD_WAIT;
            state.jobs.wait(job, until, false, reply);
        }
        Err(fault) => {
            let _ = reply.send(Err(fault));
        }
    }
}

fn check_submission(state: &HostState, submission: &JobSubmission) -> Result<ZoneName, JobFault> {
    if !state.is_ready() {
        let message = "the host is starting or draining; use another host".to_owned();
        return Err(JobFault::NotRun {
            message,
            retry_after: Some(RETRY_AFTER),
        });
    }
    if !state.is_caught_up() {
        let message = "the host has not read the log; use another host".to_owned();
        let retry_after = Some(RETRY_AFTER);
        return Err(JobFault::NotRun {
            message,
            retry_after,
        });
    }
    let invalid = |text: String| Err(JobFault::Invalid(text));
    let customer = CustomerName::from(submission.customer.as_str());
    if !state.system.customers.contains_key(&customer) {
        return invalid(format!(
            "customer {customer} is not declared; add it to the folder"
        ));
    }
    let class = ClassName::from(submission.class.as_str());
    let Some(declared) = state.system.classes.get(&class) else {
        return invalid(format!(
            "job class {class} is not declared; add it to the folder"
        ));
    };
    if declared
        .customer
        .as_ref()
        .is_some_and(|owner| *owner != customer)
    {
        return invalid(format!("job class {class} is not for customer {customer}"));
    }
    let zone = submission
        .zone
        .as_deref()
        .map_or_else(|| state.settings.zone.clone(), Into::into);
    if !state.system.zones.contains_key(&zone) {
        return invalid(format!(
            "availability zone {zone} is not declared; check its name"
        ));
    }
    Ok(zone)
}

fn accept_cancel(
    state: &mut HostState,
    job: JobId,
    reply: oneshot::Sender<Result<JobStatus, JobFault>>,
) {
    let Some(entry) = state.jobs.jobs.get(&job) else {
        let _ = reply.send(Err(JobFault::UnknownJob(job)));
        return;
    };
    if entry.ended.is_some() || entry.cancelled {
        let _ = reply.send(Ok(entry.status()));
        return;
    }
    state.append(
        &LogStream::Jobs,
        cancellation_record(&job, HostClock::wall()),
    );
    let until = state.clock.now() + RECORD_WAIT;
    state.jobs.wait(job, until, true, reply);
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

fn take_page(
    state: &mut HostState,
    stream: &LogStream,
    sent_at: MonotonicTime,
    result: Result<LogPage, ExchangeFault>,
    actions: &mut Vec<PlannerAction>,
) {
    let outcome = if result.is_ok() { "done" } else { "failed" };
    counter!(LOG_READS, "stream" => stream.name(), "outcome" => outcome).increment(1);
    let position = state.streams.entry(stream.clone()).or_default();
    position.is_failing = result.is_err();
    let Ok(page) = result else {
        if matches!(stream, LogStream::Seat(_)) {
            state.seat.handle(state.clock.now(), SeatEvent::LogFailed);
        }
        return;
    };
    for stored in &page.records {
        match stream {
            LogStream::Config => take_config(state, stored, actions),
            LogStream::Jobs => take_job_record(state, stored, actions),
            LogStream::Seat(_) => state.seat.apply(stored, state.clock.now()),
        }
    }
    let position = state.streams.entry(stream.clone()).or_default();
    position.next = page.next_offset;
    if page.next_offset >= page.tail_offset {
        position.tail_read_at = Some(sent_at);
        if matches!(stream, LogStream::Seat(_)) {
            state
                .seat
                .handle(state.clock.now(), SeatEvent::LogTailRead { sent_at });
        }
    }
    let now = state.clock.now();
    state.jobs.answer_waiters(now);
}

fn take_config(state: &mut HostState, stored: &StoredRecord, actions: &mut Vec<PlannerAction>) {
    if stored.record.kind != "config" {
        return skip_config("kind");
    }
    let Ok(record) = serde_json::from_value::<ConfigRecord>(stored.record.body.clone()) else {
        return skip_config("malformed");
    };
    if record.base_version != state.config_version.0 {
        return skip_config("base");
    }
    adopt_config(state, stored.offset + 1, record, actions);
}

fn skip_config(cause: &'static str) {
    counter!(RECORDS_SKIPPED, "stream" => "config", "cause" => cause).increment(1);
}

/// Brings a configuration into force unless it is not newer than the present one
/// or its settings cannot be read.
pub fn adopt_config(
    state: &mut HostState,
    version: u64,
    record: ConfigRecord,
    actions: &mut Vec<PlannerAction>,
) {
    let version = ConfigVersion(version);
    if version <= state.config_version {
        return skip_config("old");
    }
    let Ok(settings) = parse_canonical(&record.settings) else {
        return skip_config("settings");
    };
    state.config_version = version;
    state.config_record = Some(record);
    state.system = Arc::new(settings);
    state.calls.adopt(Arc::clone(&state.system));
    gauge!(CONFIG_VERSION).set(version.0 as f64);
    log::info!(host = state.settings.name.as_str(), version = version.0; "configuration adopted");
    let settings = Arc::clone(&state.system);
    plan(
        state,
        PlannerEvent::ConfigAdopted { version, settings },
        actions,
    );
}

fn take_job_record(state: &mut HostState, stored: &StoredRecord, actions: &mut Vec<PlannerAction>) {
    let Some(change) = state.jobs.apply(stored) else {
        counter!(RECORDS_SKIPPED, "stream" => "jobs", "cause" => "repeated").increment(1);
        return;
    };
    let event = match change {
        JobChange::Accepted(job) => {
            let accepted = state
                .jobs
                .jobs
                .get(&job)
                .map(super::job_desk::JobEntry::accepted_job);
            let own = accepted.filter(|job| job.zone == state.settings.zone);
            own.map(|job| PlannerEvent::JobAccepted { job })
        }
        JobChange::Cancelled(job) => Some(PlannerEvent::JobCancelled { job }),
        JobChange::Started(job, attempt) => Some(PlannerEvent::StartRecorded { job, attempt }),
        JobChange::Ended(job) => Some(PlannerEvent::EndRecorded { job }),
    };
    let open = state
        .jobs
        .jobs
        .values()
        .filter(|entry| entry.ended.is_none())
        .count();
    gauge!(OPEN_JOBS).set(open as f64);
    if let Some(event) = event {
        plan(state, event, actions);
    }
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
    state.jobs.answer_waiters(now);
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
            SeatOutput::Append(record) => state.append(&LogStream::Seat(zone.clone()), record),
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
        let entry = state.jobs.jobs.get(&job.id);
        let cancelled = entry
            .is_some_and(|entry| entry.cancelled)
            .then(|| job.id.clone());
        events.push(PlannerEvent::JobAccepted { job });
        events.extend(cancelled.map(|job| PlannerEvent::JobCancelled { job }));
    }
    events.push(PlannerEvent::SeatGained { term });
    events
}

fn plan(state: &mut HostState, event: PlannerEvent, actions: &mut Vec<PlannerAction>) {
    let now = state.clock.now();
    if let Some(planner) = &mut state.planner {
        planner.state.handle(now, event, actions);
    }
}

fn carry_out(state: &HostState, actions: &mut Vec<PlannerAction>) {
    let Some(planner) = &state.planner else {
        actions.clear();
        return;
    };
    let port = &planner.port;
    let zone = &state.settings.zone;
    for action in actions.drain(..) {
        match &action {
            PlannerAction::RecordStart {
                job,
                attempt,
                workers,
            } => {
                let wall = HostClock::wall();
                let record = start_record(job, *attempt, workers, zone, port.term, wall);
                state.append(&LogStream::Jobs, record);
            }
            PlannerAction::RecordEnd { job, ending } => {
                let record = ending_record(job, ending, port.term, HostClock::wall());
                state.append(&LogStream::Jobs, record);
            }
            PlannerAction::ListTasks { worker }
            | PlannerAction::Reserve { worker, .. }
            | PlannerAction::Release { worker, .. }
            | PlannerAction::Start { worker, .. }
            | PlannerAction::Renew { worker, .. }
            | PlannerAction::Checkpoint { worker, .. }
            | PlannerAction::Throttle { worker, .. }
            | PlannerAction::Stop { worker, .. } => {
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
