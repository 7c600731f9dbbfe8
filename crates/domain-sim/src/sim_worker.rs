//! Simulated worker: fenced orders, a lease on the worker's own clock, gangs,
//! checkpoints, and ends of runs that are listed until they are acknowledged.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{PollOrder, StartOrder, WorkerOrder};
use flamingowalk_domain::process::event::{
    EndCause, EndedUnit, RefusalCause, RunningUnit, WorkerAnswer, WorkerListing,
};
use flamingowalk_domain::process::worker_report::WorkerReport;
use flamingowalk_domain::request::submission::UnitDemand;

/// Run of a unit on a worker.
#[derive(Clone, Debug)]
pub struct SimRun {
    /// Number of the run.
    pub run: RunNumber,
    /// Resources that it occupies.
    pub demand: UnitDemand,
    /// When it began to work, or `None` while its gang is incomplete.
    pub began_at: Option<MonotonicTime>,
    /// When the order to start it arrived.
    pub arrived_at: MonotonicTime,
    /// Work that was left when it started, without the work that its checkpoint holds.
    pub work: Duration,
    /// Total work of the unit.
    pub total_work: Duration,
    /// Work done per unit of time: 1 on a worker of normal speed.
    pub speed: f64,
    /// Whether it keeps checkpoints.
    pub has_checkpoints: bool,
    /// Whether it runs until it is stopped.
    pub is_long_running: bool,
    /// Whether it fails when its work is done.
    pub will_fail: bool,
    /// When it ends after an order to stop.
    pub stops_at: Option<MonotonicTime>,
}

/// Simulated worker.
#[derive(Clone, Debug)]
pub struct SimWorker {
    /// Report that it writes to the log.
    pub report: WorkerReport,
    /// When its current incarnation started.
    pub born_at: MonotonicTime,
    /// Rate of its clock: 1 is exact, and the platform allows 0.98.
    pub clock_rate: f64,
    /// Whether its process is up.
    pub is_up: bool,
    /// Whether a worker of another name has its address and refuses the orders for it.
    pub is_replaced: bool,
    /// Whether hosts can reach it.
    pub is_reachable: bool,
    /// The only host that can reach it, or `None` if all can.
    pub only_host: Option<usize>,
    /// Whether its reports reach the log.
    pub reaches_log: bool,
    /// Whether its runs make no progress and are never done.
    pub is_stalled: bool,
    /// Whether every run that it starts fails.
    pub fails_all: bool,
    /// Work that a run does per unit of time: 1 is normal speed.
    pub speed: f64,
    /// If set, the next order to start is carried out this much later, and its host gets
    /// no answer.
    pub next_start_delay: Option<Duration>,
    /// Times that the next stops take, the last one first; the usual time once it is empty.
    pub stop_delays: Vec<Duration>,
    /// Number of next polls that it refuses as unhealthy.
    pub polls_to_refuse: u32,
    /// Runs by unit.
    pub running: BTreeMap<UnitKey, SimRun>,
    /// Ends of runs that were not acknowledged.
    pub ended: Vec<EndedUnit>,
    /// Newest run of each unit that was stopped or has ended on this worker.
    finished: BTreeMap<UnitKey, RunNumber>,
    highest_epoch: LeaderEpoch,
    lease_until: WorkerClock,
    last_end_number: u64,
}

impl SimWorker {
    /// Creates a worker without runs.
    pub fn new(report: WorkerReport, born_at: MonotonicTime) -> Self {
        Self {
            report,
            born_at,
            clock_rate: 1.0,
            is_up: true,
            is_replaced: false,
            is_reachable: true,
            only_host: None,
            reaches_log: true,
            is_stalled: false,
            fails_all: false,
            speed: 1.0,
            next_start_delay: None,
            stop_delays: Vec::new(),
            polls_to_refuse: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            finished: BTreeMap::new(),
            highest_epoch: LeaderEpoch(0),
            lease_until: WorkerClock(0),
            last_end_number: 0,
        }
    }

    /// Returns whether a host can reach it.
    pub fn is_reachable_from(&self, host: usize) -> bool {
        self.is_reachable && self.only_host.is_none_or(|only| only == host)
    }

    /// Returns the time of its clock, which counts from the start of the incarnation.
    pub fn clock(&self, now: MonotonicTime) -> WorkerClock {
        let elapsed = now.since(self.born_at).mul_f64(self.clock_rate);
        WorkerClock(elapsed.as_millis() as u64)
    }

    /// Restarts with a new incarnation, without any state of the previous one.
    pub fn restart(&mut self, now: MonotonicTime) {
        let mut report = self.report.clone();
        report.incarnation = WorkerIncarnation(report.incarnation.0 + 1 + now.0 / 1_000);
        *self = Self {
            speed: self.speed,
            clock_rate: self.clock_rate,
            ..Self::new(report, now)
        };
    }

    /// Returns the resources that its runs occupy.
    pub fn used(&self) -> UnitDemand {
        self.running
            .values()
            .fold(UnitDemand::default(), |sum, run| sum.plus(&run.demand))
    }

    /// Carries out an order of a planner, whichever incarnation it was sent to: an order
    /// names the worker only. Refuses it if an order of a higher epoch arrived before.
    /// Leases are shortened to `lease_limit`.
    pub fn handle_order(
        &mut self,
        now: MonotonicTime,
        lease_limit: Duration,
        epoch: LeaderEpoch,
        order: &WorkerOrder,
        make_run: impl FnOnce(&StartOrder) -> SimRun,
    ) -> WorkerAnswer {
        let clock = self.clock(now);
        if self.is_replaced {
            return refusal(RefusalCause::IncarnationMismatch, clock);
        }
        if epoch < self.highest_epoch {
            return refusal(RefusalCause::Fenced, clock);
        }
        self.highest_epoch = epoch;
        if matches!(order, WorkerOrder::Poll(_)) && self.polls_to_refuse > 0 {
            self.polls_to_refuse -= 1;
            return refusal(RefusalCause::Unhealthy, clock);
        }
        let longest_lease = WorkerClock(clock.0 + lease_limit.as_millis() as u64);
        match order {
            WorkerOrder::Start(start) => self.start(now, start, longest_lease, make_run),
            WorkerOrder::Stop { unit, run } => self.stop(now, *unit, *run),
            WorkerOrder::Poll(poll) => self.poll(now, poll, longest_lease),
        }
    }

    fn start(
        &mut self,
        now: MonotonicTime,
        order: &StartOrder,
        longest_lease: WorkerClock,
        make_run: impl FnOnce(&StartOrder) -> SimRun,
    ) -> WorkerAnswer {
        let clock = self.clock(now);
        if order.lease_until <= clock {
            return refusal(RefusalCause::LeaseExpired, clock);
        }
        self.extend_lease(order.lease_until, longest_lease);
        if let Some(known) = self.running.get(&order.unit)
            && known.run == order.run
        {
            return WorkerAnswer::Done { clock };
        }
        let is_old = self
            .finished
            .get(&order.unit)
            .is_some_and(|run| order.run <= *run);
        if is_old || self.running.contains_key(&order.unit) {
            return refusal(RefusalCause::OldRun, clock);
        }
        self.running.insert(order.unit, make_run(order));
        WorkerAnswer::Done { clock }
    }

    fn stop(&mut self, now: MonotonicTime, unit: UnitKey, run: RunNumber) -> WorkerAnswer {
        let clock = self.clock(now);
        let newest = self.finished.entry(unit).or_default();
        *newest = (*newest).max(run);
        if let Some(known) = self.running.get_mut(&unit)
            && known.run <= run
            && known.stops_at.is_none()
        {
            let delay = self.stop_delays.pop().unwrap_or(STOP_DELAY);
            known.stops_at = Some(now + delay);
        }
        WorkerAnswer::Done { clock }
    }

    fn poll(
        &mut self,
        now: MonotonicTime,
        order: &PollOrder,
        longest_lease: WorkerClock,
    ) -> WorkerAnswer {
        self.ended.retain(|end| end.number > order.acknowledged);
        if let Some(until) = order.lease_until {
            self.extend_lease(until, longest_lease);
        }
        WorkerAnswer::Listed(self.list(now))
    }

    fn extend_lease(&mut self, until: WorkerClock, longest_lease: WorkerClock) {
        self.lease_until = self.lease_until.max(until.min(longest_lease));
    }

    /// Lists its runs, and the ends that were not acknowledged.
    pub fn list(&self, now: MonotonicTime) -> WorkerListing {
        let running = self.running.iter().map(|(unit, run)| RunningUnit {
            unit: *unit,
            run: run.run,
            saved: run.checkpoint(now, self.is_stalled),
            percent: run.percent(now, self.is_stalled),
            load: None,
        });
        WorkerListing {
            incarnation: Some(self.report.incarnation),
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Ends the run of a unit.
    pub fn end(&mut self, now: MonotonicTime, unit: UnitKey, cause: EndCause) {
        let Some(run) = self.running.remove(&unit) else {
            return;
        };
        let newest = self.finished.entry(unit).or_default();
        *newest = (*newest).max(run.run);
        self.last_end_number += 1;
        self.ended.push(EndedUnit {
            number: self.last_end_number,
            unit,
            run: run.run,
            cause,
            saved: run.checkpoint(now, self.is_stalled),
        });
    }

    /// Returns whether it has runs and its lease has expired.
    pub fn is_lease_expired(&self, now: MonotonicTime) -> bool {
        !self.running.is_empty() && self.clock(now) >= self.lease_until
    }
}

/// Time from an order to stop until the run ends.
pub const STOP_DELAY: Duration = Duration::from_millis(500);
/// Amount of work between two checkpoints.
const CHECKPOINT_WORK: Duration = Duration::from_secs(1);

impl SimRun {
    /// Returns the work done, including the work that earlier runs saved.
    fn done_work(&self, now: MonotonicTime, is_stalled: bool) -> Duration {
        let saved_work = self.total_work.saturating_sub(self.work);
        let Some(began_at) = self.began_at.filter(|_| !is_stalled) else {
            return saved_work;
        };
        let done = now.since(began_at).mul_f64(self.speed);
        saved_work + done.min(self.work)
    }

    /// Returns when its work will be done, or `None` if it waits for its gang or is
    /// long-running.
    pub fn due_at(&self) -> Option<MonotonicTime> {
        let began_at = self.began_at.filter(|_| !self.is_long_running)?;
        Some(began_at + self.work.div_f64(self.speed))
    }

    fn percent(&self, now: MonotonicTime, is_stalled: bool) -> u32 {
        if self.is_long_running {
            return 100;
        }
        let done = self.done_work(now, is_stalled).as_secs_f64();
        (100.0 * done / self.total_work.as_secs_f64().max(0.001)) as u32
    }

    /// Returns the name of its newest checkpoint: the seconds of work that it holds.
    fn checkpoint(&self, now: MonotonicTime, is_stalled: bool) -> Option<Arc<str>> {
        if !self.has_checkpoints {
            return None;
        }
        let done = self.done_work(now, is_stalled).as_millis() / CHECKPOINT_WORK.as_millis();
        (done > 0).then(|| format!("{done}").into())
    }
}

/// Returns the work that a checkpoint holds.
pub fn checkpoint_work(saved: Option<&str>) -> Duration {
    let seconds: u32 = saved.and_then(|text| text.parse().ok()).unwrap_or(0);
    CHECKPOINT_WORK * seconds
}

const fn refusal(cause: RefusalCause, clock: WorkerClock) -> WorkerAnswer {
    WorkerAnswer::Refused {
        cause,
        clock: Some(clock),
    }
}
