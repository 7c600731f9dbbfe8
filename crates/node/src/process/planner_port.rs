//! Sends the planner's requests to workers. Each request runs as a task whose answer
//! comes back as an event.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::{LeaderTerm, PlannerEvent, TargetError};
use metrics::counter;

use crate::border::target::{START_TIMEOUT, TargetClient};
use crate::connection::http_client::HttpClient;
use crate::process::counters::TASK_REQUESTS;
use crate::process::host_clock::HostClock;
use crate::process::host_event::{EventSender, HostEvent};

/// Sends the requests of the planner in one term.
#[derive(Clone, Debug)]
pub struct PlannerPort {
    /// Client for requests to workers.
    pub client: HttpClient,
    /// Sender for the answers.
    pub events: EventSender,
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Clock of the host.
    pub clock: HostClock,
    /// Time until which starts are allowed; updated by the event loop.
    pub may_start_until: Rc<Cell<MonotonicTime>>,
}

impl PlannerPort {
    /// Sends a request to a worker. The answer is `Unreachable` without a request if the
    /// worker is unknown, or if a start could be sent after the leader lease has expired.
    /// The clock is read in the sending task, because the process may have been paused
    /// since the action was queued.
    pub fn send(&self, action: PlannerAction, address: Option<SocketAddr>) {
        let port = self.clone();
        tokio::task::spawn_local(async move {
            let address = address.filter(|_| port.is_allowed(&action));
            let term = port.term;
            let event = match address {
                Some(address) => {
                    let client = port.client.clone();
                    let target = TargetClient {
                        client,
                        address,
                        term,
                    };
                    execute(target, action, &port.events).await
                }
                None => unreachable_answer(action),
            };
            if let Some(event) = event {
                let _ = port.events.send(HostEvent::PlannerAnswered { term, event });
            }
        });
    }

    fn is_allowed(&self, action: &PlannerAction) -> bool {
        let is_start = matches!(
            action,
            PlannerAction::Start { .. } | PlannerAction::Reserve { .. }
        );
        !is_start || self.clock.now() + START_TIMEOUT <= self.may_start_until.get()
    }
}

async fn execute(
    target: TargetClient,
    action: PlannerAction,
    events: &EventSender,
) -> Option<PlannerEvent> {
    let event = match action {
        PlannerAction::ListTasks { worker } => match target.list_tasks().await {
            Ok(list) => {
                let incarnation = list.incarnation;
                if list.draining {
                    let worker = worker.clone();
                    let _ = events.send(HostEvent::WorkerDraining {
                        worker,
                        incarnation,
                    });
                }
                PlannerEvent::TasksListed {
                    worker,
                    incarnation,
                    tasks: list.tasks,
                }
            }
            Err(_) => PlannerEvent::ListFailed { worker },
        },
        PlannerAction::Reserve {
            task,
            demand,
            lease,
            ..
        } => {
            let result = target.reserve(&task, demand, lease).await;
            PlannerEvent::ReserveAnswered { task, result }
        }
        PlannerAction::Start {
            task, order, lease, ..
        } => {
            let result = target.start(&task, &order, lease).await;
            PlannerEvent::StartAnswered { task, result }
        }
        PlannerAction::Renew {
            worker,
            tasks,
            lease,
        } => {
            let result = target.renew(&tasks, lease).await;
            PlannerEvent::RenewAnswered { worker, result }
        }
        PlannerAction::Checkpoint { task, .. } => {
            let result = target.checkpoint(&task).await;
            PlannerEvent::CheckpointAnswered { task, result }
        }
        PlannerAction::Release { task, .. } => {
            let result = target.release(&task).await;
            PlannerEvent::StopAnswered { task, result }
        }
        PlannerAction::Stop { task, .. } => {
            let result = target.stop(&task).await;
            PlannerEvent::StopAnswered { task, result }
        }
        PlannerAction::Throttle { task, percent, .. } => {
            let _ = target.throttle(&task, percent).await;
            return None;
        }
        PlannerAction::RecordStart { .. } | PlannerAction::RecordEnd { .. } => return None,
    };
    count_answer(&event);
    Some(event)
}

fn unreachable_answer(action: PlannerAction) -> Option<PlannerEvent> {
    let error = TargetError::Unreachable;
    match action {
        PlannerAction::ListTasks { worker } => Some(PlannerEvent::ListFailed { worker }),
        PlannerAction::Reserve { task, .. } => Some(PlannerEvent::ReserveAnswered {
            task,
            result: Err(error),
        }),
        PlannerAction::Start { task, .. } => Some(PlannerEvent::StartAnswered {
            task,
            result: Err(error),
        }),
        PlannerAction::Renew { worker, .. } => Some(PlannerEvent::RenewAnswered {
            worker,
            result: Err(error),
        }),
        PlannerAction::Checkpoint { task, .. } => Some(PlannerEvent::CheckpointAnswered {
            task,
            result: Err(error),
        }),
        PlannerAction::Release { task, .. } | PlannerAction::Stop { task, .. } => {
            Some(PlannerEvent::StopAnswered {
                task,
                result: Err(error),
            })
        }
        PlannerAction::Throttle { .. }
        | PlannerAction::RecordStart { .. }
        | PlannerAction::RecordEnd { .. } => None,
    }
}

fn count_answer(event: &PlannerEvent) {
    let (verb, is_done) = match event {
        PlannerEvent::TasksListed { .. } => ("list", true),
        PlannerEvent::ListFailed { .. } => ("list", false),
        PlannerEvent::ReserveAnswered { result, .. } => ("reserve", result.is_ok()),
        PlannerEvent::StartAnswered { result, .. } => ("start", result.is_ok()),
        PlannerEvent::RenewAnswered { result, .. } => ("renew", result.is_ok()),
        PlannerEvent::CheckpointAnswered { result, .. } => ("checkpoint", result.is_ok()),
        PlannerEvent::StopAnswered { result, .. } => ("stop", result.is_ok()),
        _ => return,
    };
    let outcome = if is_done { "done" } else { "failed" };
    counter!(TASK_REQUESTS, "verb" => verb, "outcome" => outcome).increment(1);
}
