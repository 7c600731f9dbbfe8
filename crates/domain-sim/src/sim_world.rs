//! Discrete-event simulation of a planning domain: hosts, log, workers and the messages
//! between them are events on a virtual clock. Starts on workers and the planner's state
//! are checked against invariants that must hold whatever fails.

mod callers;
mod link;
mod log;
mod orders;
mod runs;

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{
    CallTicket, HostAction, NewestOrder, ReadOrder, WorkerCall,
};
use flamingowalk_domain::process::event::{HostEvent, WorkerError};
use flamingowalk_domain::process::host::{DomainHost, HostIdentity};
use flamingowalk_domain::process::planner::{PlanLimits, PlannerState};
use flamingowalk_domain::process::stream::{AppendOrder, StreamError, StreamName};
use flamingowalk_domain::process::worker_report::WorkerReport;
use flamingowalk_domain::request::caller_request::{CallerResponse, RequestTicket};
use flamingowalk_domain::request::submission::JobSubmission;
use flamingowalk_domain::version::manifest::DomainManifest;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::sim_advice::SimAdvice;
use crate::sim_log::SimLog;
use crate::sim_machines::SimMachines;
use crate::sim_worker::SimWorker;
use crate::sim_world::link::{ReadExpiry, Transfer};

/// Delay of a message between two machines.
const HOP_DELAY: Duration = Duration::from_micros(500);
/// Time that the log takes to serve a call.
const LOG_LATENCY: Duration = Duration::from_millis(4);
/// Interval at which the world updates runs, polls and reads. Each host gets every third
/// tick.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two reports of a worker to the log.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time without a report after which the log removes a worker's entry.
const ENTRY_TTL: Duration = Duration::from_millis(4_500);
/// Unix time, in milliseconds, of the zero of the virtual clock.
const CLOCK_ORIGIN_UNIX_MS: u64 = 1_790_000_000_000;

/// Simulated process of a host.
#[derive(Debug)]
pub struct SimHost {
    /// State machine of the host, `None` while its process is down.
    pub host: Option<DomainHost>,
    /// Name of the host.
    pub name: HostName,
    /// Share of a core that the host may use.
    pub cpu_share: f64,
    /// Incarnation of the process. Events addressed to an earlier one are dropped.
    pub incarnation: u64,
    /// Whether its calls reach the log.
    pub reaches_log: bool,
    /// Whether the log's answers reach it. Without them its calls still take effect.
    pub receives_log_answers: bool,
    /// Whether its calls reach workers.
    pub reaches_workers: bool,
    /// Time until which the process is frozen. Its events are delivered after that.
    pub frozen_until: MonotonicTime,
    /// Offset of its wall clock from the true time, in milliseconds.
    pub wall_skew_ms: i64,
    /// Whether its monotonic clock counts the time for which its machine is suspended.
    pub counts_suspension: bool,
    /// When its process was started. Its monotonic clock counts from there.
    started_at: MonotonicTime,
    /// Time since then that its monotonic clock did not count.
    uncounted: Duration,
}

impl SimHost {
    /// Returns what the monotonic and the wall clock of the host show at a true time.
    pub fn clocks(&self, now: MonotonicTime) -> (MonotonicTime, WallTime) {
        let millis = CLOCK_ORIGIN_UNIX_MS + now.0 / 1_000;
        let wall = WallTime(millis.saturating_add_signed(self.wall_skew_ms));
        let local = MonotonicTime(now.0 - self.started_at.0) - self.uncounted;
        (local, wall)
    }
}

/// Progress of a submitted job, as seen by callers and workers.
#[derive(Clone, Debug, Default)]
pub struct JobReport {
    /// When the job was first submitted.
    pub sent_at: MonotonicTime,
    /// Whether a response said that it is accepted.
    pub is_accepted: bool,
    /// When its last unit was done.
    pub done_at: Option<MonotonicTime>,
    /// When an order to start one of its units first reached a worker.
    pub began_at: Option<MonotonicTime>,
    /// When a response said that it is cancelled.
    pub cancelled_at: Option<MonotonicTime>,
    /// Units that are done, of all steps.
    pub done_units: BTreeSet<UnitKey>,
    /// Those whose end was lost with its worker before any planner acknowledged it; they may
    /// start again.
    pub lost_ends: BTreeSet<UnitKey>,
}

#[derive(Debug)]
enum WorldEvent {
    ToHost(usize, u64, HostEvent),
    ToLog(usize, u64, LogCall),
    ReadTimedOut(Box<ReadExpiry>),
    ToWorker(usize, u64, Box<WorkerCall>),
    PollExpired(usize, u64, CallTicket),
    Tick,
    Report(WorkerName),
}

/// Ticket of delayed calls. No host has a call with this ticket, so the answer is ignored.
const NO_REPLY_TICKET: CallTicket = CallTicket(u64::MAX);

#[derive(Clone, Debug)]
enum LogCall {
    Append(CallTicket, AppendOrder),
    Read(ReadOrder),
    ReadNewest(NewestOrder),
}

/// Identifies one run of a gang.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct GangRun {
    job: JobKey,
    occurrence: u32,
    step: u16,
    run: RunNumber,
}

#[derive(Debug)]
struct WaitingPoll {
    host: usize,
    incarnation: u64,
    call: Box<WorkerCall>,
    /// Incarnation of the worker that holds the poll.
    holder: WorkerIncarnation,
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
    pub log: SimLog,
    /// Whether the log serves calls at all.
    pub is_log_up: bool,
    /// Factor on the time that the log takes to serve a call.
    pub log_slowdown: u32,
    /// Whether the log refuses all appends of hosts while it serves reads.
    pub refuses_appends: bool,
    /// Time that the log takes for each page of the newest records of the jobs stream. It
    /// serves one page after the other, as all hosts share its rate.
    pub job_page_time: Duration,
    /// When the log has served the pages that were requested.
    pages_served_at: MonotonicTime,
    /// Rate of the link over which each host receives the pages of the log, in bytes a second;
    /// `None` if pages take no time. Responses in flight share it equally.
    pub link_rate: Option<u64>,
    transfers: Vec<Transfer>,
    /// Time until which the log holds back new records from waiting reads. A read whose
    /// own wait is over is answered all the same.
    pub reads_held_until: MonotonicTime,
    /// Probability that the answer to an append is lost after the append took effect.
    pub answer_loss_rate: f64,
    /// Probability that an append takes effect 1 to 4 s late and is not answered.
    pub late_append_rate: f64,
    /// Workers by name.
    pub workers: BTreeMap<WorkerName, SimWorker>,
    last_reports: BTreeMap<WorkerName, MonotonicTime>,
    /// Service that approves workers.
    pub advice: SimAdvice,
    /// Service that manages the machines.
    pub machines: SimMachines,
    waiting_reads: Vec<(usize, u64, ReadOrder, MonotonicTime)>,
    waiting_polls: Vec<WaitingPoll>,
    /// Limits with which hosts are started.
    pub limits: PlanLimits,
    /// Key with which callers send their requests.
    pub caller_key: Arc<str>,
    /// Share of the units that take `long_run_factor` times as long as the others of their job.
    pub long_run_share: f64,
    /// Factor on the work of these units.
    pub long_run_factor: f64,
    /// Whether each run of a unit is drawn anew, rather than the unit for all its runs.
    pub draws_each_run: bool,
    /// Every start that reached a worker, in order: time, unit, run and worker.
    pub start_log: Vec<(MonotonicTime, UnitKey, RunNumber, WorkerName)>,
    /// Submitted jobs.
    pub jobs: BTreeMap<JobKey, JobReport>,
    submissions: BTreeMap<JobKey, (JobSubmission, Duration)>,
    requests: BTreeMap<RequestTicket, (JobKey, &'static str)>,
    /// Responses to callers by ticket.
    pub responses: BTreeMap<RequestTicket, CallerResponse>,
    next_request: u64,
    /// Violated invariants, with the time: orders that a worker must never see, and
    /// inconsistencies that the planner's verifier found.
    pub violations: Vec<String>,
    /// Whether the planner's state is verified after the events of its host.
    pub verifies_planner: bool,
    /// Number of units on workers up to which it is verified after each event. With twice as many
    /// it is verified after every second event, and so on. By default it is after each event; a
    /// test of thousands of units without demand would take minutes that way.
    pub verified_holdings: usize,
    /// Events of planning hosts since the newest verification.
    unverified_events: usize,
    /// Evacuated zones, and when the log confirmed the order.
    pub evacuations: BTreeMap<ZoneName, MonotonicTime>,
    /// Time after that from which a start in the zone is a violation.
    pub evacuation_bound: Duration,
    /// Stream whose reads are not answered.
    pub unanswered_stream: Option<StreamName>,
    /// Number of reads of the newest leadership claim.
    pub claim_reads: u32,
    /// Number of starts that reached a worker, without retries for a run that it has.
    pub starts: u64,
    /// Core seconds of lost work. An accelerator counts as eight cores.
    pub wasted_core_seconds: f64,
}

/// Counts an event, and returns whether the planner's state is verified after it.
fn is_verification_due(
    planner: &PlannerState,
    verified_holdings: usize,
    unverified_events: &mut usize,
) -> bool {
    let workers = planner.workers().values();
    let holdings: usize = workers.map(|worker| worker.holdings.len()).sum();
    *unverified_events += 1;
    let is_due = unverified_events.saturating_mul(verified_holdings) >= holdings;
    if is_due {
        *unverified_events = 0;
    }
    is_due
}

impl SimWorld {
    /// Creates a world whose hosts and workers start at once.
    pub fn new(
        seed: u64,
        manifest: DomainManifest,
        hosts: usize,
        workers: Vec<WorkerReport>,
    ) -> Self {
        Self::with_limits(seed, manifest, hosts, workers, PlanLimits::default())
    }

    /// Creates a world whose hosts start at once with these limits.
    pub fn with_limits(
        seed: u64,
        manifest: DomainManifest,
        hosts: usize,
        workers: Vec<WorkerReport>,
        limits: PlanLimits,
    ) -> Self {
        let mut world = Self {
            now: MonotonicTime::from_secs(1_000),
            sequence: 0,
            events: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            log: SimLog::default(),
            is_log_up: true,
            log_slowdown: 1,
            refuses_appends: false,
            job_page_time: Duration::ZERO,
            pages_served_at: MonotonicTime(0),
            link_rate: None,
            transfers: Vec::new(),
            reads_held_until: MonotonicTime(0),
            answer_loss_rate: 0.0,
            late_append_rate: 0.0,
            workers: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            advice: SimAdvice::default(),
            machines: SimMachines::default(),
            waiting_reads: Vec::new(),
            waiting_polls: Vec::new(),
            limits,
            caller_key: "key".into(),
            long_run_share: 0.0,
            long_run_factor: 1.0,
            draws_each_run: false,
            start_log: Vec::new(),
            jobs: BTreeMap::new(),
            submissions: BTreeMap::new(),
            requests: BTreeMap::new(),
            responses: BTreeMap::new(),
            next_request: 0,
            violations: Vec::new(),
            verifies_planner: true,
            verified_holdings: usize::MAX,
            unverified_events: 0,
            evacuations: BTreeMap::new(),
            evacuation_bound: Duration::from_secs(5),
            unanswered_stream: None,
            claim_reads: 0,
            starts: 0,
            wasted_core_seconds: 0.0,
        };
        world.log.put_manifest(manifest);
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
                incarnation: 0,
                reaches_log: true,
                receives_log_answers: true,
                reaches_workers: true,
                frozen_until: MonotonicTime(0),
                wall_skew_ms: 0,
                counts_suspension: true,
                started_at: MonotonicTime(0),
                uncounted: Duration::ZERO,
            });
            world.start_host(index);
        }
        world.push(TICK_INTERVAL, WorldEvent::Tick);
        world
    }

    /// Returns the current time of the virtual clock.
    pub const fn now(&self) -> MonotonicTime {
        self.now
    }

    fn push(&mut self, delay: Duration, event: WorldEvent) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Starts the process of a host, or restarts it if it runs.
    pub fn start_host(&mut self, index: usize) {
        let nonce = self.random.random();
        let (now, limits) = (self.now, self.limits);
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        let identity = HostIdentity {
            name: host.name.clone(),
            nonce,
            cpu_share: host.cpu_share,
            limits,
        };
        host.started_at = now;
        host.uncounted = Duration::ZERO;
        host.host = Some(DomainHost::new(identity, MonotonicTime(0)));
    }

    /// Kills the process of a host.
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.host = None;
        host.incarnation += 1;
    }

    /// Suspends the machine of a host for a time span.
    pub fn suspend_host(&mut self, index: usize, span: Duration) {
        let host = &mut self.hosts[index];
        host.frozen_until = self.now + span;
        if !host.counts_suspension {
            host.uncounted += span;
        }
    }

    /// Writes the operator's order to evacuate a zone, which the log confirms at once.
    pub fn evacuate_zone(&mut self, zone: &ZoneName) {
        self.log.put_evacuation(zone, true);
        self.evacuations.entry(zone.clone()).or_insert(self.now);
    }

    /// Removes the operator's order to evacuate a zone.
    pub fn reopen_zone(&mut self, zone: &ZoneName) {
        self.log.put_evacuation(zone, false);
        self.evacuations.remove(zone);
    }

    /// Requests the process of a host to drain.
    pub fn drain_host(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation;
        self.push(
            HOP_DELAY,
            WorldEvent::ToHost(index, incarnation, HostEvent::DrainRequested),
        );
    }

    /// Returns the index of the first host that has an active planner.
    pub fn planner(&self) -> Option<usize> {
        let plans = |host: &SimHost| {
            let host = host.host.as_ref();
            host.is_some_and(|host| host.planner().is_some())
        };
        self.hosts.iter().position(plans)
    }

    /// Advances the clock by a time span and handles the events in it.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Advances the clock until a condition holds, at most for `limit`. Returns whether
    /// it holds.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run_for(TICK_INTERVAL);
        }
        holds(self)
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::ToHost(index, incarnation, event) => {
                self.deliver(index, incarnation, event);
            }
            WorldEvent::ToLog(index, incarnation, call) => {
                self.serve_log(index, incarnation, call);
            }
            WorldEvent::ReadTimedOut(expiry) => self.end_read(expiry),
            WorldEvent::ToWorker(index, incarnation, call) => {
                self.serve_worker(index, incarnation, call);
            }
            WorldEvent::PollExpired(index, incarnation, ticket) => {
                self.finish_poll(index, incarnation, ticket);
            }
            WorldEvent::Tick => self.tick(),
            WorldEvent::Report(name) => self.report(&name),
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: HostEvent) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.incarnation != incarnation {
            return;
        }
        if now < host.frozen_until {
            let delay = Duration::from_micros(host.frozen_until.0 - now.0);
            self.push(delay, WorldEvent::ToHost(index, incarnation, event));
            return;
        }
        let (local, wall) = host.clocks(now);
        let Some(state) = &mut host.host else {
            return;
        };
        let actions = state.handle(local, wall, event);
        if self.verifies_planner
            && let Some(planner) = state.planner()
            && is_verification_due(planner, self.verified_holdings, &mut self.unverified_events)
        {
            for violation in planner.verify() {
                self.violations.push(format!("{now}: {violation}"));
            }
        }
        for action in actions {
            self.execute_action(index, incarnation, action);
        }
    }

    fn execute_action(&mut self, index: usize, incarnation: u64, action: HostAction) {
        match action {
            HostAction::Read(order) => {
                let expiry = Box::new(ReadExpiry {
                    host: index,
                    incarnation,
                    ticket: order.ticket,
                    sent_at: self.now,
                    timeout: order.timeout,
                    no_answer: HostEvent::Read(order.ticket, Err(StreamError::NoAnswer)),
                });
                let (call, timeout) = (LogCall::Read(order), order.timeout.first);
                let expiry = WorldEvent::ReadTimedOut(expiry);
                self.call_log(index, incarnation, call, expiry, timeout);
            }
            HostAction::ReadNewest(order) => {
                let expiry = Box::new(ReadExpiry {
                    host: index,
                    incarnation,
                    ticket: order.ticket,
                    sent_at: self.now,
                    timeout: order.timeout,
                    no_answer: HostEvent::ReadNewest(order.ticket, Err(StreamError::NoAnswer)),
                });
                let timeout = order.timeout.first;
                let call = LogCall::ReadNewest(order);
                let expiry = WorldEvent::ReadTimedOut(expiry);
                self.call_log(index, incarnation, call, expiry, timeout);
            }
            HostAction::Append {
                ticket,
                order,
                timeout,
            } => {
                let no_answer = HostEvent::Appended(ticket, Err(StreamError::NoAnswer));
                let expiry = WorldEvent::ToHost(index, incarnation, no_answer);
                let call = LogCall::Append(ticket, order);
                self.call_log(index, incarnation, call, expiry, timeout);
            }
            HostAction::Worker(call) => {
                let no_answer = HostEvent::WorkerAnswered(call.ticket, Err(WorkerError::NoAnswer));
                self.push(
                    call.timeout,
                    WorldEvent::ToHost(index, incarnation, no_answer),
                );
                self.push(
                    HOP_DELAY,
                    WorldEvent::ToWorker(index, incarnation, Box::new(call)),
                );
            }
            HostAction::Advise(order) => self.serve_advice(index, incarnation, &order),
            HostAction::ListMachines(order) => {
                let page = self.machines.list(order.after.as_deref());
                let event = HostEvent::MachinesListed(order.ticket, Ok(page));
                self.push(HOP_DELAY, WorldEvent::ToHost(index, incarnation, event));
            }
            HostAction::Upkeep(order) => self.serve_upkeep(index, incarnation, &order),
            HostAction::Reply(ticket, answer) => self.record_response(ticket, answer),
        }
    }

    fn tick(&mut self) {
        self.push(TICK_INTERVAL, WorldEvent::Tick);
        let ticks = self.now.0 / TICK_INTERVAL.as_micros() as u64;
        for index in 0..self.hosts.len() {
            if ticks % 3 == index as u64 % 3 {
                let incarnation = self.hosts[index].incarnation;
                self.deliver(index, incarnation, HostEvent::Ticked);
            }
        }
        self.restart_returned_workers();
        self.start_gangs();
        self.end_runs();
        self.wake_polls();
        self.wake_reads();
        self.advance_transfers();
        self.expire_entries();
    }
}
