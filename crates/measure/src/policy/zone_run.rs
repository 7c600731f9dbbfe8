//! Drives the planner of one zone through a workload on a virtual clock. Responses of workers
//! and of the log arrive after a fixed virtual time.

use std::collections::VecDeque;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction};
use flamingowalk_core::process::planner::event::{AcceptedJob, LeaderTerm, PlannerEvent, TaskKey};
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::version::settings::{ConfigVersion, SystemSettings};
use flamingowalk_standin::WorkerOptions;

use super::guarantee_fit::fits_blocks;
use super::job_outcome::{EndKind, JobOutcome, ZoneOutcome, ZoneSample};
use super::recording::RecordedEvent;
use super::virtual_worker::VirtualWorker;
use super::workload::{JobArrival, PolicyWorkload, WorkerFault, WorkerFaultKind};
use super::zone_view::{self, GangAttempt};

/// Time until the response of a worker arrives.
const WORKER_RESPONSE_DELAY: Duration = Duration::from_millis(2);
/// Time until the response of the log arrives.
const LOG_RESPONSE_DELAY: Duration = Duration::from_millis(10);
/// Time between ticks of the planner.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_mins(1);

/// How jobs reach the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFeed {
    /// Each job on arrival.
    Direct,
    /// One by one: a job is passed on only after the previous one holds a reservation or has
    /// ended. With first fit this is strict first-come-first-served.
    InOrder,
}

/// Length of a run in virtual time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunLength {
    /// Time during which jobs arrive; later arrivals are ignored.
    pub arrivals: Duration,
    /// Longest time that the run continues after that; jobs that still wait then stay open.
    pub drain: Duration,
}

/// Inputs of the run of one zone.
#[derive(Debug)]
pub struct ZoneSetup<'a> {
    /// The zone.
    pub zone: ZoneName,
    /// Settings in force.
    pub settings: Arc<SystemSettings>,
    /// Arrivals and faults of all zones.
    pub workload: &'a PolicyWorkload,
    /// Length of the run.
    pub length: RunLength,
    /// How jobs reach the planner.
    pub feed: JobFeed,
    /// Planner in its initial state.
    pub planner: PlannerState,
}

/// Scheduled event of a run.
#[derive(Debug)]
enum ZoneEvent {
    Planner(PlannerEvent),
    Arrive(usize),
    Cancel(usize),
    FaultStarted(WorkerFault),
    FaultEnded(WorkerFault),
    Tick,
    Sample,
}

/// Key that orders events by time, then by the order of scheduling.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EventKey {
    at: MonotonicTime,
    order: u64,
}

#[derive(Debug)]
struct ZoneRun<'a> {
    settings: Arc<SystemSettings>,
    zone: ZoneName,
    arrivals: Vec<&'a JobArrival>,
    feed: JobFeed,
    planner: PlannerState,
    workers: BTreeMap<WorkerName, VirtualWorker>,
    events: BTreeMap<EventKey, ZoneEvent>,
    next_order: u64,
    now: MonotonicTime,
    /// Index of each job of the zone.
    jobs: BTreeMap<JobId, usize>,
    outcome: ZoneOutcome,
    /// Indices of the jobs that have not ended.
    open: BTreeSet<usize>,
    /// Arrived jobs that the planner has not received yet, in order of arrival.
    waiting: VecDeque<usize>,
    /// Job that the planner received last, while it holds no reservation yet.
    awaiting_reservation: Option<usize>,
    /// Number of started members of each attempt, keyed by its first member.
    started: BTreeMap<TaskKey, u32>,
    /// Workers in the start record of each attempt, keyed by its first member.
    recorded: BTreeMap<TaskKey, Vec<WorkerName>>,
    /// Gangs that were incomplete at the previous sample.
    partial: BTreeSet<GangAttempt>,
    arrivals_end: MonotonicTime,
    /// Events that the planner has received; `None` if they are not recorded.
    recording: Option<Vec<RecordedEvent>>,
}

/// Runs one zone and returns its outcome.
pub fn run_zone(setup: ZoneSetup<'_>) -> ZoneOutcome {
    let drain = setup.length.drain;
    let mut run = ZoneRun::new(setup);
    run.finish(drain);
    run.outcome
}

/// Runs one zone and returns the events that its planner received.
pub fn record_run(setup: ZoneSetup<'_>) -> Vec<RecordedEvent> {
    let drain = setup.length.drain;
    let mut run = ZoneRun::new(setup);
    run.recording = Some(Vec::new());
    run.finish(drain);
    run.recording.unwrap_or_default()
}

impl ZoneRun<'_> {
    fn finish(&mut self, drain: Duration) {
        self.start_run();
        let end = self.arrivals_end + drain;
        while let Some((key, event)) = self.events.pop_first() {
            let is_done = key.at > self.arrivals_end && self.open.is_empty();
            if key.at > end || is_done {
                break;
            }
            self.now = key.at;
            self.handle_event(event);
        }
        self.outcome.run_end = self.now;
    }
}

impl<'a> ZoneRun<'a> {
    fn new(setup: ZoneSetup<'a>) -> Self {
        let arrivals_end = MonotonicTime::default() + setup.length.arrivals;
        let in_zone =
            |arrival: &&JobArrival| arrival.zone == setup.zone && arrival.at < arrivals_end;
        let arrivals: Vec<&JobArrival> = setup.workload.arrivals.iter().filter(in_zone).collect();
        let jobs = arrivals.iter().enumerate();
        let jobs = jobs
            .map(|(index, arrival)| (arrival.id.clone(), index))
            .collect();
        let workers = virtual_workers(&setup, &arrivals);
        let mut run = Self {
            settings: setup.settings,
            zone: setup.zone,
            arrivals,
            feed: setup.feed,
            planner: setup.planner,
            workers,
            events: BTreeMap::new(),
            next_order: 0,
            now: MonotonicTime::default(),
            jobs,
            outcome: ZoneOutcome::default(),
            open: BTreeSet::new(),
            waiting: VecDeque::new(),
            awaiting_reservation: None,
            started: BTreeMap::new(),
            recorded: BTreeMap::new(),
            partial: BTreeSet::new(),
            arrivals_end,
            recording: None,
        };
        for fault in &setup.workload.faults {
            if fault.zone == run.zone {
                run.schedule(fault.from, ZoneEvent::FaultStarted(fault.clone()));
                run.schedule(fault.until, ZoneEvent::FaultEnded(fault.clone()));
            }
        }
        run
    }

    fn schedule(&mut self, at: MonotonicTime, event: ZoneEvent) {
        let key = EventKey {
            at,
            order: self.next_order,
        };
        self.next_order += 1;
        self.events.insert(key, event);
    }

    fn start_run(&mut self) {
        self.handle_planner_event(PlannerEvent::ConfigAdopted {
            version: ConfigVersion(1),
            settings: Arc::clone(&self.settings),
        });
        let records: Vec<_> = self.workers.values().map(VirtualWorker::record).collect();
        for worker in records {
            self.handle_planner_event(PlannerEvent::WorkerUpdated { worker });
        }
        self.handle_planner_event(PlannerEvent::LeadershipGained {
            term: LeaderTerm(1),
        });
        self.schedule(self.now, ZoneEvent::Tick);
        self.schedule(self.now + SAMPLE_INTERVAL, ZoneEvent::Sample);
        for index in 0..self.arrivals.len() {
            let arrival = self.arrivals[index];
            self.schedule(arrival.at, ZoneEvent::Arrive(index));
            if let Some(at) = arrival.cancel_at {
                self.schedule(at, ZoneEvent::Cancel(index));
            }
        }
    }

    fn handle_event(&mut self, event: ZoneEvent) {
        match event {
            ZoneEvent::Planner(event) => self.handle_planner_event(event),
            ZoneEvent::Arrive(index) => self.handle_arrival(index),
            ZoneEvent::Cancel(index) => self.cancel_job(index),
            ZoneEvent::FaultStarted(fault) => self.start_fault(&fault),
            ZoneEvent::FaultEnded(fault) => self.finish_fault(&fault),
            ZoneEvent::Tick => {
                self.schedule(self.now + TICK_INTERVAL, ZoneEvent::Tick);
                self.handle_planner_event(PlannerEvent::Tick);
            }
            ZoneEvent::Sample => self.sample(),
        }
    }

    /// Passes an event to the planner and executes the resulting actions.
    fn handle_planner_event(&mut self, event: PlannerEvent) {
        if let Some(recording) = &mut self.recording {
            recording.push(RecordedEvent {
                at: self.now,
                event: event.clone(),
            });
        }
        let mut actions = Vec::new();
        self.planner.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.feed_next();
    }

    fn handle_arrival(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        debug_assert_eq!(index, self.outcome.jobs.len(), "arrivals out of order");
        let outcome = JobOutcome {
            accepted_at: self.now,
            started_at: None,
            ended_at: None,
            end: None,
            accelerators: arrival.accelerators,
            urgent: arrival.urgent,
            can_run: arrival.can_run(),
            is_guaranteed_claim: self.is_guaranteed_claim(arrival),
            racks: 0,
        };
        self.outcome.jobs.push(outcome);
        self.open.insert(index);
        match self.feed {
            JobFeed::Direct => self.accept(index),
            // A job that never fits would block a strict first-come-first-served planner for
            // ever, so the planner does not receive it.
            JobFeed::InOrder if arrival.is_too_large => self.end_job(index, EndKind::Refused),
            JobFeed::InOrder => {
                self.waiting.push_back(index);
                self.feed_next();
            }
        }
    }

    fn is_guaranteed_claim(&self, arrival: &JobArrival) -> bool {
        if arrival.is_too_large || arrival.accelerators == 0 {
            return false;
        }
        let shapes = &self.settings.customers[&arrival.customer].guarantees;
        let in_zone = shapes.iter().filter(|shape| shape.zone == self.zone);
        let blocks: Vec<u32> = in_zone
            .flat_map(|shape| std::iter::repeat_n(shape.size, shape.blocks as usize))
            .collect();
        let open = self.open.iter().map(|index| self.arrivals[*index]);
        let mut gangs: Vec<u32> = open
            .filter(|other| other.customer == arrival.customer && !other.is_too_large)
            .map(|other| other.accelerators)
            .collect();
        gangs.push(arrival.accelerators);
        fits_blocks(&blocks, &gangs)
    }

    fn accept(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let job = AcceptedJob {
            id: arrival.id.clone(),
            customer: arrival.customer.clone(),
            class: arrival.class.clone(),
            zone: self.zone.clone(),
            offset: index as u64,
            accepted_at: WallTime(self.now.0 / 1_000),
            start_within: None,
            attempts_started: 0,
        };
        self.handle_planner_event(PlannerEvent::JobAccepted { job });
    }

    fn feed_next(&mut self) {
        if self.awaiting_reservation.is_some() {
            return;
        }
        if let Some(index) = self.waiting.pop_front() {
            self.awaiting_reservation = Some(index);
            self.accept(index);
        }
    }

    fn cancel_job(&mut self, index: usize) {
        if !self.open.contains(&index) {
            return;
        }
        if let Some(position) = self.waiting.iter().position(|held| *held == index) {
            self.waiting.remove(position);
            self.end_job(index, EndKind::Cancelled);
            return;
        }
        let job = self.arrivals[index].id.clone();
        self.handle_planner_event(PlannerEvent::JobCancelled { job });
    }

    fn end_job(&mut self, index: usize, kind: EndKind) {
        if !self.open.remove(&index) {
            self.outcome.repeated_ends += 1;
            return;
        }
        self.outcome.jobs[index].ended_at = Some(self.now);
        self.outcome.jobs[index].end = Some(kind);
        self.release_feed(index);
    }

    fn release_feed(&mut self, index: usize) {
        if self.awaiting_reservation == Some(index) {
            self.awaiting_reservation = None;
        }
    }

    fn worker_name(&self, fault: &WorkerFault) -> WorkerName {
        let name = self.workers.keys().nth(fault.worker as usize);
        name.expect("faults name workers of the zone").clone()
    }

    fn start_fault(&mut self, fault: &WorkerFault) {
        let name = self.worker_name(fault);
        let worker = self.workers.get_mut(&name).expect("named above");
        match fault.kind {
            WorkerFaultKind::Crash => {
                worker.crash(self.now);
                self.handle_planner_event(PlannerEvent::WorkerRemoved { worker: name });
            }
            WorkerFaultKind::FailsAll => worker.set_failing(true),
        }
    }

    fn finish_fault(&mut self, fault: &WorkerFault) {
        let name = self.worker_name(fault);
        let worker = self.workers.get_mut(&name).expect("named above");
        match fault.kind {
            WorkerFaultKind::Crash => {
                worker.is_up = true;
                let worker = worker.record();
                self.handle_planner_event(PlannerEvent::WorkerUpdated { worker });
            }
            WorkerFaultKind::FailsAll => worker.set_failing(false),
        }
    }

    fn sample(&mut self) {
        if self.now >= self.arrivals_end {
            return;
        }
        self.schedule(self.now + SAMPLE_INTERVAL, ZoneEvent::Sample);
        let view = zone_view::inspect_zone(self.now, &mut self.workers);
        let still_partial: BTreeSet<_> =
            view.partial.intersection(&self.partial).cloned().collect();
        self.outcome.samples.push(ZoneSample {
            partial_gangs: still_partial.len() as u32,
            ..view.sample
        });
        self.partial = view.partial;
    }

    fn schedule_response(&mut self, event: PlannerEvent) {
        self.schedule(self.now + WORKER_RESPONSE_DELAY, ZoneEvent::Planner(event));
    }

    fn execute(&mut self, action: PlannerAction) {
        match action {
            PlannerAction::RecordStart {
                job,
                attempt,
                workers,
            } => self.record_start(job, attempt, workers),
            PlannerAction::RecordEnd { job, ending } => self.record_end(job, &ending),
            action => {
                if let Some(event) = self.call_worker(action) {
                    self.schedule_response(event);
                }
            }
        }
    }

    fn record_start(&mut self, job: JobId, attempt: u32, workers: Vec<WorkerName>) {
        self.recorded.insert(first_member(&job, attempt), workers);
        let event = PlannerEvent::StartRecorded { job, attempt };
        self.schedule(self.now + LOG_RESPONSE_DELAY, ZoneEvent::Planner(event));
    }

    fn record_end(&mut self, job: JobId, ending: &JobEnding) {
        let kind = match ending {
            JobEnding::Finished => EndKind::Finished,
            JobEnding::Failed(_) => EndKind::Failed,
            JobEnding::Cancelled => EndKind::Cancelled,
            JobEnding::Refused(_) => EndKind::Refused,
        };
        self.end_job(self.jobs[&job], kind);
        let event = PlannerEvent::EndRecorded { job };
        self.schedule(self.now + LOG_RESPONSE_DELAY, ZoneEvent::Planner(event));
    }

    /// Sends an action to its worker and returns the response; `None` if there is none.
    fn call_worker(&mut self, action: PlannerAction) -> Option<PlannerEvent> {
        let now = self.now;
        let name = action_worker(&action)?;
        let worker = self.workers.get_mut(&name)?;
        Some(match action {
            PlannerAction::ListTasks { worker: name } => match worker.list(now) {
                Some(tasks) => PlannerEvent::TasksListed {
                    worker: name,
                    incarnation: worker.incarnation(),
                    tasks,
                },
                None => PlannerEvent::ListFailed { worker: name },
            },
            PlannerAction::Reserve {
                task,
                demand,
                lease,
                ..
            } => {
                let result = worker.reserve(now, &task, demand, lease);
                let index = self.jobs[&task.job];
                self.release_feed(index);
                PlannerEvent::ReserveAnswered { task, result }
            }
            PlannerAction::Start {
                task, order, lease, ..
            } => {
                let result = worker.start(now, &task, &order, lease);
                if result.is_ok() {
                    self.count_start(&task, order.members, order.idempotent);
                }
                PlannerEvent::StartAnswered { task, result }
            }
            PlannerAction::Renew { tasks, lease, .. } => PlannerEvent::RenewAnswered {
                worker: name,
                result: worker.renew(now, &tasks, lease),
            },
            PlannerAction::Checkpoint { task, .. } => {
                let result = worker.checkpoint(now, &task);
                self.outcome.checkpoints += u32::from(result.is_ok());
                PlannerEvent::CheckpointAnswered { task, result }
            }
            PlannerAction::Release { task, .. } => {
                let result = worker.release(now, &task);
                PlannerEvent::StopAnswered { task, result }
            }
            PlannerAction::Stop { task, .. } => {
                let result = worker.stop(now, &task);
                PlannerEvent::StopAnswered { task, result }
            }
            PlannerAction::Throttle { task, percent, .. } => {
                worker.throttle(now, &task, percent);
                return None;
            }
            PlannerAction::RecordStart { .. } | PlannerAction::RecordEnd { .. } => return None,
        })
    }

    fn count_start(&mut self, task: &TaskKey, members: u32, idempotent: bool) {
        let attempt = first_member(&task.job, task.attempt);
        let started = self.started.entry(attempt.clone()).or_default();
        *started += 1;
        if *started != members {
            return;
        }
        let index = self.jobs[&task.job];
        let racks = self.racks_of(&attempt);
        let job = &mut self.outcome.jobs[index];
        if job.started_at.is_some() {
            self.outcome.repeated_starts += u32::from(!idempotent);
            return;
        }
        job.started_at = Some(self.now);
        job.racks = racks;
    }

    fn racks_of(&self, attempt: &TaskKey) -> u32 {
        let workers = self.recorded.get(attempt).into_iter().flatten();
        let records = workers.filter_map(|name| self.workers.get(name));
        let racks: BTreeSet<RackName> = records.map(|worker| worker.record().rack).collect();
        racks.len() as u32
    }
}

fn first_member(job: &JobId, attempt: u32) -> TaskKey {
    TaskKey {
        job: job.clone(),
        attempt,
        member: 0,
    }
}

fn action_worker(action: &PlannerAction) -> Option<WorkerName> {
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

/// Returns workers with the declared capacity. They run each task for the real run time of
/// its job.
fn virtual_workers(
    setup: &ZoneSetup<'_>,
    arrivals: &[&JobArrival],
) -> BTreeMap<WorkerName, VirtualWorker> {
    let zone = &setup.settings.zones[&setup.zone];
    let times = arrivals
        .iter()
        .map(|job| (job.id.to_string(), job.run_time));
    let times: Arc<BTreeMap<String, Duration>> = Arc::new(times.collect());
    let failing = arrivals.iter().filter(|job| job.fails);
    let failing: Arc<BTreeSet<String>> = Arc::new(failing.map(|job| job.id.to_string()).collect());
    let mut workers = BTreeMap::new();
    for index in 0..zone.racks * zone.workers_per_rack {
        let name = format!("{}-{index:03}", setup.zone);
        let times = Arc::clone(&times);
        let failing = Arc::clone(&failing);
        let options = WorkerOptions {
            name: name.clone(),
            zone: setup.zone.to_string(),
            region: zone.region.to_string(),
            rack: format!("rack-{}", index / zone.workers_per_rack),
            incarnation: 1,
            services: setup
                .settings
                .services
                .keys()
                .map(ToString::to_string)
                .collect(),
            slots: zone.slots_per_worker,
            connections: zone.connections_per_worker,
            cores: zone.cores_per_worker,
            memory_mb: zone.memory_mb_per_worker,
            accelerators: zone.accelerators_per_worker,
            run_time: Arc::new(move |payload| times[&payload.job_id]),
            always_fails: Arc::new(move |payload| failing.contains(&payload.job_id)),
            ..WorkerOptions::default()
        };
        workers.insert(WorkerName::from(name), VirtualWorker::new(options));
    }
    workers
}
