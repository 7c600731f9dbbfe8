//! Reconciles the planner's state with the listings of the workers. A listing is
//! conclusive only for members whose start or stop was answered before the listing was
//! requested, since answers on different connections may arrive out of order.

use metrics::counter;

use crate::prelude::*;
use crate::process::event::{RunningUnit, WorkerListing};
use crate::process::planner::evidence::ReleaseEvidence;
use crate::process::planner::job::MemberStage;
use crate::process::planner::poll::RETRY_DELAY;
use crate::process::planner::state::{PendingCall, PlanContext, PlannerState, StopOrder};
use crate::process::planner::worker::Holding;
use crate::process::worker_report::WorkerReport;
use crate::request::submission::UnitDemand;

/// Counter of listed runs of which the unit has a later run on another worker.
pub const DUPLICATE_RUNS: &str = "flamingowalk_domain_duplicate_runs_total";
/// Counter of listings with more runs than the worker's capacity allows.
pub const EXCESS_LISTINGS: &str = "flamingowalk_domain_excess_listings_total";

/// Greatest number of ends in a listing; one with as many may be truncated.
const MAX_LISTED_ENDS: usize = 500;

/// The runs of a listing.
#[derive(Debug)]
struct ListedRuns<'a> {
    /// Incarnation that made the listing, if the listing names it.
    incarnation: Option<WorkerIncarnation>,
    /// When the listing was requested.
    sent_at: MonotonicTime,
    /// Whether its ends are not truncated, so that a run in neither list is no longer on
    /// the worker.
    is_complete: bool,
    running: BTreeMap<UnitKey, &'a RunningUnit>,
    /// Time of the listing by the worker's clock.
    clock: WorkerClock,
}

/// State of a holding according to a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HoldingState {
    /// It occupies the worker, or may do so.
    Held,
    /// Its stop is complete.
    Stopped,
    /// Its run no longer exists, and no end of it was listed.
    Vanished,
}

impl PlannerState {
    /// Handles the listing of a worker's running and ended units.
    pub(super) fn handle_listing(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        listing: &WorkerListing,
    ) {
        let name = &call.worker;
        let incarnation = listing.incarnation.unwrap_or(call.incarnation);
        if incarnation != call.incarnation {
            self.handle_other_incarnation(context, name, incarnation, listing.clock);
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.link.identified_at = Some(context.now);
        }
        let is_complete = listing.ended.len() < MAX_LISTED_ENDS;
        self.handle_ends(context, name, &listing.ended);
        if !self.is_newest_listing(name, listing.clock) {
            return;
        }
        let runs = listing.running.iter();
        let listed = ListedRuns {
            incarnation: listing.incarnation,
            sent_at: call.sent_at,
            is_complete,
            running: runs.map(|run| (run.unit, run)).collect(),
            clock: listing.clock,
        };
        self.reconcile_runs(context, name, &listed);
        if is_complete {
            self.resolve_late_starts(name, incarnation, call.sent_at);
        }
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.link.has_complete_listing
            && is_complete
        {
            worker.link.has_complete_listing = true;
            self.is_dirty = true;
        }
    }

    /// Replaces a worker of which another incarnation than the reported one has answered.
    /// The workers stream reports that incarnation within a heartbeat.
    fn handle_other_incarnation(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        incarnation: WorkerIncarnation,
        clock: WorkerClock,
    ) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let report = WorkerReport {
            incarnation,
            clock,
            is_draining: false,
            remaining: None,
            ..(*worker.report).clone()
        };
        self.replace_worker(context, name, Arc::new(report), None);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.is_listed = false;
        }
    }

    /// Whether no later listing of the worker was handled already: answers on two
    /// connections may arrive out of order.
    fn is_newest_listing(&mut self, name: &WorkerName, clock: WorkerClock) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let is_newest = clock >= worker.link.listed_clock;
        worker.link.listed_clock = worker.link.listed_clock.max(clock);
        is_newest
    }

    /// Compares the runs that the worker lists with the planner's holdings there. Members
    /// that no longer run are released before their groups are stopped, so that no stop
    /// is sent for them.
    fn reconcile_runs(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        listed: &ListedRuns<'_>,
    ) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let held: Vec<_> = worker
            .holdings
            .iter()
            .map(|(unit, holding)| (*unit, *holding))
            .collect();
        let mut lost_groups = Vec::new();
        for (unit, holding) in &held {
            match self.reconcile_holding(context.now, unit, holding, listed) {
                HoldingState::Held => {}
                HoldingState::Stopped => {
                    let evidence = ReleaseEvidence::Stopped;
                    self.release_member(context.now, &holding.group, holding.member, evidence);
                }
                HoldingState::Vanished => {
                    log::info!(target: "end", unit = unit.to_string().as_str(), worker = name.as_str(); "run is not there any more");
                    self.set_stage(&holding.group, holding.member, |_| MemberStage::Stopping);
                    let evidence = ReleaseEvidence::Vanished;
                    self.release_member(context.now, &holding.group, holding.member, evidence);
                    lost_groups.push(holding.group);
                }
            }
        }
        for key in lost_groups {
            self.stop_group(context.now, key);
        }
        self.report_excess(name, &listed.running);
        self.stop_unrecorded_runs(context, name, &listed.running);
    }

    fn reconcile_holding(
        &mut self,
        now: MonotonicTime,
        unit: &UnitKey,
        holding: &Holding,
        listed: &ListedRuns<'_>,
    ) -> HoldingState {
        let key = &holding.group;
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let Some(group) = group else {
            return HoldingState::Held;
        };
        let Some(member) = group.members.get(holding.member) else {
            return HoldingState::Held;
        };
        let run = listed.running.get(unit);
        let run = run.filter(|run| run.run == group.run);
        let (stage, is_listed) = (member.stage, run.is_some());
        let is_inherited = member.is_inherited;
        if is_listed && let Some(member) = self.member_mut(key, holding.member) {
            member.listed_by = listed.incarnation;
            member.is_start_answered = true;
        }
        let is_conclusive = |since: MonotonicTime| listed.is_complete && listed.sent_at >= since;
        match (stage, run) {
            (MemberStage::Starting, Some(run)) => {
                self.set_stage(key, holding.member, |_| MemberStage::Running(now));
                self.update_progress(now, key, holding.member, listed.clock, run);
            }
            (MemberStage::Running(_), Some(run)) => {
                self.update_progress(now, key, holding.member, listed.clock, run);
            }
            (MemberStage::Running(since), None) if is_conclusive(since) => {
                return HoldingState::Vanished;
            }
            (MemberStage::Stopped(since), None) if is_conclusive(since) => {
                return HoldingState::Stopped;
            }
            // The stop need not be awaited: the group began to stop since another member was
            // missing, and this one would hold its capacity beside the runs in its place.
            (MemberStage::Stopping, None) if is_inherited && listed.is_complete => {
                return HoldingState::Vanished;
            }
            _ => {}
        }
        HoldingState::Held
    }

    /// Stops runs that the planner has no record of, or that it has released: an earlier
    /// planner started and then abandoned them, or their start was executed late.
    fn stop_unrecorded_runs(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        running: &BTreeMap<UnitKey, &RunningUnit>,
    ) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let mut unrecorded = BTreeMap::new();
        for (unit, listed) in running {
            let is_newest = self.locate_run(unit, listed.run).is_some();
            if !is_newest || !worker.holdings.contains_key(unit) {
                unrecorded.insert(*unit, listed.run);
            }
        }
        let lease = self.limits.lease_limit;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !unrecorded.is_empty() {
            worker.link.bound_foreign_lease(context.now, lease);
        }
        let had_unrecorded = !worker.unrecorded.is_empty();
        worker.unrecorded.clone_from(&unrecorded);
        if had_unrecorded || !unrecorded.is_empty() {
            // While they run, the free capacity of the worker is unknown.
            worker.link.short_poll_at = (!unrecorded.is_empty()).then(|| context.now + RETRY_DELAY);
            self.is_dirty = true;
        }
        for (unit, run) in unrecorded {
            self.report_duplicate_run(name, &unit, run);
            log::info!(target: "stop", unit = unit.to_string().as_str(), run = run.0, worker = name.as_str(); "stopping a run that the planner has no record of");
            let order = StopOrder {
                run,
                worker: name.clone(),
                was_running: true,
                ticket: None,
                send_at: context.now,
            };
            self.stopping.entry(unit).or_insert(order);
        }
    }

    /// Reports a listed run of a unit of which a later run may be active on another worker.
    /// A listed run that is the later one was started by a planner of a higher epoch.
    fn report_duplicate_run(&self, name: &WorkerName, unit: &UnitKey, run: RunNumber) {
        let job = self.jobs.get(&unit.job);
        let located = job.and_then(|job| job.group(&job.locate(unit)?.0));
        if located.is_none_or(|group| group.run <= run) {
            return;
        }
        let holders = self.workers.iter().filter(|(other, worker)| {
            let holding = worker.holdings.get(unit);
            *other != name && holding.is_some_and(|holding| holding.is_sent)
        });
        for (holder, _) in holders {
            counter!(DUPLICATE_RUNS).increment(1);
            log::warn!(
                target: "end", unit = unit.to_string().as_str(), run = run.0,
                worker = name.as_str(), other = holder.as_str();
                "a run goes on beside a later run of its unit"
            );
        }
    }

    /// Reports a worker that lists more runs than its capacity allows.
    fn report_excess(&self, name: &WorkerName, running: &BTreeMap<UnitKey, &RunningUnit>) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let mut used = UnitDemand::default();
        for unit in running.keys() {
            let job = self.jobs.get(&unit.job);
            if let Some(shape) = job.and_then(|job| job.shape(unit.step)) {
                used = used.plus(&shape.reserved_demand());
            }
        }
        if !used.fits(&worker.report.capacity) {
            counter!(EXCESS_LISTINGS).increment(1);
            let units: Vec<_> = running.keys().map(UnitKey::to_string).collect();
            log::warn!(
                target: "worker", worker = name.as_str(), units = units.join(" ").as_str();
                "worker lists runs beyond its capacity"
            );
        }
    }
}
