//! Looking at workers: one look waits on each worker that has work, so that ends come
//! at once and leases are renewed; the others are left alone. What a listing says is
//! conclusive only for what was settled before the look was sent, since answers on
//! different connections overtake each other.

use crate::prelude::*;
use crate::process::action::{PollOrder, WorkerOrder};
use crate::process::event::{RefusalCause, WorkerAnswer, WorkerError};
use crate::process::planner::limits::LEADER_LEASE_DURATION;
use crate::process::planner::state::{
    CallKind, ORDER_TIMEOUT, PendingCall, PlanContext, PlannerState,
};
use crate::process::planner::worker::PendingPoll;

/// Time for which a worker may hold a look until something ends; the platform takes
/// 2 s at most, and leases are renewed once in this time.
const LOOK_WAIT: Duration = Duration::from_secs(2);
/// The same while the pace of an urgent unit is not known: a worker that is slowed
/// down has to show while moving the unit still brings it home in time.
const URGENT_LOOK_WAIT: Duration = Duration::from_millis(700);
/// Pause before a worker without work is told which ends it may forget; a start
/// within it makes that look needless.
const FORGET_PAUSE: Duration = Duration::from_millis(400);
/// Pause between looks at a worker whose ends are not in the log yet: it would answer
/// a look that waits at once.
const UNRECORDED_PAUSE: Duration = Duration::from_millis(700);
/// First pause before a worker that does not answer is looked at again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest such pause.
const LONGEST_RETRY: Duration = Duration::from_millis(400);

impl PlannerState {
    /// Sends the looks that are due.
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

    /// Whether runs may be started and leases renewed: a successor that cannot reach a
    /// worker counts on it that this ends some time after the log was last heard.
    pub(super) fn has_leader_lease(&self, now: MonotonicTime) -> bool {
        now.since(self.writer.confirmed_at) < LEADER_LEASE_DURATION
    }

    fn send_poll(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        kind: CallKind,
        may_extend: bool,
    ) {
        let now = context.now;
        let lease = self.limits.lease_limit;
        let is_urgent = self.has_unpaced_urgent(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let wait = if kind == CallKind::LongPoll && is_urgent {
            URGENT_LOOK_WAIT
        } else if kind == CallKind::LongPoll {
            LOOK_WAIT
        } else {
            Duration::ZERO
        };
        // A worker that does not answer gets no longer lease: its bound has to pass, so
        // that what ran there can run elsewhere.
        let needs_lease = (worker.is_occupied() || !worker.link.has_complete_listing)
            && worker.link.failures == 0;
        let order = PollOrder {
            acknowledged: worker.link.recorded_end,
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
    fn has_unpaced_urgent(&self, name: &WorkerName) -> bool {
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

    /// Notes what an exchange says of the connection to the worker.
    pub(super) fn record_exchange(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        result: &Result<WorkerAnswer, WorkerError>,
    ) {
        let now = context.now;
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
                if link.failures > 0 {
                    log::info!(target: "worker", worker = call.worker.as_str(), failures = link.failures; "worker answers again");
                    self.is_dirty = true;
                }
                link.failures = 0;
                if let WorkerAnswer::Refused { cause, .. } = answer {
                    self.take_exchange_refusal(context, call, *cause);
                }
            }
            // A failure of one connection says nothing while another brings answers.
            Err(_)
                if link
                    .answered_at
                    .is_some_and(|at| now.since(at) < ORDER_TIMEOUT) => {}
            Err(fault) => {
                if link.failures == 0 {
                    log::info!(target: "worker", worker = call.worker.as_str(), fault = fault.label(); "worker does not answer");
                }
                let pause = RETRY_DELAY * 2_u32.saturating_pow(link.failures.min(4));
                link.failures += 1;
                link.short_poll_at = Some(now + pause.min(LONGEST_RETRY));
            }
        }
    }

    /// Takes a refusal of a look or stop; those of starts are handled with the start.
    fn take_exchange_refusal(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        cause: RefusalCause,
    ) {
        if cause == RefusalCause::IncarnationMismatch {
            // The workers stream tells the new life within a heartbeat.
            self.release_lost_units(context, &call.worker, "worker has another life");
            if let Some(worker) = self.workers.get_mut(&call.worker) {
                worker.is_listed = false;
            }
        }
        let is_look = matches!(call.kind, CallKind::LongPoll | CallKind::ShortPoll);
        if is_look && cause == RefusalCause::Fenced {
            self.mark_superseded("a worker");
        }
        if is_look && let Some(worker) = self.workers.get_mut(&call.worker) {
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

/// The look that is due on a worker, if any.
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
    let has_told_all = link.handled_end == link.recorded_end;
    let is_stale = link
        .answered_at
        .is_none_or(|at| now.since(at) >= UNRECORDED_PAUSE);
    if worker.is_occupied() && !has_told_all && link.short_poll.is_none() && is_stale {
        return Some(CallKind::ShortPoll);
    }
    if worker.is_occupied() && has_told_all && link.long_poll.is_none() {
        return Some(CallKind::LongPoll);
    }
    let is_forgetting_due = link.recorded_end > link.acknowledged_end && !worker.is_occupied();
    let is_quiet = link
        .answered_at
        .is_some_and(|at| now.since(at) >= FORGET_PAUSE);
    (is_forgetting_due && is_quiet && link.short_poll.is_none()).then_some(CallKind::ShortPoll)
}
