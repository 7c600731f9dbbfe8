//! Placement of groups: a pure search over the free capacity of the workers. Groups are
//! packed tightly, so that whole workers and racks stay free for groups that need them.

use crate::prelude::*;
use crate::process::planner::sharing::{SharedUse, UnitShare};
use crate::process::planner::worker::PlanWorker;
use crate::process::planner::worker_figures::{SpeedEstimate, tier_of};
use crate::process::worker_report::WorkerReport;
use crate::request::submission::{StepShape, UnitDemand};

/// Number of further speed tiers that a gang of similar workers may span; a tier is narrower
/// than the usual error of a speed.
const SIMILAR_TIERS: i32 = 2;

/// Capacity of one worker during a pass.
#[derive(Clone, Debug)]
pub struct CapacityRow {
    /// Report of the worker, with its name, rack, labels and total capacity.
    pub report: Arc<WorkerReport>,
    /// Capacity that is free and not claimed by any group.
    pub free: UnitDemand,
    /// Speed tier of the worker; higher is faster.
    pub tier: i32,
    /// Learned speed of the worker; `None` unless the speeds of the pool differ.
    pub speed: Option<SpeedEstimate>,
    /// Whether only requests that allow it may use the worker.
    pub is_set_aside: bool,
    /// Number of units on the worker by step, for steps that limit their units per worker.
    pub limited: BTreeMap<StepKey, u16>,
    /// Capacity reserved for large groups that do not fit yet.
    pub reservations: Vec<CapacityReservation>,
    /// Units on the worker, now or by a claim, that other kinds of units may not share it with.
    pub shared: SharedUse,
}

/// Capacity of a worker that is reserved for a group that does not fit yet.
#[derive(Clone, Copy, Debug)]
pub struct CapacityReservation {
    /// Reserved capacity.
    pub demand: UnitDemand,
    /// When the group is expected to start; units that end before may use the capacity.
    pub from: MonotonicTime,
    /// Whether the group is urgent. Only these reservations bind other urgent groups.
    pub is_urgent: bool,
    /// Whether the group will stop runs on the worker before it starts.
    pub is_reclaim: bool,
}

/// Workers for the members of a group, in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// One worker for each member.
    pub workers: Vec<WorkerName>,
    /// Whether the units slow down there, away from their data or from each other.
    pub is_remote: bool,
}

/// Requirements of a group on its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// Service whose workers run it.
    pub service: &'a ServiceName,
    /// Step of the group.
    pub key: StepKey,
    /// Shape of the step.
    pub shape: &'a StepShape,
    /// Members to place.
    pub count: u16,
    /// Workers that are used only if the others are too few for the group, or if it does not
    /// fit on them and `allows_avoided` is set.
    pub avoided: &'a [WorkerName],
    /// Whether the group starts on a worker to be avoided rather than waits for another one.
    pub allows_avoided: bool,
    /// Whether workers that are set aside after failures or for their speed may be used.
    pub allows_set_aside: bool,
    /// Workers that may run the step, where its queue needs approvals.
    pub approved: Option<&'a BTreeSet<WorkerName>>,
    /// Whether workers on which the units are slower, away from their data or from each
    /// other, are acceptable.
    pub allows_remote: bool,
    /// Whether the group should end as early as possible: it gets the fast workers first,
    /// and only reservations of urgent groups bind it.
    pub is_urgent: bool,
    /// When the group is expected to end if it starts now.
    pub ends_at: MonotonicTime,
    /// When it should end, where the speeds of the workers differ; `None` in a pool of one
    /// speed.
    pub goal: Option<EndGoal>,
}

/// When a group should end, and what is expected of its run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndGoal {
    /// When it would start.
    pub now: MonotonicTime,
    /// Expected run time on a worker of average speed.
    pub run_time: Duration,
    /// Standard error of the logarithm of the run time.
    pub run_error: f64,
    /// When it should have ended.
    pub end_by: MonotonicTime,
    /// Whether it should run on workers of unknown speed, so that this is learned.
    pub prefers_unknown: bool,
    /// Whether it should leave as many workers wholly free as possible, whatever their speed.
    pub packs_only: bool,
}

impl EndGoal {
    /// Returns the logarithm of the least speed at which the group meets the goal, with a
    /// margin of some standard errors of its run time. `None` if the time has passed.
    pub fn needed_log(&self, margin: f64) -> Option<f64> {
        let left = self.end_by.since(self.now).as_secs_f64();
        let run_time = self.run_time.as_secs_f64().max(0.001);
        (left > 0.0).then(|| (run_time / left).ln() + margin * self.run_error)
    }

    /// Returns the expected run time at a logarithm of a speed.
    pub fn run_time_at(&self, log: f64) -> Duration {
        self.run_time.div_f64(log.exp())
    }
}

impl PlaceRequest<'_> {
    /// Returns the request without workers to be avoided.
    #[must_use]
    pub const fn without_avoided(&self) -> Self {
        Self {
            avoided: &[],
            ..*self
        }
    }
}

/// Capacity of all workers on which units may be started.
#[derive(Clone, Debug, Default)]
pub struct CapacityView {
    /// Rows in order of the workers' names.
    pub rows: Vec<CapacityRow>,
    /// Groups that wait until runs of them that the planner has no record of have ended.
    pub unrecorded: BTreeSet<GroupKey>,
    /// Workers on which a late start may have been carried out.
    pub uncertain: BTreeSet<WorkerName>,
    /// Number of workers that are wholly free and not set aside.
    pub wholly_free: usize,
    /// Number of workers that are not set aside.
    pub in_use: usize,
    /// Whether at least half of the capacity was free when the pass began, that of workers
    /// that are set aside left out.
    pub is_half_free: bool,
    /// The same with these workers.
    pub is_half_free_in_all: bool,
    /// Jobs that the guarantees of their customers cover.
    pub guaranteed: BTreeSet<JobKey>,
    /// Searches of this pass for runs to stop that failed.
    pub failed_reclaims: Vec<FailedSearch>,
    /// Number of searches of this pass for runs to stop.
    pub reclaim_searches: usize,
    /// Number of checks of this pass whether a group finds room in time.
    pub room_checks: usize,
    /// Searches of this pass that failed.
    pub failed: Vec<FailedSearch>,
}

/// A search that found no placement. Capacity only shrinks during a pass, so a search that
/// needs as much or more fails as well.
#[derive(Clone, Debug)]
pub struct FailedSearch {
    service: ServiceName,
    shape: StepShape,
    is_urgent: bool,
    allows_remote: bool,
    allows_set_aside: bool,
    count: u16,
    ends_at: MonotonicTime,
}

impl FailedSearch {
    /// Returns the search for a placement of a group.
    pub fn new(request: &PlaceRequest<'_>) -> Self {
        Self {
            service: request.service.clone(),
            shape: request.shape.clone(),
            is_urgent: request.is_urgent,
            allows_remote: request.allows_remote,
            allows_set_aside: request.allows_set_aside,
            count: request.count,
            ends_at: request.ends_at,
        }
    }

    /// Whether a request certainly fails, since it needs at least what this search needed.
    pub fn covers(&self, request: &PlaceRequest<'_>) -> bool {
        let (failed, shape) = (&self.shape, request.shape);
        self.service == *request.service
            && self.is_urgent == request.is_urgent
            && (self.allows_remote || !request.allows_remote)
            && (self.allows_set_aside || !request.allows_set_aside)
            && self.count <= request.count
            && self.ends_at <= request.ends_at
            && failed.demand == shape.demand
            && failed.is_gang == shape.is_gang
            && failed.same_rack == shape.same_rack
            && failed.label == shape.label
            && failed.data_rack == shape.data_rack
            && UnitShare::of(failed) == UnitShare::of(shape)
    }
}

/// A row on which members of a group fit now.
#[derive(Clone, Copy, Debug)]
struct OpenRow {
    index: usize,
    slots: u32,
}

impl CapacityRow {
    /// Creates the row of a worker, without limits per step and reservations.
    pub fn new(now: MonotonicTime, worker: &PlanWorker) -> Self {
        Self {
            report: Arc::clone(&worker.report),
            free: worker.free_capacity_for(None),
            tier: worker.tier(now),
            speed: None,
            is_set_aside: worker.is_set_aside(now),
            limited: BTreeMap::new(),
            reservations: Vec::new(),
            shared: SharedUse::of(worker, None),
        }
    }

    /// Whether the worker may run the group, whatever its free capacity.
    pub fn is_eligible(&self, request: &PlaceRequest<'_>) -> bool {
        let shape = request.shape;
        let is_approved = |names: &BTreeSet<WorkerName>| names.contains(&self.report.name);
        self.report.service == *request.service
            && (request.allows_set_aside || !self.is_set_aside)
            && request.approved.is_none_or(is_approved)
            && shape
                .label
                .as_ref()
                .is_none_or(|label| self.report.labels.contains(label))
    }

    /// Returns how many members of the group fit now.
    pub fn slots(&self, request: &PlaceRequest<'_>) -> u32 {
        let share = UnitShare::of(request.shape);
        let cpu_capacity = self.report.capacity.cpu_millis;
        let max_slots = self
            .shared
            .slots(share, cpu_capacity, u32::from(request.count));
        let fitting = request
            .shape
            .reserved_demand()
            .count_fitting(&self.unreserved(request), max_slots);
        fitting.min(self.allowed_units(request))
    }

    /// Returns how many members of the group the limit of its step allows here, whatever the
    /// free capacity.
    pub fn allowed_units(&self, request: &PlaceRequest<'_>) -> u32 {
        let count = u32::from(request.count);
        let Some(limit) = request.shape.worker_limit else {
            return count;
        };
        let used = self.limited.get(&request.key).copied().unwrap_or(0);
        count.min(u32::from(limit.saturating_sub(used)))
    }

    /// Returns the free capacity less the reservations of other groups that bind the request.
    pub fn unreserved(&self, request: &PlaceRequest<'_>) -> UnitDemand {
        let mut free = self.free;
        if self.reservations.is_empty() {
            return free;
        }
        let ends_at = match (&request.goal, &self.speed) {
            (Some(goal), Some(speed)) => goal.now + goal.run_time_at(speed.log),
            _ => request.ends_at,
        };
        for reservation in &self.reservations {
            let is_binding = reservation.is_urgent || !request.is_urgent;
            if is_binding && reservation.from < ends_at {
                free = free.minus(&reservation.demand);
            }
        }
        free
    }

    /// Returns the capacity reserved for groups that will stop runs for it.
    pub fn reserved_for_reclaim(&self) -> UnitDemand {
        let reservations = self.reservations.iter();
        let reservations = reservations.filter(|reservation| reservation.is_reclaim);
        reservations.fold(UnitDemand::default(), |sum, reservation| {
            sum.plus(&reservation.demand)
        })
    }

    /// Returns how many members of the group would fit if nothing ran on the worker.
    fn max_slots(&self, request: &PlaceRequest<'_>) -> u32 {
        let limit = request
            .shape
            .worker_limit
            .map_or(request.count, |limit| limit.min(request.count));
        let demand = request.shape.reserved_demand();
        demand.count_fitting(&self.report.capacity, u32::from(limit))
    }

    /// Returns the logarithm of a speed that the worker reaches in five of six cases, zero in
    /// a pool of one speed.
    pub fn cautious_log(&self) -> f64 {
        self.speed.map_or(0.0, |speed| speed.cautious_log())
    }

    /// Whether nothing occupies the worker or claims its capacity, and it is not set aside.
    pub fn is_wholly_free(&self) -> bool {
        !self.is_set_aside && self.free == self.report.capacity
    }

    /// Returns the sort key by which workers are filled, lowest first: the free share of
    /// the worker, so that the fullest are filled first. Fillers prefer workers with idle
    /// processors, so for them it is the idle processor time, negated.
    fn packing_key(&self, shape: &StepShape) -> f64 {
        if shape.is_filler {
            let idle = self
                .free
                .cpu_millis
                .saturating_sub(self.shared.filler_cpu_millis);
            return -(idle as f64);
        }
        self.free.share_of(&self.report.capacity)
    }
}

impl CapacityView {
    /// Searches for a placement of a group. Returns `None` if it does not fit.
    pub fn find_placement(&mut self, request: &PlaceRequest<'_>) -> Option<Placement> {
        if self.failed.iter().any(|failed| failed.covers(request)) {
            return None;
        }
        let mut placement = self.search(request);
        if placement.is_none() && request.allows_avoided && !request.avoided.is_empty() {
            placement = self.search(&request.without_avoided());
        }
        let is_general = (request.avoided.is_empty() || request.allows_avoided)
            && request.approved.is_none()
            && request.shape.worker_limit.is_none();
        if placement.is_none() && is_general {
            self.failed.push(FailedSearch::new(request));
        }
        placement
    }

    fn search(&self, request: &PlaceRequest<'_>) -> Option<Placement> {
        let open = self.open_rows(request);
        let total: u32 = open.iter().map(|row| row.slots).sum();
        if total < u32::from(request.count) {
            return None;
        }
        let shape = request.shape;
        let near = |workers| Placement {
            workers,
            is_remote: false,
        };
        if let Some(rack) = &shape.data_rack {
            let is_near = |row: &&OpenRow| self.rows[row.index].report.rack.as_ref() == Some(rack);
            let rows: Vec<OpenRow> = open.iter().filter(is_near).copied().collect();
            if let Some(workers) = self.fill_by_speed(&rows, request, Self::fill) {
                return Some(near(workers));
            }
        } else if shape.same_rack && shape.is_gang && request.count > 1 {
            if let Some(workers) = self.fill_by_speed(&open, request, Self::fill_rack) {
                return Some(near(workers));
            }
        } else {
            return self.fill_by_speed(&open, request, Self::fill).map(near);
        }
        if !request.allows_remote {
            return None;
        }
        self.fill(&open, request).map(|workers| Placement {
            workers,
            is_remote: true,
        })
    }

    /// Returns the eligible rows on which a member fits now.
    fn open_rows(&self, request: &PlaceRequest<'_>) -> Vec<OpenRow> {
        let eligible = self.eligible_rows(request).into_iter();
        let rows = eligible.map(|index| OpenRow {
            index,
            slots: self.rows[index].slots(request),
        });
        rows.filter(|row| row.slots > 0).collect()
    }

    /// Returns the rows of the workers that may run the group; those to be avoided are
    /// included only if the others are too few for the group even when nothing runs there.
    pub fn eligible_rows(&self, request: &PlaceRequest<'_>) -> Vec<usize> {
        let eligible: Vec<usize> = (0..self.rows.len())
            .filter(|index| self.rows[*index].is_eligible(request))
            .collect();
        if request.avoided.is_empty() {
            return eligible;
        }
        let is_avoided = |index: &usize| request.avoided.contains(&self.rows[*index].report.name);
        let preferred: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|index| !is_avoided(index))
            .collect();
        let slots: u32 = preferred
            .iter()
            .map(|index| self.rows[*index].max_slots(request))
            .sum();
        if slots < u32::from(request.count) {
            return eligible;
        }
        preferred
    }

    /// Searches for a placement on workers of similar speed, since a gang is as slow as its
    /// slowest member. Urgent groups get the fastest workers, others the slowest.
    fn fill_by_speed(
        &self,
        open: &[OpenRow],
        request: &PlaceRequest<'_>,
        fill: impl Fn(&Self, &[OpenRow], &PlaceRequest<'_>) -> Option<Vec<WorkerName>>,
    ) -> Option<Vec<WorkerName>> {
        if let Some(goal) = request.goal.filter(|_| !request.is_urgent) {
            return self.fill_by_end(open, request, &goal, fill);
        }
        let tier = |row: &OpenRow| self.rows[row.index].tier;
        let tiers: BTreeSet<i32> = open.iter().map(tier).collect();
        let rows_where = |keep: &dyn Fn(i32) -> bool| -> Vec<OpenRow> {
            let matching = open.iter().filter(|row| keep(tier(row)));
            matching.copied().collect()
        };
        if !request.is_urgent {
            for tier in &tiers {
                let found = fill(self, &rows_where(&|other| other == *tier), request);
                if found.is_some() {
                    return found;
                }
            }
        }
        tiers
            .iter()
            .rev()
            .find_map(|tier| fill(self, &rows_where(&|other| other >= *tier), request))
    }

    /// Searches for a placement of a group that can wait in a pool of unequal speeds: on
    /// workers of unknown speed if these should be learned, then on the slowest ones on which
    /// it is expected to meet its goal, so that fast ones stay free, then on the slowest.
    fn fill_by_end(
        &self,
        open: &[OpenRow],
        request: &PlaceRequest<'_>,
        goal: &EndGoal,
        fill: impl Fn(&Self, &[OpenRow], &PlaceRequest<'_>) -> Option<Vec<WorkerName>>,
    ) -> Option<Vec<WorkerName>> {
        // No part of the workers has room if all of them have none.
        let packed = fill(self, open, request)?;
        if goal.packs_only {
            return Some(packed);
        }
        let speed = |row: &OpenRow| self.rows[row.index].speed.unwrap_or_default();
        let needed = goal.needed_log(1.0).unwrap_or(f64::INFINITY);
        let in_time = |row: &&OpenRow| speed(row).cautious_log() >= needed;
        let in_time: Vec<OpenRow> = open.iter().filter(in_time).copied().collect();
        if goal.prefers_unknown {
            let unknown = in_time.iter().filter(|row| !speed(row).is_known());
            let unknown: Vec<OpenRow> = unknown.copied().collect();
            if let Some(found) = fill(self, &unknown, request) {
                return Some(found);
            }
        }
        let tier = |row: &OpenRow| tier_of(speed(row).log);
        for rows in [in_time.as_slice(), open] {
            if rows.is_empty() {
                continue;
            }
            let tiers: BTreeSet<i32> = rows.iter().map(tier).collect();
            let between = |low: i32, high: i32| -> Vec<OpenRow> {
                let is_between = |row: &&OpenRow| (low..=high).contains(&tier(row));
                rows.iter().filter(is_between).copied().collect()
            };
            let similar = tiers
                .iter()
                .find_map(|low| fill(self, &between(*low, *low + SIMILAR_TIERS), request));
            let found = similar.or_else(|| {
                let mut highs = tiers.iter();
                highs.find_map(|high| fill(self, &between(i32::MIN, *high), request))
            });
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Returns the expected speed of the slowest worker of a placement, one in a pool of one
    /// speed.
    pub fn slowest_speed(&self, placement: &Placement) -> f64 {
        let names = placement.workers.iter();
        let rows = names.filter_map(|name| self.row_index(name));
        rows.filter_map(|index| self.rows[index].speed)
            .map(|speed| speed.factor())
            .min_by(f64::total_cmp)
            .unwrap_or(1.0)
    }

    /// Returns the logarithm of the speed that the slowest worker of a placement reaches in
    /// five of six cases.
    pub fn slowest_log(&self, placement: &Placement) -> f64 {
        let names = placement.workers.iter();
        let rows = names.filter_map(|name| self.row_index(name));
        rows.map(|index| self.rows[index].cautious_log())
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    /// Places the members, filling workers in the order of their packing key.
    fn fill(&self, open: &[OpenRow], request: &PlaceRequest<'_>) -> Option<Vec<WorkerName>> {
        let total: u32 = open.iter().map(|row| row.slots).sum();
        if total < u32::from(request.count) {
            return None;
        }
        let mut candidates: Vec<(f64, OpenRow)> = open
            .iter()
            .map(|row| (self.rows[row.index].packing_key(request.shape), *row))
            .collect();
        candidates.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        let mut workers = Vec::with_capacity(usize::from(request.count));
        for (_, row) in candidates {
            let missing = usize::from(request.count) - workers.len();
            if missing == 0 {
                break;
            }
            let taken = missing.min(row.slots as usize);
            let name = &self.rows[row.index].report.name;
            workers.extend(std::iter::repeat_n(name.clone(), taken));
        }
        Some(workers)
    }

    /// Places the members in the rack that has the fewest slots left over.
    fn fill_rack(&self, open: &[OpenRow], request: &PlaceRequest<'_>) -> Option<Vec<WorkerName>> {
        let mut racks: BTreeMap<&RackName, (u32, Vec<OpenRow>)> = BTreeMap::new();
        for row in open {
            if let Some(rack) = &self.rows[row.index].report.rack {
                let entry = racks.entry(rack).or_default();
                entry.0 += row.slots;
                entry.1.push(*row);
            }
        }
        let (_, rows) = racks
            .into_values()
            .filter(|(slots, _)| *slots >= u32::from(request.count))
            .min_by_key(|(slots, _)| *slots)?;
        self.fill(&rows, request)
    }

    /// Returns the number of workers that are wholly free once the group is placed.
    pub fn free_workers_after(&self, placed: &Placement) -> usize {
        let names: BTreeSet<&WorkerName> = placed.workers.iter().collect();
        let rows = names.into_iter().filter_map(|name| self.row_index(name));
        let taken = rows.filter(|index| self.rows[*index].is_wholly_free());
        self.wholly_free.saturating_sub(taken.count())
    }

    /// Whether the members of a group would fit near their data or in one rack if nothing ran
    /// there. Otherwise waiting for that is of no use.
    pub fn fits_near(&self, request: &PlaceRequest<'_>) -> bool {
        let shape = request.shape;
        let mut racks: BTreeMap<Option<&RackName>, u32> = BTreeMap::new();
        for row in self.rows.iter().filter(|row| row.is_eligible(request)) {
            let rack = row.report.rack.as_ref();
            let is_near = shape.data_rack.is_none() || rack == shape.data_rack.as_ref();
            if is_near {
                *racks.entry(rack).or_default() += row.max_slots(request);
            }
        }
        racks
            .into_values()
            .any(|slots| slots >= u32::from(request.count))
    }

    /// Notes whether at least half of the accelerators and processors are free.
    pub fn measure_free_share(&mut self) {
        self.is_half_free = is_half_free(self.rows.iter().filter(|row| !row.is_set_aside));
        self.is_half_free_in_all = is_half_free(self.rows.iter());
    }

    /// Counts the workers that are wholly free and those that are not set aside.
    pub fn count_workers(&mut self) {
        self.wholly_free = self.rows.iter().filter(|row| row.is_wholly_free()).count();
        self.in_use = self.rows.iter().filter(|row| !row.is_set_aside).count();
    }

    /// Returns the index of a worker's row, or `None` if nothing may be started there.
    pub fn row_index(&self, name: &WorkerName) -> Option<usize> {
        let found = self.rows.binary_search_by(|row| row.report.name.cmp(name));
        found.ok()
    }

    /// Reserves capacity from a time on for a group that will stop runs for it.
    pub fn reserve(
        &mut self,
        workers: &[WorkerName],
        request: &PlaceRequest<'_>,
        from: MonotonicTime,
    ) {
        for name in workers {
            if let Some(index) = self.row_index(name) {
                self.rows[index].reservations.push(CapacityReservation {
                    demand: request.shape.reserved_demand(),
                    from,
                    is_urgent: request.is_urgent,
                    is_reclaim: true,
                });
            }
        }
    }

    /// Allocates the capacity of a placed group.
    pub fn allocate(&mut self, request: &PlaceRequest<'_>, placement: &Placement) {
        for name in &placement.workers {
            let Some(index) = self.row_index(name) else {
                continue;
            };
            let row = &mut self.rows[index];
            self.wholly_free -= usize::from(row.is_wholly_free());
            row.free = row.free.minus(&request.shape.reserved_demand());
            self.wholly_free += usize::from(row.is_wholly_free());
            row.shared.add(UnitShare::of(request.shape));
            if request.shape.worker_limit.is_some() {
                *row.limited.entry(request.key).or_default() += 1;
            }
        }
    }
}

/// Whether at least half of the capacity of workers is free.
fn is_half_free<'a>(rows: impl Iterator<Item = &'a CapacityRow>) -> bool {
    let (mut free, mut total) = (UnitDemand::default(), UnitDemand::default());
    for row in rows {
        free = free.plus(&row.free);
        total = total.plus(&row.report.capacity);
    }
    total.minus(&free).share_of(&total) <= 0.5
}
