//! Runs on workers: gangs that start together, ends of runs and lost work, and workers
//! that crash, restart, drain or are removed.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::UpkeepOrder;
use flamingowalk_domain::process::event::{EndCause, HostEvent};
use flamingowalk_domain::process::machine::MachineError;

use crate::sim_worker::{SimRun, SimWorker};
use crate::sim_world::{GangRun, HOP_DELAY, SimWorld, WorldEvent};

impl SimWorld {
    /// Starts the work of gangs whose members have all arrived, and ends members that
    /// waited for longer than the gang timeout.
    pub(super) fn start_gangs(&mut self) {
        let now = self.now;
        let timeout = self.limits.gang_timeout;
        let mut members: BTreeMap<GangRun, Vec<(WorkerName, UnitKey)>> = BTreeMap::new();
        let mut timed_out = Vec::new();
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
                        timed_out.push((name.clone(), *unit));
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
        for (name, unit) in timed_out {
            if let Some(worker) = self.workers.get_mut(&name)
                && worker
                    .running
                    .get(&unit)
                    .is_some_and(|run| run.began_at.is_none())
            {
                worker.end(now, unit, EndCause::GangIncomplete);
            }
        }
    }

    /// Ends runs that are done, failed, stopped or past their lease, and the gangs that
    /// break with them.
    pub(super) fn end_runs(&mut self) {
        let now = self.now;
        let mut ends: Vec<(WorkerName, UnitKey, EndCause)> = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, worker)| worker.is_up) {
            let is_lease_expired = worker.is_lease_expired(now);
            for (unit, run) in &worker.running {
                let is_due = run.due_at().is_some_and(|at| now >= at) && !worker.is_stalled;
                if is_lease_expired {
                    ends.push((name.clone(), *unit, EndCause::Lapsed));
                } else if run.stops_at.is_some_and(|at| now >= at) {
                    ends.push((name.clone(), *unit, EndCause::Stopped));
                } else if is_due && run.will_fail {
                    ends.push((name.clone(), *unit, EndCause::Failed));
                } else if is_due && self.is_gang_finished(unit) {
                    ends.push((name.clone(), *unit, EndCause::Done));
                }
            }
        }
        for (name, unit, cause) in ends {
            self.end_run(&name, unit, cause);
        }
    }

    pub(super) fn is_gang_unit(&self, unit: &UnitKey) -> bool {
        let submission = self.submissions.get(&unit.job);
        submission.is_some_and(|(submission, _)| submission.steps[usize::from(unit.step)].is_gang)
    }

    /// Returns whether every member of the unit's gang has done its work, or `true` if the
    /// unit belongs to no gang.
    pub(super) fn is_gang_finished(&self, unit: &UnitKey) -> bool {
        if !self.is_gang_unit(unit) {
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

    pub(super) fn end_run(&mut self, name: &WorkerName, unit: UnitKey, cause: EndCause) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(run) = worker.running.get(&unit).cloned() else {
            return;
        };
        worker.end(now, unit, cause);
        if cause == EndCause::Done {
            self.record_done(unit);
            return;
        }
        self.record_waste(&run);
        if self.is_gang_unit(&unit) && cause != EndCause::GangIncomplete {
            self.break_gang(&unit);
        }
    }

    pub(super) fn record_waste(&mut self, run: &SimRun) {
        let cores =
            run.demand.cpu_millis as f64 / 1_000.0 + f64::from(run.demand.accelerators) * 8.0;
        let began = run.began_at.unwrap_or(run.arrived_at);
        let run_seconds = self.now.since(began).as_secs_f64();
        let lost_seconds = if run.has_checkpoints {
            run_seconds.min(1.0)
        } else {
            run_seconds
        };
        self.wasted_core_seconds += lost_seconds * cores;
    }

    pub(super) fn break_gang(&mut self, unit: &UnitKey) {
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
                worker.end(now, other, EndCause::GangBroken);
                if let Some(run) = run {
                    self.record_waste(&run);
                }
            }
        }
    }

    pub(super) fn record_done(&mut self, unit: UnitKey) {
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

    /// Crashes a worker: all runs on it are lost.
    pub fn crash_worker(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_up = false;
        let units: Vec<_> = worker.running.keys().copied().collect();
        worker.running.clear();
        for end in worker
            .ended
            .iter()
            .filter(|end| end.cause == EndCause::Done)
        {
            if let Some(report) = self.jobs.get_mut(&end.unit.job) {
                report.lost_ends.insert(end.unit);
            }
        }
        for unit in units {
            if self.is_gang_unit(&unit) {
                self.break_gang(&unit);
            }
        }
    }

    /// Restarts a crashed worker with a new incarnation.
    pub fn restart_worker(&mut self, name: &WorkerName) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.restart(now);
        }
    }

    /// Replaces a worker by one of another name at its address, which refuses the orders
    /// for it. Returns the name.
    pub fn replace_worker(&mut self, name: &WorkerName) -> WorkerName {
        self.crash_worker(name);
        let now = self.now;
        let next = WorkerName::from(format!("{name}+"));
        if let Some(worker) = self.workers.get_mut(name) {
            let mut report = worker.report.clone();
            report.name = next.clone();
            worker.is_up = true;
            worker.is_replaced = true;
            worker.reaches_log = false;
            self.workers
                .insert(next.clone(), SimWorker::new(report, now));
            self.push(Duration::ZERO, WorldEvent::Report(next.clone()));
        }
        next
    }

    /// Makes a worker report at once that it is draining.
    pub fn drain_worker(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.report.is_draining = true;
        }
        self.write_report(name);
    }

    /// Carries out an order for upkeep, which removes the worker of the machine. Runs that
    /// it still had are a violation.
    pub(super) fn serve_upkeep(&mut self, index: usize, incarnation: u64, order: &UpkeepOrder) {
        let result = self.machines.upkeep(self.now, order);
        if let Ok(Some(worker)) = &result {
            let runs = self
                .workers
                .get(worker)
                .map_or(0, |worker| worker.running.len());
            if runs > 0 {
                self.violations
                    .push(format!("upkeep of {worker} ends {runs} runs"));
            }
            self.remove_worker(worker);
        }
        let is_lost = self.machines.answers_to_lose > 0;
        self.machines.answers_to_lose = self.machines.answers_to_lose.saturating_sub(1);
        let (delay, result) = if is_lost {
            (order.timeout, Err(MachineError::NoAnswer))
        } else {
            (HOP_DELAY, result.map(|_| ()))
        };
        let event = HostEvent::UpkeepAnswered(order.ticket, result);
        self.push(delay, WorldEvent::ToHost(index, incarnation, event));
    }

    /// Starts a new worker on each machine whose upkeep is over.
    pub(super) fn restart_returned_workers(&mut self) {
        for name in self.machines.finish_upkeeps(self.now) {
            let Some(previous) = self.workers.get(&name) else {
                continue;
            };
            let mut report = previous.report.clone();
            report.name = format!("{name}+").into();
            report.incarnation = WorkerIncarnation(1 + self.now.0 / 1_000);
            let next = report.name.clone();
            self.workers
                .insert(next.clone(), SimWorker::new(report, self.now));
            self.push(Duration::ZERO, WorldEvent::Report(next));
        }
    }

    /// Removes a worker: all runs on it are lost, and its entry is removed at once.
    pub fn remove_worker(&mut self, name: &WorkerName) {
        self.crash_worker(name);
        self.last_reports.remove(name);
        self.log.put_worker(name, None);
    }
}
