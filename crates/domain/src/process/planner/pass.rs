//! A planning pass over the waiting steps: opens occurrences that are due, and starts
//! the groups that fit, in the order of their steps' urgency.

use metrics::counter;

use crate::prelude::*;
use crate::process::planner::admission::{PoolUse, forecasts};
use crate::process::planner::backlog::{OpenWork, PoolSizes, choose_delayed, open_work};
use crate::process::planner::decision::{
    GroupCase, GroupDecision, ReservationCount, START_TIME, StepCase, StepCursor, decide_next,
    reserve_room, time_after,
};
use crate::process::planner::forecast::expected_run;
use crate::process::planner::job::PlanOccurrence;
use crate::process::planner::objectives::StartForecast;
use crate::process::planner::order::{WaitingStep, put_delayed_last, waiting_steps};
use crate::process::planner::place::{CapacityRow, CapacityView, Placement};
use crate::process::planner::shares::{
    PoolShares, ShareRank, beyond_share, fair_shares, share_rank, waits,
};
use crate::process::planner::sharing::SharedUse;
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker_figures::tier_of;
use crate::request::submission::{StepShape, UnitDemand};

/// Maximum time before its due time at which an occurrence is opened.
const MAX_OPENING_LEAD: Duration = Duration::ZERO;

/// Counter of the milliseconds for which a `customer` waited below its fair share while a
/// `holder` held more than its own.
pub const CUSTOMER_WAITS: &str = "flamingowalk_domain_customer_waits_milliseconds_total";

/// Time after a takeover for which no queue is full.
const FORECAST_DELAY: Duration = Duration::from_secs(3);

/// Share of a pool that the waiting groups of a step need.
#[derive(Clone, Debug)]
struct StepNeed {
    service: ServiceName,
    customer: Option<CustomerName>,
    share: f64,
    /// The same for all groups of the step, also those that run or are done.
    whole_share: f64,
}

impl PlannerState {
    /// Starts the groups that fit.
    pub(super) fn plan(&mut self, context: &mut PlanContext<'_>) {
        let guaranteed = self.guaranteed_jobs();
        let waiting = self.waiting_in_order(context.now, &guaranteed);
        if waiting.is_empty() {
            return;
        }
        let uncertain = self.poll_uncertain_workers(context.now);
        let mut view = self.capacity_view(context.now, uncertain, guaranteed);
        let mut reserved = ReservationCount::default();
        for step in &waiting {
            self.plan_step(context, step, &mut view, &mut reserved);
        }
        self.prefetch_advice(context, &view);
    }

    /// Returns the steps with groups that may start now, in the order of a pass.
    pub(super) fn waiting_in_order(
        &self,
        now: MonotonicTime,
        guaranteed: &BTreeSet<JobKey>,
    ) -> Vec<WaitingStep> {
        let mut waiting = waiting_steps(now, &self.jobs, &self.run_times, guaranteed);
        if waiting.is_empty() {
            return waiting;
        }
        if self.limits.overload.orders_by_cost {
            let open = self.open_work(now, guaranteed);
            put_delayed_last(&mut waiting, &choose_delayed(now, &open));
        }
        if self.limits.overload.shares_capacity {
            self.put_beyond_share_last(&mut waiting);
        }
        waiting
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
    /// priority, first those of work that was begun. Steps within a guarantee keep their place, and
    /// begun steps that exceed the share by themselves.
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
        let mut ranks = vec![ShareRank::Within; waiting.len()];
        for (service, uses) in &uses {
            let fair = fair_shares(uses);
            let own: Vec<usize> = (0..needs.len())
                .filter(|index| needs[*index].service == *service)
                .collect();
            let shares: Vec<_> = own
                .iter()
                .map(|index| (needs[*index].customer.clone(), needs[*index].share))
                .collect();
            for (index, beyond) in own.into_iter().zip(beyond_share(uses, &shares)) {
                let (step, need) = (&waiting[index], &needs[index]);
                let is_wide = fair
                    .get(&need.customer)
                    .is_some_and(|fair| need.whole_share > *fair);
                if beyond && !step.is_guaranteed {
                    ranks[index] = share_rank(self.has_begun(step), is_wide);
                }
            }
        }
        let mut ranked: Vec<(ShareRank, WaitingStep)> =
            ranks.into_iter().zip(waiting.drain(..)).collect();
        ranked.sort_by_key(|(rank, step)| {
            let group = (step.is_too_late, step.priority, !step.is_guaranteed);
            (group, *rank)
        });
        waiting.extend(ranked.into_iter().map(|(_, step)| step));
    }

    /// Whether some group of the step's occurrence has run.
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
        let unit_share = shape.reserved_demand().share_of(pool);
        let waiting = step.groups.len() as f64 * f64::from(shape.group_size());
        Some(StepNeed {
            service: job.accepted.service.clone(),
            customer: job.accepted.customer.clone(),
            share: unit_share * waiting,
            whole_share: unit_share * f64::from(shape.count),
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

    /// Decides about the waiting groups of a step, and applies the decisions.
    fn plan_step(
        &mut self,
        context: &mut PlanContext<'_>,
        step: &WaitingStep,
        view: &mut CapacityView,
        reserved: &mut ReservationCount,
    ) {
        let Some(case) = StepCase::new(self, context.now, step, view) else {
            return;
        };
        let mut cursor = StepCursor::default();
        while let Some((group, decision)) = decide_next(self, &case, &mut cursor, view, reserved) {
            if decision != GroupDecision::NoRoom {
                self.apply_decision(&case, &group, &decision, view);
                continue;
            }
            if let Some(settings) = case.advice {
                self.request_advice(context, settings, &case.request(&group), view);
            }
            let request = case.waiting_request(&group);
            let is_reserved = self.reclaim_for(context, group.key, step, &request, view);
            if !is_reserved && !self.claims.contains_key(&group.key) {
                reserve_room(self, &case, &request, view, reserved);
            }
        }
    }

    /// Records the start of a group, or releases its claim, as was decided. Stops nothing and
    /// sends nothing.
    pub(super) fn apply_decision(
        &mut self,
        case: &StepCase<'_>,
        group: &GroupCase,
        decision: &GroupDecision,
        view: &mut CapacityView,
    ) {
        match decision {
            GroupDecision::Start { placement } => {
                self.note_forecast(case, view, placement);
                self.record_start(case.now, group.key, placement);
            }
            GroupDecision::StartClaimed { placement } => {
                self.release_claim(&group.key);
                self.record_start(case.now, group.key, placement);
                self.refresh_rows(view, placement);
            }
            GroupDecision::ReleaseClaim { placement } => {
                self.release_claim(&group.key);
                self.refresh_rows(view, placement);
            }
            GroupDecision::AwaitClaim
            | GroupDecision::AwaitFaster { .. }
            | GroupDecision::KeptFree
            | GroupDecision::NoRoom => {}
        }
    }

    /// Notes whether the occurrence of a group that starts is expected to meet its objective.
    fn note_forecast(&mut self, case: &StepCase<'_>, view: &CapacityView, placement: &Placement) {
        let (step, shape) = (case.step, case.shape());
        let Some(job) = self.jobs.get_mut(&step.key.job) else {
            return;
        };
        if shape.is_long_running {
            return;
        }
        let (times, queue) = (&self.run_times, &job.accepted.queue);
        let run_of = |shape: &StepShape| expected_run(times, queue, shape.estimate_ms, 1.0);
        let steps = &job.accepted.submission.steps;
        let after = time_after(steps, step.key.step, run_of);
        let run_time = run_of(shape).div_f64(view.slowest_speed(placement));
        let forecast = StartForecast {
            due_by: step.due_by,
            is_met: case.now + START_TIME + run_time + after <= step.due_by,
        };
        if let Some(occurrence) = job.occurrences.get_mut(&step.key.occurrence) {
            let known = occurrence.forecast.get_or_insert(forecast);
            known.add(forecast);
        }
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
