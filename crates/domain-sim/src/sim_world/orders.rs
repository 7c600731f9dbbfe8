//! Orders of hosts to workers, and the invariants checked on each start.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{CallTicket, StartOrder, WorkerCall, WorkerOrder};
use flamingowalk_domain::process::event::{HostEvent, RefusalCause, WorkerAnswer};
use flamingowalk_domain::request::submission::{JobSubmission, StepShape, UnitDemand};

use crate::sim_worker::{SimRun, checkpoint_work};
use crate::sim_world::{HOP_DELAY, NO_REPLY_TICKET, SimWorld, WaitingPoll, WorldEvent};

impl SimWorld {
    pub(super) fn serve_worker(&mut self, index: usize, incarnation: u64, call: Box<WorkerCall>) {
        let now = self.now;
        if !self.hosts[index].reaches_workers {
            return;
        }
        let Some(worker) = self.workers.get(&call.worker) else {
            return;
        };
        if !worker.is_up || !worker.is_reachable_from(index) {
            return;
        }
        if let (WorkerOrder::Start(_), Some(delay)) = (&call.order, worker.next_start_delay) {
            let mut late = call;
            late.ticket = NO_REPLY_TICKET;
            if let Some(worker) = self.workers.get_mut(&late.worker) {
                worker.next_start_delay = None;
            }
            self.push(delay, WorldEvent::ToWorker(index, incarnation, late));
            return;
        }
        let answer = self.order_worker(&call);
        if let (WorkerOrder::Poll(poll), WorkerAnswer::Listed(listing)) = (&call.order, &answer)
            && !poll.wait.is_zero()
            && listing.ended.is_empty()
        {
            let until = now + poll.wait;
            let waiting = WaitingPoll {
                host: index,
                incarnation,
                holder: listing.incarnation.unwrap_or_default(),
                acknowledged: poll.acknowledged,
                call,
                until,
            };
            self.push(
                poll_wait(&waiting.call),
                WorldEvent::PollExpired(index, incarnation, waiting.call.ticket),
            );
            self.waiting_polls.push(waiting);
            return;
        }
        let event = HostEvent::WorkerAnswered(call.ticket, Ok(answer));
        self.push(HOP_DELAY, WorldEvent::ToHost(index, incarnation, event));
    }

    pub(super) fn order_worker(&mut self, call: &WorkerCall) -> WorkerAnswer {
        let now = self.now;
        let new_violations = self.start_violations(call);
        let lease_limit = self.limits.lease_limit;
        let submissions = &self.submissions;
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return WorkerAnswer::Done {
                clock: WorkerClock(0),
            };
        };
        if let WorkerOrder::Start(start) = &call.order
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
        let (long_share, long_factor) = (self.long_run_share, self.long_run_factor);
        let draws_each_run = self.draws_each_run;
        let make_run = |start: &StartOrder| {
            let draw = if draws_each_run { start.run.0 } else { 0 };
            let factor = if is_long_run(&start.unit, u64::from(draw), long_share) {
                long_factor
            } else {
                1.0
            };
            new_run(now, submissions, start, speed, fails_all, factor)
        };
        let answer = worker.handle_order(now, lease_limit, call.epoch, &call.order, make_run);
        if let (Some(violations), WorkerAnswer::Done { .. }) = (new_violations, &answer) {
            self.violations.extend(
                violations
                    .into_iter()
                    .map(|violation| format!("{now}: {violation}")),
            );
        }
        answer
    }

    /// Whether a start breaks the evacuation of its worker's zone: it arrives later than the
    /// bound after the order was confirmed. A start that was sent in time and is carried out
    /// late does not count.
    fn breaks_evacuation(&self, call: &WorkerCall) -> bool {
        let zone = self.workers.get(&call.worker);
        let zone = zone.map(|worker| &worker.report.zone);
        let confirmed_at = zone.and_then(|zone| self.evacuations.get(zone));
        let is_late = confirmed_at.is_some_and(|at| self.now.since(*at) > self.evacuation_bound);
        is_late && call.ticket != NO_REPLY_TICKET
    }

    /// Returns the invariants that a start violates if the worker accepts it: a unit runs
    /// twice at once, a unit that is done starts again, a step starts before those it
    /// depends on, the worker's capacity or the step's limit of units on it is exceeded, or its
    /// zone was evacuated. Returns `None` for other orders
    /// and for a start that the worker accepted before. Also counts the start, and records
    /// when its job began.
    pub(super) fn start_violations(&mut self, call: &WorkerCall) -> Option<Vec<String>> {
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
        let mut violations = Vec::new();
        for (name, other) in &self.workers {
            if other.is_up && other.running.contains_key(&unit) {
                violations.push(format!(
                    "{unit} starts on {} while it runs on {name}",
                    call.worker
                ));
            }
        }
        if !worker
            .used()
            .plus(&shape.reserved_demand())
            .fits(&worker.report.capacity)
        {
            violations.push(format!("{unit} exceeds the capacity of {}", call.worker));
        }
        if self.breaks_evacuation(call) {
            let zone = &worker.report.zone;
            violations.push(format!(
                "{unit} starts on {} in the evacuated {zone}",
                call.worker
            ));
        }
        let is_beside = |other: &&UnitKey| {
            (other.job, other.occurrence, other.step) == (unit.job, unit.occurrence, unit.step)
        };
        let beside = worker.running.keys().filter(is_beside).count();
        if shape
            .worker_limit
            .is_some_and(|limit| beside >= usize::from(limit))
        {
            violations.push(format!(
                "{unit} exceeds its step's limit on {}",
                call.worker
            ));
        }
        if let Some(report) = self.jobs.get(&unit.job) {
            if report.done_units.contains(&unit) && !report.lost_ends.contains(&unit) {
                violations.push(format!("{unit} starts although it is done"));
            }
            for dependency in &shape.after {
                let count = submission.steps[usize::from(*dependency)].count;
                let done = report
                    .done_units
                    .iter()
                    .filter(|done| done.step == *dependency && done.occurrence == unit.occurrence);
                if done.count() < usize::from(count) {
                    violations.push(format!("{unit} starts before step {dependency} is done"));
                }
            }
        }
        self.starts += 1;
        self.start_log
            .push((now, unit, start.run, call.worker.clone()));
        if let Some(report) = self.jobs.get_mut(&unit.job) {
            report.began_at.get_or_insert(now);
        }
        Some(violations)
    }

    pub(super) fn finish_poll(&mut self, index: usize, incarnation: u64, ticket: CallTicket) {
        let is_match = |poll: &WaitingPoll| {
            poll.host == index && poll.incarnation == incarnation && poll.call.ticket == ticket
        };
        if let Some(position) = self.waiting_polls.iter().position(is_match) {
            let poll = self.waiting_polls.remove(position);
            self.answer_poll(&poll);
        }
    }

    pub(super) fn answer_poll(&mut self, poll: &WaitingPoll) {
        let now = self.now;
        let Some(worker) = self.workers.get(&poll.call.worker) else {
            return;
        };
        let is_connected = worker.is_up
            && worker.is_reachable_from(poll.host)
            && self.hosts[poll.host].reaches_workers;
        if !is_connected || worker.report.incarnation != poll.holder {
            return;
        }
        let listing = worker.list(now);
        let event = HostEvent::WorkerAnswered(poll.call.ticket, Ok(WorkerAnswer::Listed(listing)));
        self.push(
            HOP_DELAY,
            WorldEvent::ToHost(poll.host, poll.incarnation, event),
        );
    }

    pub(super) fn wake_polls(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting_polls);
        for poll in waiting {
            let has_end = self.workers.get(&poll.call.worker).is_some_and(|worker| {
                worker
                    .ended
                    .iter()
                    .any(|end| end.number > poll.acknowledged)
            });
            if has_end {
                self.answer_poll(&poll);
            } else if now < poll.until {
                self.waiting_polls.push(poll);
            }
        }
    }
}

fn poll_wait(call: &WorkerCall) -> Duration {
    match &call.order {
        WorkerOrder::Poll(poll) => poll.wait,
        WorkerOrder::Start(_) | WorkerOrder::Stop { .. } => Duration::ZERO,
    }
}

/// Whether a run is one of the long ones, by a hash of its unit and the number of the draw,
/// wherever it runs.
fn is_long_run(unit: &UnitKey, draw: u64, share: f64) -> bool {
    let mut hash = unit.job.0 ^ 0x9e37_79b9_7f4a_7c15;
    let parts = [unit.occurrence, u32::from(unit.step), u32::from(unit.index)];
    for part in parts.map(u64::from).into_iter().chain([draw]) {
        hash = (hash ^ part).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash ^= hash >> 29;
    }
    (hash >> 11) as f64 / ((1_u64 << 53) as f64) < share
}

fn new_run(
    now: MonotonicTime,
    submissions: &BTreeMap<JobKey, (JobSubmission, Duration)>,
    start: &StartOrder,
    speed: f64,
    fails_all: bool,
    work_factor: f64,
) -> SimRun {
    let found = submissions.get(&start.unit.job);
    let shape = found.map(|(submission, _)| &submission.steps[usize::from(start.unit.step)]);
    let total_work = found.map_or(Duration::ZERO, |(_, work)| work.mul_f64(work_factor));
    let is_gang = shape.is_some_and(|shape| shape.is_gang);
    SimRun {
        run: start.run,
        demand: shape.map_or_else(UnitDemand::default, StepShape::reserved_demand),
        began_at: (!is_gang).then_some(now),
        arrived_at: now,
        work: total_work.saturating_sub(checkpoint_work(start.saved.as_deref())),
        total_work,
        speed,
        has_checkpoints: shape.is_some_and(|shape| shape.has_checkpoints),
        is_long_running: shape.is_some_and(|shape| shape.is_long_running),
        will_fail: fails_all,
        stops_at: None,
    }
}
