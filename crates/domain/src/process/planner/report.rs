//! Reports that workers write about themselves. When the entry of a worker is removed,
//! decides whether the worker has left, together with all its runs, or is only
//! disconnected and may go on running them.

use crate::prelude::*;
use crate::process::planner::evidence::ReleaseEvidence;
use crate::process::planner::job::MemberStage;
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::PlanWorker;
use crate::process::worker_report::WorkerReport;

/// Age of a draining worker's newest report below which the removal of its entry means
/// that it has left. Workers report every 1.5 s, and a report is read up to half a second
/// late. Entries that are removed for silence, or during an outage of the log, are removed
/// later than that.
const MAX_DEPARTURE_SILENCE: Duration = Duration::from_millis(2_500);

impl PlannerState {
    /// Applies a worker's report, or the removal of its entry if `report` is `None`. The
    /// record was not written before `written_after`, if that is known.
    pub fn apply_report(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        report: Option<Arc<WorkerReport>>,
        written_after: Option<MonotonicTime>,
    ) {
        let Some(report) = report else {
            return self.handle_removal(context, name);
        };
        let known = self
            .workers
            .get(name)
            .map(|worker| worker.report.incarnation);
        match known {
            None => {
                log::info!(
                    target: "worker", worker = name.as_str(), life = report.incarnation.0,
                    zone = report.zone.as_str(),
                    rack = report.rack.as_ref().map_or("none", RackName::as_str);
                    "worker listed"
                );
                let worker = PlanWorker::new(report, context.now, written_after);
                self.workers.insert(name.clone(), worker);
                self.cordon_unlocated(context.now, name);
                self.restore_claims(name);
                self.adopt_unlisted_members(name);
                self.is_dirty = true;
            }
            Some(incarnation) if incarnation < report.incarnation => {
                self.replace_worker(context, name, report, written_after);
            }
            Some(incarnation) if incarnation > report.incarnation => {}
            Some(_) => self.refresh_worker(context.now, name, report, written_after),
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.refresh_unsampled(context.now);
            if self.limits.evacuation_bound.is_some() {
                worker.refresh_cold(context.now);
            }
        }
    }

    /// Handles the removal of a worker's entry: the worker has left, or was silent for so
    /// long that it may be disconnected and still run its units.
    fn handle_removal(&mut self, context: &mut PlanContext<'_>, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_listed = false;
        let silence = worker.reported_after.map(|at| context.now.since(at));
        let remaining = worker.report.remaining.unwrap_or_default();
        let has_left = worker.is_draining
            && silence
                .is_some_and(|silence| silence < MAX_DEPARTURE_SILENCE && silence >= remaining);
        log::info!(
            target: "worker", worker = name.as_str(), silence_ms = silence.map_or(-1, |silence| silence.as_millis() as i64),
            left = has_left;
            "worker is no longer listed"
        );
        if has_left {
            self.release_lost_units(
                context,
                name,
                ReleaseEvidence::Departed,
                "the worker has left",
            );
        }
    }

    fn refresh_worker(
        &mut self,
        now: MonotonicTime,
        name: &WorkerName,
        report: Arc<WorkerReport>,
        written_after: Option<MonotonicTime>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let was_usable = worker.is_listed && !worker.is_draining;
        if report.is_draining && !worker.is_draining {
            log::info!(target: "worker", worker = name.as_str(); "worker is draining");
        }
        worker.is_listed = true;
        worker.is_draining |= report.is_draining;
        worker.link.refresh_clock(now, report.clock);
        worker.report = report;
        worker.reported_after = worker.reported_after.max(written_after);
        worker.recount();
        self.is_dirty |= was_usable != (worker.is_listed && !worker.is_draining);
    }

    /// Replaces a worker by another incarnation. The runs that an earlier one has listed are
    /// lost. The start of any other run may have reached this incarnation or may still do
    /// so, and this incarnation has seen no stop: the run stays held and is stopped here,
    /// unless its start was sent to this incarnation.
    pub(super) fn replace_worker(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        report: Arc<WorkerReport>,
        written_after: Option<MonotonicTime>,
    ) {
        let (now, incarnation) = (context.now, report.incarnation);
        log::info!(target: "worker", worker = name.as_str(), life = incarnation.0; "worker restarted");
        let evidence = ReleaseEvidence::IncarnationChanged;
        self.release_lost_members(context, name, evidence, "worker started anew", |member| {
            let was_sent = member.stage != MemberStage::Recording;
            !was_sent || member.listed_by.is_some_and(|listed| listed != incarnation)
        });
        let lease = self.limits.lease_limit;
        let mut moved = Vec::new();
        let mut worker = PlanWorker::new(report, now, written_after);
        if let Some(previous) = self.workers.remove(name) {
            worker.known_since = previous.known_since;
            worker.is_cordoned = previous.is_cordoned;
            worker.link.lease_bound = previous.link.lease_bound;
            for (unit, holding) in previous.holdings {
                worker.hold(unit, holding);
                worker.link.bound_foreign_lease(now, lease);
                moved.push((holding.group, holding.member));
            }
        }
        self.workers.insert(name.clone(), worker);
        self.restore_claims(name);
        for (key, index) in moved {
            if let Some(member) = self.member_mut(&key, index)
                && member.incarnation != incarnation
            {
                log::info!(target: "stop", group = key.to_string().as_str(), member = index, worker = name.as_str(); "run may have reached the next incarnation; stopping it there");
                member.incarnation = incarnation;
                member.stage = MemberStage::Starting;
                self.stop_group(now, key);
            }
        }
        // Answers to the calls to the previous incarnation are ignored.
        for stop in self.stopping.values_mut() {
            if stop.worker == *name {
                stop.ticket = None;
                stop.send_at = now;
            }
        }
        self.is_dirty = true;
    }
}
