//! The planner's state, and the events and ticks that drive it.

use std::fmt::{self, Display, Formatter};

use metrics::counter;

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, WorkerCall, WorkerOrder};
use crate::process::election::HEARTBEAT_INTERVAL;
use crate::process::event::{WorkerAnswer, WorkerError};
use crate::process::planner::admission::AdmissionState;
use crate::process::planner::advice::AdviceCache;
use crate::process::planner::estimate::RunTimes;
use crate::process::planner::evacuation::{ClosedZones, StartGate};
use crate::process::planner::job::PlanJob;
use crate::process::planner::late_start::LateStart;
use crate::process::planner::limits::PlanLimits;
use crate::process::planner::objectives::ObjectiveTally;
use crate::process::planner::outage::WorkerOutage;
use crate::process::planner::reclaim::CapacityClaim;
use crate::process::planner::release::ReleaseNotes;
use crate::process::planner::start_poll::StartPoll;
use crate::process::planner::upkeep::UpkeepState;
use crate::process::planner::worker::{PlanWorker, PlanWorkers};
use crate::process::planner::worker_figures::PoolSpeeds;
use crate::process::planner::writer::{CommitEffect, PlanWriter, WriteOutcome};
use crate::process::record::{AppendMark, JobRecord, PlannerHeartbeat, RecordKey};
use crate::process::stream::{AppendedAt, StreamError};
use crate::process::stream_follower::allocate_ticket;
use crate::version::manifest::DomainManifest;

/// Counter of completed orders to workers, by `order` and `outcome`.
pub const WORKER_ORDERS: &str = "flamingowalk_domain_worker_orders_total";

/// Timeout of an order, in addition to the time for which it lets the worker wait. A
/// worker answers within a few milliseconds, and members of a gang wait for each other
/// meanwhile.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time between two passes. Retry delays and quarantines end without an event, and
/// are observed within this time.
const REPLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two passes, for each worker: a pass takes about 10 us for each worker
/// on a host with half a core.
const PASS_INTERVAL_PER_WORKER: Duration = Duration::from_micros(20);
/// The same where speeds differ: such a pass takes two to three times as long.
const SPEED_PASS_INTERVAL_PER_WORKER: Duration = Duration::from_micros(40);
/// Minimum time between two scans for due polls, for each worker.
const POLL_SCAN_INTERVAL_PER_WORKER: Duration = Duration::from_micros(10);

/// Inputs and outputs of a call to the planner, other than its state.
#[derive(Debug)]
pub struct PlanContext<'a> {
    /// Current time.
    pub now: MonotonicTime,
    /// Wall clock of the host.
    pub wall: WallTime,
    /// Ticket that was allocated last.
    pub last_ticket: &'a mut u64,
    /// Actions that the host is to execute.
    pub actions: &'a mut Vec<HostAction>,
}

/// An order to a worker that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) worker: WorkerName,
    pub(super) incarnation: WorkerIncarnation,
    pub(super) sent_at: MonotonicTime,
    pub(super) kind: CallKind,
}

/// Kind of a pending order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Start { unit: UnitKey, run: RunNumber },
    Stop { unit: UnitKey, run: RunNumber },
    LongPoll,
    ShortPoll,
}

impl CallKind {
    const fn label(self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::LongPoll => "wait",
            Self::ShortPoll => "look",
        }
    }
}

/// Planner of a domain during one term of the leader.
#[derive(Clone, Debug)]
pub struct PlannerState {
    pub(super) epoch: LeaderEpoch,
    pub(super) host: HostName,
    pub(super) limits: PlanLimits,
    pub(super) manifest: Arc<DomainManifest>,
    /// Workers that are listed, or on which units may still run.
    pub(super) workers: PlanWorkers,
    /// Jobs that have not ended, or whose units still occupy workers.
    pub(super) jobs: BTreeMap<JobKey, PlanJob>,
    /// Units of which a run is being stopped.
    pub(super) stopping: BTreeMap<UnitKey, StopOrder>,
    /// Starts of released members that may still be carried out.
    pub(super) late_starts: BTreeMap<GroupKey, Vec<LateStart>>,
    /// Starts of urgent groups that are preceded by polls of their workers.
    pub(super) start_polls: BTreeMap<GroupKey, StartPoll>,
    /// Newest answer of any worker.
    pub(super) answered_at: MonotonicTime,
    pub(super) outage: Option<WorkerOutage>,
    /// Released capacity that the log still shows as used.
    pub(super) releases: ReleaseNotes,
    pub(super) writer: PlanWriter,
    pub(super) calls: BTreeMap<CallTicket, PendingCall>,
    pub(super) run_times: RunTimes,
    /// Occurrences that are done, by whether they met their objective.
    pub(super) objectives: BTreeMap<QueueName, ObjectiveTally>,
    /// Speeds of the workers, learned from all runs.
    pub(super) speeds: PoolSpeeds,
    /// Whether something changed that may let a group start.
    pub(super) is_dirty: bool,
    /// Capacity that is being reclaimed for groups.
    pub(super) claims: BTreeMap<GroupKey, CapacityClaim>,
    /// Approvals of workers, for queues that require them.
    pub(super) advice: AdviceCache,
    /// Upkeep of machines.
    pub(in crate::process) upkeep: UpkeepState,
    /// The operator's orders that concern starts.
    pub(super) start_gate: StartGate,
    /// Recorded members on workers that are not listed, and until when they may run.
    pub(super) unlisted_members: Vec<(GroupKey, usize, MonotonicTime)>,
    /// When all leases granted by earlier planners have expired.
    pub(super) inherited_leases_end: MonotonicTime,
    /// Queues that accept no further jobs of a customer for now.
    pub(super) admission: AdmissionState,
    pub(super) started_at: MonotonicTime,
    next_heartbeat_at: MonotonicTime,
    /// Earliest time of the next pass.
    next_pass_at: MonotonicTime,
    /// Earliest time of the next scan for due polls.
    next_poll_scan_at: MonotonicTime,
    /// When the progress of the runs is checked next.
    pub(super) next_progress_check_at: MonotonicTime,
    /// When the next pass is due even without an event, since retry delays of groups and
    /// quarantines of workers end by time alone.
    replan_at: MonotonicTime,
    /// Whether a worker or the log reported a higher epoch.
    is_superseded: bool,
    pub(super) is_resigning: bool,
    has_resigned: bool,
}

/// A run that is being stopped, until a worker confirms the stop.
#[derive(Clone, Debug)]
pub(super) struct StopOrder {
    pub(super) run: RunNumber,
    pub(super) worker: WorkerName,
    /// Whether the run was confirmed to be on the worker.
    pub(super) was_running: bool,
    pub(super) ticket: Option<CallTicket>,
    pub(super) send_at: MonotonicTime,
}

impl PlannerState {
    /// Returns the capacity that is being reclaimed, by the group that it is for.
    pub const fn claims(&self) -> &BTreeMap<GroupKey, CapacityClaim> {
        &self.claims
    }

    /// Creates a planner without jobs and workers. The log accepted its epoch after
    /// `announced_at`.
    pub fn new(
        epoch: LeaderEpoch,
        host: HostName,
        limits: PlanLimits,
        manifest: Arc<DomainManifest>,
        announced_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Self {
        Self {
            epoch,
            host,
            limits,
            manifest,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            stopping: BTreeMap::new(),
            late_starts: BTreeMap::new(),
            start_polls: BTreeMap::new(),
            answered_at: now,
            outage: None,
            releases: ReleaseNotes::default(),
            writer: PlanWriter::new(epoch, announced_at),
            calls: BTreeMap::new(),
            run_times: RunTimes::default(),
            objectives: BTreeMap::new(),
            speeds: PoolSpeeds::default(),
            is_dirty: true,
            claims: BTreeMap::new(),
            advice: AdviceCache::default(),
            upkeep: UpkeepState::default(),
            start_gate: StartGate::new(limits.evacuation_bound),
            unlisted_members: Vec::new(),
            inherited_leases_end: now,
            admission: AdmissionState::default(),
            started_at: now,
            next_heartbeat_at: now,
            next_pass_at: now,
            next_poll_scan_at: now,
            next_progress_check_at: now,
            replan_at: now,
            is_superseded: false,
            is_resigning: false,
            has_resigned: false,
        }
    }

    /// Returns the epoch of the leader's term.
    pub const fn epoch(&self) -> LeaderEpoch {
        self.epoch
    }

    /// Whether a planner of a higher epoch has taken over.
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Whether the planner's resignation is in the log.
    pub const fn has_resigned(&self) -> bool {
        self.has_resigned
    }

    /// Whether the planner may plan now: it holds the leader lease and is not resigning.
    pub fn is_current(&self, now: MonotonicTime) -> bool {
        self.has_leader_lease(now) && !self.is_superseded && !self.is_resigning
    }

    /// Whether something changed since the newest pass.
    pub const fn is_pass_due(&self) -> bool {
        self.is_dirty
    }

    /// Returns the workers by name.
    pub const fn workers(&self) -> &PlanWorkers {
        &self.workers
    }

    /// Returns the speeds of the workers.
    pub const fn speeds(&self) -> &PoolSpeeds {
        &self.speeds
    }

    /// Returns the jobs by identifier.
    pub const fn jobs(&self) -> &BTreeMap<JobKey, PlanJob> {
        &self.jobs
    }

    /// Sets a higher version of the configuration.
    pub fn set_manifest(&mut self, manifest: Arc<DomainManifest>) {
        self.manifest = manifest;
        self.is_dirty = true;
    }

    /// Sets the zones in which nothing may be started.
    pub fn set_closed_zones(&mut self, closed: &ClosedZones) {
        self.is_dirty |= self.start_gate.set_closed(closed);
    }

    /// Records when the newest read that reached the end of the operator's stream was sent.
    pub fn confirm_orders(&mut self, read_at: Option<MonotonicTime>) {
        self.start_gate.set_read_at(read_at);
    }

    /// Whether the operator has closed the zone of a worker.
    pub fn is_evacuated(&self, worker: &PlanWorker) -> bool {
        self.start_gate.is_closed(&worker.report.zone)
    }

    /// Stops planning for good, and records the resignation in the log.
    pub fn start_resigning(&mut self, now: MonotonicTime) {
        if !self.is_resigning {
            self.is_resigning = true;
            let heartbeat = self.heartbeat(now);
            self.writer
                .push(&JobRecord::Heartbeat(heartbeat), Some(CommitEffect::Resign));
        }
    }

    fn heartbeat(&self, now: MonotonicTime) -> PlannerHeartbeat {
        PlannerHeartbeat {
            epoch: self.epoch,
            host: self.host.clone(),
            leader_time_ms: now.since(self.started_at).as_millis() as u64,
            has_resigned: self.is_resigning,
            full_queues: Vec::new(),
            full_shares: self.admission.full_queues(),
        }
    }

    /// Handles the answer of a worker to an order.
    pub fn handle_worker_answer(
        &mut self,
        context: &mut PlanContext<'_>,
        ticket: CallTicket,
        result: Result<WorkerAnswer, WorkerError>,
    ) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        counter!(WORKER_ORDERS, "order" => call.kind.label(), "outcome" => result_label(&result))
            .increment(1);
        let is_same_incarnation = self
            .workers
            .get(&call.worker)
            .is_some_and(|worker| worker.incarnation() == call.incarnation);
        if !is_same_incarnation {
            return;
        }
        self.record_exchange(context, &call, &result);
        match call.kind {
            CallKind::Start { unit, run } => self.handle_start_result(context, unit, run, &result),
            CallKind::Stop { unit, run } => self.handle_stop_result(context, unit, run, &result),
            CallKind::LongPoll | CallKind::ShortPoll => {
                if let Ok(WorkerAnswer::Listed(listing)) = result {
                    self.handle_listing(context, &call, &listing);
                }
            }
        }
    }

    /// Handles the result of an append. Returns whether the append was one of the planner's.
    pub fn handle_append_result(
        &mut self,
        context: &mut PlanContext<'_>,
        ticket: CallTicket,
        result: &Result<AppendedAt, StreamError>,
    ) -> bool {
        match self
            .writer
            .handle_append_result(context.now, ticket, result)
        {
            None => return self.handle_status_result(context.now, ticket, result.is_ok()),
            Some(WriteOutcome::Written(effects)) => self.apply_effects(context, effects),
            Some(WriteOutcome::Retrying) => {
                let error = result.as_ref().err().map_or("none", StreamError::label);
                log::debug!(target: "log", fault = error; "planner's append will be retried");
            }
            Some(WriteOutcome::Superseded) => self.mark_superseded("the log"),
        }
        true
    }

    /// Handles the number of an append that was read back from the log, since the answer to
    /// the append may be lost.
    pub fn apply_mark(&mut self, context: &mut PlanContext<'_>, mark: AppendMark) {
        if let Some(effects) = self.writer.apply_mark(context.now, mark) {
            self.apply_effects(context, effects);
        }
    }

    fn apply_effects(&mut self, context: &mut PlanContext<'_>, effects: Vec<CommitEffect>) {
        for effect in effects {
            match effect {
                CommitEffect::Start(group, run) => self.send_starts(context, group, run),
                CommitEffect::AcknowledgeEnds(name, incarnation, number) => {
                    if let Some(worker) = self.workers.get_mut(&name)
                        && worker.incarnation() == incarnation
                    {
                        worker.link.recorded_end = worker.link.recorded_end.max(number);
                    }
                }
                CommitEffect::Resign => self.has_resigned = true,
            }
        }
    }

    pub(super) fn mark_superseded(&mut self, by: &'static str) {
        if !self.is_superseded {
            log::warn!(epoch = self.epoch.0, by; "superseded by a planner of a higher epoch; stopping");
        }
        self.is_superseded = true;
    }

    /// Removes records of jobs that ended long ago from the log.
    pub fn remove_records(&mut self, keys: Vec<RecordKey>) {
        for key in keys {
            self.writer.push(&JobRecord::Tombstone(key), None);
        }
    }

    /// Writes records that shorten what the log retains of ended jobs.
    pub fn write_compaction(&mut self, records: &[JobRecord]) {
        for record in records {
            self.writer.push(record, None);
        }
    }

    /// Performs the work that is due by time.
    pub fn tick(&mut self, context: &mut PlanContext<'_>) {
        if context.now >= self.next_heartbeat_at && !self.is_resigning {
            self.next_heartbeat_at = context.now + HEARTBEAT_INTERVAL;
            self.update_admission(context.now);
            self.count_customer_waits(context.now, HEARTBEAT_INTERVAL);
            let heartbeat = self.heartbeat(context.now);
            self.writer.push(&JobRecord::Heartbeat(heartbeat), None);
        }
        if context.now >= self.replan_at {
            self.replan_at = context.now + REPLAN_INTERVAL;
            self.is_dirty = true;
        }
        self.start_gate.log_change(context.now);
        self.open_occurrences(context);
        self.expire_leases(context);
        self.expire_unlisted_members(context.now);
        self.expire_claims(context.now);
        self.compare_speeds(context.now);
        // Work that a successor may have planned anew is neither stopped nor moved.
        if self.has_leader_lease(context.now) {
            self.check_progress(context);
            self.move_from_draining(context);
        }
        if self.is_sole_planner(context.now) {
            self.advance_waves(context);
        }
        self.check_late_starts(context.now);
        self.remove_lost_workers(context);
    }

    /// Plans if something changed, and sends the appends and orders that are due. Must be
    /// called after every event.
    pub fn flush(&mut self, context: &mut PlanContext<'_>) {
        if self.is_superseded {
            return;
        }
        let now = context.now;
        let workers = self.workers.len() as u32;
        let knows_orders = self.start_gate.orders_bar(now).is_none();
        let may_plan = self.has_leader_lease(now) && knows_orders && !self.writer.is_busy();
        if may_plan && self.is_dirty && now >= self.next_pass_at {
            self.is_dirty = false;
            let interval = if self.speeds.spread.differ {
                SPEED_PASS_INTERVAL_PER_WORKER
            } else {
                PASS_INTERVAL_PER_WORKER
            };
            self.next_pass_at = now + interval * workers;
            self.plan(context);
        }
        let effects = self.writer.take_ready_effects();
        self.apply_effects(context, effects);
        self.send_polled_starts(context);
        if self.writer.is_next_idle() {
            self.record_figures(now, context.wall);
        }
        self.writer
            .poll(context.now, context.last_ticket, context.actions);
        self.send_stops(context);
        if now >= self.next_poll_scan_at {
            self.next_poll_scan_at = now + POLL_SCAN_INTERVAL_PER_WORKER * workers;
            self.send_polls(context);
        }
    }

    /// Sends an order to the current incarnation of a worker. Returns `None` if the worker is
    /// unknown.
    pub(super) fn send_order(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        kind: CallKind,
        order: WorkerOrder,
        wait: Duration,
    ) -> Option<CallTicket> {
        let worker = self.workers.get(name)?;
        let ticket = allocate_ticket(context.last_ticket);
        let call = WorkerCall {
            ticket,
            worker: name.clone(),
            incarnation: worker.incarnation(),
            address: worker.address(),
            epoch: self.epoch,
            order,
            timeout: wait + ORDER_TIMEOUT,
        };
        let pending = PendingCall {
            worker: name.clone(),
            incarnation: worker.incarnation(),
            sent_at: context.now,
            kind,
        };
        self.calls.insert(ticket, pending);
        context.actions.push(HostAction::Worker(call));
        Some(ticket)
    }

    /// Removes workers that are no longer listed and on which nothing can run any more.
    fn remove_lost_workers(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        self.workers.retain(|name, worker| {
            let is_expired = now >= worker.link.lease_bound;
            let is_retained = worker.is_listed || !worker.holdings.is_empty() || !is_expired;
            if !is_retained {
                log::info!(target: "worker", worker = name.as_str(); "worker removed");
            }
            is_retained
        });
    }
}

fn result_label(result: &Result<WorkerAnswer, WorkerError>) -> &'static str {
    match result {
        Ok(WorkerAnswer::Done { .. }) => "done",
        Ok(WorkerAnswer::Refused { cause, .. }) => cause.label(),
        Ok(WorkerAnswer::Listed(_)) => "listed",
        Err(error) => error.label(),
    }
}

impl Display for PlannerState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "planner {} jobs {}", self.epoch, self.jobs.len())?;
        for (name, worker) in &self.workers {
            let free = &worker.free;
            writeln!(
                f,
                "worker {name} {} free cpu {} memory {} accelerators {} held {}{}{}",
                worker.incarnation(),
                free.cpu_millis,
                free.memory_mb,
                free.accelerators,
                worker.holdings.len(),
                if worker.is_draining { " leaving" } else { "" },
                if worker.is_listed { "" } else { " unlisted" },
            )?;
        }
        for (key, job) in &self.jobs {
            let accepted = &job.accepted;
            writeln!(
                f,
                "job {key} queue {} priority {} done {}/{}{}",
                accepted.queue,
                accepted.priority,
                job.done_occurrences,
                accepted.submission.occurrences(),
                if job.is_closing { " closing" } else { "" },
            )?;
        }
        self.write_figures(f)
    }
}
