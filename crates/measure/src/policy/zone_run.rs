//! Drives the planner of one zone through a workload on a virtual clock. Answers
//! of workers and of the log take a fixed virtual time.

use std::collections::VecDeque;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::action::{JobEnding, PlannerAction};
use flamingowalk_core::process::planner::event::{AcceptedJob, LeaderTerm, PlannerEvent, TaskKey};
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::version::settings::{ConfigVersion, SystemSettings};
use flamingowalk_standin::WorkerOptions;

use super::guaranteed_claim::fits_blocks;
use super::job_outcome::{EndKind, JobOutcome, ZoneOutcome, ZoneSample};
use super::recording::RecordedEvent;
use super::virtual_worker::VirtualWorker;
use super::workload::{JobArrival, PolicyWorkload, WorkerFault, WorkerFaultKind};
use super::zone_view::{self, GangCount};

/// Time until a worker's answer.
const WORKER_DELAY: Duration = Duration::from_millis(2);
/// Time until the log's answer.
const LOG_DELAY: Duration = Duration::from_millis(10);
/// Time between ticks of the planner.
const TICK: Duration = Duration::from_secs(1);
/// Time between samples.
const SAMPLE: Duration = Duration::from_mins(1);
/// How jobs reach the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFeed {
    /// On arrival.
    Direct,
    /// One by one: the next only when the one before holds its reservation. With
    /// first fit this is strict first-come-first-served.
    InOrder,
}

/// How long a run is in virtual time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunLength {
    /// Time in which jobs arrive; later ones are left out.
    pub arrivals: Duration,
    /// Time after that until the run ends, whatever still waits.
    pub drain: Duration,
}

/// Everything that a run of one zone is given.
#[derive(Debug)]
pub struct ZoneSetup<'a> {
    /// The zone.
    pub zone: ZoneName,
    /// Settings in force.
    pub settings: Arc<SystemSettings>,
    /// Arrivals and faults of all zones.
    pub workload: &'a PolicyWorkload,
    /// How long it runs.
    pub length: RunLength,
    /// How jobs reach the planner.
    pub feed: JobFeed,
    /// The planner, which knows nothing yet.
    pub planner: PlannerState,
}

/// What happens at a time.
#[derive(Debug)]
enum ZoneEvent {
    Planner(PlannerEvent),
    Arrive(usize),
    Cancel(usize),
    FaultBegins(WorkerFault),
    FaultEnds(WorkerFault),
    Tick,
    Sample,
}

/// Order of events: by time, then in the order in which they were planned.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EventPlace {
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
    events: BTreeMap<EventPlace, ZoneEvent>,
    planned: u64,
    now: MonotonicTime,
    /// Index of each job of the zone.
    jobs: BTreeMap<JobId, usize>,
    outcome: ZoneOutcome,
    /// Jobs without an ending.
    open: BTreeSet<usize>,
    /// Jobs that the feed still holds back, in order of arrival.
    held_back: VecDeque<usize>,
    /// Job that was fed last and holds nothing yet.
    fed: Option<usize>,
    /// Members of each attempt that have started.
    started: BTreeMap<TaskKey, u32>,
    /// Workers of each attempt's record.
    recorded: BTreeMap<TaskKey, Vec<WorkerName>>,
    /// Gangs that were incomplete at the sample before.
    partial: BTreeSet<GangCount>,
    arrivals_end: MonotonicTime,
    /// Events of the planner so far, if they are wanted.
    recording: Option<Vec<RecordedEvent>>,
}

/// Runs one zone to its end.
pub fn run_zone(setup: ZoneSetup<'_>) -> ZoneOutcome {
    let drain = setup.length.drain;
    let mut run = ZoneRun::new(setup);
    run.finish(drain);
    run.outcome
}

/// Runs one zone to its end and gives back the events of its planner.
pub fn record_run(setup: ZoneSetup<'_>) -> Vec<RecordedEvent> {
    let drain = setup.length.drain;
    let mut run = ZoneRun::new(setup);
    run.recording = Some(Vec::new());
    run.finish(drain);
    run.recording.unwrap_or_default()
}

impl ZoneRun<'_> {
    fn finish(&mut self, drain: Duration) {
        self.begin();
        let end = self.arrivals_end + drain;
        while let Some((place, event)) = self.events.pop_first() {
            let is_done = place.at > self.arrivals_end && self.open.is_empty();
            if place.at > end || is_done {
                break;
            }
            self.now = place.at;
            self.take(event);
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
            planned: 0,
            now: MonotonicTime::default(),
            jobs,
            outcome: ZoneOutcome::default(),
            open: BTreeSet::new(),
            held_back: VecDeque::new(),
            fed: None,
            started: BTreeMap::new(),
            recorded: BTreeMap::new(),
            partial: BTreeSet::new(),
            arrivals_end,
            recording: None,
        };
        for fault in &setup.workload.faults {
            if fault.zone == run.zone {
                run.plan(fault.from, ZoneEvent::FaultBegins(fault.clone()));
                run.plan(fault.until, ZoneEvent::FaultEnds(fault.clone()));
            }
        }
        run
    }

    fn plan(&mut self, at: MonotonicTime, event: ZoneEvent) {
        let place = EventPlace {
            at,
            order: self.planned,
        };
        self.planned += 1;
        self.events.insert(place, event);
    }

    fn begin(&mut self) {
        self.tell(PlannerEvent::ConfigAdopted {
            version: ConfigVersion(1),
            settings: Arc::clone(&self.settings),
        });
        let records: Vec<_> = self.workers.values().map(VirtualWorker::record).collect();
        for worker in records {
            self.tell(PlannerEvent::WorkerUpdated { worker });
        }
        self.tell(PlannerEvent::LeadershipGained {
            term: LeaderTerm(1),
        });
        self.plan(self.now, ZoneEvent::Tick);
        self.plan(self.now + SAMPLE, ZoneEvent::Sample);
        for index in 0..self.arrivals.len() {
            let arrival = self.arrivals[index];
            self.plan(arrival.at, ZoneEvent::Arrive(index));
            if let Some(at) = arrival.cancel_at {
                self.plan(at, ZoneEvent::Cancel(index));
            }
        }
    }

    fn take(&mut self, event: ZoneEvent) {
        match event {
            ZoneEvent::Planner(event) => self.tell(event),
            ZoneEvent::Arrive(index) => self.arrive(index),
            ZoneEvent::Cancel(index) => self.cancel(index),
            ZoneEvent::FaultBegins(fault) => self.begin_fault(&fault),
            ZoneEvent::FaultEnds(fault) => self.end_fault(&fault),
            ZoneEvent::Tick => {
                self.plan(self.now + TICK, ZoneEvent::Tick);
                self.tell(PlannerEvent::Tick);
            }
            ZoneEvent::Sample => self.sample(),
        }
    }

    /// Gives an event to the planner and carries out what it asks for.
    fn tell(&mut self, event: PlannerEvent) {
        if let Some(recording) = &mut self.recording {
            recording.push(RecordedEvent {
                at: self.now,
                event: event.clone(),
            });
        }
        let mut actions = Vec::new();
        self.planner.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.feed_next();
    }

    fn arrive(&mut self, index: usize) {
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
            is_claim: self.is_claim(arrival),
            racks: 0,
        };
        self.outcome.jobs.push(outcome);
        self.open.insert(index);
        match self.feed {
            JobFeed::Direct => self.accept(index),
            // The baseline is spared what would block it for ever.
            JobFeed::InOrder if arrival.is_too_large => self.end(index, EndKind::Refused),
            JobFeed::InOrder => {
                self.held_back.push_back(index);
                self.feed_next();
            }
        }
    }

    fn is_claim(&self, arrival: &JobArrival) -> bool {
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
        self.tell(PlannerEvent::JobAccepted { job });
    }

    fn feed_next(&mut self) {
        if self.fed.is_some() {
            return;
        }
        if let Some(index) = self.held_back.pop_front() {
            self.fed = Some(index);
            self.accept(index);
        }
    }

    fn cancel(&mut self, index: usize) {
        if !self.open.contains(&index) {
            return;
        }
        if let Some(place) = self.held_back.iter().position(|held| *held == index) {
            self.held_back.remove(place);
            self.end(index, EndKind::Cancelled);
            return;
        }
        let job = self.arrivals[index].id.clone();
        self.tell(PlannerEvent::JobCancelled { job });
    }

    fn end(&mut self, index: usize, kind: EndKind) {
        if !self.open.remove(&index) {
            self.outcome.repeated_ends += 1;
            return;
        }
        self.outcome.jobs[index].ended_at = Some(self.now);
        self.outcome.jobs[index].end = Some(kind);
        self.release_feed(index);
    }

    fn release_feed(&mut self, index: usize) {
        if self.fed == Some(index) {
            self.fed = None;
        }
    }

    fn worker_name(&self, fault: &WorkerFault) -> WorkerName {
        let name = self.workers.keys().nth(fault.worker as usize);
        name.expect("faults name workers of the zone").clone()
    }

    fn begin_fault(&mut self, fault: &WorkerFault) {
        let name = self.worker_name(fault);
        let worker = self.workers.get_mut(&name).expect("named above");
        match fault.kind {
            WorkerFaultKind::Crash => {
                worker.crash(self.now);
                self.tell(PlannerEvent::WorkerRemoved { worker: name });
            }
            WorkerFaultKind::FailsAll => worker.set_failing(true),
        }
    }

    fn end_fault(&mut self, fault: &WorkerFault) {
        let name = self.worker_name(fault);
        let worker = self.workers.get_mut(&name).expect("named above");
        match fault.kind {
            WorkerFaultKind::Crash => {
                worker.is_up = true;
                let worker = worker.record();
                self.tell(PlannerEvent::WorkerUpdated { worker });
            }
            WorkerFaultKind::FailsAll => worker.set_failing(false),
        }
    }

    fn sample(&mut self) {
        if self.now >= self.arrivals_end {
            return;
        }
        self.plan(self.now + SAMPLE, ZoneEvent::Sample);
        let seen = zone_view::inspect_zone(self.now, &mut self.workers);
        let still: BTreeSet<_> = seen.partial.intersection(&self.partial).cloned().collect();
        self.outcome.samples.push(ZoneSample {
            partial_gangs: still.len() as u32,
            ..seen.sample
        });
        self.partial = seen.partial;
    }

    fn answer(&mut self, event: PlannerEvent) {
        self.plan(self.now + WORKER_DELAY, ZoneEvent::Planner(event));
    }

    fn carry_out(&mut self, action: PlannerAction) {
        match action {
            PlannerAction::RecordStart {
                job,
                attempt,
                workers,
            } => self.record_start(job, attempt, workers),
            PlannerAction::RecordEnd { job, ending } => self.record_end(job, &ending),
            action => {
                if let Some(event) = self.ask_worker(action) {
                    self.answer(event);
                }
            }
        }
    }

    fn record_start(&mut self, job: JobId, attempt: u32, workers: Vec<WorkerName>) {
        self.recorded.insert(first_member(&job, attempt), workers);
        let event = PlannerEvent::StartRecorded { job, attempt };
        self.plan(self.now + LOG_DELAY, ZoneEvent::Planner(event));
    }

    fn record_end(&mut self, job: JobId, ending: &JobEnding) {
        let kind = match ending {
            JobEnding::Finished => EndKind::Finished,
            JobEnding::Failed(_) => EndKind::Failed,
            JobEnding::Cancelled => EndKind::Cancelled,
            JobEnding::Refused(_) => EndKind::Refused,
        };
        self.end(self.jobs[&job], kind);
        let event = PlannerEvent::EndRecorded { job };
        self.plan(self.now + LOG_DELAY, ZoneEvent::Planner(event));
    }

    /// The answer of a worker to an action, if it has one.
    fn ask_worker(&mut self, action: PlannerAction) -> Option<PlannerEvent> {
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

/// Workers of the declared capacity, which run each job for its real time.
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
