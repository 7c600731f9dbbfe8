//! Ends of runs and their effects on the group and the job. What a later planner has to
//! know is recorded in the log before the end is acknowledged to the worker, which keeps
//! an end only until then.

use metrics::counter;

use crate::prelude::*;
use crate::process::event::{EndCause, EndedUnit};
use crate::process::planner::evidence::ReleaseEvidence;
use crate::process::planner::job::{GroupPhase, PlanMember};
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::writer::CommitEffect;
use crate::process::record::{JobOutcome, JobRecord};

/// Counter of runs that ended, by `cause`.
pub const RUNS_ENDED: &str = "flamingowalk_domain_runs_ended_total";

impl PlannerState {
    /// Handles the ends of a listing that were not handled before.
    pub(super) fn handle_ends(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        ended: &[EndedUnit],
    ) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (incarnation, handled) = (worker.incarnation(), worker.link.handled_end);
        let Some(last) = ended.iter().map(|end| end.number).max() else {
            return;
        };
        for end in ended.iter().filter(|end| end.number > handled) {
            counter!(RUNS_ENDED, "cause" => end.cause.label()).increment(1);
            self.handle_end(context, name, end);
        }
        if last <= handled {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.link.handled_end = last;
        }
        let effect = CommitEffect::AcknowledgeEnds(name.clone(), incarnation, last);
        self.writer.push_effect(effect);
    }

    fn handle_end(&mut self, context: &mut PlanContext<'_>, name: &WorkerName, end: &EndedUnit) {
        let now = context.now;
        let located = self.locate_run(&end.unit, end.run);
        log::info!(
            target: "end", unit = end.unit.to_string().as_str(), run = end.run.0,
            worker = name.as_str(), cause = end.cause.label(), known = located.is_some();
            "run ended"
        );
        let Some((key, index)) = located else {
            self.handle_older_end(now, end);
            return;
        };
        if self.member_worker(&key, index).as_ref() != Some(name) {
            return;
        }
        if let Some(group) = self.group_mut(&key)
            && end.saved.is_some()
        {
            group.saved.clone_from(&end.saved);
        }
        match end.cause {
            EndCause::Done => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.health.record_success();
                }
                self.finish_group(now, &key);
                self.release_member(now, &key, index, ReleaseEvidence::Ended);
            }
            EndCause::Failed => self.handle_failure(context, name, key, index, end.run),
            EndCause::Stopped
            | EndCause::Lapsed
            | EndCause::GangBroken
            | EndCause::GangIncomplete => {
                self.release_member(now, &key, index, ReleaseEvidence::Ended);
                self.stop_group(now, key);
            }
        }
    }

    /// Handles the end of a run that is not the newest of its unit, or whose members were
    /// all released. If it completed, the group is done; if it was the last attempt, the job
    /// has failed. Later runs are stopped.
    fn handle_older_end(&mut self, now: MonotonicTime, end: &EndedUnit) {
        let located = self
            .jobs
            .get(&end.unit.job)
            .and_then(|job| job.locate(&end.unit).map(|(key, _)| (job.group(&key), key)));
        let Some((Some(group), key)) = located else {
            return;
        };
        if group.phase == GroupPhase::Done {
            return;
        }
        match end.cause {
            EndCause::Done => {
                log::warn!(target: "end", unit = end.unit.to_string().as_str(), run = end.run.0; "an earlier run completed");
                self.finish_group(now, &key);
                self.stop_group(now, key);
            }
            EndCause::Failed => {
                if self.record_failure(&key, end.run) {
                    self.fail_job(now, key.job);
                }
            }
            EndCause::Stopped
            | EndCause::Lapsed
            | EndCause::GangBroken
            | EndCause::GangIncomplete => {}
        }
    }

    /// Returns the groups whose end this planner saw and may not have recorded.
    pub fn unrecorded_ends(&self) -> BTreeSet<GroupKey> {
        self.writer.unwritten_ends()
    }

    /// Handles the record of a group's end. Unless it is this planner's own, an earlier planner
    /// saw the end and could not record it in its time. Later runs are stopped.
    pub fn apply_recorded_end(&mut self, now: MonotonicTime, key: GroupKey) {
        let Some(group) = self.group_mut(&key) else {
            return;
        };
        if group.phase == GroupPhase::Done {
            return;
        }
        log::info!(target: "end", group = key.to_string().as_str(), run = group.run.0; "an earlier planner saw the end");
        // How long it ran is not known.
        group.is_full_run = false;
        self.finish_group(now, &key);
        self.stop_group(now, key);
    }

    fn handle_failure(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        key: GroupKey,
        index: usize,
        run: RunNumber,
    ) {
        let now = context.now;
        let is_quarantined = self
            .workers
            .get_mut(name)
            .is_some_and(|worker| worker.health.record_failure(now, key.job));
        if is_quarantined {
            log::info!(target: "worker", worker = name.as_str(); "worker quarantined after repeated failures");
        }
        self.avoid_member_worker(now, &key, index);
        let is_exhausted = self.record_failure(&key, run);
        self.release_member(now, &key, index, ReleaseEvidence::Ended);
        self.stop_group(now, key);
        if is_exhausted {
            self.fail_job(now, key.job);
        }
    }

    /// Counts a failed run as an attempt, if it was not counted before, and records it.
    /// Returns whether it was the last attempt.
    fn record_failure(&mut self, key: &GroupKey, run: RunNumber) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let limit = job.accepted.max_attempts;
        let has_limit = !job.is_closing
            && job
                .shape(key.step)
                .is_some_and(|shape| !shape.is_long_running);
        let Some(group) = job.group_mut(key) else {
            return false;
        };
        let is_counted = has_limit && group.phase != GroupPhase::Done;
        if is_counted && group.failed_runs.insert(run) {
            group.failures += 1;
        }
        let is_exhausted = is_counted && group.failures >= limit;
        let record = group.record();
        self.writer.push(&JobRecord::Group(*key, record), None);
        is_exhausted
    }

    /// Marks a group as done and records it, and its job's outcome if all is done.
    pub(super) fn finish_group(&mut self, now: MonotonicTime, key: &GroupKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let queue = job.accepted.queue.clone();
        let Some(shape) = job.shape(key.step).cloned() else {
            return;
        };
        let Some(group) = job.group_mut(key) else {
            return;
        };
        if group.phase == GroupPhase::Done {
            return;
        }
        let started_at = group.started_at;
        if group.is_full_run && group.phase == GroupPhase::Active {
            self.learn_from_end(now, key);
            let slowest = self.slowest_factor(key);
            let ran = now.since(started_at).mul_f64(slowest);
            self.run_times
                .record_run(now, &queue, shape.estimate_ms, ran);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(group) = job.group_mut(key) else {
            return;
        };
        group.phase = GroupPhase::Done;
        let record = group.record();
        self.writer.push(&JobRecord::Group(*key, record), None);
        if let Some(occurrence) = job.occurrences.get_mut(&key.occurrence) {
            if let Some(step) = occurrence.steps.get_mut(usize::from(key.step)) {
                step.done += 1;
            }
            if occurrence.is_done() {
                job.done_occurrences += 1;
                if let Some(forecast) = &occurrence.forecast {
                    let tally = self.objectives.entry(queue.clone()).or_default();
                    tally.record(&queue, now, forecast);
                }
            }
        }
        self.is_dirty = true;
        self.finish_job(key.job);
    }

    /// Returns the usual speed of the slowest worker of a group's run.
    fn slowest_factor(&self, key: &GroupKey) -> f64 {
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let members = group
            .map(|group| group.members.as_slice())
            .unwrap_or_default();
        members
            .iter()
            .filter(|member| self.workers.contains_key(&member.worker))
            .map(|member| self.speed_factor(&member.worker))
            .min_by(f64::total_cmp)
            .unwrap_or(1.0)
    }

    /// Records the outcome of a job if all its occurrences are done.
    pub(super) fn finish_job(&mut self, key: JobKey) {
        let is_done = self
            .jobs
            .get(&key)
            .is_some_and(|job| job.is_done() && !job.is_closing);
        if !is_done {
            return;
        }
        log::info!(target: "job", job = key.to_string().as_str(); "job completed");
        self.writer
            .push(&JobRecord::Outcome(key, JobOutcome::Completed), None);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.is_closing = true;
        }
        self.remove_job_if_stopped(key);
    }

    /// Releases everything held on a worker whose incarnation is lost, and stops the other
    /// members of the groups that ran there.
    pub(super) fn release_lost_units(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        evidence: ReleaseEvidence,
        why: &str,
    ) {
        self.release_lost_members(context, name, evidence, why, |_| true);
    }

    /// Releases the members on a worker that `is_lost` returns true for, and stops the other
    /// members of their groups.
    pub(super) fn release_lost_members(
        &mut self,
        context: &mut PlanContext<'_>,
        name: &WorkerName,
        evidence: ReleaseEvidence,
        why: &str,
        is_lost: impl Fn(&PlanMember) -> bool,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.unrecorded.clear();
        let held = worker.holdings.values();
        let mut held: Vec<_> = held
            .map(|holding| (holding.group, holding.member))
            .collect();
        held.retain(|(key, index)| {
            let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
            let member = group.and_then(|group| group.members.get(*index));
            member.is_none_or(&is_lost)
        });
        if !held.is_empty() {
            log::info!(target: "end", worker = name.as_str(), runs = held.len(), why, lease_left_ms = worker.link.lease_bound.since(context.now).as_millis() as u64; "runs are lost");
        }
        for (key, index) in held {
            self.release_member(context.now, &key, index, evidence);
            self.stop_group(context.now, key);
        }
        let worker = self.workers.get(name);
        self.stopping.retain(|unit, stop| {
            stop.worker != *name || worker.is_some_and(|worker| worker.holdings.contains_key(unit))
        });
    }

    /// Releases the units on workers whose leases have certainly expired.
    pub(super) fn expire_leases(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let expired: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_occupied() && now >= worker.link.lease_bound)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.release_lost_units(
                context,
                &name,
                ReleaseEvidence::LeaseExpired,
                "the lease has expired",
            );
        }
    }
}
