//! Starts that were not answered and may still be carried out. The stop that ended such a run
//! binds only the incarnation that answered it: the worker may restart under its name, and
//! its next incarnation carries out the start. The unit therefore starts again only while the
//! worker is known to be the incarnation that refuses the start.

use crate::prelude::*;
use crate::process::planner::state::{PlannerState, StopOrder};
use crate::process::planner::worker::{MIN_RESTART_TIME, PlanWorker};

/// Time after which an order that was not answered is presumed lost. The platform carries
/// such orders out some seconds late.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// A start of a released member that may still be carried out.
#[derive(Clone, Debug)]
pub(super) struct LateStart {
    unit: UnitKey,
    run: RunNumber,
    worker: WorkerName,
    /// Newest known incarnation of the worker that refuses the start.
    refused_by: WorkerIncarnation,
    /// Incarnation that answered a stop of the run, and when; a listing requested later
    /// contains the run if the start was carried out before.
    stopped: Option<(WorkerIncarnation, MonotonicTime)>,
    until: MonotonicTime,
}

impl LateStart {
    /// Whether its worker is known to be the incarnation that refuses it.
    fn is_refused(&self, worker: &PlanWorker, now: MonotonicTime) -> bool {
        let answered_at = worker.link.answered_at;
        let is_answering = worker.link.failures == 0
            && answered_at.is_some_and(|at| now.since(at) <= MIN_RESTART_TIME);
        worker.incarnation() == self.refused_by && is_answering
    }
}

impl PlannerState {
    /// Remembers the start of a member that is released although the start was not answered.
    pub(super) fn remember_late_start(&mut self, now: MonotonicTime, key: &GroupKey, index: usize) {
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let Some(group) = group else {
            return;
        };
        let member = group.members.get(index);
        let Some(member) = member.filter(|member| !member.is_start_answered) else {
            return;
        };
        let Some(worker) = self.workers.get(&member.worker) else {
            return;
        };
        let late = LateStart {
            unit: key.unit(index as u16),
            run: group.run,
            worker: member.worker.clone(),
            refused_by: worker.incarnation(),
            stopped: None,
            until: now + MAX_ORDER_DELAY,
        };
        self.late_starts.entry(*key).or_default().push(late);
    }

    /// Returns the workers that may have restarted and carried out a late start since their
    /// newest answer, and polls them. Their free capacity is unknown, and the units of the
    /// late starts may run there.
    pub(super) fn poll_uncertain_workers(&mut self, now: MonotonicTime) -> BTreeSet<WorkerName> {
        let uncertain = self.uncertain_workers(now);
        for name in &uncertain {
            let worker = self.workers.get_mut(name);
            if let Some(worker) = worker.filter(|worker| worker.link.short_poll.is_none()) {
                worker.link.short_poll_at.get_or_insert(now);
            }
        }
        uncertain
    }

    /// Returns the workers that may have restarted and carried out a late start.
    pub(super) fn uncertain_workers(&self, now: MonotonicTime) -> BTreeSet<WorkerName> {
        let mut uncertain = BTreeSet::new();
        for late in self.late_starts.values().flatten() {
            let Some(worker) = self.workers.get(&late.worker) else {
                uncertain.insert(late.worker.clone());
                continue;
            };
            if late.is_refused(worker, now) {
                continue;
            }
            uncertain.insert(late.worker.clone());
        }
        uncertain
    }

    /// Whether a start of one of the group's units may have been carried out late.
    pub(super) fn awaits_late_start(
        &self,
        key: &GroupKey,
        uncertain: &BTreeSet<WorkerName>,
    ) -> bool {
        let late_starts = self.late_starts.get(key);
        let mut late_starts = late_starts.into_iter().flatten();
        late_starts.any(|late| uncertain.contains(&late.worker))
    }

    /// Whether the start of a stopped run of the group may be carried out late now.
    pub(super) fn has_uncertain_start(&self, now: MonotonicTime, key: &GroupKey) -> bool {
        let late_starts = self.late_starts.get(key);
        let mut late_starts = late_starts.into_iter().flatten();
        late_starts.any(|late| {
            let worker = self.workers.get(&late.worker);
            worker.is_none_or(|worker| !late.is_refused(worker, now))
        })
    }

    /// Stops the runs of late starts on workers that have restarted, and forgets starts that
    /// are presumed lost.
    pub(super) fn check_late_starts(&mut self, now: MonotonicTime) {
        self.late_starts.retain(|_, late_starts| {
            late_starts.retain(|late| now < late.until);
            !late_starts.is_empty()
        });
        for late in self.late_starts.values().flatten() {
            let incarnation = self.workers.get(&late.worker).map(PlanWorker::incarnation);
            let is_stopped = late.stopped.map(|(stopped, _)| stopped) == incarnation;
            if incarnation.is_none_or(|incarnation| incarnation == late.refused_by) || is_stopped {
                continue;
            }
            self.stopping.entry(late.unit).or_insert(StopOrder {
                run: late.run,
                worker: late.worker.clone(),
                was_running: false,
                ticket: None,
                send_at: now,
            });
        }
    }

    /// Records that a worker has answered the stop of a run, so that its incarnation refuses a
    /// late start of that run.
    pub(super) fn record_late_stop(
        &mut self,
        now: MonotonicTime,
        name: &WorkerName,
        unit: &UnitKey,
        run: RunNumber,
    ) {
        let Some(incarnation) = self.workers.get(name).map(PlanWorker::incarnation) else {
            return;
        };
        for late in self.late_starts.values_mut().flatten() {
            if late.worker == *name && late.unit == *unit && late.run <= run {
                late.stopped = Some((incarnation, now));
            }
        }
    }

    /// Notes the late starts that an incarnation refuses for certain: it had answered their
    /// stop before the listing, requested at `sent_at`, that shows what had begun before.
    pub(super) fn resolve_late_starts(
        &mut self,
        name: &WorkerName,
        incarnation: WorkerIncarnation,
        sent_at: MonotonicTime,
    ) {
        for late in self.late_starts.values_mut().flatten() {
            let is_stopped = late
                .stopped
                .is_some_and(|(stopped, at)| stopped == incarnation && at <= sent_at);
            if late.worker == *name && is_stopped {
                late.refused_by = incarnation;
            }
        }
    }
}
