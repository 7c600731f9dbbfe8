//! Runs on draining workers. Workers are drained and removed, some at short notice, and
//! the runs on a removed worker are lost. A run that will not end in time is therefore
//! moved while its checkpoint is still available, or while little work would be lost.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, MemberStage};
use crate::process::planner::state::{PlanContext, PlannerState};

/// Remaining time that is assumed for a draining worker that reports none; the platform
/// grants at least 2 s.
const DEFAULT_REMAINING_TIME: Duration = Duration::from_secs(2);
/// Progress up to which a run without checkpoints is moved. Beyond it more work would be
/// lost, and the worker may stay long enough for the run to end.
const MAX_LOST_PERCENT: u32 = 40;

impl PlannerState {
    /// Moves the runs that would not end before their draining worker is removed.
    pub(super) fn move_from_draining(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let mut moved = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.is_draining || worker.link.failures > 0 {
                continue;
            }
            let remaining = worker.report.remaining.unwrap_or(DEFAULT_REMAINING_TIME);
            let removed_at = worker.reported_after.unwrap_or_default() + remaining;
            for holding in worker.holdings.values() {
                let ends_in_time =
                    self.expected_end(now, &holding.group, holding.member) <= removed_at;
                if !ends_in_time && self.should_move(&holding.group, holding.member) {
                    moved.push((name.clone(), holding.group));
                }
            }
        }
        for (name, key) in moved {
            log::info!(target: "stop", group = key.to_string().as_str(), worker = name.as_str(), cause = "worker is leaving"; "run is moved");
            self.stop_group(now, key);
        }
    }

    fn should_move(&self, key: &GroupKey, index: usize) -> bool {
        let Some(job) = self.jobs.get(&key.job).filter(|job| !job.is_closing) else {
            return false;
        };
        let (Some(shape), Some(group)) = (job.shape(key.step), job.group(key)) else {
            return false;
        };
        let Some(member) = group.members.get(index) else {
            return false;
        };
        let is_running = matches!(member.stage, MemberStage::Running(_));
        if group.phase != GroupPhase::Active || !is_running {
            return false;
        }
        shape.has_checkpoints
            || shape.is_long_running
            || member.progress.percent <= MAX_LOST_PERCENT
    }
}
