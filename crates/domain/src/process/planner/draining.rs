//! Runs on workers that are leaving. Answers workers that are emptied and taken away,
//! some at short notice: what will not end in time moves while its checkpoint can be
//! had, or while little would be lost. A worker that has left takes its runs with it.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, MemberStage};
use crate::process::planner::state::{PlanContext, PlannerState};

/// Time that a leaving worker is taken to have left if it does not say; the platform
/// grants 2 s at least.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Part of the work, in percent, up to which a run without checkpoints moves; beyond
/// it the worker may stay long enough, and more would be lost.
const MOVE_PERCENT: u32 = 40;

impl PlannerState {
    /// Moves what would not end before its leaving worker does.
    pub(super) fn move_from_draining(&mut self, context: &mut PlanContext<'_>) {
        let now = context.now;
        let mut moved = Vec::new();
        for (name, worker) in &self.workers {
            if !worker.is_draining || worker.link.failures > 0 {
                continue;
            }
            let left = worker.report.remaining.unwrap_or(LEAVING_TIME);
            let leaves_at = worker.reported_after.unwrap_or_default() + left;
            for holding in worker.holdings.values() {
                let will_end = self.expected_end(now, &holding.group, holding.member) <= leaves_at;
                if !will_end && self.should_move(&holding.group, holding.member) {
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
        shape.has_checkpoints || shape.is_long_running || member.progress.percent <= MOVE_PERCENT
    }
}
