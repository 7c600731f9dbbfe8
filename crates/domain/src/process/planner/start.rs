//! Starts and stops of runs, from the recorded decision to the worker's answer and to
//! the release of every member.

use metrics::counter;

use crate::prelude::*;
use crate::process::action::{StartOrder, WorkerOrder};
use crate::process::event::{RefusalCause, WorkerAnswer, WorkerError};
use crate::process::planner::evacuation::{STARTS_BARRED, StartBar};
use crate::process::planner::evidence::{RUNS_RELEASED, ReleaseEvidence};
use crate::process::planner::job::{GroupPhase, MemberStage, PlanMember};
use crate::process::planner::place::Placement;
use crate::process::planner::reclaim::stop_cost;
use crate::process::planner::speed::MemberProgress;
use crate::process::planner::state::{CallKind, PlanContext, PlannerState, StopOrder};
use crate::process::planner::worker::Holding;
use crate::process::planner::writer::CommitEffect;
use crate::process::record::{JobOutcome, JobRecord};

/// Counter of the cost of stopped runs in core seconds: the work lost since their last
/// checkpoint, and a fixed cost of each stop. An accelerator counts as eight cores.
pub const WORK_ABANDONED: &str = "flamingowalk_domain_work_given_up_core_seconds_total";

/// The part of this cost that the planner decides on, by `reason`.
pub const WORK_STOPPED: &str = "flamingowalk_domain_work_stopped_core_seconds_total";

/// Delay before a group whose run was stopped or refused is planned again.
const REPLAN_DELAY: Duration = Duration::from_millis(100);
/// Maximum time for which a group waits for other workers than those on which it failed or
/// that are set aside; a second less than the three seconds for which a job may have nothing
/// running while there is room.
pub(super) const MAX_PREFERENCE_WAIT: Duration = Duration::from_secs(2);
/// Delay before a stop without an answer is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(200);

impl PlannerState {
    /// Allocates the capacity for a run and records its start. The orders are sent once
    /// the record is in the log.
    pub(super) fn record_start(
        &mut self,
        now: MonotonicTime,
        key: GroupKey,
        placement: &Placement,
    ) {
        for name in &placement.workers {
            self.record_releases(now, name);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(shape) = job.shape(key.step) else {
            return;
        };
        let holding = Holding::new(key, 0, shape, false);
        let Some(group) = job.group_mut(&key) else {
            return;
        };
        debug_assert!(!group.is_held(), "{key} starts while a run of it is left");
        group.run = RunNumber(group.run.0 + 1);
        group.phase = GroupPhase::Recording;
        group.lost_at = None;
        group.started_at = now;
        group.members.clear();
        for (member, name) in placement.workers.iter().enumerate() {
            let Some(worker) = self.workers.get_mut(name) else {
                continue;
            };
            worker.claimed.remove(&key);
            let holding = Holding { member, ..holding };
            worker.hold(key.unit(member as u16), holding);
            group.members.push(PlanMember {
                worker: name.clone(),
                incarnation: worker.incarnation(),
                listed_by: None,
                is_start_answered: false,
                is_inherited: false,
                stage: MemberStage::Recording,
                progress: MemberProgress::default(),
            });
        }
        let (run, record) = (group.run, group.record());
        self.writer.push(
            &JobRecord::Group(key, record),
            Some(CommitEffect::Start(key, run)),
        );
        self.poll_before_start(now, key, run, &placement.workers);
    }

    /// Sends the starts of a run whose record is in the log, unless it was abandoned.
    pub(super) fn send_starts(
        &mut self,
        context: &mut PlanContext<'_>,
        key: GroupKey,
        run: RunNumber,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let spec = Arc::clone(&job.accepted.submission.spec);
        let Some(group) = job.group_mut(&key) else {
            return;
        };
        if group.phase != GroupPhase::Recording || group.run != run {
            return;
        }
        let members = group.members.clone();
        let saved = group.saved.clone();
        if !self.may_send_start(context.now, key, run) {
            return;
        }
        let bar = self.start_bar(context.now, &members);
        let refusal = if !self.has_leader_lease(context.now) {
            Some("the planner has no leader lease")
        } else if let Some(bar) = bar {
            Some(bar.label())
        } else if !self.may_start_on(&members) {
            Some("a worker is no longer available")
        } else {
            None
        };
        if let Some(why) = refusal {
            log::info!(target: "start", group = key.to_string().as_str(), run = run.0, why; "start given up");
            self.stop_group(context.now, key);
            if let Some(bar) = bar {
                counter!(STARTS_BARRED, "cause" => bar.label()).increment(1);
            }
            return;
        }
        if let Some(group) = self.group_mut(&key) {
            group.phase = GroupPhase::Active;
            group.started_at = context.now;
            group.is_full_run = saved.is_none();
            for member in &mut group.members {
                member.stage = MemberStage::Starting;
            }
        }
        let names: Vec<_> = members
            .iter()
            .map(|member| member.worker.as_str())
            .collect();
        log::info!(
            target: "start", group = key.to_string().as_str(), run = run.0, members = members.len(),
            worker = names.join(",").as_str(),
            resumes = saved.is_some();
            "run starts"
        );
        let step = StepKey::of(&key);
        for (index, member) in members.iter().enumerate() {
            let unit = key.unit(index as u16);
            let Some(worker) = self.workers.get_mut(&member.worker) else {
                continue;
            };
            if let Some(holding) = worker.holdings.get_mut(&unit) {
                holding.is_sent = true;
            }
            let lease = worker.lease(&self.limits);
            let order = StartOrder {
                unit,
                run,
                spec: Arc::clone(&spec),
                lease_until: worker.link.extend_lease(context.now, lease),
                saved: saved.clone(),
                approval: self
                    .advice
                    .approval(&step, &member.worker, member.incarnation),
            };
            self.send_order(
                context,
                &member.worker,
                CallKind::Start { unit, run },
                WorkerOrder::Start(order),
                Duration::ZERO,
            );
        }
    }

    /// Returns why the operator's orders forbid a run on the workers of its members, if so.
    fn start_bar(&self, now: MonotonicTime, members: &[PlanMember]) -> Option<StartBar> {
        let mut workers = members
            .iter()
            .filter_map(|member| self.workers.get(&member.worker));
        workers.find_map(|worker| self.start_gate.start_bar(now, &worker.report.zone))
    }

    /// Whether a run may still start on all workers of its members.
    fn may_start_on(&self, members: &[PlanMember]) -> bool {
        members.iter().all(|member| {
            let worker = self.workers.get(&member.worker);
            worker.is_some_and(|worker| {
                worker.incarnation() == member.incarnation
                    && worker.is_listed
                    && !worker.is_draining
            })
        })
    }

    /// Handles the answer of a start.
    pub(super) fn handle_start_result(
        &mut self,
        context: &mut PlanContext<'_>,
        unit: UnitKey,
        run: RunNumber,
        result: &Result<WorkerAnswer, WorkerError>,
    ) {
        let Some((key, index)) = self.locate_run(&unit, run) else {
            return;
        };
        match result {
            Ok(WorkerAnswer::Done { clock }) => {
                self.mark_started(context.now, *clock, &key, index);
            }
            Ok(WorkerAnswer::Refused { cause, .. }) => {
                self.handle_start_refusal(context, key, index, *cause);
            }
            Ok(WorkerAnswer::Listed(_))
            | Err(WorkerError::NoAnswer | WorkerError::Malformed { .. }) => {
                log::info!(target: "start", unit = unit.to_string().as_str(), run = run.0; "start not answered; stopping the run");
                self.avoid_member_worker(context.now, &key, index);
                self.stop_group(context.now, key);
            }
            Err(WorkerError::Unreachable) => {
                let evidence = ReleaseEvidence::Unreachable;
                self.remove_member(context.now, key, index, evidence, "worker unreachable");
            }
        }
    }

    /// Marks a member as running after its worker accepted the start.
    fn mark_started(
        &mut self,
        now: MonotonicTime,
        clock: WorkerClock,
        key: &GroupKey,
        index: usize,
    ) {
        let Some(group) = self.group_mut(key) else {
            return;
        };
        let is_full_run = group.is_full_run;
        let Some(member) = group.members.get_mut(index) else {
            return;
        };
        member.is_start_answered = true;
        if member.stage == MemberStage::Starting {
            member.stage = MemberStage::Running(now);
            if is_full_run {
                member.progress.start_from_zero(clock);
            }
        }
    }

    fn handle_start_refusal(
        &mut self,
        context: &mut PlanContext<'_>,
        key: GroupKey,
        index: usize,
        cause: RefusalCause,
    ) {
        if cause == RefusalCause::Fenced {
            self.mark_superseded("a worker");
            return;
        }
        log::info!(target: "start", group = key.to_string().as_str(), member = index, cause = cause.label(); "start refused");
        let name = self.member_worker(&key, index);
        if let Some(worker) = name.as_ref().and_then(|name| self.workers.get_mut(name)) {
            match cause {
                RefusalCause::NoCapacity | RefusalCause::OldRun => {
                    worker.link.short_poll_at = Some(context.now);
                }
                RefusalCause::Unhealthy => worker.health.quarantine(context.now),
                _ => {}
            }
        }
        if let Some(name) = name.filter(|_| cause == RefusalCause::NoApproval) {
            self.advice.remove_approval(&StepKey::of(&key), &name);
        }
        let evidence = ReleaseEvidence::Refused;
        self.remove_member(context.now, key, index, evidence, cause.label());
    }

    /// Releases a member that certainly does not run, and stops the others.
    fn remove_member(
        &mut self,
        now: MonotonicTime,
        key: GroupKey,
        index: usize,
        evidence: ReleaseEvidence,
        why: &str,
    ) {
        self.avoid_member_worker(now, &key, index);
        self.release_member(now, &key, index, evidence);
        self.stop_group(now, key);
        log::debug!(target: "start", group = key.to_string().as_str(), member = index, why; "member removed");
    }

    /// Adds the worker of a member to those that its group avoids.
    pub(super) fn avoid_member_worker(&mut self, now: MonotonicTime, key: &GroupKey, index: usize) {
        let Some(name) = self.member_worker(key, index) else {
            return;
        };
        if let Some(group) = self.group_mut(key) {
            group.avoids_until = now + MAX_PREFERENCE_WAIT;
            if !group.failed_on.contains(&name) {
                group.failed_on.push(name);
            }
        }
    }

    /// Stops all members of a group's run. Once they are released the group waits again,
    /// or is removed with its job.
    pub(super) fn stop_group(&mut self, now: MonotonicTime, key: GroupKey) {
        let Some(group) = self.group_mut(&key) else {
            return;
        };
        let was_active = group.phase == GroupPhase::Active;
        if !matches!(group.phase, GroupPhase::Done | GroupPhase::Waiting) {
            group.phase = GroupPhase::Stopping;
        }
        let run = group.run;
        let members: Vec<_> = group.members.iter().cloned().enumerate().collect();
        for (index, member) in members {
            match member.stage {
                // The start order was never sent.
                MemberStage::Recording => {
                    self.release_member(now, &key, index, ReleaseEvidence::Unsent);
                }
                MemberStage::Starting | MemberStage::Running(_) => {
                    self.set_stage(&key, index, |_| MemberStage::Stopping);
                    let unit = key.unit(index as u16);
                    let order = StopOrder {
                        run,
                        worker: member.worker,
                        was_running: matches!(member.stage, MemberStage::Running(_)),
                        ticket: None,
                        send_at: now,
                    };
                    self.stopping.insert(unit, order);
                }
                MemberStage::Stopping | MemberStage::Stopped(_) | MemberStage::Released => {}
            }
        }
        if was_active {
            self.count_abandoned_work(now, &key);
        }
        self.finish_group_stop(now, &key);
    }

    /// Adds the cost of a stopped run to the metric.
    fn count_abandoned_work(&self, now: MonotonicTime, key: &GroupKey) {
        counter!(WORK_ABANDONED).increment(self.abandoned_work(now, key));
    }

    /// Adds the cost of a run that the planner decides to stop to the metric by reason.
    pub(super) fn count_stopped_work(
        &self,
        now: MonotonicTime,
        key: &GroupKey,
        reason: &'static str,
    ) {
        let work = self.abandoned_work(now, key);
        counter!(WORK_STOPPED, "reason" => reason).increment(work);
    }

    fn abandoned_work(&self, now: MonotonicTime, key: &GroupKey) -> u64 {
        let job = self.jobs.get(&key.job);
        let found = job.and_then(|job| Some((job.shape(key.step)?, job.group(key)?)));
        found.map_or(0, |(shape, group)| stop_cost(now, shape, group) as u64)
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let due: Vec<_> = self
            .stopping
            .iter()
            .filter(|(_, order)| order.ticket.is_none() && now >= order.send_at)
            .map(|(unit, order)| (*unit, order.run, order.worker.clone()))
            .collect();
        for (unit, run, worker) in due {
            let order = WorkerOrder::Stop { unit, run };
            let kind = CallKind::Stop { unit, run };
            let ticket = self.send_order(context, &worker, kind, order, Duration::ZERO);
            if let Some(stop) = self.stopping.get_mut(&unit) {
                stop.ticket = ticket;
                stop.send_at = now + STOP_RETRY_DELAY;
            }
        }
    }

    /// Handles the answer of a stop.
    pub(super) fn handle_stop_result(
        &mut self,
        context: &mut PlanContext<'_>,
        unit: UnitKey,
        run: RunNumber,
        result: &Result<WorkerAnswer, WorkerError>,
    ) {
        if self.stopping.get(&unit).is_none_or(|stop| stop.run != run) {
            return;
        }
        match result {
            Ok(WorkerAnswer::Done { .. }) => {
                let stop = self.stopping.remove(&unit);
                if let Some(stop) = &stop {
                    self.record_late_stop(context.now, &stop.worker.clone(), &unit, run);
                }
                // The pending long poll reports the end of a run that was known to exist.
                if let Some(stop) = stop.filter(|stop| !stop.was_running)
                    && let Some(worker) = self.workers.get_mut(&stop.worker)
                {
                    worker.link.short_poll_at.get_or_insert(context.now);
                }
                if let Some((key, index)) = self.locate_run(&unit, run) {
                    self.set_stage(&key, index, |stage| match stage {
                        MemberStage::Released => stage,
                        _ => MemberStage::Stopped(context.now),
                    });
                }
            }
            Ok(WorkerAnswer::Refused {
                cause: RefusalCause::Fenced,
                ..
            }) => self.mark_superseded("a worker"),
            Ok(_) | Err(_) => {
                if let Some(stop) = self.stopping.get_mut(&unit) {
                    stop.ticket = None;
                    stop.send_at = context.now + STOP_RETRY_DELAY;
                }
            }
        }
    }

    /// Frees the capacity of a member that certainly does not run.
    pub(super) fn release_member(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
        evidence: ReleaseEvidence,
    ) {
        let Some(group) = self.group_mut(key) else {
            return;
        };
        let Some(member) = group.members.get_mut(index) else {
            return;
        };
        if !member.stage.is_held() {
            return;
        }
        if evidence.is_by_absence() {
            self.remember_late_start(now, key, index);
        }
        let Some(group) = self.group_mut(key) else {
            return;
        };
        let Some(member) = group.members.get_mut(index) else {
            return;
        };
        member.stage = MemberStage::Released;
        let name = member.worker.clone();
        let (run, is_done) = (group.run, group.phase == GroupPhase::Done);
        if evidence == ReleaseEvidence::LeaseExpired {
            group.lost_at = Some(now);
        }
        let unit = key.unit(index as u16);
        counter!(RUNS_RELEASED, "evidence" => evidence.label()).increment(1);
        if evidence.is_inferred() {
            log::info!(
                target: "end", unit = unit.to_string().as_str(), run = run.0,
                worker = name.as_str(), evidence = evidence.label();
                "run released without its end"
            );
        }
        self.stopping.remove(&unit);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.release(&unit);
        }
        if !is_done {
            self.releases.insert(&name, *key, run);
        }
        self.is_dirty = true;
        self.finish_group_stop(now, key);
    }

    /// Returns a stopping group to waiting once all its members are released, and removes
    /// its job if that is closing.
    pub(super) fn finish_group_stop(&mut self, now: MonotonicTime, key: &GroupKey) {
        let Some(group) = self.group_mut(key) else {
            return;
        };
        if group.is_held() {
            return;
        }
        if group.phase == GroupPhase::Stopping {
            group.phase = GroupPhase::Waiting;
            group.not_before = now + REPLAN_DELAY;
            let members = std::mem::take(&mut group.members);
            if group.saved.is_some() {
                let record = group.record();
                self.writer.push(&JobRecord::Group(*key, record), None);
                let names = members.iter().map(|member| &member.worker);
                self.releases.remove(names, key);
            }
            self.is_dirty = true;
        }
        self.remove_job_if_stopped(key.job);
    }

    /// Records that a job failed because a unit failed too often, and closes it.
    pub(super) fn fail_job(&mut self, now: MonotonicTime, job: JobKey) {
        log::info!(target: "job", job = job.to_string().as_str(); "job failed: a unit failed too often");
        self.writer
            .push(&JobRecord::Outcome(job, JobOutcome::Failed), None);
        self.close_job(now, job);
    }

    /// Closes a job and stops all its groups.
    pub(super) fn close_job(&mut self, now: MonotonicTime, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.is_closing = true;
        for group in job.group_keys() {
            self.stop_group(now, group);
        }
        self.remove_job_if_stopped(key);
    }

    /// Removes a closing job once none of its members occupies a worker.
    pub(super) fn remove_job_if_stopped(&mut self, key: JobKey) {
        let is_stopped = self
            .jobs
            .get(&key)
            .is_some_and(|job| job.is_closing && !job.is_held());
        if is_stopped {
            self.jobs.remove(&key);
            self.advice.remove_job(key);
            self.releases.remove_job(key);
            for worker in self.workers.values_mut() {
                worker.claimed.retain(|group, _| group.job != key);
            }
            self.is_dirty = true;
        }
    }

    /// Returns the group and member index of a unit, if `run` is its newest run.
    pub(super) fn locate_run(&self, unit: &UnitKey, run: RunNumber) -> Option<(GroupKey, usize)> {
        let job = self.jobs.get(&unit.job)?;
        let (key, index) = job.locate(unit)?;
        let group = job.group(&key)?;
        (group.run == run && index < group.members.len()).then_some((key, index))
    }

    pub(super) fn group_mut(
        &mut self,
        key: &GroupKey,
    ) -> Option<&mut crate::process::planner::job::PlanGroup> {
        self.jobs.get_mut(&key.job)?.group_mut(key)
    }

    pub(super) fn member_worker(&self, key: &GroupKey, index: usize) -> Option<WorkerName> {
        let group = self.jobs.get(&key.job)?.group(key)?;
        group.members.get(index).map(|member| member.worker.clone())
    }

    pub(super) fn set_stage<F>(&mut self, key: &GroupKey, index: usize, change: F)
    where
        F: FnOnce(MemberStage) -> MemberStage,
    {
        if let Some(member) = self.member_mut(key, index) {
            member.stage = change(member.stage);
        }
    }

    pub(super) fn member_mut(&mut self, key: &GroupKey, index: usize) -> Option<&mut PlanMember> {
        self.group_mut(key)?.members.get_mut(index)
    }
}
