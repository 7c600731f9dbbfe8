//! The planner in the event loop: starts and stops it, passes events to it and executes
//! its actions.

use std::rc::Rc;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::{LeaderTerm, PlannerEvent};
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::process::record::{EndedEntry, LogEntry, StartedEntry};

use crate::border::hosts::HostListing;
use crate::connection::http_client::HttpClient;
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, LogStream};
use crate::process::host_state::{ActivePlanner, HostState};
use crate::process::log_events::submit_durable;
use crate::process::planner_port::PlannerPort;

/// Passes the workers of the zone that were added, changed or removed to the planner.
pub fn update_workers(
    state: &mut HostState,
    previous: &HostListing,
    actions: &mut Vec<PlannerAction>,
) {
    let zone = state.settings.zone.clone();
    let own = |listing: &HostListing| -> BTreeMap<WorkerName, _> {
        let workers = listing.workers.iter().filter(|worker| worker.zone == zone);
        workers
            .map(|worker| (worker.record.name.clone(), worker.record.clone()))
            .collect()
    };
    let (old, new) = (own(previous), own(&state.listing));
    for (name, worker) in &new {
        if old.get(name) != Some(worker) {
            handle_planner_event(
                state,
                PlannerEvent::WorkerUpdated {
                    worker: worker.clone(),
                },
                actions,
            );
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        handle_planner_event(
            state,
            PlannerEvent::WorkerRemoved {
                worker: name.clone(),
            },
            actions,
        );
    }
}

/// Starts a planner for a new term with the current state of the host.
pub fn start_planner(
    state: &mut HostState,
    client: &HttpClient,
    events: &EventSender,
    actions: &mut Vec<PlannerAction>,
) {
    let term = state.election.term();
    log::info!(host = state.settings.name.as_str(), term = term.0; "leadership gained");
    let port = PlannerPort {
        client: client.clone(),
        events: events.clone(),
        term,
        clock: state.clock,
        may_start_until: Rc::default(),
    };
    let planner = PlannerState::new(state.settings.zone.clone(), state.incarnation);
    state.planner = Some(ActivePlanner {
        state: planner,
        port,
        usage_requested_at: state.clock.now(),
        is_paused: false,
    });
    for event in initial_events(state, term) {
        handle_planner_event(state, event, actions);
    }
}

/// Stops the planner once this host no longer holds its term. While the term is held
/// but the leader lease is not valid for long enough, the planner is paused: running
/// tasks keep their leases and nothing is started. The higher term of a successor
/// fences such renewals.
pub fn stop_or_pause_planner(
    state: &mut HostState,
    may_start: bool,
    actions: &mut Vec<PlannerAction>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let host = state.settings.name.as_str();
    if state.election.state.held_term() != Some(planner.port.term) {
        log::info!(host = host; "leadership lost");
        state.planner = None;
        return;
    }
    let paused = !may_start;
    if std::mem::replace(&mut planner.is_paused, paused) != paused {
        log::debug!(host = host, paused = paused; "task starts paused or resumed");
        handle_planner_event(state, PlannerEvent::StartsPaused { paused }, actions);
    }
}

/// Returns the events that give a new planner the current state, in the order in which
/// it must handle them.
fn initial_events(state: &HostState, term: LeaderTerm) -> Vec<PlannerEvent> {
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
    let updates = workers.map(|w| PlannerEvent::WorkerUpdated {
        worker: w.record.clone(),
    });
    events.extend(updates);
    for job in state.jobs.open_jobs(&state.settings.zone) {
        let entry = state.jobs.table.get(&job.id);
        let cancelled = entry
            .is_some_and(|entry| entry.cancelled.is_some())
            .then(|| job.id.clone());
        events.push(PlannerEvent::JobAccepted { job });
        events.extend(cancelled.map(|job| PlannerEvent::JobCancelled { job }));
    }
    events.push(PlannerEvent::LeadershipGained { term });
    events
}

/// Marks a worker as draining, so that it gets no new calls or tasks.
pub fn mark_draining(
    state: &mut HostState,
    name: &WorkerName,
    incarnation: u64,
    actions: &mut Vec<PlannerAction>,
) {
    state
        .calls
        .dispatcher
        .table
        .mark_draining(name, incarnation);
    let listed = state.listing.workers.iter().map(|worker| &worker.record);
    let own = listed.filter(|record| record.name == *name && record.incarnation == incarnation);
    let updates: Vec<PlannerEvent> = own
        .map(|record| {
            let mut worker = record.clone();
            worker.draining = true;
            PlannerEvent::WorkerUpdated { worker }
        })
        .collect();
    for event in updates {
        handle_planner_event(state, event, actions);
    }
}

/// Passes an event to the planner, if there is one.
pub fn handle_planner_event(
    state: &mut HostState,
    event: PlannerEvent,
    actions: &mut Vec<PlannerAction>,
) {
    let now = state.clock.now();
    if let Some(planner) = &mut state.planner {
        planner.state.handle(now, event, actions);
    }
}

/// Executes the actions of the planner: submits records to the log and sends requests to
/// workers.
pub fn execute_actions(state: &mut HostState, actions: &mut Vec<PlannerAction>) {
    let Some(planner) = &state.planner else {
        actions.clear();
        return;
    };
    let port = planner.port.clone();
    let now = state.clock.now();
    port.may_start_until
        .set(state.election.state.may_start_until(now));
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
                    started_at: HostClock::wall_time(),
                });
                submit_durable(state, &LogStream::Jobs, entry);
            }
            PlannerAction::RecordEnd { job, ending } => {
                let entry = LogEntry::JobEnded(EndedEntry {
                    job,
                    ending,
                    term: port.term,
                    ended_at: HostClock::wall_time(),
                });
                submit_durable(state, &LogStream::Jobs, entry);
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
                port.send(action, address);
            }
        }
    }
}
