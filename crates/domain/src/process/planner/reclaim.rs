//! Reclaim of capacity: an urgent group that finds no placement stops less urgent runs,
//! starting with those whose loss costs least. The capacity is claimed for it until they
//! have stopped. A group within its customer's guarantee always does so; another one only if
//! the work that is lost is in proportion to its own, since under overload the stopped runs
//! would take the place of others and be stopped again.

use metrics::counter;

use crate::prelude::*;
use crate::process::planner::cost::{CallerTerms, StopCase, stop_loss};
use crate::process::planner::job::{GroupPhase, PlanGroup, PlanJob};
use crate::process::planner::order::{WaitingStep, late_objective, objective};
use crate::process::planner::place::{
    CapacityRow, CapacityView, FailedSearch, PlaceRequest, Placement,
};
use crate::process::planner::sharing::{SharedUse, UnitShare};
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::PlanWorker;
use crate::request::submission::{StepShape, UnitDemand};

/// Number of cores that an accelerator counts as when lost work is weighed; follows the
/// ratio of their prices.
const CORES_PER_ACCELERATOR: f64 = 8.0;
/// Fixed cost of stopping a run, since its start has to be repeated.
const STOP_COST_CORE_SECONDS: f64 = 4.0;
/// Limit of the work that a run with checkpoints loses; the platform writes a checkpoint
/// after each second of work.
const MAX_CHECKPOINT_LOSS_SECONDS: f64 = 1.0;
/// Cost of each tier by which the worker of an urgent member is slower than average; equal
/// to ten seconds of a typical render unit.
const SLOW_TIER_COST_CORE_SECONDS: f64 = 100.0;
/// Lost work, as a multiple of its own work, up to which a group that no guarantee covers
/// stops other runs if it then meets its objective.
const MAX_LOSS_FACTOR: f64 = 3.0;
/// The same if it is late all the same, and so earns about a quarter.
const MAX_LATE_LOSS_FACTOR: f64 = 1.0;
/// [`MAX_LOSS_FACTOR`] of a deployment that limits stops; a group that is late all the same then
/// stops nothing. In the simulated overload of 1.3 times the pool, 3 and late groups that stop
/// others as well lost a seventh more, for as many urgent jobs in time.
const LIMITED_LOSS_FACTOR: f64 = 2.0;
/// Factor on the cost of stopping an urgent run, for a group within a guarantee.
const URGENT_VICTIM_FACTOR: f64 = 3.0;
/// Cost of each second for which a group within a guarantee waits for the end of runs that it
/// may not stop, in core seconds; far above that of any stop, so that it waits least.
const WAIT_COST_CORE_SECONDS: f64 = 10_000.0;
/// Longest time for which it waits for such runs.
const MAX_AWAITED_TIME: Duration = Duration::from_secs(3);
/// Limit of the searches for runs to stop in one pass; each looks at all runs of the pool.
const MAX_SEARCHES_PER_PASS: usize = 6;
/// The same for groups within a guarantee, which are searched for first.
const MAX_GUARANTEED_SEARCHES_PER_PASS: usize = 18;
/// Limit of the checks in one pass whether a group finds room in time; each looks at all runs of
/// the pool. The groups beyond it stop nothing in that pass.
const MAX_ROOM_CHECKS_PER_PASS: usize = 12;
/// Time for which a claim holds beyond the grace of the stops, for responses and polls.
const CLAIM_SLACK: Duration = Duration::from_millis(1_500);

/// Least time before the latest start of an urgent group at which it no longer waits for runs
/// that end by themselves.
const STOP_WAIT_MARGIN: Duration = Duration::from_millis(300);
/// The same as a share of the time that it waits for them: expected ends are as rough as the
/// estimates.
const STOP_WAIT_SHARE: f64 = 0.5;
/// Increase of the cost of a stop for each earlier stop of the same group.
const REPEATED_STOP_FACTOR: f64 = 1.0;

/// Counter of searches for runs to stop that were not made, by `reason`.
pub const STOPS_SPARED: &str = "flamingowalk_domain_stops_spared_total";

/// Capacity that is being reclaimed for a group.
#[derive(Clone, Debug)]
pub struct CapacityClaim {
    /// Where the group will run.
    pub placement: Placement,
    /// When the claim expires.
    pub until: MonotonicTime,
}

/// Runs to stop on one worker, and the slots that this frees.
#[derive(Clone, Debug)]
struct ReclaimPlan {
    /// Groups to stop or to wait for in addition to those of the plan before.
    victims: Vec<ReclaimVictim>,
    slots: u32,
    /// Cost of the use of the worker itself, in core seconds.
    use_cost: f64,
}

/// Plans for one worker. Each relies on the ones before it.
#[derive(Clone, Debug)]
struct WorkerPlans {
    worker: WorkerName,
    plans: Vec<ReclaimPlan>,
}

/// Where a group can run, and what has to stop for it.
#[derive(Clone, Debug)]
pub(super) struct ReclaimChoice {
    pub(super) workers: Vec<WorkerName>,
    pub(super) victims: BTreeSet<GroupKey>,
    /// Cost in core seconds.
    cost: f64,
    /// Part of the cost that is lost work.
    pub(super) lost: f64,
    /// Expected end of the runs that are waited for.
    pub(super) awaited_until: MonotonicTime,
}

/// What is done for a group that found no placement.
#[derive(Clone, Debug)]
pub(super) enum ReclaimDecision {
    StopNothing,
    /// Nothing is stopped, since runs that end by themselves leave room in time.
    EndsInTime,
    /// The group also waits for runs that may not be stopped, and gets a reservation until these
    /// are about to end: what is stopped earlier leaves its workers idle meanwhile, and again if
    /// the runs go on.
    Reserve(ReclaimChoice),
    Stop(ReclaimChoice),
}

/// Who asks for the capacity.
#[derive(Clone, Copy, Debug)]
struct ReclaimRequest<'a> {
    now: MonotonicTime,
    priority: u8,
    is_guaranteed: bool,
    /// Whether runs that may not be stopped are waited for.
    awaits_runs: bool,
    place: &'a PlaceRequest<'a>,
}

/// A group that may be stopped.
#[derive(Clone, Copy, Debug)]
struct ReclaimVictim {
    group: GroupKey,
    /// Capacity that its members occupy on the worker.
    demand: UnitDemand,
    /// Cost of stopping it, in core seconds.
    stop_cost: f64,
    /// Part of the cost that is lost work.
    lost: f64,
    /// Whether it has to stop because the requesting group cannot share the worker with it.
    must_stop: bool,
    /// Its expected end, if it may not be stopped and is waited for.
    awaited_until: Option<MonotonicTime>,
}

impl PlannerState {
    /// Decides whether less urgent runs are stopped to free capacity for an urgent group, or
    /// fillers for a serving group. Counts the searches of the pass in the view.
    pub(super) fn decide_reclaim(
        &self,
        now: MonotonicTime,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
    ) -> ReclaimDecision {
        let is_serving = UnitShare::of(request.shape) == UnitShare::Serving;
        let is_hopeless = step.is_too_late && !step.is_guaranteed;
        if (step.priority != 0 && !is_serving) || is_hopeless {
            return ReclaimDecision::StopNothing;
        }
        let is_covered = |failed: &FailedSearch| failed.covers(request);
        let (max_searches, has_failed) = if step.is_guaranteed {
            (MAX_GUARANTEED_SEARCHES_PER_PASS, false)
        } else {
            let has_failed = view.failed_reclaims.iter().any(is_covered);
            (MAX_SEARCHES_PER_PASS, has_failed)
        };
        if has_failed || view.reclaim_searches >= max_searches {
            return ReclaimDecision::StopNothing;
        }
        let limits_stops = self.limits.overload.limits_stops;
        if limits_stops && !step.is_guaranteed && !is_serving {
            if view.room_checks >= MAX_ROOM_CHECKS_PER_PASS {
                return ReclaimDecision::StopNothing;
            }
            view.room_checks += 1;
            let room_at = self.room_expected_at(now, request, view);
            if room_at.is_some_and(|at| is_in_time_after_wait(at, now, step, request)) {
                return ReclaimDecision::EndsInTime;
            }
        }
        view.reclaim_searches += 1;
        let Some(choice) = self.choose_stops(now, step, request, view) else {
            if !step.is_guaranteed && request.avoided.is_empty() && request.approved.is_none() {
                view.failed_reclaims.push(FailedSearch::new(request));
            }
            return ReclaimDecision::StopNothing;
        };
        if is_stop_early(&choice, now, self.limits.stop_grace) {
            ReclaimDecision::Reserve(choice)
        } else {
            ReclaimDecision::Stop(choice)
        }
    }

    /// Stops the runs that [`decide_reclaim`](Self::decide_reclaim) chooses for a group, and
    /// claims their capacity. Returns whether the group got a reservation instead.
    pub(super) fn reclaim_for(
        &mut self,
        context: &mut PlanContext<'_>,
        key: GroupKey,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
    ) -> bool {
        let choice = match self.decide_reclaim(context.now, step, request, view) {
            ReclaimDecision::StopNothing => return false,
            ReclaimDecision::EndsInTime => {
                counter!(STOPS_SPARED, "reason" => "ends in time").increment(1);
                return false;
            }
            ReclaimDecision::Reserve(choice) => {
                view.reserve(&choice.workers, request, choice.awaited_until);
                return true;
            }
            ReclaimDecision::Stop(choice) => choice,
        };
        log::info!(
            target: "reclaim", group = key.to_string().as_str(), victims = choice.victims.len(),
            members = choice.workers.len(), guaranteed = step.is_guaranteed,
            lost_core_s = choice.lost as u64,
            wait_ms = choice.awaited_until.since(context.now).as_millis() as u64;
            "stopping less urgent runs for an urgent group"
        );
        let placement = Placement {
            workers: choice.workers,
            is_remote: false,
        };
        let free_at = choice
            .awaited_until
            .max(context.now + self.limits.stop_grace);
        self.claim_capacity(context.now, free_at, key, request, placement, view);
        for victim in choice.victims {
            self.count_stopped_work(context.now, &victim, "urgent group");
            self.stop_group(context.now, victim);
        }
        false
    }

    /// Returns where a group that found no placement would run and what would stop for it;
    /// `None` if that is not possible or not worthwhile.
    fn choose_stops(
        &self,
        now: MonotonicTime,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
    ) -> Option<ReclaimChoice> {
        let is_serving = UnitShare::of(request.shape) == UnitShare::Serving;
        let is_hopeless = step.is_too_late && !step.is_guaranteed;
        if (step.priority != 0 && !is_serving) || is_hopeless {
            return None;
        }
        let near = PlaceRequest {
            allows_remote: false,
            ..*request
        };
        let places: &[&PlaceRequest<'_>] = if request.allows_remote {
            &[&near, request]
        } else {
            &[&near]
        };
        let waits: &[bool] = if step.is_guaranteed {
            &[false, true]
        } else {
            &[false]
        };
        let found = waits.iter().find_map(|awaits_runs| {
            places.iter().find_map(|place| {
                let reclaim = ReclaimRequest {
                    now,
                    priority: step.priority,
                    is_guaranteed: step.is_guaranteed,
                    awaits_runs: *awaits_runs,
                    place,
                };
                self.find_victims(&reclaim, view)
            })
        });
        let is_worthwhile = |choice: &ReclaimChoice| {
            step.is_guaranteed || is_serving || choice.lost <= self.max_loss(now, step, request)
        };
        found.filter(is_worthwhile)
    }

    /// Returns the lost work, in core seconds, up to which a group that no guarantee covers
    /// stops other runs.
    fn max_loss(&self, now: MonotonicTime, step: &WaitingStep, request: &PlaceRequest<'_>) -> f64 {
        let run_time = request.ends_at.since(now);
        let own_work = cores(&request.shape.demand) * f64::from(request.count);
        let is_in_time = request.ends_at + self.limits.stop_grace <= step.due_by;
        let factor = match (is_in_time, self.limits.overload.limits_stops) {
            (true, false) => MAX_LOSS_FACTOR,
            (false, false) => MAX_LATE_LOSS_FACTOR,
            (true, true) => LIMITED_LOSS_FACTOR,
            (false, true) => 0.0,
        };
        own_work * run_time.as_secs_f64() * factor
    }

    /// Returns what is lost if a group is stopped: its work since the checkpoint, and what its
    /// caller loses. More for each time that it was stopped before, so that a gang is not
    /// started and stopped again and again.
    fn stop_loss_of(
        &self,
        now: MonotonicTime,
        job: &PlanJob,
        key: &GroupKey,
        view: &CapacityView,
    ) -> f64 {
        let (Some(shape), Some(group)) = (job.shape(key.step), job.group(key)) else {
            return 0.0;
        };
        let Some(occurrence) = job.occurrences.get(&key.occurrence) else {
            return 0.0;
        };
        let objective = objective(job, &self.run_times);
        let terms = CallerTerms {
            priority: job.accepted.priority,
            due_by: occurrence.due_at + objective,
            late_by: occurrence.due_at + late_objective(objective),
            is_guaranteed: view.guaranteed.contains(&job.key),
            has_end: !shape.is_long_running,
        };
        let ran = now.since(group.started_at);
        let expected = self
            .run_times
            .expected(&job.accepted.queue, shape.estimate_ms);
        let unsaved = if shape.has_checkpoints {
            ran.min(Duration::from_secs_f64(MAX_CHECKPOINT_LOSS_SECONDS))
        } else {
            ran
        };
        let members = f64::from(shape.group_size());
        let case = StopCase {
            cores: cores(&shape.demand) * members,
            unsaved,
            job_work: cores(&shape.demand) * members * expected.as_secs_f64(),
            ends_at: now + expected.saturating_sub(ran),
            restart_ends_at: now
                + self.limits.stop_grace
                + expected.saturating_sub(ran.saturating_sub(unsaved)),
        };
        let stops = group.run.0.saturating_sub(1 + u32::from(group.failures));
        stop_loss(&terms, &case) * (1.0 + REPEATED_STOP_FACTOR * f64::from(stops))
    }

    /// Claims capacity that is expected to be free at `free_at`.
    fn claim_capacity(
        &mut self,
        now: MonotonicTime,
        free_at: MonotonicTime,
        key: GroupKey,
        request: &PlaceRequest<'_>,
        placement: Placement,
        view: &mut CapacityView,
    ) {
        for name in &placement.workers {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.claim(key, request.shape);
            }
        }
        view.allocate(request, &placement);
        self.poll_silent_workers(now, &placement.workers);
        let until = free_at + CLAIM_SLACK;
        self.claims.insert(key, CapacityClaim { placement, until });
    }

    /// Restores the claims on a worker, whose state was created anew.
    pub(super) fn restore_claims(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for (key, claim) in &self.claims {
            let shape = self.jobs.get(&key.job).and_then(|job| job.shape(key.step));
            let Some(shape) = shape else {
                continue;
            };
            let placed = claim.placement.workers.iter();
            for _ in placed.filter(|claimed| *claimed == name) {
                worker.claim(*key, shape);
            }
        }
    }

    /// Releases the capacity that is claimed for a group.
    pub(super) fn release_claim(&mut self, key: &GroupKey) {
        if let Some(claim) = self.claims.remove(key) {
            for name in &claim.placement.workers {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.claimed.remove(key);
                }
            }
        }
    }

    /// Releases expired claims, those of groups that are no longer waiting, and those on workers
    /// of a closed zone.
    pub(super) fn expire_claims(&mut self, now: MonotonicTime) {
        let expired: Vec<_> = self
            .claims
            .iter()
            .filter(|(key, claim)| {
                let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
                let is_waiting = group.is_some_and(|group| group.phase == GroupPhase::Waiting);
                now >= claim.until || !is_waiting || self.is_claim_closed(claim)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.release_claim(&key);
            self.is_dirty = true;
        }
    }

    /// Whether a worker of the claim is in a zone that the operator has closed.
    fn is_claim_closed(&self, claim: &CapacityClaim) -> bool {
        claim.placement.workers.iter().any(|name| {
            let worker = self.workers.get(name);
            worker.is_some_and(|worker| self.is_evacuated(worker))
        })
    }

    /// Returns the cheapest placement for a group that stopping less urgent runs allows, and
    /// the groups to stop for it.
    fn find_victims(
        &self,
        reclaim: &ReclaimRequest<'_>,
        view: &CapacityView,
    ) -> Option<ReclaimChoice> {
        let request = reclaim.place;
        let requires_locality = !request.allows_remote;
        let needs_rack = requires_locality
            && request.shape.same_rack
            && request.shape.is_gang
            && request.count > 1;
        let mut racks: BTreeMap<Option<&RackName>, Vec<WorkerPlans>> = BTreeMap::new();
        for row in &view.rows {
            let is_near = request
                .shape
                .data_rack
                .as_ref()
                .filter(|_| requires_locality)
                .is_none_or(|rack| row.report.rack.as_ref() == Some(rack));
            let worker = self.workers.get(&row.report.name);
            let Some(worker) = worker.filter(|_| is_near && row.is_eligible(request)) else {
                continue;
            };
            let rack = row.report.rack.as_ref().filter(|_| needs_rack);
            if needs_rack && rack.is_none() {
                continue;
            }
            let mut plans = self.reclaim_plans(reclaim, worker, row, view);
            for plan in &mut plans {
                plan.use_cost += slowness_cost(row.tier, plan.slots);
            }
            racks.entry(rack).or_default().push(WorkerPlans {
                worker: row.report.name.clone(),
                plans,
            });
        }
        racks
            .into_values()
            .filter_map(|plans| choose_plans(&plans, usize::from(request.count)))
            .min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Returns the plans that free capacity for an increasing number of members on a
    /// worker. Each plan lists only the runs and slots that it adds to the plan before.
    fn reclaim_plans(
        &self,
        reclaim: &ReclaimRequest<'_>,
        worker: &PlanWorker,
        row: &CapacityRow,
        view: &CapacityView,
    ) -> Vec<ReclaimPlan> {
        let request = reclaim.place;
        let Some(victims) = self.victims_on(reclaim, worker, view) else {
            return Vec::new();
        };
        let max_slots = row.allowed_units(request);
        let member_demand = request.shape.reserved_demand();
        let mut available = row.unreserved(request);
        // What earlier claims wait for beyond the free capacity: the runs that are awaited free
        // it for them first.
        let claims = worker.claimed.values();
        let claimed = claims.fold(UnitDemand::default(), |sum, claim| sum.plus(&claim.demand));
        let mut owed = claimed.minus(&worker.free);
        // The same for groups with reservations that will stop runs later: what is stopped or
        // ends goes to them first.
        let mut reserved = row
            .reserved_for_reclaim()
            .minus(&worker.free.minus(&claimed));
        let mut slots = 0;
        let mut plans = Vec::new();
        let mut pending = Vec::new();
        let mut mandatory_left = victims.iter().filter(|victim| victim.must_stop).count();
        // The first plan includes the runs that must stop and the capacity that is free.
        for victim in std::iter::once(None).chain(victims.iter().map(Some)) {
            if let Some(victim) = victim {
                let mut freed = victim.demand;
                if victim.awaited_until.is_some() {
                    freed = freed.minus(&owed);
                    owed = owed.minus(&victim.demand);
                }
                let own = freed.minus(&reserved);
                reserved = reserved.minus(&freed);
                let is_bound = victim.awaited_until.is_some() || own != freed;
                if is_bound && own == UnitDemand::default() && !victim.must_stop {
                    continue;
                }
                freed = own;
                available = available.plus(&freed);
                pending.push(*victim);
                mandatory_left = mandatory_left.saturating_sub(usize::from(victim.must_stop));
            }
            let fitting = member_demand.count_fitting(&available, max_slots);
            if mandatory_left == 0 && fitting > slots {
                plans.push(ReclaimPlan {
                    victims: std::mem::take(&mut pending),
                    slots: fitting - slots,
                    use_cost: 0.0,
                });
                slots = fitting;
            }
        }
        plans
    }

    /// Returns the groups on a worker that may be stopped for a request: first those that
    /// must stop, then the others by increasing cost. Returns `None` if the worker cannot be
    /// shared, or if a group that must stop may not be stopped.
    fn victims_on(
        &self,
        reclaim: &ReclaimRequest<'_>,
        worker: &PlanWorker,
        view: &CapacityView,
    ) -> Option<Vec<ReclaimVictim>> {
        let share = UnitShare::of(reclaim.place.shape);
        let is_serving = share == UnitShare::Serving;
        // Fillers on the worker can be stopped for a serving group; claims cannot.
        let shared = if is_serving {
            SharedUse::claimed(worker, None)
        } else {
            SharedUse::of(worker, None)
        };
        if !shared.admits(share) {
            return None;
        }
        let mut victims: Vec<ReclaimVictim> = Vec::new();
        for holding in worker.holdings.values() {
            let must_stop = is_serving && matches!(holding.share, UnitShare::Filler { .. });
            let job = self.jobs.get(&holding.group.job);
            let Some((job, group)) = job.and_then(|job| Some((job, job.group(&holding.group)?)))
            else {
                continue;
            };
            let Some(held_shape) = job.shape(holding.group.step) else {
                continue;
            };
            let is_urgent = job.accepted.priority == 0;
            let is_preemptible = must_stop
                || (reclaim.priority == 0
                    && (!is_urgent
                        || (reclaim.is_guaranteed && !view.guaranteed.contains(&job.key))));
            let is_stoppable =
                group.phase == GroupPhase::Active && job.may_stop(&holding.group, &self.workers);
            if must_stop && !is_stoppable {
                return None;
            }
            let mut awaited_until = None;
            if !is_preemptible || !is_stoppable {
                let end = self.expected_end(reclaim.now, &holding.group, holding.member);
                if !reclaim.awaits_runs || end > reclaim.now + MAX_AWAITED_TIME {
                    continue;
                }
                awaited_until = Some(end);
            }
            let known = victims
                .iter_mut()
                .find(|victim| victim.group == holding.group);
            if let Some(known) = known {
                known.demand = known.demand.plus(&holding.demand);
                known.awaited_until = known.awaited_until.max(awaited_until);
                continue;
            }
            let factor = if is_urgent { URGENT_VICTIM_FACTOR } else { 1.0 };
            let cost = match awaited_until {
                Some(end) => end.since(reclaim.now).as_secs_f64() * WAIT_COST_CORE_SECONDS,
                None if self.limits.overload.limits_stops => {
                    self.stop_loss_of(reclaim.now, job, &holding.group, view) * factor
                }
                None => stop_cost(reclaim.now, held_shape, group) * factor,
            };
            victims.push(ReclaimVictim {
                group: holding.group,
                demand: holding.demand,
                stop_cost: cost,
                lost: stop_cost(reclaim.now, held_shape, group) * factor,
                must_stop,
                awaited_until,
            });
        }
        victims.sort_by(|left, right| {
            let by_must_stop = right.must_stop.cmp(&left.must_stop);
            by_must_stop.then(left.stop_cost.total_cmp(&right.stop_cost))
        });
        Some(victims)
    }
}

/// Whether runs would be stopped before they have to be: others are waited for that go on for
/// longer than a stop takes.
fn is_stop_early(choice: &ReclaimChoice, now: MonotonicTime, stop_grace: Duration) -> bool {
    !choice.victims.is_empty() && choice.awaited_until > now + stop_grace
}

/// Whether a group that begins at `at` rather than now still meets its objective, with a margin
/// for runs that end later than expected.
fn is_in_time_after_wait(
    at: MonotonicTime,
    now: MonotonicTime,
    step: &WaitingStep,
    request: &PlaceRequest<'_>,
) -> bool {
    let run_time = request.ends_at.since(now);
    let margin = STOP_WAIT_MARGIN.max(at.since(now).mul_f64(STOP_WAIT_SHARE));
    at + margin + run_time <= step.due_by
}

/// Chooses plans by cost per slot, the cheapest first, until there is capacity for all
/// members. A group that is stopped for one worker costs nothing on another, and the plans of
/// a worker are chosen in their order. Returns `None` if all together free too few slots.
fn choose_plans(workers: &[WorkerPlans], count: usize) -> Option<ReclaimChoice> {
    let plans = workers.iter().flat_map(|worker| &worker.plans);
    let total: u32 = plans.map(|plan| plan.slots).sum();
    if (total as usize) < count {
        return None;
    }
    let mut choice = ReclaimChoice {
        workers: Vec::with_capacity(count),
        victims: BTreeSet::new(),
        cost: 0.0,
        lost: 0.0,
        awaited_until: MonotonicTime(0),
    };
    let mut chosen = vec![0; workers.len()];
    while choice.workers.len() < count {
        let next = workers.iter().enumerate().filter_map(|(index, worker)| {
            let plan = worker.plans.get(chosen[index])?;
            let cost = added_cost(plan, &choice.victims);
            Some((index, plan, cost, cost / f64::from(plan.slots)))
        });
        let (index, plan, cost, _) = next.min_by(|left, right| left.3.total_cmp(&right.3))?;
        let taken = (plan.slots as usize).min(count - choice.workers.len());
        let name = &workers[index].worker;
        choice
            .workers
            .extend(std::iter::repeat_n(name.clone(), taken));
        for victim in &plan.victims {
            match victim.awaited_until {
                Some(end) => choice.awaited_until = choice.awaited_until.max(end),
                None if choice.victims.insert(victim.group) => choice.lost += victim.lost,
                None => {}
            }
        }
        choice.cost += cost;
        chosen[index] += 1;
    }
    Some(choice)
}

/// Returns the cost of a plan: of the victims that are not stopped already, and of the use of
/// the worker.
fn added_cost(plan: &ReclaimPlan, stopped: &BTreeSet<GroupKey>) -> f64 {
    let victims = plan.victims.iter();
    let added = victims.filter(|victim| !stopped.contains(&victim.group));
    plan.use_cost + added.map(|victim| victim.stop_cost).sum::<f64>()
}

/// Returns the cores that a unit counts as when lost work is weighed.
fn cores(demand: &UnitDemand) -> f64 {
    demand.cpu_millis as f64 / 1_000.0 + f64::from(demand.accelerators) * CORES_PER_ACCELERATOR
}

/// Returns what running on a slow worker costs an urgent group, in core seconds, in addition
/// to the cost of the stopped runs.
fn slowness_cost(tier: i32, slots: u32) -> f64 {
    SLOW_TIER_COST_CORE_SECONDS * f64::from(tier.min(0).unsigned_abs()) * f64::from(slots)
}

/// Returns the cost of stopping a group's run, in core seconds: the work that is lost, and
/// a fixed cost.
pub(super) fn stop_cost(now: MonotonicTime, shape: &StepShape, group: &PlanGroup) -> f64 {
    let cores = cores(&shape.demand);
    let ran = now.since(group.started_at).as_secs_f64();
    let lost = if shape.has_checkpoints {
        ran.min(MAX_CHECKPOINT_LOSS_SECONDS)
    } else {
        ran
    };
    let members = group.members.len().max(1) as f64;
    STOP_COST_CORE_SECONDS + lost * cores * members
}
