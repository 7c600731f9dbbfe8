//! Orders of hosts to workers, with what a worker must never see.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{CallTicket, StartOrder, WorkerCall, WorkerOrder};
use flamingowalk_domain::process::event::{HostEvent, RefusalCause, WorkerAnswer};
use flamingowalk_domain::request::submission::{JobSubmission, UnitNeed};

use crate::sim_worker::{SimRun, checkpoint_work};
use crate::sim_world::{HOP, LATE_TICKET, SimWorld, WaitingLook, WorldEvent};

impl SimWorld {
    pub(super) fn serve_worker(&mut self, index: usize, life: u64, call: Box<WorkerCall>) {
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

    pub(super) fn order_worker(&mut self, call: &WorkerCall) -> WorkerAnswer {
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
    pub(super) fn start_faults(&mut self, call: &WorkerCall) -> Option<Vec<String>> {
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

    pub(super) fn end_wait(&mut self, index: usize, life: u64, ticket: CallTicket) {
        let is_it = |look: &WaitingLook| {
            look.host == index && look.life == life && look.call.ticket == ticket
        };
        if let Some(position) = self.waiting_looks.iter().position(is_it) {
            let look = self.waiting_looks.remove(position);
            self.answer_look(&look);
        }
    }

    pub(super) fn answer_look(&mut self, look: &WaitingLook) {
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

    pub(super) fn wake_looks(&mut self) {
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
