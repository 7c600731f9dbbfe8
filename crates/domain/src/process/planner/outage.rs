//! Outages of the connection between the planner and all workers that outlast leases: a cut
//! network, or a planner that was frozen. The runs were counted as lost, yet their workers may
//! have completed them and still keep the ends. Once workers answer again, all others that did
//! not answer are polled at once, and those units wait until the ends can be known.

use crate::prelude::*;
use crate::process::planner::job::PlanGroup;
use crate::process::planner::state::{ORDER_TIMEOUT, PlannerState};

/// Time without an answer of any worker after which the first answer ends an outage. A single
/// order times out before that.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// Time from the end of an outage for which units wait whose runs were lost in it: a poll that
/// was sent during the outage times out, and the next one is answered.
const ENDS_WAIT: Duration = ORDER_TIMEOUT.saturating_add(Duration::from_millis(100));

/// Newest outage of the connection to all workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerOutage {
    /// Newest answer before it.
    since: MonotonicTime,
    /// First answer after it.
    until: MonotonicTime,
}

impl PlannerState {
    /// Notes an answer of a worker. `is_recovery` says that the worker did not answer before.
    pub(super) fn note_answer(&mut self, now: MonotonicTime, is_recovery: bool) {
        let since = self.answered_at;
        self.answered_at = now;
        if !is_recovery || now.since(since) < MIN_OUTAGE {
            return;
        }
        log::info!(target: "worker", silence_ms = now.since(since).as_millis() as u64; "workers answer again after an outage");
        self.outage = Some(WorkerOutage { since, until: now });
        let failing = self
            .workers
            .values_mut()
            .filter(|worker| worker.link.failures > 0);
        for worker in failing {
            worker.link.short_poll_at = Some(now);
        }
    }

    /// Whether a call that failed was sent during the outage, so that it says nothing about its
    /// worker.
    pub(super) fn was_sent_in_outage(&self, sent_at: MonotonicTime) -> bool {
        self.outage.is_some_and(|outage| sent_at < outage.until)
    }

    /// Whether the run of a group was counted as lost in an outage that ended so recently that
    /// its worker may not have reported the end yet.
    pub(super) fn awaits_ends(&self, now: MonotonicTime, group: &PlanGroup) -> bool {
        let Some((lost_at, outage)) = group.lost_at.zip(self.outage) else {
            return false;
        };
        lost_at >= outage.since && now < outage.until + ENDS_WAIT
    }
}
