//! A planning pass over the waiting steps: opens occurrences that are due, and starts
//! the groups that fit, in the order of their steps' urgency.

use metrics::counter;

use crate::prelude::*;
use crate::process::planner::admission::{PoolUse, forecasts};
use crate::process::planner::backlog::{OpenWork, PoolSizes, choose_delayed, open_work};
use crate::process::planner::forecast::expected_run;
use crate::process::planner::job::PlanOccurrence;
use crate::process::planner::objectives::StartForecast;
use crate::process::planner::order::{WaitingStep, put_delayed_last, waiting_steps};
use crate::process::planner::place::{CapacityRow, CapacityView, EndGoal, PlaceRequest, Placement};
use crate::process::planner::shares::{PoolShares, beyond_share, waits};
use crate::process::planner::sharing::{SharedUse, UnitShare};
use crate::process::planner::start::MAX_PREFERENCE_WAIT;
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::PlanWorker;
use crate::process::planner::worker_figures::tier_of;
use crate::request::submission::{StepShape, UnitDemand};

/// Time for which a group within a guarantee waits for capacity near its data or in one rack;
/// well below its reclaim bound, which is a few seconds.
const LOCALITY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long before the latest start that meets the late objective away from the data or the
/// rack a group gives up waiting for capacity there.
const REMOTE_MARGIN: Duration = Duration::from_millis(1_500);
/// Limit of the groups that get a reservation in one pass; more would leave capacity idle
/// for work that starts much later.
pub(super) const MAX_RESERVATIONS: usize = 3;
/// The same for urgent groups, which other urgent groups would overtake.
pub(super) const MAX_URGENT_RESERVATIONS: usize = 3;
/// Logarithm by which an urgent group is expected to be faster than its objective requires, or
/// else rather waits for faster workers.
const AWAIT_MARGIN_LOG: f64 = 0.0;
/// Time from a decision until the units work: the record, the orders, and the end's listing.
const START_TIME: Duration = Duration::from_millis(60);
/// Limit of the searches in one pass for workers in use, for groups that would use up the
/// workers that are kept free; most of them fail in a full pool.
const MAX_PACKED_SEARCHES: usize = 100;
/// Limit of the searches for faster workers in one pass; each looks at all runs of the pool.
const MAX_FASTER_SEARCHES: usize = 3;
/// Maximum time before its due time at which an occurrence is opened.
const MAX_OPENING_LEAD: Duration = Duration::ZERO;

/// Counter of the milliseconds for which a `customer` waited below its fair share while a
/// `holder` held more than its own.
pub const CUSTOMER_WAITS: &str = "flamingowalk_domain_customer_waits_milliseconds_total";

/// Time after a takeover for which no queue is full.
const FORECAST_DELAY: Duration = Duration::from_secs(3);

/// Numbers of groups that got a reservation in a pass.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReservationCount {
    pub(super) urgent: usize,
    pub(super) others: usize,
    /// Searches for faster workers that become free in time.
    pub(super) searches: usize,
    /// Searches for workers in use, whatever their speed.
    pub(super) packed_searches: usize,
}

/// Share of a pool that the waiting groups of a step need.
#[derive(Clone, Debug)]
struct StepNeed {
    service: ServiceName,
    customer: Option<CustomerName>,
    share: f64,
}

impl PlannerState {
    /// Starts the groups that fit.
    pub(super) fn plan(&mut self, context: &mut PlanContext<'_>) {
        let guaranteed = self.guaranteed_jobs();
        let mut waiting = waiting_steps(context.now, &self.jobs, &self.run_times, &guaranteed);
        if waiting.is_empty() {
            return;
        }
        if self.limits.overload.orders_by_cost {
            let open = self.open_work(context.now, &guaranteed);
            put_delayed_last(&mut waiting, &choose_delayed(context.now, &open));
        }
        if self.limits.overload.shares_capacity {
            self.put_beyond_share_last(&mut waiting);
        }
        let uncertain = self.poll_uncertain_workers(context.now);
        let mut view = self.capacity_view(context.now, uncertain, guaranteed);
        let mut reserved = ReservationCount::default();
        for step in &waiting {
            self.plan_step(context, step, &mut view, &mut reserved);
        }
        self.prefetch_advice(context, &view);
    }

    /// Returns all steps with groups that may start now, the most urgent first.
    pub fn waiting(&self, now: MonotonicTime) -> Vec<WaitingStep> {
        waiting_steps(now, &self.jobs, &self.run_times, &self.guaranteed_jobs())
    }

    /// Returns the open work of all jobs, measured against the workers on which units may be
    /// started.
    pub(super) fn open_work(
        &self,
        now: MonotonicTime,
        guaranteed: &BTreeSet<JobKey>,
    ) -> Vec<OpenWork> {
        let pools = self.pool_sizes();
        open_work(now, &self.jobs, &self.run_times, guaranteed, &pools)
    }

    /// Puts the steps that exceed the fair shares of their customers after the others of their
    /// priority. Steps within a guarantee and work that was begun keep their place.
    fn put_beyond_share_last(&self, waiting: &mut Vec<WaitingStep>) {
        let pools = self.pool_sizes();
        let needs: Vec<StepNeed> = waiting
            .iter()
            .filter_map(|step| self.step_need(step, &pools))
            .collect();
        if needs.len() != waiting.len() {
            // A service without any worker has no capacity that could be shared.
            return;
        }
        let uses = self.pool_shares(&pools, &needs);
        let mut is_beyond = vec![false; waiting.len()];
        for (service, uses) in &uses {
            let own: Vec<usize> = (0..needs.len())
                .filter(|index| needs[*index].service == *service)
                .collect();
            let shares: Vec<_> = own
                .iter()
                .map(|index| (needs[*index].customer.clone(), needs[*index].share))
                .collect();
            for (index, beyond) in own.into_iter().zip(beyond_share(uses, &shares)) {
                let step = &waiting[index];
                is_beyond[index] = beyond && !step.is_guaranteed && !self.has_begun(step);
            }
        }
        let mut flagged: Vec<(bool, WaitingStep)> =
            is_beyond.into_iter().zip(waiting.drain(..)).collect();
        flagged.sort_by_key(|(beyond, step)| {
            let group = (step.is_too_late, step.priority, !step.is_guaranteed);
            (group, *beyond)
        });
        waiting.extend(flagged.into_iter().map(|(_, step)| step));
    }

    /// Whether some group of the step's occurrence has run. Work that was begun goes on: a wide
    /// job exceeds the share of its customer by itself, and would not be done otherwise.
    fn has_begun(&self, step: &WaitingStep) -> bool {
        let job = self.jobs.get(&step.key.job);
        let occurrence = job.and_then(|job| job.occurrences.get(&step.key.occurrence));
        occurrence.is_some_and(|occurrence| {
            let mut groups = occurrence.steps.iter().flat_map(|step| &step.groups);
            groups.any(|group| group.run > RunNumber(0))
        })
    }

    /// Returns what the waiting groups of a step would hold of their pool.
    fn step_need(&self, step: &WaitingStep, pools: &PoolSizes) -> Option<StepNeed> {
        let job = self.jobs.get(&step.key.job)?;
        let shape = job.shape(step.key.step)?;
        let pool = pools.get(&job.accepted.service)?;
        let groups = step.groups.len() as f64 * f64::from(shape.group_size());
        Some(StepNeed {
            service: job.accepted.service.clone(),
            customer: job.accepted.customer.clone(),
            share: shape.reserved_demand().share_of(pool) * groups,
        })
    }

    /// Returns what each customer holds and waits for, by service.
    fn pool_shares(
        &self,
        pools: &PoolSizes,
        needs: &[StepNeed],
    ) -> BTreeMap<ServiceName, PoolShares> {
        let mut uses: BTreeMap<ServiceName, PoolShares> = BTreeMap::new();
        for need in needs {
            let pool = uses.entry(need.service.clone()).or_default();
            pool.entry(need.customer.clone()).or_default().waiting += need.share;
        }
        for worker in self.workers.values() {
            for holding in worker.holdings.values() {
                let Some(job) = self.jobs.get(&holding.group.job) else {
                    continue;
                };
                if let Some(size) = pools.get(&job.accepted.service) {
                    let pool = uses.entry(job.accepted.service.clone()).or_default();
                    let customer = pool.entry(job.accepted.customer.clone()).or_default();
                    customer.held += holding.demand.share_of(size);
                }
            }
        }
        uses
    }

    /// Adds the time since the newest heartbeat to the counter of customers that wait for others.
    pub(super) fn count_customer_waits(&self, now: MonotonicTime, interval: Duration) {
        if !self.limits.overload.shares_capacity {
            return;
        }
        let pools = self.pool_sizes();
        let waiting = self.waiting(now);
        let needs: Vec<StepNeed> = waiting
            .iter()
            .filter_map(|step| self.step_need(step, &pools))
            .collect();
        let label = |name: &Option<CustomerName>| {
            let name = name.as_ref();
            name.map_or_else(|| "none".to_owned(), ToString::to_string)
        };
        for uses in self.pool_shares(&pools, &needs).values() {
            for (customer, holder) in waits(uses) {
                counter!(
                    CUSTOMER_WAITS, "customer" => label(&customer), "holder" => label(&holder)
                )
                .increment(interval.as_millis() as u64);
            }
        }
    }

    /// Returns the capacity of the workers on which units may be started, by service.
    pub(super) fn pool_sizes(&self) -> PoolSizes {
        let mut pools = PoolSizes::new();
        for worker in self.workers.values() {
            let service = &worker.report.service;
            if worker.accepts_starts() && !self.is_spare(service) {
                let size = pools.entry(service.clone()).or_default();
                *size = size.plus(&worker.report.capacity);
            }
        }
        pools
    }

    /// Forecasts the end of jobs that are submitted now, and lists the queues that are full. A
    /// planner that has just begun knows neither the run times nor what runs.
    pub(super) fn update_admission(&mut self, now: MonotonicTime) {
        if !self.limits.overload.rejects_jobs || now.since(self.started_at) < FORECAST_DELAY {
            return;
        }
        let guaranteed = self.guaranteed_jobs();
        let open = self.open_work(now, &guaranteed);
        let forecasts = forecasts(now, &open, &self.pool_uses(), &self.covered_customers());
        for change in self.admission.update(now, &forecasts) {
            let (queue, customer) = &change.key;
            log::info!(
                target: "admission", queue = queue.as_str(), full = change.is_full,
                customer = customer.as_ref().map_or("none", CustomerName::as_str);
                "queue begins or ends to be full"
            );
        }
    }

    /// Returns the share of each service's pool that runs hold, by the resource of which least
    /// is left.
    fn pool_uses(&self) -> BTreeMap<ServiceName, PoolUse> {
        let mut pools: BTreeMap<ServiceName, (UnitDemand, UnitDemand)> = BTreeMap::new();
        for worker in self.workers.values() {
            let service = &worker.report.service;
            if worker.accepts_starts() && !self.is_spare(service) {
                let (total, free) = pools.entry(service.clone()).or_default();
                *total = total.plus(&worker.report.capacity);
                *free = free.plus(&worker.free);
            }
        }
        let held = |(total, free): (UnitDemand, UnitDemand)| PoolUse {
            held: total.minus(&free).share_of(&total),
        };
        let uses = pools.into_iter();
        uses.map(|(service, pool)| (service, held(pool))).collect()
    }

    /// Returns the free capacity of the workers on which units may be started, and the groups
    /// that may not start.
    pub(super) fn capacity_view(
        &self,
        now: MonotonicTime,
        uncertain: BTreeSet<WorkerName>,
        guaranteed: BTreeSet<JobKey>,
    ) -> CapacityView {
        let open = self
            .workers
            .values()
            .filter(|worker| worker.accepts_starts() && !uncertain.contains(&worker.report.name))
            .filter(|worker| !self.is_spare(&worker.report.service))
            .filter(|worker| {
                self.start_gate
                    .start_bar(now, &worker.report.zone)
                    .is_none()
            });
        let mut rows: Vec<CapacityRow> = open.map(|worker| CapacityRow::new(now, worker)).collect();
        for row in &mut rows {
            row.limited = self.limited_units(&row.report.name);
            if self.speeds.spread.differ {
                let speed = self.speeds.estimate(&row.report.name);
                row.tier = tier_of(speed.cautious_log());
                row.speed = Some(speed);
            }
            if self.stop_speed() < 1.0 {
                row.tier += tier_of(self.pool_speed.of_worker(&row.report.name).ln());
            }
        }
        let mut view = CapacityView {
            rows,
            unrecorded: self.unrecorded_groups(),
            uncertain,
            guaranteed,
            ..CapacityView::default()
        };
        view.count_workers();
        view.measure_free_share();
        view
    }

    /// Returns the groups of which a worker lists a run that the planner has no record of.
    fn unrecorded_groups(&self) -> BTreeSet<GroupKey> {
        let units = self.workers.values().map(|worker| &worker.unrecorded);
        let units = units.flat_map(BTreeMap::keys);
        units
            .filter_map(|unit| Some(self.jobs.get(&unit.job)?.locate(unit)?.0))
            .collect()
    }

    pub(super) fn is_spare(&self, service: &ServiceName) -> bool {
        let settings = self.manifest.services.get(service);
        settings.is_some_and(|settings| settings.is_spare)
    }

    /// Counts the units on a worker and those that claims will bring, by step, for steps that
    /// limit their units per worker.
    fn limited_units(&self, name: &WorkerName) -> BTreeMap<StepKey, u16> {
        let mut limited = BTreeMap::new();
        let Some(worker) = self.workers.get(name) else {
            return limited;
        };
        for holding in worker.holdings.values().filter(|held| held.is_limited) {
            let key = StepKey::of(&holding.group);
            *limited.entry(key).or_default() += 1;
        }
        for (group, claimed) in worker.claimed.iter().filter(|(_, claim)| claim.is_limited) {
            *limited.entry(StepKey::of(group)).or_default() += claimed.count;
        }
        limited
    }

    fn plan_step(
        &mut self,
        context: &mut PlanContext<'_>,
        step: &WaitingStep,
        view: &mut CapacityView,
        reserved: &mut ReservationCount,
    ) {
        let now = context.now;
        let Some(job) = self.jobs.get(&step.key.job) else {
            return;
        };
        let accepted = Arc::clone(&job.accepted);
        let Some(shape) = accepted.submission.steps.get(usize::from(step.key.step)) else {
            return;
        };
        let run_time = self.run_times.expected(&accepted.queue, shape.estimate_ms);
        let is_urgent = step.priority == 0;
        let goal = self.end_goal(now, step, view);
        let settings = self.advice_settings(&accepted.queue);
        let approved = settings.map(|_| self.advice.approved(&step.key, now, &self.workers));
        for index in &step.groups {
            let key = GroupKey {
                job: step.key.job,
                occurrence: step.key.occurrence,
                step: step.key.step,
                index: (!shape.is_gang).then_some(*index as u16),
            };
            let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(&key)) else {
                continue;
            };
            // A group that has run before waits for locality again, since slow units cost it
            // more.
            let waited = now.since(step.ready_at.max(group.not_before));
            let failed_on = group.failed_on.clone();
            let allows_avoided = now >= group.avoids_until;
            let awaits_ends = self.awaits_ends(now, group);
            if view.unrecorded.contains(&key)
                || self.awaits_late_start(&key, &view.uncertain)
                || awaits_ends
            {
                continue;
            }
            let mut request = PlaceRequest {
                service: &accepted.service,
                key: step.key,
                shape,
                count: shape.group_size(),
                avoided: &failed_on,
                allows_avoided,
                allows_set_aside: false,
                approved: approved.as_ref(),
                allows_remote: false,
                is_urgent,
                ends_at: goal.map_or(now + run_time, |goal| goal.now + goal.run_time),
                goal,
            };
            request.allows_remote = self.allows_remote(now, step, &request, waited, view);
            if self.start_claimed(context, key, step.is_guaranteed, &request, view) {
                continue;
            }
            let usual = view.find_placement(&request);
            let is_usual = usual.is_some();
            let Some(placement) = usual.or_else(|| find_last_resort(&request, waited, view)) else {
                if let Some(settings) = settings {
                    self.request_advice(context, settings, &request, view);
                }
                if allows_avoided {
                    request = request.without_avoided();
                }
                self.reclaim_or_reserve(context, key, step, &request, view, reserved);
                // The next group may fit on a worker that this one avoids.
                if !request.avoided.is_empty() {
                    continue;
                }
                break;
            };
            if self.awaits_faster(now, step, &request, view, &placement, reserved) {
                continue;
            }
            let fits = |view: &CapacityView, placement: &Placement| {
                !is_usual || self.respects_headroom(now, step, shape, run_time, view, placement)
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
                    None => break,
                }
            };
            self.note_forecast(now, step, &request, view, &placement);
            view.allocate(&request, &placement);
            self.record_start(now, key, &placement);
        }
    }

    /// Notes whether the occurrence of a group that starts is expected to meet its objective.
    fn note_forecast(
        &mut self,
        now: MonotonicTime,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &CapacityView,
        placement: &Placement,
    ) {
        let Some(job) = self.jobs.get_mut(&step.key.job) else {
            return;
        };
        if request.shape.is_long_running {
            return;
        }
        let (times, queue) = (&self.run_times, &job.accepted.queue);
        let run_of = |shape: &StepShape| expected_run(times, queue, shape.estimate_ms, 1.0);
        let steps = &job.accepted.submission.steps;
        let after = time_after(steps, step.key.step, run_of);
        let run_time = run_of(request.shape).div_f64(view.slowest_speed(placement));
        let forecast = StartForecast {
            due_by: step.due_by,
            is_met: now + START_TIME + run_time + after <= step.due_by,
        };
        if let Some(occurrence) = job.occurrences.get_mut(&step.key.occurrence) {
            let known = occurrence.forecast.get_or_insert(forecast);
            known.add(forecast);
        }
    }

    /// Returns when a group of a step should end. `None` in a pool of one speed.
    pub(super) fn end_goal(
        &self,
        now: MonotonicTime,
        step: &WaitingStep,
        view: &CapacityView,
    ) -> Option<EndGoal> {
        let job = self.jobs.get(&step.key.job)?;
        let shape = job.shape(step.key.step)?;
        if !self.speeds.spread.differ || shape.is_long_running {
            return None;
        }
        let (times, queue) = (&self.run_times, &job.accepted.queue);
        let run_of = |shape: &StepShape| expected_run(times, queue, shape.estimate_ms, 1.0);
        let after = time_after(&job.accepted.submission.steps, step.key.step, run_of);
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

    /// Whether an urgent group rather waits than starts on workers on which it would miss its
    /// objective: faster ones become free in time. They are reserved for it.
    fn awaits_faster(
        &self,
        now: MonotonicTime,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
        placement: &Placement,
        reserved: &mut ReservationCount,
    ) -> bool {
        let Some(goal) = request.goal.filter(|_| request.is_urgent && !step.is_late) else {
            return false;
        };
        let is_missed = goal
            .needed_log(0.0)
            .is_some_and(|needed| view.slowest_log(placement) < needed + AWAIT_MARGIN_LOG);
        let may_search =
            reserved.urgent < MAX_URGENT_RESERVATIONS && reserved.searches < MAX_FASTER_SEARCHES;
        if !is_missed || !may_search {
            return false;
        }
        reserved.searches += 1;
        let awaits = self.reserve_faster(now, request, &goal, view);
        reserved.urgent += usize::from(awaits);
        awaits
    }

    /// Whether a group may run away from its data or its rack, where it takes several times
    /// as long and holds its capacity for as long: if it fits nowhere else, if a guarantee
    /// says when it has to begin, if the capacity is idle otherwise, or if that is the last
    /// chance to meet the late objective.
    pub(super) fn allows_remote(
        &self,
        now: MonotonicTime,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        waited: Duration,
        view: &CapacityView,
    ) -> bool {
        let shape = request.shape;
        let has_locality =
            shape.data_rack.is_some() || (shape.same_rack && shape.is_gang && request.count > 1);
        if !has_locality || view.is_half_free {
            return true;
        }
        if step.is_guaranteed && waited >= LOCALITY_TIMEOUT {
            return true;
        }
        let run_time = request.ends_at.since(now);
        let remote_time = run_time.saturating_mul(self.limits.remote_factor);
        let remote_end = now + remote_time;
        let is_last_chance =
            remote_end <= step.late_by && remote_end + REMOTE_MARGIN >= step.late_by;
        is_last_chance || !view.fits_near(request)
    }

    /// Handles a group that found no placement: an urgent group reclaims capacity from
    /// less urgent runs, and an urgent or large group reserves the capacity that becomes
    /// free.
    fn reclaim_or_reserve(
        &mut self,
        context: &mut PlanContext<'_>,
        key: GroupKey,
        step: &WaitingStep,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
        reserved: &mut ReservationCount,
    ) {
        self.reclaim_for(context, key, step, request, view);
        if self.claims.contains_key(&key) || (step.is_too_late && !step.is_guaranteed) {
            return;
        }
        let (count, limit) = if request.is_urgent {
            (&mut reserved.urgent, MAX_URGENT_RESERVATIONS)
        } else {
            (&mut reserved.others, MAX_RESERVATIONS)
        };
        if *count < limit && self.reserve_capacity_for(context.now, request, view) {
            *count += 1;
        }
    }

    /// Starts a group on the capacity that others were stopped for, once it is free.
    /// Returns whether the group has a claim on capacity.
    fn start_claimed(
        &mut self,
        context: &mut PlanContext<'_>,
        key: GroupKey,
        is_guaranteed: bool,
        request: &PlaceRequest<'_>,
        view: &mut CapacityView,
    ) -> bool {
        let Some(claim) = self.claims.get(&key) else {
            return false;
        };
        let mut needed: BTreeMap<&WorkerName, u16> = BTreeMap::new();
        for name in &claim.placement.workers {
            *needed.entry(name).or_default() += 1;
        }
        let is_ready = |name: &WorkerName, count: u16| {
            self.workers.get(name).is_some_and(|worker| {
                let available = worker.free_capacity_for(Some(&key));
                let slots = request
                    .shape
                    .reserved_demand()
                    .count_fitting(&available, u32::from(count));
                let shared = SharedUse::of(worker, Some(&key));
                let is_admitted = shared.admits(UnitShare::of(request.shape));
                let is_certain = !view.uncertain.contains(name);
                let bar = self.start_gate.start_bar(context.now, &worker.report.zone);
                self.may_start_claim(context.now, worker)
                    && bar.is_none()
                    && is_certain
                    && is_admitted
                    && slots >= u32::from(count)
            })
        };
        let mut missing = needed
            .iter()
            .filter(|(name, count)| !is_ready(name, **count))
            .map(|(name, _)| self.workers.get(*name))
            .peekable();
        let is_free = missing.peek().is_none();
        // A worker that does not answer is not waited for. What is free by now is found again.
        let is_lost = is_guaranteed && missing.all(|worker| worker.is_none_or(PlanWorker::is_lost));
        if !is_free && !is_lost {
            return true;
        }
        let placement: Placement = claim.placement.clone();
        self.release_claim(&key);
        if !is_free {
            self.refresh_rows(view, &placement);
            return false;
        }
        self.record_start(context.now, key, &placement);
        self.refresh_rows(view, &placement);
        true
    }

    /// Whether a claim on a worker may be used now. On a slow pool the worker is no slower than
    /// those for which other runs would be stopped instead.
    fn may_start_claim(&self, now: MonotonicTime, worker: &PlanWorker) -> bool {
        let is_usable = worker.accepts_starts() && worker.health.is_available(now);
        worker.is_open(now) || (is_usable && self.stop_speed() < 1.0)
    }

    /// Updates the rows of a placement's workers to what their holdings and claims leave.
    fn refresh_rows(&self, view: &mut CapacityView, placement: &Placement) {
        for name in &placement.workers {
            if let Some((index, worker)) = view.row_index(name).zip(self.workers.get(name)) {
                let limited = self.limited_units(name);
                let row = &mut view.rows[index];
                row.free = worker.free_capacity_for(None);
                row.shared = SharedUse::of(worker, None);
                row.limited = limited;
            }
        }
        view.count_workers();
    }

    /// Opens the occurrences that are due.
    pub(super) fn open_occurrences(&mut self, context: &mut PlanContext<'_>) {
        let (now, wall) = (context.now, context.wall);
        let mut is_opened = false;
        for job in self.jobs.values_mut().filter(|job| !job.is_closing) {
            let submission = &job.accepted.submission;
            while job.next_occurrence < submission.occurrences() && job.may_open_occurrence() {
                let due = submission
                    .schedule
                    .map(|schedule| schedule.due_at(job.next_occurrence));
                let lead = MAX_OPENING_LEAD.as_millis() as u64;
                if due.is_some_and(|due| wall.0 + lead < due.0) {
                    break;
                }
                let due_at = due.map_or(job.accepted_at, |due| {
                    now - Duration::from_millis(wall.0.saturating_sub(due.0))
                });
                let occurrence = PlanOccurrence::new(&job.accepted, due_at);
                job.occurrences
                    .entry(job.next_occurrence)
                    .or_insert(occurrence);
                job.next_occurrence += 1;
                is_opened = true;
            }
        }
        self.is_dirty |= is_opened;
    }
}

/// Returns the expected duration of the longest chain of steps that wait for a step.
fn time_after(steps: &[StepShape], step: u16, run_of: impl Fn(&StepShape) -> Duration) -> Duration {
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
pub(super) fn find_last_resort(
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
