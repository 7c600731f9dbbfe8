//! What a worker lists, compared with what the planner believes. A listing is
//! conclusive only for what was settled before it was asked for, since answers on
//! different connections overtake each other.

use crate::prelude::*;
use crate::process::event::{RunningUnit, WorkerListing};
use crate::process::planner::job::MemberStage;
use crate::process::planner::poll::RETRY_DELAY;
use crate::process::planner::state::{PendingCall, PlanContext, PlannerState, StopOrder};
use crate::process::planner::worker::Holding;

/// Most ends that a listing may hold; one with as many may be cut.
const ENDS_PER_LISTING: usize = 500;

/// The runs of a listing.
#[derive(Debug)]
struct ListedRuns<'a> {
    /// When the listing was asked for.
    sent_at: MonotonicTime,
    /// Whether its ends are not cut, so that what is in neither list is gone.
    is_whole: bool,
    running: BTreeMap<UnitKey, &'a RunningUnit>,
    /// Worker's time of the listing.
    clock: WorkerClock,
}

/// What a listing says of a holding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HoldingMatch {
    /// It still occupies the worker, or may do so.
    Kept,
    /// Its stop is complete.
    Stopped,
    /// It is gone without an end that was listed.
    Vanished,
}

impl PlannerState {
    /// Takes what a worker runs and what has ended on it.
    pub(super) fn handle_listing(
        &mut self,
        context: &mut PlanContext<'_>,
        call: &PendingCall,
        listing: &WorkerListing,
    ) {
        let name = &call.worker;
        let is_other = listing
            .incarnation
            .is_some_and(|incarnation| incarnation != call.incarnation);
        if is_other {
            self.release_lost_units(context, name, "worker has another life");
            if let Some(worker) = self.workers.get_mut(name) {
                worker.is_listed = false;
            }
            return;
        }
        let is_whole = listing.ended.len() < ENDS_PER_LISTING;
        self.handle_ends(context, name, &listing.ended);
        if !self.is_newest_listing(name, listing.clock) {
            return;
        }
        let runs = listing.running.iter();
        let listed = ListedRuns {
            sent_at: call.sent_at,
            is_whole,
            running: runs.map(|run| (run.unit, run)).collect(),
            clock: listing.clock,
        };
        self.match_running(context, name, &listed);
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.link.has_complete_listing
            && is_whole
        {
            worker.link.has_complete_listing = true;
            self.is_dirty = true;
        }
    }

    /// Whether the worker made no later listing that was taken already: answers on two
    /// connections overtake each other.
    fn is_newest_listing(&mut self, name: &WorkerName, clock: WorkerClock) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let is_newest = clock >= worker.link.listed_clock;
        worker.link.listed_clock = worker.link.listed_clock.max(clock);
        is_newest
    }

    /// Compares what the worker lists with what the planner holds there. What is gone
    /// is counted as gone before its groups are cleared, so that nothing is stopped
    /// that does not run.
    fn match_running(
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
        let mut broken = Vec::new();
        for (unit, holding) in &held {
            match self.match_holding(context.now, unit, holding, listed) {
                HoldingMatch::Kept => {}
                HoldingMatch::Stopped => {
                    self.release_member(context.now, &holding.group, holding.member);
                }
                HoldingMatch::Vanished => {
                    log::info!(target: "end", unit = unit.to_string().as_str(), worker = name.as_str(); "run is not there any more");
                    self.set_stage(&holding.group, holding.member, |_| MemberStage::Stopping);
                    self.release_member(context.now, &holding.group, holding.member);
                    broken.push(holding.group);
                }
            }
        }
        for key in broken {
            self.stop_group(context.now, key);
        }
        self.stop_unrecorded_runs(context, name, &listed.running);
    }

    fn match_holding(
        &mut self,
        now: MonotonicTime,
        unit: &UnitKey,
        holding: &Holding,
        listed: &ListedRuns<'_>,
    ) -> HoldingMatch {
        let key = &holding.group;
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let Some(group) = group else {
            return HoldingMatch::Kept;
        };
        let Some(member) = group.members.get(holding.member) else {
            return HoldingMatch::Kept;
        };
        let run = listed.running.get(unit);
        let run = run.filter(|run| run.run == group.run);
        let is_conclusive = |since: MonotonicTime| listed.is_whole && listed.sent_at >= since;
        match (member.stage, run) {
            (MemberStage::Starting, Some(run)) => {
                self.set_stage(key, holding.member, |_| MemberStage::Running(now));
                self.update_progress(now, key, holding.member, listed.clock, run);
            }
            (MemberStage::Running(_), Some(run)) => {
                self.update_progress(now, key, holding.member, listed.clock, run);
            }
            (MemberStage::Running(since), None) if is_conclusive(since) => {
                return HoldingMatch::Vanished;
            }
            (MemberStage::Stopped(since), None) if is_conclusive(since) => {
                return HoldingMatch::Stopped;
            }
            _ => {}
        }
        HoldingMatch::Kept
    }

    /// Stops runs that nobody asked for: they were started by an earlier planner and
    /// given up since, or carried out late.
    fn stop_unrecorded_runs(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        running: &BTreeMap<UnitKey, &RunningUnit>,
    ) {
        let mut unrecorded = BTreeMap::new();
        for (unit, listed) in running {
            let is_known = self
                .locate_run(unit, listed.run)
                .is_some_and(|(key, index)| self.member_worker(&key, index).as_ref() == Some(name));
            if !is_known {
                unrecorded.insert(*unit, listed.run);
            }
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let had_unrecorded = !worker.unrecorded.is_empty();
        worker.unrecorded.clone_from(&unrecorded);
        if had_unrecorded || !unrecorded.is_empty() {
            // Until they are gone, the room that they take is not known.
            worker.link.short_poll_at = (!unrecorded.is_empty()).then(|| context.now + RETRY_DELAY);
            self.is_dirty = true;
        }
        for (unit, run) in unrecorded {
            log::info!(target: "stop", unit = unit.to_string().as_str(), run = run.0, worker = name.as_str(); "stopping a run that nobody asked for");
            let order = StopOrder {
                run,
                worker: name.clone(),
                is_seen: true,
                ticket: None,
                send_at: context.now,
            };
            self.stopping.entry(unit).or_insert(order);
        }
    }
}
