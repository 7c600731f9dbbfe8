//! The state of one zone's planner, and the single entry point by which events
//! change it. The passes over the state are in the modules beside this one.

use std::fmt::{self, Display, Formatter};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::prelude::*;
use crate::process::estimate::EstimateTable;
use crate::process::planner::action::{PlannerAction, TaskDemand};
use crate::process::planner::event::{AcceptedJob, LeaderTerm, PlannerEvent, WorkerRecord};
use crate::process::planner::guarantee::GuaranteePlan;
use crate::process::planner::job_entry::{JobEntry, JobPhase, JobStage, JobView, StopPurpose};
use crate::process::planner::job_queue::{DelayedJob, JobKind, JobQueue, QueuedJob};
use crate::process::planner::ledger::CapacityLedger;
use crate::process::planner::verifier::verify_state;
use crate::process::planner::worker_entry::WorkerEntry;
use crate::version::settings::{ConfigVersion, SystemSettings};

/// Number of closed jobs that are remembered, so that repeated events do not open them
/// again.
const MAX_CLOSED_JOBS: usize = 10_000;

/// Number of open jobs up to which debug builds verify the state after each event.
const MAX_ALWAYS_VERIFIED_JOBS: usize = 200;
/// Number of events between verifications with more open jobs; the cost of each
/// verification is proportional to the number of jobs.
const VERIFICATION_INTERVAL_EVENTS: u64 = 100;

/// Rules by which waiting jobs are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlannerPolicy {
    /// In order of arrival, on the first workers on which the job fits. It ignores
    /// guarantees and is the baseline of measurements.
    FirstFit,
    /// By guarantees and fair shares, with reservations and placement by block.
    Guarantees,
}

/// Leadership of the planner while it is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLeadership {
    /// Term of the leader.
    pub term: LeaderTerm,
    /// When the planner learned that it is leader.
    pub gained_at: MonotonicTime,
    /// Whether every worker has been asked for its tasks and the jobs found there were
    /// adopted. Nothing is started before that.
    pub rebuilt: bool,
}

/// The planner of one availability zone.
#[derive(Clone, Debug)]
pub struct PlannerState {
    /// Its zone.
    pub(super) zone: ZoneName,
    /// Its placement rules.
    pub(super) policy: PlannerPolicy,
    /// Version of the settings; never goes back.
    pub(super) version: ConfigVersion,
    /// Settings in force.
    pub(super) settings: Arc<SystemSettings>,
    /// Leadership, or `None` if this planner is not leader.
    pub(super) leadership: Option<HeldLeadership>,
    /// Whether the leader must not start anything for now.
    pub(super) starts_paused: bool,
    /// Workers of the zone; the same ones as in the ledger.
    pub(super) workers: BTreeMap<WorkerName, WorkerEntry>,
    /// Capacity of the workers.
    pub(super) ledger: CapacityLedger,
    /// Open jobs.
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    /// Exactly the jobs in stage `Queued`; empty if this planner is not leader.
    pub(super) queue: JobQueue,
    /// Recently closed jobs, which repeated events must not open again.
    pub(super) closed: BTreeSet<JobId>,
    /// The same jobs in the order of closing.
    closed_order: std::collections::VecDeque<JobId>,
    /// Places of all guaranteed blocks.
    pub(super) plan: GuaranteePlan,
    /// Whether workers or settings changed since the plan was repaired.
    pub(super) plan_stale: bool,
    /// Resources that each customer held at the start of the newest pass, plus those
    /// assigned to it since.
    pub(super) use_by_customer: BTreeMap<CustomerName, TaskDemand>,
    /// Total resources of the zone's workers.
    pub(super) total: TaskDemand,
    /// Learned run times and sizes.
    pub(super) estimates: EstimateTable,
    /// Count of queue and ledger changes that the newest pass has covered; `None` if a
    /// pass is due in any case.
    pub(super) last_pass_changes: Option<u64>,
    /// Time of the last pass that was due by time alone.
    pub(super) last_timed_pass_at: MonotonicTime,
    /// Start of the slot of the next routine list request, which is sent once the slot has
    /// ended. Slots of equal length limit the rate of these requests.
    pub(super) next_list_slot: MonotonicTime,
    /// Steps of placement decisions so far.
    pub(super) placement_steps: u64,
    /// Events so far.
    events: u64,
    /// Source of randomness for backoff.
    pub(super) random: ChaCha8Rng,
}

impl PlannerState {
    /// Creates a planner without any state.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self::with_policy(zone, seed, PlannerPolicy::Guarantees)
    }

    /// Creates a planner with the given placement rules.
    pub fn with_policy(zone: ZoneName, seed: u64, policy: PlannerPolicy) -> Self {
        Self {
            zone,
            policy,
            version: ConfigVersion::default(),
            settings: Arc::new(SystemSettings::default()),
            leadership: None,
            starts_paused: false,
            workers: BTreeMap::new(),
            ledger: CapacityLedger::default(),
            jobs: BTreeMap::new(),
            queue: JobQueue::default(),
            closed: BTreeSet::new(),
            closed_order: std::collections::VecDeque::new(),
            plan: GuaranteePlan::default(),
            plan_stale: true,
            use_by_customer: BTreeMap::new(),
            total: TaskDemand::default(),
            estimates: EstimateTable::default(),
            last_pass_changes: None,
            last_timed_pass_at: MonotonicTime::default(),
            next_list_slot: MonotonicTime::default(),
            placement_steps: 0,
            events: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Handles one event and appends the actions that follow from it.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: PlannerEvent,
        actions: &mut Vec<PlannerAction>,
    ) {
        self.apply(now, event, actions);
        self.rebuild(now, actions);
        self.schedule(now, actions);
        self.events += 1;
        if self.jobs.len() <= MAX_ALWAYS_VERIFIED_JOBS
            || self.events.is_multiple_of(VERIFICATION_INTERVAL_EVENTS)
        {
            debug_assert_eq!(
                verify_state(self),
                Vec::new(),
                "broken invariants in\n{self}"
            );
        }
    }

    fn apply(&mut self, now: MonotonicTime, event: PlannerEvent, actions: &mut Vec<PlannerAction>) {
        match event {
            PlannerEvent::ConfigAdopted { version, settings } => {
                self.adopt_config(version, settings);
            }
            PlannerEvent::LeadershipGained { term } => self.gain_leadership(now, term, actions),
            PlannerEvent::LeadershipLost => self.lose_leadership(),
            PlannerEvent::StartsPaused { paused } => self.starts_paused = paused,
            PlannerEvent::WorkerUpdated { worker } => self.update_worker(now, worker, actions),
            PlannerEvent::WorkerRemoved { worker } => self.mark_worker_removed(&worker),
            PlannerEvent::TasksListed {
                worker,
                incarnation,
                tasks,
            } => self.handle_task_list(now, &worker, incarnation, &tasks, actions),
            PlannerEvent::ListFailed { worker } => self.handle_list_failure(now, &worker),
            PlannerEvent::JobAccepted { job } => self.accept_job(now, job, actions),
            PlannerEvent::JobCancelled { job } => {
                self.stop_job(now, &job, StopPurpose::Cancel, actions);
            }
            PlannerEvent::JobClosed { job } | PlannerEvent::EndRecorded { job } => {
                self.stop_job(now, &job, StopPurpose::Close, actions);
            }
            PlannerEvent::ReserveAnswered { task, result } => {
                self.handle_reserve_response(now, &task, result, actions);
            }
            PlannerEvent::StartRecorded { job, attempt } => {
                self.start_gang(now, &job, attempt, actions);
            }
            PlannerEvent::StartAnswered { task, result } => {
                self.handle_start_response(now, &task, result, actions);
            }
            PlannerEvent::RenewAnswered { worker, result } => {
                self.handle_renew_response(now, &worker, result, actions);
            }
            PlannerEvent::CheckpointAnswered { task, result } => {
                self.handle_checkpoint_response(now, &task, result, actions);
            }
            PlannerEvent::StopAnswered { task, result } => {
                self.handle_stop_response(now, &task, result, actions);
            }
            PlannerEvent::UsageReported { task, memory_mb } => {
                self.handle_usage_report(now, &task, memory_mb, actions);
            }
            PlannerEvent::Tick => self.handle_tick(now, actions),
        }
    }

    /// Returns every open job, in the order of identifiers.
    pub fn job_views(&self) -> Vec<JobView> {
        self.jobs
            .values()
            .map(|entry| JobView {
                id: entry.job.id.clone(),
                customer: entry.job.customer.clone(),
                class: entry.job.class.clone(),
                phase: JobPhase::from(&entry.stage),
                attempt: entry.attempt,
                workers: entry.members.iter().map(|m| m.worker.clone()).collect(),
            })
            .collect()
    }

    /// Returns the learned run times and sizes, which are kept when the leader changes.
    pub const fn estimates(&self) -> &EstimateTable {
        &self.estimates
    }

    /// Restores the run times and sizes that an earlier planner learned.
    pub fn restore_estimates(&mut self, estimates: EstimateTable) {
        self.estimates = estimates;
    }

    /// Returns the places of all guaranteed blocks.
    pub const fn plan(&self) -> &GuaranteePlan {
        &self.plan
    }

    /// Returns the capacity of the workers.
    pub const fn ledger(&self) -> &CapacityLedger {
        &self.ledger
    }

    /// Returns the steps of placement decisions so far: the number of jobs and workers
    /// that were examined.
    pub const fn placement_steps(&self) -> u64 {
        self.placement_steps
    }

    /// Returns whether tasks may be started now.
    pub(super) fn may_start(&self) -> bool {
        self.is_active() && !self.starts_paused
    }

    /// Returns whether this planner is leader and knows the state of the workers.
    pub fn is_active(&self) -> bool {
        self.leadership.is_some_and(|leadership| leadership.rebuilt)
    }

    fn adopt_config(&mut self, version: ConfigVersion, settings: Arc<SystemSettings>) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.settings = settings;
        self.plan.adopt(&self.zone, &self.settings);
        self.plan_stale = true;
        for entry in self.jobs.values_mut() {
            if entry.class.is_none() {
                entry.class = self
                    .settings
                    .classes
                    .get(&entry.job.class)
                    .cloned()
                    .map(Arc::new);
            }
        }
    }

    fn update_worker(
        &mut self,
        now: MonotonicTime,
        record: WorkerRecord,
        actions: &mut Vec<PlannerAction>,
    ) {
        let entry = self.workers.entry(record.name.clone()).or_default();
        if record.incarnation < entry.incarnation {
            return;
        }
        let restarted = record.incarnation > entry.incarnation;
        entry.draining = record.draining || (entry.draining && !restarted);
        entry.incarnation = record.incarnation;
        entry.removed = false;
        if restarted {
            entry.listed = false;
            entry.list_requested_at = None;
        }
        let name = record.name.clone();
        self.plan_stale = true;
        self.ledger.update_worker(record);
        if restarted {
            self.list_tasks(now, &name, actions);
        }
    }

    fn mark_worker_removed(&mut self, name: &WorkerName) {
        if let Some(entry) = self.workers.get_mut(name) {
            entry.removed = true;
            self.plan_stale = true;
        }
        self.remove_worker_if_empty(name);
    }

    /// Removes a worker that is no longer in the host list and holds nothing.
    pub(super) fn remove_worker_if_empty(&mut self, name: &WorkerName) {
        let is_removed = self.workers.get(name).is_some_and(|entry| entry.removed);
        let is_empty = self
            .ledger
            .worker(name)
            .is_none_or(|w| w.holdings.is_empty());
        if is_removed && is_empty {
            self.workers.remove(name);
            self.ledger.remove_worker(name);
        }
    }

    fn accept_job(
        &mut self,
        now: MonotonicTime,
        job: AcceptedJob,
        actions: &mut Vec<PlannerAction>,
    ) {
        if self.closed.contains(&job.id) || job.zone != self.zone {
            return;
        }
        if let Some(entry) = self.jobs.get_mut(&job.id) {
            if entry.stage == JobStage::Unsettled {
                entry.starts = entry.starts.max(job.attempts_started);
                entry.attempt = entry.attempt.max(job.attempts_started);
                entry.job.attempts_started = entry.job.attempts_started.max(job.attempts_started);
            }
            return;
        }
        let class = self.settings.classes.get(&job.class).cloned().map(Arc::new);
        let id = job.id.clone();
        let is_new = job.attempts_started == 0;
        self.jobs.insert(id.clone(), JobEntry::new(job, class, now));
        if is_new && self.is_active() && !self.refuse_new(now, &id, actions) {
            self.enqueue(now, &id);
        }
    }

    /// Queues a job that may be placed now.
    pub(super) fn enqueue(&mut self, now: MonotonicTime, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.enter(JobStage::Queued, now);
        entry.delayed_until = None;
        let (kind, job) = queue_key(entry);
        if let Some(until) = entry.start_by.filter(|_| entry.starts == 0) {
            let id = id.clone();
            self.queue.add_deadline(DelayedJob { until, id });
        }
        self.queue.push(kind, job);
    }

    /// Queues a job that may be placed from the time `until`.
    pub(super) fn enqueue_later(&mut self, now: MonotonicTime, id: &JobId, until: MonotonicTime) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        entry.enter(JobStage::Queued, now);
        entry.delayed_until = Some(until);
        self.queue.delay(DelayedJob {
            until,
            id: id.clone(),
        });
    }

    /// Removes a queued job from the queue.
    pub(super) fn dequeue(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(until) = entry.delayed_until.take() {
            self.queue.remove_delayed(&DelayedJob {
                until,
                id: id.clone(),
            });
            return;
        }
        let (kind, job) = queue_key(entry);
        self.queue.remove(&kind, &job);
    }

    /// Removes a job and remembers its identifier as closed.
    pub(super) fn close_job(&mut self, id: &JobId) {
        self.jobs.remove(id);
        if !self.closed.insert(id.clone()) {
            return;
        }
        self.closed_order.push_back(id.clone());
        if self.closed_order.len() > MAX_CLOSED_JOBS
            && let Some(oldest) = self.closed_order.pop_front()
        {
            self.closed.remove(&oldest);
        }
    }
}

fn queue_key(entry: &JobEntry) -> (JobKind, QueuedJob) {
    let kind = JobKind {
        customer: entry.job.customer.clone(),
        class: entry.job.class.clone(),
    };
    let job = QueuedJob {
        offset: entry.job.offset,
        id: entry.job.id.clone(),
    };
    (kind, job)
}

impl Display for PlannerState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "planner {} {}", self.zone, self.version)?;
        match self.leadership {
            Some(leadership) => {
                let paused = if self.starts_paused { " paused" } else { "" };
                writeln!(
                    f,
                    " {} rebuilt {}{paused}",
                    leadership.term, leadership.rebuilt
                )?;
            }
            None => writeln!(f, " no seat")?,
        }
        for (name, entry) in &self.workers {
            write!(
                f,
                "answers {name} incarnation {} listed {} leaving {} gone {}",
                entry.incarnation, entry.listed, entry.draining, entry.removed
            )?;
            match entry.failures.quarantined_until {
                Some(until) => writeln!(f, " quarantined until {until}")?,
                None => writeln!(f)?,
            }
        }
        write!(f, "{}{}", self.ledger, self.plan)?;
        for (id, entry) in &self.jobs {
            writeln!(
                f,
                "job {id} {} {} {:?} attempt {} starts {}",
                entry.job.customer, entry.job.class, entry.stage, entry.attempt, entry.starts
            )?;
            for (index, member) in entry.members.iter().enumerate() {
                writeln!(
                    f,
                    "  {} {} {:?} until {}",
                    entry.key(index),
                    member.worker,
                    member.state,
                    member.valid_until
                )?;
            }
        }
        Ok(())
    }
}
