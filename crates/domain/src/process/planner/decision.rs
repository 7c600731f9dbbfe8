//! Decides about one waiting group: where it starts, what it waits for, or that it has no room.
//! The pass applies each decision, and the dry run reports it, so both follow the same rules.
//!
//! The load that this addresses: full pools, also with workers of unequal speed, in which
//! operators ask why groups wait that a pass has passed over.

use crate::prelude::*;
use crate::process::planner::forecast::expected_run;
use crate::process::planner::order::WaitingStep;
use crate::process::planner::place::{CapacityView, EndGoal, PlaceRequest, Placement};
use crate::process::planner::sharing::{SharedUse, UnitShare};
use crate::process::planner::start::MAX_PREFERENCE_WAIT;
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker::PlanWorker;
use crate::process::record::AcceptedJob;
use crate::request::submission::StepShape;
use crate::version::manifest::AdviceSettings;

/// Time for which a group within a guarantee waits for capacity near its data or in one rack;
/// well below its reclaim bound, which is a few seconds.
const LOCALITY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long before the latest start that meets the late objective away from the data or the
/// rack a group gives up waiting for capacity there.
const REMOTE_MARGIN: Duration = Duration::from_millis(1_500);
/// Limit of the groups that get a reservation in one pass; more would leave capacity idle
/// for work that starts much later.
const MAX_RESERVATIONS: usize = 3;
/// The same for urgent groups, which other urgent groups would overtake.
const MAX_URGENT_RESERVATIONS: usize = 3;
/// Logarithm by which an urgent group is expected to be faster than its objective requires, or
/// else rather waits for faster workers.
const AWAIT_MARGIN_LOG: f64 = 0.0;
/// Time from a decision until the units work: the record, the orders, and the end's listing.
pub(super) const START_TIME: Duration = Duration::from_millis(60);
/// Limit of the searches in one pass for workers in use, for groups that would use up the
/// workers that are kept free; most of them fail in a full pool.
const MAX_PACKED_SEARCHES: usize = 100;
/// Limit of the searches for faster workers in one pass; each looks at all runs of the pool.
const MAX_FASTER_SEARCHES: usize = 3;

/// What a pass decides about a waiting group. The capacity view already accounts for it, except
/// for claims that the caller starts or releases.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum GroupDecision {
    /// It starts there.
    Start { placement: Placement },
    /// It starts on the capacity that others were stopped for.
    StartClaimed { placement: Placement },
    /// It waits for the capacity that others were stopped for.
    AwaitClaim,
    /// A worker of its claim is lost. Once the caller has released the claim, the same group is
    /// decided about again.
    ReleaseClaim { placement: Placement },
    /// It would miss its objective on the free workers, and waits for faster ones, which are
    /// reserved from then on.
    AwaitFaster {
        workers: Vec<WorkerName>,
        from: MonotonicTime,
    },
    /// The free workers are kept for urgent work. The other groups of its step wait too.
    KeptFree,
    /// It has no room. It may stop others or reserve capacity that becomes free
    /// ([`reserve_room`]).
    NoRoom,
}

/// Numbers of groups that got a reservation in a pass, and of its searches.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReservationCount {
    urgent: usize,
    others: usize,
    /// Searches for faster workers that become free in time.
    searches: usize,
    /// Searches for workers in use, whatever their speed.
    packed_searches: usize,
}

/// A step with waiting groups, and what their placement depends on.
#[derive(Clone, Debug)]
pub(super) struct StepCase<'a> {
    pub(super) now: MonotonicTime,
    pub(super) step: &'a WaitingStep,
    pub(super) accepted: Arc<AcceptedJob>,
    /// Expected run time, whatever the speed of the workers.
    pub(super) run_time: Duration,
    pub(super) goal: Option<EndGoal>,
    /// Settings of the approvals that the queue needs.
    pub(super) advice: Option<AdviceSettings>,
    /// Workers that may run the step, where its queue needs approvals.
    pub(super) approved: Option<BTreeSet<WorkerName>>,
}

/// A waiting group, and what its placement depends on.
#[derive(Clone, Debug)]
pub(super) struct GroupCase {
    pub(super) key: GroupKey,
    /// Time since it could have started.
    pub(super) waited: Duration,
    pub(super) failed_on: Vec<WorkerName>,
    pub(super) allows_avoided: bool,
    pub(super) allows_remote: bool,
}

/// Next group of a step to decide about.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepCursor {
    next: usize,
    /// Whether the step's other groups wait without a decision of their own.
    is_over: bool,
}

impl<'a> StepCase<'a> {
    /// Returns `None` if the planner does not have the job.
    pub(super) fn new(
        planner: &PlannerState,
        now: MonotonicTime,
        step: &'a WaitingStep,
        view: &CapacityView,
    ) -> Option<Self> {
        let accepted = Arc::clone(&planner.jobs.get(&step.key.job)?.accepted);
        let shape = accepted.submission.steps.get(usize::from(step.key.step))?;
        let run_time = planner
            .run_times
            .expected(&accepted.queue, shape.estimate_ms);
        let advice = planner.advice_settings(&accepted.queue);
        let approved = advice.map(|_| planner.advice.approved(&step.key, now, &planner.workers));
        Some(Self {
            now,
            step,
            run_time,
            goal: end_goal(planner, now, step, &accepted, view),
            advice,
            approved,
            accepted,
        })
    }

    /// Returns the shape of the step.
    pub(super) fn shape(&self) -> &StepShape {
        &self.accepted.submission.steps[usize::from(self.step.key.step)]
    }

    fn group_key(&self, index: usize) -> GroupKey {
        GroupKey {
            job: self.step.key.job,
            occurrence: self.step.key.occurrence,
            step: self.step.key.step,
            index: (!self.shape().is_gang).then_some(index as u16),
        }
    }

    /// Returns the requirements of a group on its placement.
    pub(super) fn request<'b>(&'b self, group: &'b GroupCase) -> PlaceRequest<'b> {
        let ends_at = |goal: EndGoal| goal.now + goal.run_time;
        PlaceRequest {
            service: &self.accepted.service,
            key: self.step.key,
            shape: self.shape(),
            count: self.shape().group_size(),
            avoided: &group.failed_on,
            allows_avoided: group.allows_avoided,
            allows_set_aside: false,
            approved: self.approved.as_ref(),
            allows_remote: group.allows_remote,
            is_urgent: self.step.priority == 0,
            ends_at: self.goal.map_or(self.now + self.run_time, ends_at),
            goal: self.goal,
        }
    }

    /// Returns the requirements of a group that found no room and may wait for any worker.
    pub(super) fn waiting_request<'b>(&'b self, group: &'b GroupCase) -> PlaceRequest<'b> {
        let request = self.request(group);
        if group.allows_avoided {
            request.without_avoided()
        } else {
            request
        }
    }
}

impl GroupCase {
    /// Returns `None` if the group does not start before runs of it have certainly ended.
    fn new(
        planner: &PlannerState,
        case: &StepCase<'_>,
        key: GroupKey,
        view: &CapacityView,
    ) -> Option<Self> {
        let group = planner.jobs.get(&key.job)?.group(&key)?;
        let is_held_back = view.unrecorded.contains(&key)
            || planner.awaits_late_start(&key, &view.uncertain)
            || planner.awaits_ends(case.now, group);
        if is_held_back {
            return None;
        }
        let mut found = Self {
            key,
            // A group that has run before waits for locality again, since slow units cost it
            // more.
            waited: case.now.since(case.step.ready_at.max(group.not_before)),
            failed_on: group.failed_on.clone(),
            allows_avoided: case.now >= group.avoids_until,
            allows_remote: false,
        };
        let remote_factor = planner.limits.remote_factor;
        found.allows_remote = allows_remote(case, &found, remote_factor, view);
        Some(found)
    }
}

/// Decides about the next waiting group of a step. Returns `None` once the others of the step
/// wait without a decision of their own, or there are none.
pub(super) fn decide_next(
    planner: &PlannerState,
    case: &StepCase<'_>,
    cursor: &mut StepCursor,
    view: &mut CapacityView,
    reserved: &mut ReservationCount,
) -> Option<(GroupCase, GroupDecision)> {
    while let Some(index) = case.step.groups.get(cursor.next)
        && !cursor.is_over
    {
        let Some(group) = GroupCase::new(planner, case, case.group_key(*index), view) else {
            cursor.next += 1;
            continue;
        };
        let decision = decide_group(planner, case, &group, view, reserved);
        match &decision {
            GroupDecision::ReleaseClaim { .. } => return Some((group, decision)),
            // The next group may fit on a worker that this one avoids.
            GroupDecision::NoRoom => {
                cursor.is_over = group.allows_avoided || group.failed_on.is_empty();
            }
            GroupDecision::KeptFree => cursor.is_over = true,
            _ => {}
        }
        cursor.next += 1;
        return Some((group, decision));
    }
    None
}

/// Decides about a waiting group, and updates the view by what it uses or reserves.
fn decide_group(
    planner: &PlannerState,
    case: &StepCase<'_>,
    group: &GroupCase,
    view: &mut CapacityView,
    reserved: &mut ReservationCount,
) -> GroupDecision {
    let request = case.request(group);
    if let Some(decision) = decide_claimed(planner, case, &request, &group.key, view) {
        return decision;
    }
    let usual = view.find_placement(&request);
    let is_usual = usual.is_some();
    let Some(placement) = usual.or_else(|| find_last_resort(&request, group.waited, view)) else {
        return GroupDecision::NoRoom;
    };
    if let Some(decision) = await_faster(planner, case, &request, view, &placement, reserved) {
        return decision;
    }
    let (now, step) = (case.now, case.step);
    let (shape, run_time) = (case.shape(), case.run_time);
    let fits = |view: &CapacityView, placement: &Placement| {
        !is_usual || planner.respects_headroom(now, step, shape, run_time, view, placement)
    };
    let placement = if fits(view, &placement) {
        placement
    } else {
        // Workers of another speed may be in use already.
        let may_search = reserved.packed_searches < MAX_PACKED_SEARCHES;
        reserved.packed_searches += 1;
        let packed = request.goal.filter(|_| may_search).and_then(|goal| {
            let goal = Some(EndGoal {
                packs_only: true,
                ..goal
            });
            view.find_placement(&PlaceRequest { goal, ..request })
        });
        match packed.filter(|packed| fits(view, packed)) {
            Some(packed) => packed,
            None => return GroupDecision::KeptFree,
        }
    };
    view.allocate(&request, &placement);
    GroupDecision::Start { placement }
}

/// Decides about a group that others were stopped for: it starts on that capacity once it is
/// free. Returns `None` for a group without such a claim.
fn decide_claimed(
    planner: &PlannerState,
    case: &StepCase<'_>,
    request: &PlaceRequest<'_>,
    key: &GroupKey,
    view: &CapacityView,
) -> Option<GroupDecision> {
    let claim = planner.claims.get(key)?;
    let mut needed: BTreeMap<&WorkerName, u16> = BTreeMap::new();
    for name in &claim.placement.workers {
        *needed.entry(name).or_default() += 1;
    }
    let is_ready = |name: &WorkerName, count: u16| {
        planner.workers.get(name).is_some_and(|worker| {
            let available = worker.free_capacity_for(Some(key));
            let demand = request.shape.reserved_demand();
            let slots = demand.count_fitting(&available, u32::from(count));
            let shared = SharedUse::of(worker, Some(key));
            let is_admitted = shared.admits(UnitShare::of(request.shape));
            let is_certain = !view.uncertain.contains(name);
            let bar = planner.start_gate.start_bar(case.now, &worker.report.zone);
            worker.is_open(case.now)
                && bar.is_none()
                && is_certain
                && is_admitted
                && slots >= u32::from(count)
        })
    };
    let mut missing = needed
        .iter()
        .filter(|(name, count)| !is_ready(name, **count))
        .map(|(name, _)| planner.workers.get(*name))
        .peekable();
    let placement = claim.placement.clone();
    if missing.peek().is_none() {
        return Some(GroupDecision::StartClaimed { placement });
    }
    // A worker that does not answer or has slowed down is not waited for. What is free by now is
    // found again.
    let is_unusable = |worker: &PlanWorker| worker.is_lost() || worker.is_set_aside(case.now);
    let is_lost = case.step.is_guaranteed && missing.all(|worker| worker.is_none_or(is_unusable));
    Some(if is_lost {
        GroupDecision::ReleaseClaim { placement }
    } else {
        GroupDecision::AwaitClaim
    })
}

/// Decides whether an urgent group rather waits than starts on workers on which it would miss
/// its objective: faster ones become free in time. They are reserved for it.
fn await_faster(
    planner: &PlannerState,
    case: &StepCase<'_>,
    request: &PlaceRequest<'_>,
    view: &mut CapacityView,
    placement: &Placement,
    reserved: &mut ReservationCount,
) -> Option<GroupDecision> {
    let may_wait = request.is_urgent && !case.step.is_late;
    let goal = request.goal.filter(|_| may_wait)?;
    let is_missed = goal
        .needed_log(0.0)
        .is_some_and(|needed| view.slowest_log(placement) < needed + AWAIT_MARGIN_LOG);
    let may_search =
        reserved.urgent < MAX_URGENT_RESERVATIONS && reserved.searches < MAX_FASTER_SEARCHES;
    if !is_missed || !may_search {
        return None;
    }
    reserved.searches += 1;
    let before: Vec<usize> = view.rows.iter().map(|row| row.reservations.len()).collect();
    if !planner.reserve_faster(case.now, request, &goal, view) {
        return None;
    }
    reserved.urgent += 1;
    let (mut workers, mut from) = (Vec::new(), case.now);
    for (row, before) in view.rows.iter().zip(before) {
        for reservation in row.reservations.iter().skip(before) {
            workers.push(row.report.name.clone());
            from = from.max(reservation.from);
        }
    }
    Some(GroupDecision::AwaitFaster { workers, from })
}

/// Reserves the capacity that becomes free for an urgent or large group that found no room and
/// stops nothing for it. Returns whether anything was reserved.
pub(super) fn reserve_room(
    planner: &PlannerState,
    case: &StepCase<'_>,
    request: &PlaceRequest<'_>,
    view: &mut CapacityView,
    reserved: &mut ReservationCount,
) -> bool {
    if case.step.is_too_late && !case.step.is_guaranteed {
        return false;
    }
    let (count, limit) = if request.is_urgent {
        (&mut reserved.urgent, MAX_URGENT_RESERVATIONS)
    } else {
        (&mut reserved.others, MAX_RESERVATIONS)
    };
    let is_reserved = *count < limit && planner.reserve_capacity_for(case.now, request, view);
    *count += usize::from(is_reserved);
    is_reserved
}

/// Returns when a group of a step should end. `None` in a pool of one speed.
fn end_goal(
    planner: &PlannerState,
    now: MonotonicTime,
    step: &WaitingStep,
    accepted: &AcceptedJob,
    view: &CapacityView,
) -> Option<EndGoal> {
    let steps = &accepted.submission.steps;
    let shape = steps.get(usize::from(step.key.step))?;
    if !planner.speeds.spread.differ || shape.is_long_running {
        return None;
    }
    let (times, queue) = (&planner.run_times, &accepted.queue);
    let run_of = |shape: &StepShape| expected_run(times, queue, shape.estimate_ms, 1.0);
    let after = time_after(steps, step.key.step, run_of);
    let end_by = if step.is_late {
        step.late_by
    } else {
        step.due_by
    };
    Some(EndGoal {
        now: now + START_TIME,
        run_time: run_of(shape),
        run_error: times.run_variance(queue).unwrap_or(1.0).sqrt(),
        end_by: end_by - after,
        prefers_unknown: view.is_half_free,
        packs_only: false,
    })
}

/// Whether a group may run away from its data or its rack, where it takes several times
/// as long and holds its capacity for as long: if it fits nowhere else, if a guarantee
/// says when it has to begin, if the capacity is idle otherwise, or if that is the last
/// chance to meet the late objective.
fn allows_remote(
    case: &StepCase<'_>,
    group: &GroupCase,
    remote_factor: u32,
    view: &CapacityView,
) -> bool {
    let (step, request) = (case.step, case.request(group));
    let shape = request.shape;
    let has_locality =
        shape.data_rack.is_some() || (shape.same_rack && shape.is_gang && request.count > 1);
    if !has_locality || view.is_half_free {
        return true;
    }
    if step.is_guaranteed && group.waited >= LOCALITY_TIMEOUT {
        return true;
    }
    let run_time = request.ends_at.since(case.now);
    let remote_end = case.now + run_time.saturating_mul(remote_factor);
    let is_last_chance = remote_end <= step.late_by && remote_end + REMOTE_MARGIN >= step.late_by;
    is_last_chance || !view.fits_near(&request)
}

/// Returns the expected duration of the longest chain of steps that wait for a step.
pub(super) fn time_after(
    steps: &[StepShape],
    step: u16,
    run_of: impl Fn(&StepShape) -> Duration,
) -> Duration {
    let mut ends: BTreeMap<u16, Duration> = BTreeMap::new();
    ends.insert(step, Duration::ZERO);
    for (index, shape) in steps.iter().enumerate().skip(usize::from(step) + 1) {
        let before = shape.after.iter().filter_map(|before| ends.get(before));
        if let Some(start) = before.max().copied() {
            ends.insert(index as u16, start.saturating_add(run_of(shape)));
        }
    }
    ends.into_values().max().unwrap_or_default()
}

/// Searches also on workers that are set aside, for a group that has waited for others while
/// at least half of the capacity is free.
fn find_last_resort(
    request: &PlaceRequest<'_>,
    waited: Duration,
    view: &mut CapacityView,
) -> Option<Placement> {
    if waited < MAX_PREFERENCE_WAIT || !view.is_half_free_in_all {
        return None;
    }
    view.find_placement(&PlaceRequest {
        allows_set_aside: true,
        ..*request
    })
}
