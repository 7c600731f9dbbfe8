//! Workers kept wholly free for urgent work. During a burst of small urgent jobs in a
//! full pool, a group that has to wait until others are stopped is often late already, and
//! stopping gangs loses far more work than the urgent group needs. So work that can wait
//! leaves a part of the workers free.

use crate::prelude::*;
use crate::process::planner::order::WaitingStep;
use crate::process::planner::place::{CapacityView, Placement};
use crate::process::planner::state::PlannerState;
use crate::request::submission::StepShape;

/// Percentage of the workers that non-urgent work leaves wholly free. Urgent jobs use
/// about this share in the expected load, so a burst of twice as many fits without
/// stopping anything.
const HEADROOM_PERCENT: usize = 15;
/// How long before the latest start that meets its objective a unit may also use the
/// workers that are kept free. A gang may not: stopping it again loses the work of all its
/// members.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

impl PlannerState {
    /// Whether a placement of a waiting group leaves the workers free that are kept for
    /// urgent work, or need not.
    pub(super) fn respects_headroom(
        &self,
        now: MonotonicTime,
        step: &WaitingStep,
        shape: &StepShape,
        run_time: Duration,
        view: &CapacityView,
        placement: &Placement,
    ) -> bool {
        if step.priority == 0 || view.is_half_free {
            return true;
        }
        let is_near_deadline = now + run_time + DEADLINE_MARGIN >= step.due_by;
        if !shape.is_gang && is_near_deadline {
            return true;
        }
        let headroom = self.headroom(view);
        let workers: BTreeSet<&WorkerName> = placement.workers.iter().collect();
        let exceeds_pool = workers.len() + headroom > view.in_use;
        exceeds_pool || view.free_workers_after(placement) >= headroom
    }

    /// Returns the number of workers that non-urgent work leaves wholly free, zero if no
    /// queue is urgent.
    fn headroom(&self, view: &CapacityView) -> usize {
        if self.manifest.has_urgent_queue() {
            view.in_use * HEADROOM_PERCENT / 100
        } else {
            0
        }
    }
}
