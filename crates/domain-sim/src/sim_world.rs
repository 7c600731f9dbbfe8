//! The world of a planning domain: hosts, log, workers and what travels between them,
//! as events on a virtual clock. It checks on the way what workers must never see.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{
    AdviceOrder, CallTicket, HostAction, ReadOrder, StartOrder, WorkerCall, WorkerOrder,
};
use flamingowalk_domain::process::event::{
    AdviceFault, EndCause, HostEvent, RefusalCause, WorkerAnswer, WorkerFault,
};
use flamingowalk_domain::process::host::{DomainHost, HostIdentity};
use flamingowalk_domain::process::planner::PlanLimits;
use flamingowalk_domain::process::stream::{AppendOrder, StreamFault, StreamName};
use flamingowalk_domain::process::worker_report::WorkerReport;
use flamingowalk_domain::request::front_request::{
    FrontAnswer, FrontRequest, FrontVerb, RequestTicket,
};
use flamingowalk_domain::request::submission::{JobSubmission, UnitNeed};
use flamingowalk_domain::version::manifest::DomainManifest;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::sim_advice::SimAdvice;
use crate::sim_store::SimStore;
use crate::sim_worker::{SimRun, SimWorker, checkpoint_work};

/// Time of a message between two machines.
const HOP: Duration = Duration::from_micros(500);
/// Time that the log takes for a call.
const STORE_TIME: Duration = Duration::from_millis(4);
/// Time between two looks of the world at its workers, and between ticks of hosts.
const WORLD_TICK: Duration = Duration::from_millis(10);
/// Time between two reports of a worker.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Silence after which a worker's entry is removed.
const ENTRY_LIFE: Duration = Duration::from_millis(4_500);
/// Unix time at which the world begins.
const EPOCH_MILLIS: u64 = 1_790_000_000_000;

/// A host.
#[derive(Debug)]
pub struct SimHost {
    /// The host; nothing while its process is down.
    pub host: Option<DomainHost>,
    /// Its name.
    pub name: HostName,
    /// Share of a core.
    pub cpu_share: f64,
    /// Number of the process; answers to earlier ones are lost.
    pub life: u64,
    /// Whether the log hears it.
    pub reaches_store: bool,
    /// Whether workers hear it.
    pub reaches_workers: bool,
    /// It does nothing before.
    pub frozen_until: MonotonicTime,
    /// How far its wall clock is off.
    pub wall_skew_ms: i64,
    /// When its process was started; its steady clock counts from there.
    started_at: MonotonicTime,
}

/// What became of a submitted job.
#[derive(Clone, Debug, Default)]
pub struct JobReport {
    /// When the first submission was sent.
    pub sent_at: MonotonicTime,
    /// Whether an answer said that it is accepted.
    pub is_accepted: bool,
    /// When its last unit was done.
    pub done_at: Option<MonotonicTime>,
    /// When its first unit started to work.
    pub began_at: Option<MonotonicTime>,
    /// When an answer said that it is cancelled.
    pub cancelled_at: Option<MonotonicTime>,
    /// Units of each step that are done.
    pub done_units: BTreeSet<UnitKey>,
}

#[derive(Debug)]
enum WorldEvent {
    ToHost(usize, u64, HostEvent),
    ToStore(usize, u64, StoreCall),
    ToWorker(usize, u64, Box<WorkerCall>),
    EndWait(usize, u64, CallTicket),
    Tick,
    Report(WorkerName),
}

/// Ticket of calls that nobody waits for any more.
const LATE_TICKET: CallTicket = CallTicket(u64::MAX);

#[derive(Clone, Debug)]
enum StoreCall {
    Append(CallTicket, AppendOrder),
    Read(ReadOrder),
    ReadNewest(CallTicket, flamingowalk_domain::process::stream::StreamName),
}

/// One run of a gang.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct GangRun {
    job: JobKey,
    occurrence: u32,
    step: u16,
    run: RunNumber,
}

#[derive(Debug)]
struct WaitingLook {
    host: usize,
    life: u64,
    call: Box<WorkerCall>,
    acknowledged: u64,
    until: MonotonicTime,
}

/// A planning domain on a virtual clock.
#[derive(Debug)]
pub struct SimWorld {
    now: MonotonicTime,
    sequence: u64,
    events: BTreeMap<(MonotonicTime, u64), WorldEvent>,
    random: ChaCha8Rng,
    /// Hosts.
    pub hosts: Vec<SimHost>,
    /// The log.
    pub store: SimStore,
    /// Whether the log answers anyone.
    pub is_store_up: bool,
    /// Factor by which the log is slower than usual.
    pub store_factor: u32,
    /// Reads that wait are not answered before, unless their wait is over.
    pub deaf_until: MonotonicTime,
    /// Part of the log's answers to appends that are lost after they took effect.
    pub lost_answers: f64,
    /// Part of the appends that are done some seconds later and not answered.
    pub late_appends: f64,
    /// Workers by name.
    pub workers: BTreeMap<WorkerName, SimWorker>,
    last_reports: BTreeMap<WorkerName, MonotonicTime>,
    /// The service that approves workers.
    pub advice: SimAdvice,
    waiting_reads: Vec<(usize, u64, ReadOrder, MonotonicTime)>,
    waiting_looks: Vec<WaitingLook>,
    /// Bounds that the hosts are told.
    pub limits: PlanLimits,
    /// Jobs that were submitted.
    pub jobs: BTreeMap<JobKey, JobReport>,
    submissions: BTreeMap<JobKey, (JobSubmission, Duration)>,
    asked: BTreeMap<RequestTicket, (JobKey, &'static str)>,
    /// Answers by ticket.
    pub answers: BTreeMap<RequestTicket, FrontAnswer>,
    next_request: u64,
    /// What a worker must never see, and saw.
    pub faults: Vec<String>,
    /// Whether the planner's state is verified after each event.
    pub verifies: bool,
    /// Reads of the newest claim.
    pub seat_reads: u32,
    /// Runs started on workers.
    pub starts: u64,
    /// Core seconds of work that was lost, an accelerator counting as eight cores.
    pub wasted: f64,
}

impl SimWorld {
    /// A world of these hosts and workers, which begin at once.
    pub fn new(
        seed: u64,
        manifest: DomainManifest,
        hosts: usize,
        workers: Vec<WorkerReport>,
    ) -> Self {
        let mut world = Self {
            now: MonotonicTime::from_secs(1_000),
            sequence: 0,
            events: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            store: SimStore::default(),
            is_store_up: true,
            store_factor: 1,
            deaf_until: MonotonicTime(0),
            lost_answers: 0.0,
            late_appends: 0.0,
            workers: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            advice: SimAdvice::default(),
            waiting_reads: Vec::new(),
            waiting_looks: Vec::new(),
            limits: PlanLimits::default(),
            jobs: BTreeMap::new(),
            submissions: BTreeMap::new(),
            asked: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_request: 0,
            faults: Vec::new(),
            verifies: true,
            seat_reads: 0,
            starts: 0,
            wasted: 0.0,
        };
        world.store.put_manifest(manifest);
        for (index, report) in workers.into_iter().enumerate() {
            let name = report.name.clone();
            let worker = SimWorker::new(report, world.now);
            world.workers.insert(name.clone(), worker);
            let delay = Duration::from_millis(index as u64 * 7 % 1_000);
            world.push(delay, WorldEvent::Report(name));
        }
        for index in 0..hosts {
            world.hosts.push(SimHost {
                host: None,
                name: format!("host-{index}").into(),
                cpu_share: 0.5,
                life: 0,
                reaches_store: true,
                reaches_workers: true,
                frozen_until: MonotonicTime(0),
                wall_skew_ms: 0,
                started_at: MonotonicTime(0),
            });
            world.start_host(index);
        }
        world.push(WORLD_TICK, WorldEvent::Tick);
        world
    }

    /// Present time.
    pub const fn now(&self) -> MonotonicTime {
        self.now
    }

    fn push(&mut self, delay: Duration, event: WorldEvent) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Starts the process of a host, anew if it runs.
    pub fn start_host(&mut self, index: usize) {
        let nonce = self.random.random();
        let (now, limits) = (self.now, self.limits);
        let host = &mut self.hosts[index];
        host.life += 1;
        let identity = HostIdentity {
            name: host.name.clone(),
            nonce,
            cpu_share: host.cpu_share,
            limits,
        };
        host.started_at = now;
        host.host = Some(DomainHost::new(identity, MonotonicTime(0)));
    }

    /// Kills the process of a host.
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.host = None;
        host.life += 1;
    }

    /// Asks the process of a host to shut down.
    pub fn drain_host(&mut self, index: usize) {
        let life = self.hosts[index].life;
        self.push(HOP, WorldEvent::ToHost(index, life, HostEvent::DrainAsked));
    }

    /// The host that plans, if one does.
    pub fn planner(&self) -> Option<usize> {
        let plans = |host: &SimHost| {
            let host = host.host.as_ref();
            host.is_some_and(|host| host.planner().is_some())
        };
        self.hosts.iter().position(plans)
    }

    /// Submits a job whose units take `work` on a sound worker.
    pub fn submit(
        &mut self,
        host: usize,
        path: &str,
        job: JobKey,
        submission: &JobSubmission,
        work: Duration,
    ) -> RequestTicket {
        let now = self.now;
        self.jobs.entry(job).or_insert_with(|| JobReport {
            sent_at: now,
            ..JobReport::default()
        });
        self.submissions.insert(job, (submission.clone(), work));
        let verb = FrontVerb::Submit(Ok(Box::new(submission.clone())));
        self.request(host, &format!("{path}{job}"), verb, job, "submit")
    }

    /// Cancels a job.
    pub fn cancel(&mut self, host: usize, path: &str, job: JobKey) -> RequestTicket {
        self.request(
            host,
            &format!("{path}{job}"),
            FrontVerb::Cancel,
            job,
            "cancel",
        )
    }

    /// Asks for the state of a job.
    pub fn ask(&mut self, host: usize, path: &str, job: JobKey) -> RequestTicket {
        self.request(host, &format!("{path}{job}"), FrontVerb::Ask, job, "ask")
    }

    fn request(
        &mut self,
        host: usize,
        path: &str,
        verb: FrontVerb,
        job: JobKey,
        word: &'static str,
    ) -> RequestTicket {
        self.next_request += 1;
        let ticket = RequestTicket(self.next_request);
        self.asked.insert(ticket, (job, word));
        let request = FrontRequest {
            ticket,
            host: "jobs.example".into(),
            path: path.into(),
            key: Some("key".into()),
            patience: Some(Duration::from_secs(3)),
            verb,
        };
        let life = self.hosts[host].life;
        self.push(
            HOP,
            WorldEvent::ToHost(host, life, HostEvent::Requested(request)),
        );
        ticket
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.take(event);
        }
        self.now = end;
    }

    /// Lets time pass until something holds; whether it did within the limit.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run_for(WORLD_TICK);
        }
        holds(self)
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::ToHost(index, life, event) => self.deliver(index, life, event),
            WorldEvent::ToStore(index, life, call) => self.serve_store(index, life, call),
            WorldEvent::ToWorker(index, life, call) => self.serve_worker(index, life, call),
            WorldEvent::EndWait(index, life, ticket) => self.end_wait(index, life, ticket),
            WorldEvent::Tick => self.tick(),
            WorldEvent::Report(name) => self.report(&name),
        }
    }

    fn deliver(&mut self, index: usize, life: u64, event: HostEvent) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.life != life {
            return;
        }
        if now < host.frozen_until {
            let delay = Duration::from_micros(host.frozen_until.0 - now.0);
            self.push(delay, WorldEvent::ToHost(index, life, event));
            return;
        }
        let millis = EPOCH_MILLIS + now.0 / 1_000;
        let wall = WallTime(millis.saturating_add_signed(host.wall_skew_ms));
        let Some(state) = &mut host.host else {
            return;
        };
        let local = MonotonicTime(now.0 - host.started_at.0);
        let actions = state.handle(local, wall, event);
        if self.verifies
            && let Some(planner) = state.planner()
        {
            for fault in planner.verify() {
                self.faults.push(format!("{now}: {fault}"));
            }
        }
        for action in actions {
            self.carry_out(index, life, action);
        }
    }

    fn carry_out(&mut self, index: usize, life: u64, action: HostAction) {
        match action {
            HostAction::Read(order) => {
                let lost = HostEvent::Read(order.ticket, Err(StreamFault::NoAnswer));
                self.call_store(index, life, StoreCall::Read(order), lost, order.timeout);
            }
            HostAction::ReadNewest(order) => {
                let lost = HostEvent::ReadNewest(order.ticket, Err(StreamFault::NoAnswer));
                let call = StoreCall::ReadNewest(order.ticket, order.stream);
                self.call_store(index, life, call, lost, order.timeout);
            }
            HostAction::Append {
                ticket,
                order,
                timeout,
            } => {
                let lost = HostEvent::Appended(ticket, Err(StreamFault::NoAnswer));
                self.call_store(index, life, StoreCall::Append(ticket, order), lost, timeout);
            }
            HostAction::Worker(call) => {
                let lost = HostEvent::WorkerAnswered(call.ticket, Err(WorkerFault::NoAnswer));
                self.push(call.timeout, WorldEvent::ToHost(index, life, lost));
                self.push(HOP, WorldEvent::ToWorker(index, life, Box::new(call)));
            }
            HostAction::Advise(order) => self.serve_advice(index, life, &order),
            HostAction::Reply(ticket, answer) => self.note_answer(ticket, answer),
        }
    }

    fn serve_advice(&mut self, index: usize, life: u64, order: &AdviceOrder) {
        let lost = HostEvent::Advised(order.ticket, Err(AdviceFault::NoAnswer));
        self.push(order.timeout, WorldEvent::ToHost(index, life, lost));
        if !self.advice.is_up {
            return;
        }
        let workers = &self.workers;
        let life_of = |name: &WorkerName| {
            let worker = workers.get(name);
            worker.map_or(WorkerIncarnation(0), |worker| worker.report.incarnation)
        };
        let (answered_at, approvals) = self.advice.take(self.now, order, life_of);
        let event = HostEvent::Advised(order.ticket, Ok(approvals));
        let delay = answered_at.since(self.now) + HOP;
        self.push(delay, WorldEvent::ToHost(index, life, event));
    }

    /// Sends a call to the log. The timeout reaches the host in any case; hosts take
    /// no second answer to a ticket.
    fn call_store(
        &mut self,
        index: usize,
        life: u64,
        call: StoreCall,
        lost: HostEvent,
        timeout: Duration,
    ) {
        self.push(timeout, WorldEvent::ToHost(index, life, lost));
        let delay = HOP + STORE_TIME * self.store_factor;
        self.push(delay, WorldEvent::ToStore(index, life, call));
    }

    fn serve_store(&mut self, index: usize, life: u64, call: StoreCall) {
        if !self.is_store_up || !self.hosts[index].reaches_store {
            return;
        }
        let event = match call {
            StoreCall::Append(ticket, order) => {
                let is_late = ticket != LATE_TICKET && self.late_appends > 0.0;
                if is_late && self.random.random_bool(self.late_appends) {
                    let delay = Duration::from_millis(self.random.random_range(1_000..4_000));
                    let call = StoreCall::Append(LATE_TICKET, order);
                    self.push(delay, WorldEvent::ToStore(index, life, call));
                    return;
                }
                let result = self.store.append(&order);
                if result.is_ok() {
                    self.wake_reads();
                }
                if self.lost_answers > 0.0 && self.random.random_bool(self.lost_answers) {
                    return;
                }
                HostEvent::Appended(ticket, result)
            }
            StoreCall::Read(order) => match self.store.read(order.stream, order.from) {
                Ok(page) if page.records.is_empty() && !order.wait.is_zero() => {
                    let until = self.now + order.wait;
                    self.waiting_reads.push((index, life, order, until));
                    return;
                }
                result => HostEvent::Read(order.ticket, result),
            },
            StoreCall::ReadNewest(ticket, stream) => {
                self.seat_reads += u32::from(stream == StreamName::Seat);
                HostEvent::ReadNewest(ticket, Ok(self.store.newest(stream)))
            }
        };
        self.push(HOP, WorldEvent::ToHost(index, life, event));
    }

    /// Answers the reads that waited for a record, and those that waited long enough.
    fn wake_reads(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting_reads);
        for (index, life, order, until) in waiting {
            let result = self.store.read(order.stream, order.from);
            let is_ready = result
                .as_ref()
                .map_or(true, |page| !page.records.is_empty());
            if !self.is_store_up || !self.hosts[index].reaches_store {
                continue;
            }
            if (is_ready && now >= self.deaf_until) || now >= until {
                let event = HostEvent::Read(order.ticket, result);
                self.push(HOP, WorldEvent::ToHost(index, life, event));
            } else {
                self.waiting_reads.push((index, life, order, until));
            }
        }
    }

    fn serve_worker(&mut self, index: usize, life: u64, call: Box<WorkerCall>) {
        let now = self.now;
        if !self.hosts[index].reaches_workers {
            return;
        }
        let Some(worker) = self.workers.get(&call.worker) else {
            return;
        };
        if !worker.is_up || !worker.hears(index) {
            return;
        }
        if let (WorkerOrder::Start(_), Some(delay)) = (&call.order, worker.late_starts) {
            let mut late = call;
            late.ticket = LATE_TICKET;
            if let Some(worker) = self.workers.get_mut(&late.worker) {
                worker.late_starts = None;
            }
            self.push(delay, WorldEvent::ToWorker(index, life, late));
            return;
        }
        let answer = self.order_worker(&call);
        if let (WorkerOrder::Look(look), WorkerAnswer::Listed(listing)) = (&call.order, &answer)
            && !look.wait.is_zero()
            && listing.ended.is_empty()
        {
            let until = now + look.wait;
            let waiting = WaitingLook {
                host: index,
                life,
                acknowledged: look.acknowledged,
                call,
                until,
            };
            self.push(
                look_wait(&waiting.call),
                WorldEvent::EndWait(index, life, waiting.call.ticket),
            );
            self.waiting_looks.push(waiting);
            return;
        }
        let event = HostEvent::WorkerAnswered(call.ticket, Ok(answer));
        self.push(HOP, WorldEvent::ToHost(index, life, event));
    }

    fn order_worker(&mut self, call: &WorkerCall) -> WorkerAnswer {
        let now = self.now;
        let before = self.start_faults(call);
        let submissions = &self.submissions;
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return WorkerAnswer::Done {
                clock: WorkerClock(0),
            };
        };
        if let WorkerOrder::Start(start) = &call.order
            && call.incarnation == worker.report.incarnation
            && self
                .advice
                .refuses(now, start, &call.worker, worker.report.incarnation)
        {
            return WorkerAnswer::Refused {
                cause: RefusalCause::NoApproval,
                clock: Some(worker.clock(now)),
            };
        }
        let fails_all = worker.fails_all;
        let speed = worker.speed;
        let make_run = |start: &StartOrder| new_run(now, submissions, start, speed, fails_all);
        let answer = worker.take_order(now, call.incarnation, call.epoch, &call.order, make_run);
        if let (Some(faults), WorkerAnswer::Done { .. }) = (before, &answer) {
            self.faults
                .extend(faults.into_iter().map(|fault| format!("{now}: {fault}")));
        }
        answer
    }

    /// What would be wrong with a start, if the worker takes it: two runs of a unit, a
    /// unit that is done, steps out of order, or more than the worker has. Nothing for
    /// other orders and for a start that the worker has taken before.
    fn start_faults(&mut self, call: &WorkerCall) -> Option<Vec<String>> {
        let WorkerOrder::Start(start) = &call.order else {
            return None;
        };
        let now = self.now;
        let unit = start.unit;
        let Some((submission, _)) = self.submissions.get(&unit.job) else {
            return Some(vec![format!("{unit} was never submitted")]);
        };
        let shape = &submission.steps[usize::from(unit.step)];
        let worker = self.workers.get(&call.worker)?;
        let known = worker.running.get(&unit).map(|run| run.run);
        if known == Some(start.run) {
            return None;
        }
        let mut faults = Vec::new();
        for (name, other) in &self.workers {
            if other.is_up && other.running.contains_key(&unit) {
                faults.push(format!(
                    "{unit} starts on {} while it runs on {name}",
                    call.worker
                ));
            }
        }
        if !worker
            .used()
            .plus(&shape.need)
            .fits(&worker.report.capacity)
        {
            faults.push(format!("{unit} exceeds what {} has", call.worker));
        }
        if let Some(report) = self.jobs.get(&unit.job) {
            if report.done_units.contains(&unit) {
                faults.push(format!("{unit} starts though it is done"));
            }
            for before in &shape.after {
                let count = submission.steps[usize::from(*before)].count;
                let done = report
                    .done_units
                    .iter()
                    .filter(|done| done.step == *before && done.occurrence == unit.occurrence);
                if done.count() < usize::from(count) {
                    faults.push(format!("{unit} starts before step {before} is done"));
                }
            }
        }
        self.starts += 1;
        if let Some(report) = self.jobs.get_mut(&unit.job) {
            report.began_at.get_or_insert(now);
        }
        Some(faults)
    }

    fn end_wait(&mut self, index: usize, life: u64, ticket: CallTicket) {
        let is_it = |look: &WaitingLook| {
            look.host == index && look.life == life && look.call.ticket == ticket
        };
        if let Some(position) = self.waiting_looks.iter().position(is_it) {
            let look = self.waiting_looks.remove(position);
            self.answer_look(&look);
        }
    }

    fn answer_look(&mut self, look: &WaitingLook) {
        let now = self.now;
        let Some(worker) = self.workers.get(&look.call.worker) else {
            return;
        };
        let is_heard =
            worker.is_up && worker.hears(look.host) && self.hosts[look.host].reaches_workers;
        if !is_heard || worker.report.incarnation != look.call.incarnation {
            return;
        }
        let listing = worker.list(now);
        let event = HostEvent::WorkerAnswered(look.call.ticket, Ok(WorkerAnswer::Listed(listing)));
        self.push(HOP, WorldEvent::ToHost(look.host, look.life, event));
    }

    fn wake_looks(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting_looks);
        for look in waiting {
            let has_end = self.workers.get(&look.call.worker).is_some_and(|worker| {
                worker
                    .ended
                    .iter()
                    .any(|end| end.number > look.acknowledged)
            });
            if has_end {
                self.answer_look(&look);
            } else if now < look.until {
                self.waiting_looks.push(look);
            }
        }
    }

    fn tick(&mut self) {
        self.push(WORLD_TICK, WorldEvent::Tick);
        let ticks = self.now.0 / WORLD_TICK.as_micros() as u64;
        for index in 0..self.hosts.len() {
            if ticks % 3 == index as u64 % 3 {
                let life = self.hosts[index].life;
                self.deliver(index, life, HostEvent::Ticked);
            }
        }
        self.begin_gangs();
        self.end_runs();
        self.wake_looks();
        self.wake_reads();
        self.expire_entries();
    }

    /// Lets gangs begin of which every member is there, and ends those that waited.
    fn begin_gangs(&mut self) {
        let now = self.now;
        let timeout = self.limits.gang_timeout;
        let mut members: BTreeMap<GangRun, Vec<(WorkerName, UnitKey)>> = BTreeMap::new();
        let mut late = Vec::new();
        for (name, worker) in &self.workers {
            for (unit, run) in &worker.running {
                if run.began_at.is_none() && worker.is_up {
                    let key = GangRun {
                        job: unit.job,
                        occurrence: unit.occurrence,
                        step: unit.step,
                        run: run.run,
                    };
                    members.entry(key).or_default().push((name.clone(), *unit));
                    if now.since(run.arrived_at) >= timeout {
                        late.push((name.clone(), *unit));
                    }
                }
            }
        }
        for (key, units) in members {
            let submission = self.submissions.get(&key.job);
            let count = submission.map_or(0, |(submission, _)| {
                usize::from(submission.steps[usize::from(key.step)].count)
            });
            if units.len() < count {
                continue;
            }
            for (name, unit) in units {
                let run = self
                    .workers
                    .get_mut(&name)
                    .and_then(|worker| worker.running.get_mut(&unit));
                if let Some(run) = run {
                    run.began_at = Some(now);
                }
            }
            if let Some(report) = self.jobs.get_mut(&key.job) {
                report.began_at.get_or_insert(now);
            }
        }
        for (name, unit) in late {
            if let Some(worker) = self.workers.get_mut(&name)
                && worker
                    .running
                    .get(&unit)
                    .is_some_and(|run| run.began_at.is_none())
            {
                worker.end(now, unit, EndCause::Alone);
            }
        }
    }

    /// Ends runs that are done, failed, stopped or lapsed, and the gangs with them.
    fn end_runs(&mut self) {
        let now = self.now;
        let mut ends: Vec<(WorkerName, UnitKey, EndCause)> = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, worker)| worker.is_up) {
            let is_lapsed = worker.is_lapsed(now);
            for (unit, run) in &worker.running {
                let is_due = run.due_at().is_some_and(|at| now >= at) && !worker.is_stalled;
                if is_lapsed {
                    ends.push((name.clone(), *unit, EndCause::Lapsed));
                } else if run.stops_at.is_some_and(|at| now >= at) {
                    ends.push((name.clone(), *unit, EndCause::Stopped));
                } else if is_due && run.will_fail {
                    ends.push((name.clone(), *unit, EndCause::Failed));
                } else if is_due && self.is_gang_due(unit) {
                    ends.push((name.clone(), *unit, EndCause::Done));
                }
            }
        }
        for (name, unit, cause) in ends {
            self.end_run(&name, unit, cause);
        }
    }

    fn gang_of(&self, unit: &UnitKey) -> bool {
        let submission = self.submissions.get(&unit.job);
        submission.is_some_and(|(submission, _)| submission.steps[usize::from(unit.step)].is_gang)
    }

    /// Whether every member of the unit's gang has done its work; true without a gang.
    fn is_gang_due(&self, unit: &UnitKey) -> bool {
        if !self.gang_of(unit) {
            return true;
        }
        let now = self.now;
        self.workers
            .values()
            .filter(|worker| worker.is_up)
            .all(|worker| {
                worker.running.iter().all(|(other, run)| {
                    let is_member = other.job == unit.job
                        && other.occurrence == unit.occurrence
                        && other.step == unit.step;
                    let is_due = run.due_at().is_some_and(|at| now >= at) && !worker.is_stalled;
                    !is_member || (is_due && !run.will_fail)
                })
            })
    }

    fn end_run(&mut self, name: &WorkerName, unit: UnitKey, cause: EndCause) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(run) = worker.running.get(&unit).cloned() else {
            return;
        };
        worker.end(now, unit, cause);
        if cause == EndCause::Done {
            self.note_done(unit);
            return;
        }
        self.note_waste(&run);
        if self.gang_of(&unit) && cause != EndCause::Alone {
            self.break_gang(&unit);
        }
    }

    fn note_waste(&mut self, run: &SimRun) {
        let cores = run.need.cpu_millis as f64 / 1_000.0 + f64::from(run.need.accelerators) * 8.0;
        let began = run.began_at.unwrap_or(run.arrived_at);
        let ran = self.now.since(began).as_secs_f64();
        let lost = if run.has_checkpoints {
            ran.min(1.0)
        } else {
            ran
        };
        self.wasted += lost * cores;
    }

    fn break_gang(&mut self, unit: &UnitKey) {
        let now = self.now;
        let mut broken = Vec::new();
        for (name, worker) in &self.workers {
            for other in worker.running.keys() {
                let is_member = other.job == unit.job
                    && other.occurrence == unit.occurrence
                    && other.step == unit.step;
                if is_member && worker.is_up {
                    broken.push((name.clone(), *other));
                }
            }
        }
        for (name, other) in broken {
            if let Some(worker) = self.workers.get_mut(&name) {
                let run = worker.running.get(&other).cloned();
                worker.end(now, other, EndCause::Broken);
                if let Some(run) = run {
                    self.note_waste(&run);
                }
            }
        }
    }

    fn note_done(&mut self, unit: UnitKey) {
        let now = self.now;
        let total = self
            .submissions
            .get(&unit.job)
            .map_or(0, |(submission, _)| {
                let units: usize = submission
                    .steps
                    .iter()
                    .map(|step| usize::from(step.count))
                    .sum();
                units * submission.occurrences() as usize
            });
        if let Some(report) = self.jobs.get_mut(&unit.job) {
            report.done_units.insert(unit);
            if report.done_units.len() == total {
                report.done_at.get_or_insert(now);
            }
        }
    }

    /// Crashes a worker: everything on it is lost.
    pub fn crash_worker(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_up = false;
        let units: Vec<_> = worker.running.keys().copied().collect();
        worker.running.clear();
        for unit in units {
            if self.gang_of(&unit) {
                self.break_gang(&unit);
            }
        }
    }

    /// Starts a crashed worker again, with a new life.
    pub fn restart_worker(&mut self, name: &WorkerName) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.restart(now);
        }
    }

    /// Makes a worker report that it is leaving.
    pub fn drain_worker(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.report.is_draining = true;
        }
        self.write_report(name);
    }

    /// Takes a worker away: everything on it is lost, and its entry is removed at once.
    pub fn remove_worker(&mut self, name: &WorkerName) {
        self.crash_worker(name);
        self.last_reports.remove(name);
        self.store.put_worker(name, None);
    }

    fn report(&mut self, name: &WorkerName) {
        self.push(REPORT_INTERVAL, WorldEvent::Report(name.clone()));
        self.write_report(name);
    }

    fn write_report(&mut self, name: &WorkerName) {
        let now = self.now;
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        if worker.is_up && worker.reaches_store && self.is_store_up {
            let mut report = worker.report.clone();
            report.clock = worker.clock(now);
            self.store.put_worker(name, Some(Arc::new(report)));
            self.last_reports.insert(name.clone(), now);
        }
    }

    fn expire_entries(&mut self) {
        let now = self.now;
        if !self.is_store_up {
            return;
        }
        let gone: Vec<_> = self
            .last_reports
            .iter()
            .filter(|(_, at)| now.since(**at) >= ENTRY_LIFE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.last_reports.remove(&name);
            self.store.put_worker(&name, None);
        }
    }

    fn note_answer(&mut self, ticket: RequestTicket, answer: FrontAnswer) {
        let now = self.now;
        if let Some((job, word)) = self.asked.get(&ticket)
            && let Some(report) = self.jobs.get_mut(job)
        {
            match (&answer, *word) {
                (FrontAnswer::Accepted, "submit") => report.is_accepted = true,
                (FrontAnswer::Cancelled, "cancel") => {
                    report.cancelled_at.get_or_insert(now);
                }
                _ => {}
            }
        }
        self.answers.insert(ticket, answer);
    }
}

fn look_wait(call: &WorkerCall) -> Duration {
    match &call.order {
        WorkerOrder::Look(look) => look.wait,
        WorkerOrder::Start(_) | WorkerOrder::Stop { .. } => Duration::ZERO,
    }
}

fn new_run(
    now: MonotonicTime,
    submissions: &BTreeMap<JobKey, (JobSubmission, Duration)>,
    start: &StartOrder,
    speed: f64,
    fails_all: bool,
) -> SimRun {
    let found = submissions.get(&start.unit.job);
    let shape = found.map(|(submission, _)| &submission.steps[usize::from(start.unit.step)]);
    let whole_work = found.map_or(Duration::ZERO, |(_, work)| *work);
    let is_gang = shape.is_some_and(|shape| shape.is_gang);
    SimRun {
        run: start.run,
        need: shape.map_or_else(UnitNeed::default, |shape| shape.need),
        began_at: (!is_gang).then_some(now),
        arrived_at: now,
        work: whole_work.saturating_sub(checkpoint_work(start.saved.as_deref())),
        whole_work,
        speed,
        has_checkpoints: shape.is_some_and(|shape| shape.has_checkpoints),
        is_long_running: shape.is_some_and(|shape| shape.is_long_running),
        will_fail: fails_all,
        stops_at: None,
    }
}
