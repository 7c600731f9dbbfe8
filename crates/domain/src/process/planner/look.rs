//! Looking at workers: one look waits on each worker that has work, so that ends come
//! at once and leases are renewed; the others are left alone. What a listing says is
//! conclusive only for what was settled before the look was sent, since answers on
//! different connections overtake each other.

use crate::prelude::*;
use crate::process::action::{LookOrder, WorkerOrder};
use crate::process::event::{RefusalCause, WorkerAnswer, WorkerFault};
use crate::process::planner::limits::AUTHORITY_TIME;
use crate::process::planner::state::{
    CallKind, ORDER_TIME, PendingCall, PlanContext, PlannerState,
};
use crate::process::planner::worker::PendingLook;

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
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause.
const LONGEST_RETRY: Duration = Duration::from_millis(400);

impl PlannerState {
    /// Sends the looks that are due.
    pub(super) fn send_looks(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let may_extend = self.has_authority(now);
        let names: Vec<_> = self
            .workers
            .iter()
            .filter_map(|(name, worker)| due_look(worker, now).map(|kind| (name.clone(), kind)))
            .collect();
        for (name, kind) in names {
            self.send_look(context, &name, kind, may_extend);
        }
    }

    /// Whether runs may be started and leases renewed: a successor that cannot reach a
    /// worker counts on it that this ends some time after the log was last heard.
    pub(super) fn has_authority(&self, now: MonotonicTime) -> bool {
        now.since(self.writer.confirmed_at) < AUTHORITY_TIME
    }

    fn send_look(
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
        let wait = if kind == CallKind::LongLook && is_urgent {
            URGENT_LOOK_WAIT
        } else if kind == CallKind::LongLook {
            LOOK_WAIT
        } else {
            Duration::ZERO
        };
        // A worker that does not answer gets no longer lease: its bound has to pass, so
        // that what ran there can run elsewhere.
        let needs_lease =
            (worker.is_occupied() || !worker.link.is_surveyed) && worker.link.failures == 0;
        let order = LookOrder {
            acknowledged: worker.link.recorded_end,
            lease_until: (may_extend && needs_lease).then(|| worker.link.extend_lease(now, lease)),
            wait,
        };
        if kind == CallKind::QuickLook {
            worker.link.quick_at = None;
        }
        let ticket = self.send_order(context, name, kind, WorkerOrder::Look(order), wait);
        let look = ticket.map(|ticket| PendingLook {
            ticket,
            acknowledged: order.acknowledged,
        });
        if let Some(worker) = self.workers.get_mut(name) {
            if kind == CallKind::LongLook {
                worker.link.long_look = look;
            } else {
                worker.link.quick_look = look;
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
    pub(super) fn note_exchange(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        result: &Result<WorkerAnswer, WorkerFault>,
    ) {
        let now = context.now;
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let link = &mut worker.link;
        let look = match call.kind {
            CallKind::LongLook => link.long_look.take(),
            CallKind::QuickLook => link.quick_look.take(),
            CallKind::Start { .. } | CallKind::Stop { .. } => None,
        };
        match result {
            Ok(answer) => {
                if let Some(look) = look {
                    link.forgotten_end = link.forgotten_end.max(look.acknowledged);
                }
                if let Some(clock) = answer_clock(answer) {
                    link.note_clock(now, clock);
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
                    .is_some_and(|at| now.since(at) < ORDER_TIME) => {}
            Err(fault) => {
                if link.failures == 0 {
                    log::info!(target: "worker", worker = call.worker.as_str(), fault = fault.word(); "worker does not answer");
                }
                let pause = RETRY_PAUSE * 2_u32.saturating_pow(link.failures.min(4));
                link.failures += 1;
                link.quick_at = Some(now + pause.min(LONGEST_RETRY));
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
        if cause == RefusalCause::OtherLife {
            // The workers stream tells the new life within a heartbeat.
            self.lose_worker_units(context, &call.worker, "worker has another life");
            if let Some(worker) = self.workers.get_mut(&call.worker) {
                worker.is_listed = false;
            }
        }
        let is_look = matches!(call.kind, CallKind::LongLook | CallKind::QuickLook);
        if is_look && cause == RefusalCause::Fenced {
            self.note_deposed("a worker");
        }
        if is_look && let Some(worker) = self.workers.get_mut(&call.worker) {
            worker.link.quick_at = Some(context.now + RETRY_PAUSE);
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
fn due_look(
    worker: &crate::process::planner::worker::PlanWorker,
    now: MonotonicTime,
) -> Option<CallKind> {
    let link = &worker.link;
    let is_quick_due = link.quick_at.is_some_and(|at| now >= at) && link.quick_look.is_none();
    if link.failures > 0 {
        let is_wanted = worker.is_occupied() || worker.is_listed;
        return (is_quick_due && is_wanted).then_some(CallKind::QuickLook);
    }
    if !link.is_surveyed {
        let is_wanted = worker.is_listed || worker.is_occupied();
        return (link.quick_look.is_none() && is_wanted).then_some(CallKind::QuickLook);
    }
    if is_quick_due {
        return Some(CallKind::QuickLook);
    }
    let has_told_all = link.seen_end == link.recorded_end;
    let is_stale = link
        .answered_at
        .is_none_or(|at| now.since(at) >= UNRECORDED_PAUSE);
    if worker.is_occupied() && !has_told_all && link.quick_look.is_none() && is_stale {
        return Some(CallKind::QuickLook);
    }
    if worker.is_occupied() && has_told_all && link.long_look.is_none() {
        return Some(CallKind::LongLook);
    }
    let is_forgetting_due = link.recorded_end > link.forgotten_end && !worker.is_occupied();
    let is_quiet = link
        .answered_at
        .is_some_and(|at| now.since(at) >= FORGET_PAUSE);
    (is_forgetting_due && is_quiet && link.quick_look.is_none()).then_some(CallKind::QuickLook)
}
