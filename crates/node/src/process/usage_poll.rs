//! Polls workers that run tasks of this zone for their resource usage, so that the
//! planner detects tasks that exceed what they declared. The reports lag behind the
//! actual usage.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::LeaderTerm;

use crate::border::target::TargetClient;
use crate::connection::http_client::HttpClient;
use crate::process::host_event::HostEvent;
use crate::process::host_state::HostState;

/// Interval between two polls of a worker.
const USAGE_INTERVAL: Duration = Duration::from_secs(10);

/// Polls every worker with running tasks, at most once per `USAGE_INTERVAL`.
pub fn poll_usage(state: &mut HostState, client: &HttpClient, now: MonotonicTime) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    if now.since(planner.usage_requested_at) < USAGE_INTERVAL {
        return;
    }
    planner.usage_requested_at = now;
    let views = planner.state.job_views();
    let workers: BTreeSet<_> = views.into_iter().flat_map(|view| view.workers).collect();
    let (events, term) = (planner.port.events.clone(), planner.port.term);
    for worker in workers {
        if let Some(address) = state.calls.target_address(&worker) {
            let request = request_usage(client.clone(), address, term, events.clone());
            tokio::task::spawn_local(request);
        }
    }
}

async fn request_usage(
    client: HttpClient,
    address: SocketAddr,
    term: LeaderTerm,
    events: crate::process::host_event::EventSender,
) {
    let target = TargetClient {
        client,
        address,
        term,
    };
    // The next poll makes up for a report that is missing.
    for event in target.usage().await.unwrap_or_default() {
        if events
            .send(HostEvent::PlannerAnswered { term, event })
            .is_err()
        {
            return;
        }
    }
}
