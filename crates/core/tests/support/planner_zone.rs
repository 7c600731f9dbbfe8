//! A planner with a zone of fake workers on a virtual clock. The workers keep their own
//! state, independent of the planner's: leases, tasks and the actual starts of each task.

use std::collections::VecDeque;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction, TaskDemand};
use flamingowalk_core::process::planner::event::{
    AcceptedJob, LeaderTerm, ListedState, ListedTask, PlannerEvent, TargetError, TaskKey,
    WorkerRecord,
};
use flamingowalk_core::process::planner::job_entry::{JobPhase, JobView};
use flamingowalk_core::process::planner::state::{PlannerPolicy, PlannerState};
use flamingowalk_core::version::settings::{
    BlockAdjacency, ConfigVersion, CustomerSettings, GuaranteedShape, JobClass, JobPriority,
    PolicySettings, SystemSettings, ZoneSettings,
};

/// Outcome of one request to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It does not take effect and gets no answer.
    RequestLost,
    /// The worker refuses it.
    Refused(TargetError),
    /// It takes effect and the answer arrives twice.
    AnsweredTwice,
    /// It takes effect and is answered only when `deliver_delayed` reaches it.
    Delayed,
}

/// One task on a fake worker.
#[derive(Clone, Debug)]
pub struct FakeTask {
    pub demand: TaskDemand,
    pub state: ListedState,
    pub accelerators: Vec<u32>,
    pub started_at: MonotonicTime,
    pub lease_until: MonotonicTime,
}

/// One fake worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub record: WorkerRecord,
    pub tasks: BTreeMap<TaskKey, FakeTask>,
    pub is_dead: bool,
    pub fails_everything: bool,
}

/// A zone with its planner.
pub struct FakeZone {
    pub state: PlannerState,
    pub now: MonotonicTime,
    pub workers: BTreeMap<WorkerName, FakeWorker>,
    pub pending: VecDeque<PlannerAction>,
    pub delayed: VecDeque<PlannerAction>,
    pub settings: SystemSettings,
    /// Actual starts of each task on the workers; more than one would be a second run.
    pub starts: BTreeMap<TaskKey, u32>,
    /// Tasks of all `Start` actions that were executed, whatever their outcome.
    pub sent_starts: Vec<TaskKey>,
    pub recorded_starts: BTreeMap<JobId, u32>,
    pub endings: BTreeMap<JobId, Vec<JobEnding>>,
    pub run_time: Duration,
    pub next_offset: u64,
    pub term: u64,
    pub log_is_up: bool,
    /// Actions that record starts or endings while the log is down.
    pub unwritten: Vec<PlannerAction>,
}

impl FakeZone {
    pub fn new(racks: u32, workers_per_rack: u32, policy: PlannerPolicy) -> Self {
        let mut zone = Self {
            state: PlannerState::with_policy("zone-a".into(), 7, policy),
            now: MonotonicTime::from_secs(100),
            workers: BTreeMap::new(),
            pending: VecDeque::new(),
            delayed: VecDeque::new(),
            settings: settings(racks, workers_per_rack),
            starts: BTreeMap::new(),
            sent_starts: Vec::new(),
            recorded_starts: BTreeMap::new(),
            endings: BTreeMap::new(),
            run_time: Duration::from_mins(1),
            next_offset: 1,
            term: 0,
            log_is_up: true,
            unwritten: Vec::new(),
        };
        for index in 0..racks * workers_per_rack {
            let record = worker_record(index, index / workers_per_rack);
            let worker = FakeWorker {
                record: record.clone(),
                tasks: BTreeMap::new(),
                is_dead: false,
                fails_everything: false,
            };
            zone.workers.insert(record.name.clone(), worker);
            zone.send(PlannerEvent::WorkerUpdated { worker: record });
        }
        zone
    }

    /// Adopts the settings, gains leadership and lets the workers list their tasks.
    pub fn open(&mut self) {
        self.adopt();
        self.gain_leadership();
        self.run();
    }

    pub fn adopt(&mut self) {
        let event = PlannerEvent::ConfigAdopted {
            version: ConfigVersion(1),
            settings: Arc::new(self.settings.clone()),
        };
        self.send(event);
    }

    pub fn gain_leadership(&mut self) {
        self.term += 1;
        let term = LeaderTerm(self.term);
        self.send(PlannerEvent::LeadershipGained { term });
    }

    pub fn send(&mut self, event: PlannerEvent) {
        let mut actions = Vec::new();
        self.state.handle(self.now, event, &mut actions);
        self.pending.extend(actions);
    }

    pub fn submit(&mut self, id: &str, class: &str) {
        self.submit_for("north", id, class);
    }

    pub fn submit_for(&mut self, customer: &str, id: &str, class: &str) {
        let mut job = self.accepted(id, class);
        job.customer = customer.into();
        self.send(PlannerEvent::JobAccepted { job });
    }

    pub fn accepted(&mut self, id: &str, class: &str) -> AcceptedJob {
        let offset = self.next_offset;
        self.next_offset += 1;
        AcceptedJob {
            id: id.into(),
            customer: "north".into(),
            class: class.into(),
            zone: "zone-a".into(),
            offset,
            accepted_at: WallTime(0),
            start_within: None,
            attempts_started: 0,
        }
    }

    /// Executes every pending action; all requests are answered.
    pub fn run(&mut self) {
        while let Some(action) = self.pending.pop_front() {
            self.execute(action, RequestOutcome::Answered);
        }
    }

    /// Advances the clock second by second, with a tick and all actions in each second.
    pub fn run_seconds(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.advance(Duration::from_secs(1));
            self.send(PlannerEvent::Tick);
            self.run();
        }
    }

    /// Advances the clock; tasks whose lease or run time is over end.
    pub fn advance(&mut self, step: Duration) {
        self.now = self.now + step;
        let now = self.now;
        let run_time = self.run_time;
        for worker in self.workers.values_mut() {
            let fails = worker.fails_everything;
            for task in worker.tasks.values_mut() {
                task.end_if_due(now, run_time, fails);
            }
        }
    }

    pub fn view(&self, id: &str) -> Option<JobView> {
        self.state
            .job_views()
            .into_iter()
            .find(|view| view.id.as_str() == id)
    }

    pub fn phase(&self, id: &str) -> Option<JobPhase> {
        self.view(id).map(|view| view.phase)
    }

    pub fn ending(&self, id: &str) -> Option<&JobEnding> {
        let endings = self.endings.get(&JobId::from(id))?;
        assert_eq!(endings.len(), 1, "{id} ended more than once: {endings:?}");
        endings.first()
    }

    pub fn kill(&mut self, worker: &str) {
        let name = WorkerName::from(worker);
        self.workers.get_mut(&name).unwrap().is_dead = true;
    }

    /// Restarts the worker's process, which loses its tasks.
    pub fn restart(&mut self, worker: &str) {
        let entry = self.workers.get_mut(&WorkerName::from(worker)).unwrap();
        entry.is_dead = false;
        entry.tasks.clear();
        entry.record.draining = false;
        entry.record.incarnation += 1;
        let worker = entry.record.clone();
        self.send(PlannerEvent::WorkerUpdated { worker });
    }

    /// Drains the worker: it receives no new work.
    pub fn start_draining(&mut self, worker: &str) {
        let entry = self.workers.get_mut(&WorkerName::from(worker)).unwrap();
        entry.record.draining = true;
        let worker = entry.record.clone();
        self.send(PlannerEvent::WorkerUpdated { worker });
    }

    /// Takes the log down, or brings it up and retries the actions that wait for it.
    pub fn set_log(&mut self, is_up: bool) {
        self.log_is_up = is_up;
        if is_up {
            let waiting = std::mem::take(&mut self.unwritten);
            self.pending.extend(waiting);
        }
    }

    pub fn live_tasks(&self) -> usize {
        let tasks = self
            .workers
            .values()
            .flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.is_live()).count()
    }

    /// Executes one action with the given outcome and sends the resulting event to the
    /// planner.
    pub fn execute(&mut self, action: PlannerAction, outcome: RequestOutcome) {
        match action {
            PlannerAction::RecordStart {
                job,
                attempt,
                workers,
            } => {
                if !self.log_is_up {
                    self.unwritten.push(PlannerAction::RecordStart {
                        job,
                        attempt,
                        workers,
                    });
                    return;
                }
                *self.recorded_starts.entry(job.clone()).or_default() += 1;
                self.send(PlannerEvent::StartRecorded { job, attempt });
            }
            PlannerAction::RecordEnd { job, ending } => {
                if !self.log_is_up {
                    self.unwritten
                        .push(PlannerAction::RecordEnd { job, ending });
                    return;
                }
                self.endings.entry(job.clone()).or_default().push(ending);
                self.send(PlannerEvent::EndRecorded { job });
            }
            request => self.send_to_worker(request, outcome),
        }
    }

    fn send_to_worker(&mut self, action: PlannerAction, outcome: RequestOutcome) {
        if let PlannerAction::Start { task, .. } = &action {
            self.sent_starts.push(task.clone());
        }
        let name = worker_of(&action).expect("action without a worker");
        let is_dead = self.workers.get(&name).is_none_or(|worker| worker.is_dead);
        let outcome = if is_dead {
            RequestOutcome::Refused(TargetError::Unreachable)
        } else {
            outcome
        };
        match outcome {
            RequestOutcome::Answered => {
                let event = self.apply_request(&action);
                self.send(event);
            }
            RequestOutcome::AnsweredTwice => {
                let event = self.apply_request(&action);
                self.send(event.clone());
                self.send(event);
            }
            RequestOutcome::AnswerLost => {
                self.apply_request(&action);
                self.send(refusal(&action, TargetError::OutcomeUnknown));
            }
            RequestOutcome::RequestLost => {
                self.send(refusal(&action, TargetError::OutcomeUnknown));
            }
            RequestOutcome::Refused(error) => self.send(refusal(&action, error)),
            RequestOutcome::Delayed => self.delayed.push_back(action),
        }
    }

    /// Lets the oldest delayed request take effect and answers it.
    pub fn deliver_delayed(&mut self) {
        if let Some(action) = self.delayed.pop_front() {
            let name = worker_of(&action).unwrap();
            if self.workers[&name].is_dead {
                self.send(refusal(&action, TargetError::Unreachable));
                return;
            }
            let event = self.apply_request(&action);
            self.send(event);
        }
    }

    fn apply_request(&mut self, action: &PlannerAction) -> PlannerEvent {
        let now = self.now;
        let name = worker_of(action).unwrap();
        let worker = self.workers.get_mut(&name).unwrap();
        match action {
            PlannerAction::ListTasks { .. } => PlannerEvent::TasksListed {
                worker: name,
                incarnation: worker.record.incarnation,
                tasks: worker.list(now),
            },
            PlannerAction::Reserve {
                task,
                demand,
                lease,
                ..
            } => PlannerEvent::ReserveAnswered {
                task: task.clone(),
                result: worker.reserve(task, *demand, now + *lease),
            },
            PlannerAction::Start { task, lease, .. } => {
                let result = worker.start(task, now, *lease);
                if result.is_ok() {
                    *self.starts.entry(task.clone()).or_default() += 1;
                }
                PlannerEvent::StartAnswered {
                    task: task.clone(),
                    result,
                }
            }
            PlannerAction::Renew { tasks, lease, .. } => PlannerEvent::RenewAnswered {
                worker: name,
                result: Ok(worker.renew(tasks, now + *lease)),
            },
            PlannerAction::Checkpoint { task, .. } => PlannerEvent::CheckpointAnswered {
                task: task.clone(),
                result: worker.save(task),
            },
            PlannerAction::Release { task, .. } | PlannerAction::Stop { task, .. } => {
                PlannerEvent::StopAnswered {
                    task: task.clone(),
                    result: worker.stop(task),
                }
            }
            PlannerAction::Throttle { .. }
            | PlannerAction::RecordStart { .. }
            | PlannerAction::RecordEnd { .. } => PlannerEvent::Tick,
        }
    }
}

impl FakeTask {
    pub fn is_live(&self) -> bool {
        matches!(self.state, ListedState::Reserved | ListedState::Running)
    }

    fn end_if_due(&mut self, now: MonotonicTime, run_time: Duration, fails: bool) {
        if !self.is_live() {
            return;
        }
        if self.state == ListedState::Running && fails {
            self.state = ListedState::Failed("broken worker".into());
        } else if self.state == ListedState::Running && now.since(self.started_at) >= run_time {
            self.state = ListedState::Finished;
        } else if now >= self.lease_until {
            self.state = ListedState::Lapsed;
        }
    }
}

impl FakeWorker {
    fn used(&self) -> (BTreeSet<u32>, TaskDemand) {
        let mut taken = BTreeSet::new();
        let mut used = TaskDemand::default();
        for task in self.tasks.values().filter(|task| task.is_live()) {
            taken.extend(task.accelerators.iter().copied());
            used.slots += task.demand.slots;
            used.cores += task.demand.cores;
            used.memory_mb += task.demand.memory_mb;
        }
        (taken, used)
    }

    fn reserve(
        &mut self,
        key: &TaskKey,
        demand: TaskDemand,
        lease_until: MonotonicTime,
    ) -> Result<Vec<u32>, TargetError> {
        if self.record.draining {
            return Err(TargetError::Leaving);
        }
        if let Some(task) = self.tasks.get(key) {
            return Ok(task.accelerators.clone());
        }
        let (taken, used) = self.used();
        let record = &self.record;
        let fits = used.slots + demand.slots <= record.slots
            && used.cores + demand.cores <= record.cores
            && used.memory_mb + demand.memory_mb <= record.memory_mb;
        let starts = 0..(record.accelerators + 1).saturating_sub(demand.accelerators);
        let block = starts
            .map(|first| (first..first + demand.accelerators).collect::<Vec<u32>>())
            .find(|block| block.iter().all(|number| !taken.contains(number)));
        let Some(accelerators) = block.filter(|_| fits) else {
            return Err(TargetError::Full);
        };
        let task = FakeTask {
            demand,
            state: ListedState::Reserved,
            accelerators: accelerators.clone(),
            started_at: MonotonicTime::default(),
            lease_until,
        };
        self.tasks.insert(key.clone(), task);
        Ok(accelerators)
    }

    fn start(
        &mut self,
        key: &TaskKey,
        now: MonotonicTime,
        lease: Duration,
    ) -> Result<(), TargetError> {
        let task = self.tasks.get_mut(key).ok_or(TargetError::UnknownLease)?;
        if task.state != ListedState::Reserved {
            return Err(TargetError::UnknownLease);
        }
        task.state = ListedState::Running;
        task.started_at = now;
        task.lease_until = now + lease;
        Ok(())
    }

    fn renew(&mut self, keys: &[TaskKey], until: MonotonicTime) -> Vec<TaskKey> {
        let mut unknown = Vec::new();
        for key in keys {
            match self.tasks.get_mut(key).filter(|task| task.is_live()) {
                Some(task) => task.lease_until = task.lease_until.max(until),
                None => unknown.push(key.clone()),
            }
        }
        unknown
    }

    fn save(&mut self, key: &TaskKey) -> Result<String, TargetError> {
        let task = self.tasks.get_mut(key).ok_or(TargetError::UnknownLease)?;
        if task.state != ListedState::Running {
            return Err(TargetError::UnknownLease);
        }
        task.state = ListedState::Checkpointed(format!("save-{key}"));
        Ok(format!("save-{key}"))
    }

    fn stop(&mut self, key: &TaskKey) -> Result<(), TargetError> {
        let task = self.tasks.get_mut(key).ok_or(TargetError::UnknownLease)?;
        if task.is_live() {
            task.state = ListedState::Stopped;
        }
        Ok(())
    }

    fn list(&self, now: MonotonicTime) -> Vec<ListedTask> {
        let listed = |(key, task): (&TaskKey, &FakeTask)| ListedTask {
            key: key.clone(),
            state: task.state.clone(),
            accelerators: if task.is_live() {
                task.accelerators.clone()
            } else {
                Vec::new()
            },
            cores: task.demand.cores,
            memory_mb: task.demand.memory_mb,
            run_time: now.since(task.started_at),
            lease_left: task.lease_until.since(now),
        };
        self.tasks.iter().map(listed).collect()
    }
}

fn worker_of(action: &PlannerAction) -> Option<WorkerName> {
    match action {
        PlannerAction::ListTasks { worker }
        | PlannerAction::Reserve { worker, .. }
        | PlannerAction::Release { worker, .. }
        | PlannerAction::Start { worker, .. }
        | PlannerAction::Renew { worker, .. }
        | PlannerAction::Checkpoint { worker, .. }
        | PlannerAction::Throttle { worker, .. }
        | PlannerAction::Stop { worker, .. } => Some(worker.clone()),
        PlannerAction::RecordStart { .. } | PlannerAction::RecordEnd { .. } => None,
    }
}

fn refusal(action: &PlannerAction, error: TargetError) -> PlannerEvent {
    match action.clone() {
        PlannerAction::ListTasks { worker } => PlannerEvent::ListFailed { worker },
        PlannerAction::Reserve { task, .. } => PlannerEvent::ReserveAnswered {
            task,
            result: Err(error),
        },
        PlannerAction::Start { task, .. } => PlannerEvent::StartAnswered {
            task,
            result: Err(error),
        },
        PlannerAction::Renew { worker, .. } => PlannerEvent::RenewAnswered {
            worker,
            result: Err(error),
        },
        PlannerAction::Checkpoint { task, .. } => PlannerEvent::CheckpointAnswered {
            task,
            result: Err(error),
        },
        PlannerAction::Release { task, .. } | PlannerAction::Stop { task, .. } => {
            PlannerEvent::StopAnswered {
                task,
                result: Err(error),
            }
        }
        PlannerAction::Throttle { .. }
        | PlannerAction::RecordStart { .. }
        | PlannerAction::RecordEnd { .. } => PlannerEvent::Tick,
    }
}

pub fn worker_record(index: u32, rack: u32) -> WorkerRecord {
    WorkerRecord {
        name: WorkerName::from(format!("w{index:02}")),
        rack: RackName::from(format!("rack-{rack}")),
        incarnation: 1,
        draining: false,
        services: BTreeSet::from([ServiceName::from("plan")]),
        slots: 8,
        cores: 32,
        memory_mb: 65_536,
        accelerators: 8,
    }
}

pub fn class(tasks: u32, accelerators: u32) -> JobClass {
    JobClass {
        customer: None,
        service: "plan".into(),
        tasks,
        accelerators,
        cores: 2,
        memory_mb: 1_024,
        adjacency: BlockAdjacency::Zone,
        run_time: Duration::from_mins(1),
        priority: JobPriority::Normal,
        idempotent: true,
        checkpoint: false,
        attempts: 3,
    }
}

pub fn customer(blocks: u32, size: u32, adjacency: BlockAdjacency) -> CustomerSettings {
    CustomerSettings {
        weight: 1,
        max_calls: 0,
        max_queued_jobs: 1_000,
        guarantees: vec![GuaranteedShape {
            zone: "zone-a".into(),
            blocks,
            size,
            adjacency,
        }],
    }
}

fn settings(racks: u32, workers_per_rack: u32) -> SystemSettings {
    let zone = ZoneSettings {
        region: "region".into(),
        racks,
        workers_per_rack,
        accelerators_per_worker: 8,
        cores_per_worker: 32,
        memory_mb_per_worker: 65_536,
        slots_per_worker: 8,
        connections_per_worker: 64,
    };
    let once = JobClass {
        idempotent: false,
        attempts: 1,
        ..class(2, 8)
    };
    let saved = JobClass {
        idempotent: false,
        checkpoint: true,
        attempts: 1,
        ..class(3, 2)
    };
    let once_half = JobClass {
        idempotent: false,
        attempts: 1,
        ..class(1, 4)
    };
    let light = JobClass {
        idempotent: false,
        attempts: 1,
        ..class(1, 0)
    };
    let lent = JobClass {
        checkpoint: true,
        ..class(2, 8)
    };
    let urgent = JobClass {
        priority: JobPriority::Urgent,
        ..class(1, 4)
    };
    SystemSettings {
        zones: BTreeMap::from([("zone-a".into(), zone)]),
        classes: BTreeMap::from([
            ("small".into(), class(1, 1)),
            ("gang".into(), class(2, 8)),
            ("once".into(), once),
            ("saved".into(), saved),
            ("light".into(), light),
            ("once-half".into(), once_half),
            ("urgent".into(), urgent),
            ("lent".into(), lent),
            ("half".into(), class(1, 4)),
            ("whole".into(), class(1, 8)),
            ("wide".into(), class(4, 8)),
        ]),
        customers: BTreeMap::from([
            ("north".into(), customer(1, 8, BlockAdjacency::Worker)),
            ("south".into(), customer(1, 16, BlockAdjacency::Rack)),
        ]),
        policy: PolicySettings {
            weight: 1.0,
            ..PolicySettings::default()
        },
        ..SystemSettings::default()
    }
}
