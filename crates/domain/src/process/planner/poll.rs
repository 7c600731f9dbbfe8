//! Polls of the workers. One long poll is pending at each worker with work, so that ends
//! are reported at once and leases are renewed; idle workers are not polled. A listing is
//! conclusive only for members whose start or stop was answered before the poll was
//! sent, since answers on different connections may arrive out of order.

use crate::prelude::*;
use crate::process::action::{PollOrder, WorkerOrder};
use crate::process::election::HEARTBEAT_TIMEOUT;
use crate::process::event::{RefusalCause, WorkerAnswer, WorkerError};
use crate::process::planner::evidence::ReleaseEvidence;
use crate::process::planner::limits::LEADER_LEASE_DURATION;
use crate::process::planner::state::{
    CallKind, ORDER_TIMEOUT, PendingCall, PlanContext, PlannerState,
};
use crate::process::planner::worker::PendingPoll;

/// Time for which a worker may hold a long poll until a run ends. The platform allows
/// 2 s at most. The next poll renews the leases, so they are renewed once in this time.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// The same while the pace of an urgent unit is unknown: a slowed-down worker has to be
/// detected while moving the unit can still meet its objective.
const URGENT_POLL_WAIT: Duration = Duration::from_millis(700);
/// Delay before ends are acknowledged to a worker without work; a start within it makes
/// this poll unnecessary.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(400);
/// Interval between polls of a worker whose ends are not in the log yet: it would answer
/// a long poll at once, since it has unacknowledged ends.
const PENDING_END_INTERVAL: Duration = Duration::from_millis(700);
/// Initial delay before a worker that does not answer is polled again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Limit of this delay, which doubles with each failure.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

impl PlannerState {
    /// Sends the polls that are due.
    pub(super) fn send_polls(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let may_extend = self.has_leader_lease(now);
        let names: Vec<_> = self
            .workers
            .iter()
            .filter_map(|(name, worker)| due_poll(worker, now).map(|kind| (name.clone(), kind)))
            .collect();
        for (name, kind) in names {
            self.send_poll(context, &name, kind, may_extend);
        }
    }

    /// Whether the planner may start runs and renew leases: the log confirmed its epoch
    /// recently, and it has not begun to resign. A successor that cannot reach a worker
    /// relies on this limit to know when the worker's leases have expired. The resignation
    /// may be in the log long before the planner learns so.
    pub(super) fn has_leader_lease(&self, now: MonotonicTime) -> bool {
        !self.is_resigning && now.since(self.writer.confirmed_at) < LEADER_LEASE_DURATION
    }

    /// Whether no successor can have begun to plan: the log confirmed the epoch less than a
    /// heartbeat timeout ago, and the planner has not begun to resign. Orders that no worker's
    /// fence guards, such as those for machines, need this.
    pub(super) fn is_sole_planner(&self, now: MonotonicTime) -> bool {
        !self.is_resigning && now.since(self.writer.confirmed_at) < HEARTBEAT_TIMEOUT
    }

    fn send_poll(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        kind: CallKind,
        may_extend: bool,
    ) {
        let now = context.now;
        let is_urgent = self.has_unpaced_urgent_unit(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let wait = if kind == CallKind::LongPoll && is_urgent {
            URGENT_POLL_WAIT
        } else if kind == CallKind::LongPoll {
            POLL_WAIT
        } else {
            Duration::ZERO
        };
        // The lease of a worker that does not answer is not extended: it has to expire
        // before its units may run elsewhere.
        let needs_lease = (worker.is_occupied() || !worker.link.has_complete_listing)
            && worker.link.failures == 0;
        let lease = worker.lease(&self.limits);
        let order = PollOrder {
            acknowledged: worker.link.acknowledgeable_end(now),
            lease_until: (may_extend && needs_lease).then(|| worker.link.extend_lease(now, lease)),
            wait,
        };
        if kind == CallKind::ShortPoll {
            worker.link.short_poll_at = None;
        }
        let ticket = self.send_order(context, name, kind, WorkerOrder::Poll(order), wait);
        let poll = ticket.map(|ticket| PendingPoll {
            ticket,
            acknowledged: order.acknowledged,
        });
        if let Some(worker) = self.workers.get_mut(name) {
            if kind == CallKind::LongPoll {
                worker.link.long_poll = poll;
            } else {
                worker.link.short_poll = poll;
            }
        }
    }

    /// Whether a worker runs an urgent unit whose pace is not known yet.
    fn has_unpaced_urgent_unit(&self, name: &WorkerName) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        worker.holdings.values().any(|holding| {
            let job = self.jobs.get(&holding.group.job);
            let Some(job) = job.filter(|job| job.accepted.priority == 0) else {
                return false;
            };
            let member = job
                .group(&holding.group)
                .and_then(|group| group.members.get(holding.member));
            member.is_some_and(|member| member.progress.pace.is_none())
        })
    }

    /// Updates the state of the connection to a worker from the result of a call.
    pub(super) fn record_exchange(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        result: &Result<WorkerAnswer, WorkerError>,
    ) {
        let now = context.now;
        let was_sent_in_outage = self.was_sent_in_outage(call.sent_at);
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let link = &mut worker.link;
        let poll = match call.kind {
            CallKind::LongPoll => link.long_poll.take(),
            CallKind::ShortPoll => link.short_poll.take(),
            CallKind::Start { .. } | CallKind::Stop { .. } => None,
        };
        match result {
            Ok(answer) => {
                if let Some(poll) = poll {
                    link.acknowledged_end = link.acknowledged_end.max(poll.acknowledged);
                }
                if let Some(clock) = answer_clock(answer) {
                    link.update_clock(now, clock);
                }
                link.answered_at = Some(now);
                let is_recovery = link.failures > 0;
                if is_recovery {
                    log::info!(target: "worker", worker = call.worker.as_str(), failures = link.failures; "worker answers again");
                    self.is_dirty = true;
                }
                link.failures = 0;
                self.note_answer(now, is_recovery);
                if let WorkerAnswer::Refused { cause, .. } = answer {
                    self.handle_exchange_refusal(context, call, *cause);
                }
            }
            // A failure on one connection does not count while another delivers answers.
            Err(_)
                if link
                    .answered_at
                    .is_some_and(|at| now.since(at) < ORDER_TIMEOUT) => {}
            Err(error) => {
                if link.failures == 0 {
                    log::info!(target: "worker", worker = call.worker.as_str(), fault = error.label(); "worker does not answer");
                }
                let delay = RETRY_DELAY * 2_u32.saturating_pow(link.failures.min(4));
                link.failures += 1;
                link.short_poll_at = Some(if was_sent_in_outage {
                    now
                } else {
                    now + delay.min(MAX_RETRY_DELAY)
                });
            }
        }
    }

    /// Handles the refusal of a poll, and a changed incarnation in a refusal of any
    /// order. Other refusals are handled with the results of starts and stops.
    fn handle_exchange_refusal(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        cause: RefusalCause,
    ) {
        if cause == RefusalCause::IncarnationMismatch {
            // The workers stream reports the new incarnation within a heartbeat.
            self.release_lost_units(
                context,
                &call.worker,
                ReleaseEvidence::IncarnationChanged,
                "the worker's incarnation has changed",
            );
            if let Some(worker) = self.workers.get_mut(&call.worker) {
                worker.is_listed = false;
            }
        }
        let is_poll = matches!(call.kind, CallKind::LongPoll | CallKind::ShortPoll);
        if is_poll && cause == RefusalCause::Fenced {
            self.mark_superseded("a worker");
        }
        if is_poll && let Some(worker) = self.workers.get_mut(&call.worker) {
            worker.link.short_poll_at = Some(context.now + RETRY_DELAY);
        }
    }
}

fn answer_clock(answer: &WorkerAnswer) -> Option<WorkerClock> {
    match answer {
        WorkerAnswer::Done { clock } => Some(*clock),
        WorkerAnswer::Refused { clock, .. } => *clock,
        WorkerAnswer::Listed(listing) => Some(listing.clock),
    }
}

/// Returns the kind of poll that is due on a worker, if any.
fn due_poll(
    worker: &crate::process::planner::worker::PlanWorker,
    now: MonotonicTime,
) -> Option<CallKind> {
    let link = &worker.link;
    let is_short_poll_due =
        link.short_poll_at.is_some_and(|at| now >= at) && link.short_poll.is_none();
    if link.failures > 0 {
        let is_wanted = worker.is_occupied() || worker.is_listed;
        return (is_short_poll_due && is_wanted).then_some(CallKind::ShortPoll);
    }
    if !link.has_complete_listing {
        let is_wanted = worker.is_listed || worker.is_occupied();
        return (link.short_poll.is_none() && is_wanted).then_some(CallKind::ShortPoll);
    }
    if is_short_poll_due {
        return Some(CallKind::ShortPoll);
    }
    let has_recorded_ends = link.handled_end == link.recorded_end;
    let is_stale = link
        .answered_at
        .is_none_or(|at| now.since(at) >= PENDING_END_INTERVAL);
    if worker.is_occupied() && !has_recorded_ends && link.short_poll.is_none() && is_stale {
        return Some(CallKind::ShortPoll);
    }
    if worker.is_occupied() && has_recorded_ends && link.long_poll.is_none() {
        return Some(CallKind::LongPoll);
    }
    let is_ack_due = link.recorded_end > link.acknowledged_end && !worker.is_occupied();
    let is_quiet = link
        .answered_at
        .is_some_and(|at| now.since(at) >= ACKNOWLEDGE_DELAY);
    (is_ack_due && is_quiet && link.short_poll.is_none()).then_some(CallKind::ShortPoll)
}
