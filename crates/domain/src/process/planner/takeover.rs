//! Takeover from the previous planner: restores the jobs from the log, with every recorded
//! run on the workers where it may still be. Runs are adopted or counted as lost by what
//! their workers list. Nothing is started on a worker before its first complete listing.

use crate::prelude::*;
use crate::process::job_table::{JobTable, RecordedJob};
use crate::process::planner::evidence::ReleaseEvidence;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanJob, PlanMember, PlanOccurrence};
use crate::process::planner::limits::max_inherited_lease;
use crate::process::planner::speed::MemberProgress;
use crate::process::planner::state::{PlanContext, PlannerState};
use crate::process::planner::worker::Holding;
use crate::process::record::{AcceptedJob, GroupRecord, GroupStage};
use crate::request::submission::{JobSubmission, StepShape};

impl PlannerState {
    /// Restores all open jobs of the table. The workers must have been added before. The
    /// previous planner renews leases for at most `leader_lease`.
    pub fn restore_jobs(
        &mut self,
        context: &mut PlanContext<'_>,
        table: &JobTable,
        leader_lease: Duration,
    ) {
        let lease_end = context.now + max_inherited_lease(&self.limits, leader_lease);
        self.inherited_leases_end = lease_end;
        for (key, recorded) in table.jobs() {
            if let Some(accepted) = recorded.accepted.as_ref().filter(|_| recorded.is_open()) {
                self.add_job(context, *key, accepted);
                self.restore_groups(context, *key, recorded);
            }
        }
        for worker in self.workers.values_mut() {
            worker.link.lease_bound = lease_end;
        }
        let keys: Vec<_> = self.jobs.keys().copied().collect();
        log::info!(
            target: "job", jobs = keys.len(), leader_lease_ms = leader_lease.as_millis() as u64,
            inherited_leases_ms = lease_end.since(context.now).as_millis() as u64,
            unlisted = self.unlisted_members.len();
            "jobs restored"
        );
        for key in keys {
            self.finish_restored_job(context.now, key);
        }
        self.is_dirty = true;
    }

    /// Ends a restored job whose outcome the previous planner could not record any more.
    fn finish_restored_job(&mut self, now: MonotonicTime, key: JobKey) {
        let is_exhausted = self.jobs.get(&key).is_some_and(|job| {
            let limit = job.accepted.max_attempts;
            job.group_keys().iter().any(|group| {
                let is_long_running = job
                    .shape(group.step)
                    .is_some_and(|shape| shape.is_long_running);
                let failures = job.group(group).map_or(0, |group| group.failures);
                failures >= limit && !is_long_running
            })
        });
        if is_exhausted {
            self.fail_job(now, key);
        } else {
            self.finish_job(key);
        }
    }

    /// Adds an accepted job.
    pub fn add_job(
        &mut self,
        context: &mut PlanContext<'_>,
        key: JobKey,
        accepted: &Arc<AcceptedJob>,
    ) {
        if self.jobs.contains_key(&key) {
            return;
        }
        // The accepting host's clock may be ahead, or may have jumped.
        let age = context.wall.0.saturating_sub(accepted.accepted_at);
        let accepted_at = context.now - Duration::from_millis(age);
        log::info!(
            target: "job", job = key.to_string().as_str(), queue = accepted.queue.as_str(),
            priority = accepted.priority, age_ms = age,
            features = job_features(&accepted.submission).as_str();
            "job added"
        );
        self.jobs
            .insert(key, PlanJob::new(key, Arc::clone(accepted), accepted_at));
        self.open_occurrences(context);
        self.is_dirty = true;
    }

    /// Stops a cancelled job.
    pub fn cancel_job(&mut self, context: &mut PlanContext<'_>, key: JobKey) {
        if self.jobs.contains_key(&key) {
            log::info!(target: "job", job = key.to_string().as_str(); "job cancelled");
            self.close_job(context.now, key);
        }
    }

    fn restore_groups(
        &mut self,
        context: &mut PlanContext<'_>,
        key: JobKey,
        recorded: &RecordedJob,
    ) {
        for (group, record) in &recorded.groups {
            self.open_recorded_occurrence(context, group);
            self.restore_group(context, group, record);
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let done = job
            .occurrences
            .values()
            .filter(|occurrence| occurrence.is_done());
        job.done_occurrences = done.count() as u32;
    }

    /// Opens an occurrence that has recorded groups, even if it is not due yet by this
    /// host's clock, which may be behind.
    fn open_recorded_occurrence(&mut self, context: &PlanContext<'_>, group: &GroupKey) {
        let Some(job) = self.jobs.get_mut(&group.job) else {
            return;
        };
        let accepted = Arc::clone(&job.accepted);
        job.occurrences
            .entry(group.occurrence)
            .or_insert_with(|| PlanOccurrence::new(&accepted, context.now));
        job.next_occurrence = job.next_occurrence.max(group.occurrence + 1);
    }

    fn restore_group(&mut self, context: &PlanContext<'_>, key: &GroupKey, record: &GroupRecord) {
        let now = context.now;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(shape) = job.shape(key.step) else {
            return;
        };
        let holding = Holding::new(*key, 0, shape, true);
        let Some(group) = job.group_mut(key) else {
            return;
        };
        group.run = record.run;
        group.failures = record.failures;
        group.failed_runs.clone_from(&record.failed_runs);
        group.saved.clone_from(&record.saved);
        group.started_at = now;
        group.is_full_run = false;
        match record.stage {
            GroupStage::Waiting => {}
            GroupStage::Done => {
                group.phase = GroupPhase::Done;
                if let Some(occurrence) = job.occurrences.get_mut(&key.occurrence)
                    && let Some(step) = occurrence.steps.get_mut(usize::from(key.step))
                {
                    step.done += 1;
                }
            }
            GroupStage::Started => {
                group.phase = GroupPhase::Active;
                for (index, place) in (0..).zip(&record.places) {
                    let is_released = record.released.contains(&index);
                    group.members.push(PlanMember {
                        worker: place.0.clone(),
                        incarnation: place.1,
                        listed_by: None,
                        is_start_answered: false,
                        is_inherited: true,
                        stage: if is_released {
                            MemberStage::Released
                        } else {
                            MemberStage::Running(now)
                        },
                        progress: MemberProgress::default(),
                    });
                }
                self.hold_recorded_run(key, holding);
                if !record.released.is_empty() {
                    self.stop_group(now, *key);
                }
            }
        }
    }

    /// Holds the capacity of a recorded run on its workers, whatever their incarnations: the
    /// start may have reached a later one than was recorded, and the report of a worker may
    /// be older than the record. A listing requested by this planner shows whether the run
    /// is there, since its worker refuses the starts of earlier planners from then on. On a
    /// worker that is not listed the run may go on until its lease has certainly expired.
    fn hold_recorded_run(&mut self, key: &GroupKey, holding: Holding) {
        let members = self
            .group_mut(key)
            .map(|group| group.members.clone())
            .unwrap_or_default();
        let held = members.iter().enumerate();
        for (index, member) in held.filter(|(_, member)| member.stage.is_held()) {
            if let Some(worker) = self.workers.get_mut(&member.worker) {
                let holding = Holding {
                    member: index,
                    ..holding
                };
                worker.hold(key.unit(index as u16), holding);
            } else {
                let lease_end = self.inherited_leases_end;
                self.unlisted_members.push((*key, index, lease_end));
            }
        }
    }

    /// Holds the capacity of recorded runs on a worker that is listed again.
    pub(super) fn adopt_unlisted_members(&mut self, name: &WorkerName) {
        let unlisted_members = std::mem::take(&mut self.unlisted_members);
        for (key, index, lease_end) in unlisted_members {
            let member = self
                .group_mut(&key)
                .and_then(|group| group.members.get(index).cloned());
            let Some(member) = member.filter(|member| member.stage.is_held()) else {
                continue;
            };
            if member.worker != *name {
                self.unlisted_members.push((key, index, lease_end));
                continue;
            }
            let job = self.jobs.get(&key.job);
            let holding = job
                .and_then(|job| job.shape(key.step))
                .map(|shape| Holding::new(key, index, shape, true));
            if let Some((worker, holding)) = self.workers.get_mut(name).zip(holding) {
                worker.hold(key.unit(index as u16), holding);
                worker.link.lease_bound = worker.link.lease_bound.max(lease_end);
            } else {
                self.unlisted_members.push((key, index, lease_end));
            }
        }
    }

    /// Counts the runs on unlisted workers as lost once their leases have expired.
    pub(super) fn expire_unlisted_members(&mut self, now: MonotonicTime) {
        let unlisted_members = std::mem::take(&mut self.unlisted_members);
        for (key, index, lease_end) in unlisted_members {
            if now < lease_end {
                self.unlisted_members.push((key, index, lease_end));
                continue;
            }
            self.release_member(now, &key, index, ReleaseEvidence::LeaseExpired);
            self.stop_group(now, key);
        }
    }
}

/// Returns the features that a job uses in addition to capacity, as text for log lines.
fn job_features(submission: &JobSubmission) -> String {
    let has = |test: fn(&StepShape) -> bool| submission.steps.iter().any(test);
    let features = [
        (has(|step| step.is_gang), "gang"),
        (has(|step| step.same_rack), "rack"),
        (has(|step| step.data_rack.is_some()), "data-rack"),
        (has(|step| step.label.is_some()), "label"),
        (has(|step| step.worker_limit.is_some()), "spread"),
        (has(|step| step.has_checkpoints), "checkpoints"),
        (has(|step| step.is_speculative), "speculative"),
        (has(|step| step.is_long_running), "lasting"),
        (has(|step| step.image.is_some()), "image"),
        (has(|step| step.tail_target_ms.is_some()), "serving"),
        (has(|step| step.is_filler), "filler"),
        (has(|step| step.may_miss.is_some()), "may-miss"),
        (submission.schedule.is_some(), "scheduled"),
    ];
    let units: usize = submission
        .steps
        .iter()
        .map(|step| usize::from(step.count))
        .sum();
    let mut text = format!("steps:{},units:{units}", submission.steps.len());
    for (_, feature) in features.into_iter().filter(|(is_used, _)| *is_used) {
        text.push(',');
        text.push_str(feature);
    }
    text
}
