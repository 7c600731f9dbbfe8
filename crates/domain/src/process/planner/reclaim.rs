//! Taking room back: an urgent group that finds none stops less urgent runs, those
//! first whose loss costs least. The room is kept for it until they are gone.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, PlanGroup};
use crate::process::planner::order::WaitingStep;
use crate::process::planner::place::{CapacityView, PlaceRequest, Placement};
use crate::process::planner::sharing::{SharedUse, UnitShare};
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::PlanWorker;
use crate::request::submission::{StepShape, UnitDemand};

/// Cores to which an accelerator is equal in the weight of lost work, by the users'
/// price of it.
const ACCELERATOR_CORES: f64 = 8.0;
/// Cost of stopping a run at all, in core seconds: its start is paid again.
const STOP_COST: f64 = 4.0;
/// Seconds of work that a run with checkpoints loses at most; the platform makes one
/// for each second of work.
const CHECKPOINT_LOSS: f64 = 1.0;
/// Cost, in core seconds, of each step by which the worker of an urgent member is
/// slower than others: as much as ten seconds of a unit of the users' renders.
const SLOW_TIER_COST: f64 = 100.0;
/// Time for which room is kept beside the stop's own grace, for answers and looks.
const CLAIM_SLACK: Duration = Duration::from_millis(1_500);

/// Room that is being cleared for a group.
#[derive(Clone, Debug)]
pub struct CapacityClaim {
    /// Where the group will run.
    pub placement: Placement,
    /// When the claim is given up.
    pub until: MonotonicTime,
}

/// What clearing room on one worker takes.
#[derive(Clone, Debug)]
struct ClearingPlan {
    worker: WorkerName,
    victims: Vec<GroupKey>,
    slots: u32,
    cost: f64,
}

/// A group that may be stopped.
#[derive(Clone, Copy, Debug)]
struct ClearingVictim {
    group: GroupKey,
    /// What its members on the worker occupy.
    demand: UnitDemand,
    /// Work that is lost, in core seconds.
    lost: f64,
    /// Whether the request cannot share the worker with it.
    must_go: bool,
}

impl PlannerState {
    /// Stops less urgent runs to make room for an urgent group.
    pub(super) fn reclaim_for(
        &mut self,
        context: &mut PlanContext<'_>,
        key: GroupKey,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
    ) {
        let is_serving = UnitShare::of(request.shape) == UnitShare::Serving;
        if (step.priority != 0 && !is_serving) || step.is_too_late {
            return;
        }
        let near = PlaceRequest {
            allows_remote: false,
            ..*request
        };
        let mut found = self.find_victims(context.now, step.priority, &near, view);
        if found.is_none() && request.allows_remote {
            found = self.find_victims(context.now, step.priority, request, view);
        }
        let Some((placement, victims)) = found else {
            return;
        };
        log::info!(
            target: "reclaim", group = key.to_string().as_str(), victims = victims.len(),
            members = placement.workers.len();
            "stopping less urgent runs for an urgent group"
        );
        self.keep_room(context.now, key, request, placement, view);
        for victim in victims {
            self.stop_group(context.now, victim);
        }
    }

    fn keep_room(
        &mut self,
        now: MonotonicTime,
        key: GroupKey,
        request: &PlaceRequest<'_>,
        placement: Placement,
        view: &mut CapacityView,
    ) {
        for name in &placement.workers {
            if let Some(worker) = self.workers.get_mut(name) {
                let kept = worker.reserved.entry(key).or_default();
                *kept = kept.plus(&request.shape.reserved_demand());
            }
        }
        view.allocate(request, &placement);
        let until = now + self.limits.stop_grace + CLAIM_SLACK;
        self.claims.insert(key, CapacityClaim { placement, until });
    }

    /// Gives up the room kept for a group.
    pub(super) fn release_claim(&mut self, key: &GroupKey) {
        if let Some(claim) = self.claims.remove(key) {
            for name in &claim.placement.workers {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.reserved.remove(key);
                }
            }
        }
    }

    /// Gives up claims that took too long, and those of groups that are gone.
    pub(super) fn expire_claims(&mut self, now: MonotonicTime) {
        let over: Vec<_> = self
            .claims
            .iter()
            .filter(|(key, claim)| {
                let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
                let is_waiting = group.is_some_and(|group| group.phase == GroupPhase::Waiting);
                now >= claim.until || !is_waiting
            })
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            self.release_claim(&key);
            self.is_dirty = true;
        }
    }

    /// The cheapest place for a group once some less urgent runs are stopped.
    fn find_victims(
        &self,
        now: MonotonicTime,
        priority: u8,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
    ) -> Option<(Placement, Vec<GroupKey>)> {
        let is_strict = !request.allows_remote;
        let needs_rack =
            is_strict && request.shape.same_rack && request.shape.is_gang && request.count > 1;
        let mut racks: BTreeMap<Option<&RackName>, Vec<ClearingPlan>> = BTreeMap::new();
        for row in &view.rows {
            let is_near = request
                .shape
                .data_rack
                .as_ref()
                .filter(|_| is_strict)
                .is_none_or(|rack| row.rack.as_ref() == Some(rack));
            let Some(worker) = self.workers.get(&row.worker).filter(|_| is_near) else {
                continue;
            };
            if !row.suits(request) {
                continue;
            }
            let rack = if needs_rack { row.rack.as_ref() } else { None };
            if needs_rack && rack.is_none() {
                continue;
            }
            let mut plans = self.clearing_plans(now, priority, request, worker, &row.free);
            for plan in &mut plans {
                plan.cost += slowness_cost(row.tier, plan.slots);
            }
            racks.entry(rack).or_default().extend(plans);
        }
        let found = racks
            .into_values()
            .filter_map(|plans| choose_plans(plans, u32::from(request.count)));
        let (workers, victims, _) =
            found.min_by(|(_, _, left), (_, _, right)| left.total_cmp(right))?;
        let placement = Placement {
            workers,
            is_remote: false,
        };
        Some((placement, victims))
    }

    /// Ways to get room for one, two and more members on a worker, each with the runs
    /// that it takes beyond the way before.
    fn clearing_plans(
        &self,
        now: MonotonicTime,
        priority: u8,
        request: &PlaceRequest<'_>,
        worker: &PlanWorker,
        free: &UnitDemand,
    ) -> Vec<ClearingPlan> {
        let Some(victims) = self.victims_on(now, priority, request, worker) else {
            return Vec::new();
        };
        let most = u32::from(request.count);
        let member_need = request.shape.reserved_demand();
        let mut available = *free;
        let mut slots = 0;
        let mut plans = Vec::new();
        let mut pending = Vec::new();
        let mut cost = 0.0;
        let mut first = victims.iter().filter(|victim| victim.must_go).count();
        // What must go anyway belongs to the first way, and so does the room that is free.
        for victim in std::iter::once(None).chain(victims.iter().map(Some)) {
            if let Some(victim) = victim {
                available = available.plus(&victim.demand);
                pending.push(victim.group);
                cost += victim.lost;
                first = first.saturating_sub(usize::from(victim.must_go));
            }
            let fitting = member_need.times_in(&available, most);
            if first == 0 && fitting > slots {
                plans.push(ClearingPlan {
                    worker: worker.report.name.clone(),
                    victims: std::mem::take(&mut pending),
                    slots: fitting - slots,
                    cost,
                });
                slots = fitting;
                cost = 0.0;
            }
        }
        plans
    }

    /// Groups on a worker that may be stopped for a request, those that must go first
    /// and then those whose loss costs least; nothing if one that must go may not.
    fn victims_on(
        &self,
        now: MonotonicTime,
        priority: u8,
        request: &PlaceRequest<'_>,
        worker: &PlanWorker,
    ) -> Option<Vec<ClearingVictim>> {
        let share = UnitShare::of(request.shape);
        let is_serving = share == UnitShare::Serving;
        if !is_serving && !SharedUse::of(worker).admits(share) {
            return None;
        }
        let mut victims: Vec<ClearingVictim> = Vec::new();
        for holding in worker.holdings.values() {
            let must_go = is_serving && matches!(holding.share, UnitShare::Filler { .. });
            let job = self.jobs.get(&holding.group.job);
            let Some((job, group)) = job.and_then(|job| Some((job, job.group(&holding.group)?)))
            else {
                continue;
            };
            let Some(held) = job.shape(holding.group.step) else {
                continue;
            };
            let gives_way = must_go || (priority == 0 && job.accepted.priority > priority);
            let is_stoppable = group.phase == GroupPhase::Active && job.may_stop(&holding.group);
            if must_go && !is_stoppable {
                return None;
            }
            if !gives_way || !is_stoppable {
                continue;
            }
            let known = victims
                .iter_mut()
                .find(|victim| victim.group == holding.group);
            if let Some(known) = known {
                known.demand = known.demand.plus(&holding.demand);
                continue;
            }
            victims.push(ClearingVictim {
                group: holding.group,
                demand: holding.demand,
                lost: lost_work(now, held, group),
                must_go,
            });
        }
        victims.sort_by(|left, right| {
            let by_duty = right.must_go.cmp(&left.must_go);
            by_duty.then(left.lost.total_cmp(&right.lost))
        });
        Some(victims)
    }
}

/// Takes the cheapest ways first until there is room for all members. The ways of one
/// worker only get dearer one after the other, so their order is kept.
fn choose_plans(
    mut plans: Vec<ClearingPlan>,
    count: u32,
) -> Option<(Vec<WorkerName>, Vec<GroupKey>, f64)> {
    let total: u32 = plans.iter().map(|plan| plan.slots).sum();
    if total < count {
        return None;
    }
    plans.sort_by(|left, right| {
        let left = left.cost / f64::from(left.slots);
        left.total_cmp(&(right.cost / f64::from(right.slots)))
    });
    let mut workers = Vec::new();
    let mut victims: BTreeSet<GroupKey> = BTreeSet::new();
    let mut cost = 0.0;
    for plan in plans {
        let missing = count as usize - workers.len();
        if missing == 0 {
            break;
        }
        let taken = missing.min(plan.slots as usize);
        workers.extend(std::iter::repeat_n(plan.worker.clone(), taken));
        victims.extend(plan.victims);
        cost += plan.cost;
    }
    Some((workers, victims.into_iter().collect(), cost))
}

/// What running on a slow worker costs an urgent group, beside the work that is lost.
fn slowness_cost(tier: i32, slots: u32) -> f64 {
    SLOW_TIER_COST * f64::from(tier.min(0).unsigned_abs()) * f64::from(slots)
}

/// Work that is lost when a group's run is stopped, in core seconds.
pub(super) fn lost_work(now: MonotonicTime, shape: &StepShape, group: &PlanGroup) -> f64 {
    let demand = &shape.demand;
    let cores =
        demand.cpu_millis as f64 / 1_000.0 + f64::from(demand.accelerators) * ACCELERATOR_CORES;
    let ran = now.since(group.started_at).as_secs_f64();
    let lost = if shape.has_checkpoints {
        ran.min(CHECKPOINT_LOSS)
    } else {
        ran
    };
    let members = group.members.len().max(1) as f64;
    STOP_COST + lost * cores * members
}
