//! Asks workers that run tasks of this zone for their use, which lags, so that the
//! planner notices tasks that exceed what they declared.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::LeaderTerm;

use crate::border::target::TargetClient;
use crate::connection::http_client::HttpClient;
use crate::process::host_event::HostEvent;
use crate::process::host_state::HostState;

/// Interval between two reports of one worker.
const USAGE_INTERVAL: Duration = Duration::from_secs(10);

/// Asks every worker with running tasks, at most once per interval.
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
            let asking = ask_usage(client.clone(), address, term, events.clone());
            tokio::task::spawn_local(asking);
        }
    }
}

async fn ask_usage(
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
    // A report that does not come is replaced by the next one.
    for event in target.usage().await.unwrap_or_default() {
        if events
            .send(HostEvent::PlannerAnswered { term, event })
            .is_err()
        {
            return;
        }
    }
}
