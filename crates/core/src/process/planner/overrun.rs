//! Handling of jobs that far exceed their declared memory or run time. A task that
//! uses a quarter more memory than declared is throttled; at twice the declared
//! memory its job fails. If a job has run for several times both its high run time
//! estimate and its declared run time while other jobs wait, it is checkpointed and
//! queued again, or fails if its class has no checkpoints.

use crate::prelude::*;
use crate::process::planner::action::PlannerAction;
use crate::process::planner::event::TaskKey;
use crate::process::planner::gang::find_member;
use crate::process::planner::job_entry::{JobEntry, JobStage, MemberState, StopPurpose};
use crate::process::planner::state::PlannerState;

/// Memory use at which a task is throttled, in percent of the declared memory.
const THROTTLE_MEMORY_PERCENT: u64 = 125;
/// Memory use at which a job fails, in percent of the declared memory.
const FAIL_MEMORY_PERCENT: u64 = 200;
/// CPU share of a throttled task, in percent.
const THROTTLED_CPU_PERCENT: u32 = 50;
/// Multiple of the high run time estimate, or of the declared run time if that is longer,
/// beyond which a run counts as overrun.
const OVERRUN_FACTOR: u32 = 3;

impl PlannerState {
    /// Handles a report of a running task's memory use.
    pub(super) fn handle_usage_report(
        &mut self,
        now: MonotonicTime,
        task: &TaskKey,
        memory_mb: u64,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some((entry, index)) = find_member(&mut self.jobs, task) else {
            return;
        };
        entry.peak_memory_mb = entry.peak_memory_mb.max(memory_mb);
        let declared = entry.class.as_ref().map_or(0, |class| class.memory_mb);
        let member = &mut entry.members[index];
        if declared == 0 || member.state != MemberState::Running {
            return;
        }
        let percent = memory_mb * 100 / declared;
        if percent >= FAIL_MEMORY_PERCENT {
            let reason =
                format!("a task used {memory_mb} MiB of {declared} declared; declare more");
            self.stop_job(now, &task.job, StopPurpose::Exceed(reason), actions);
        } else if percent >= THROTTLE_MEMORY_PERCENT && !member.throttled {
            member.throttled = true;
            actions.push(PlannerAction::Throttle {
                worker: member.worker.clone(),
                task: task.clone(),
                percent: THROTTLED_CPU_PERCENT,
            });
        }
    }

    /// Stops overrun jobs if other jobs wait.
    pub(super) fn stop_overrun_jobs(
        &mut self,
        now: MonotonicTime,
        actions: &mut Vec<PlannerAction>,
    ) {
        if self.queue.kinds().is_empty() {
            return;
        }
        let overrun: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| self.is_overrun(now, entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in overrun {
            let can_checkpoint = self.jobs[&id]
                .class
                .as_ref()
                .is_some_and(|class| class.checkpoint);
            let purpose = if can_checkpoint {
                StopPurpose::Retry
            } else {
                let reason = "it ran far longer than declared and others wait; declare more";
                StopPurpose::Exceed(reason.into())
            };
            self.stop_job(now, &id, purpose, actions);
        }
    }

    fn is_overrun(&self, now: MonotonicTime, entry: &JobEntry) -> bool {
        let Some(class) = &entry.class else {
            return false;
        };
        let customer = &entry.job.customer;
        let estimate = self
            .estimates
            .estimate(customer, &entry.job.class, class.run_time);
        let limit = estimate.high.max(class.run_time) * OVERRUN_FACTOR;
        entry.stage == JobStage::Running && now.since(entry.since) > limit
    }
}
