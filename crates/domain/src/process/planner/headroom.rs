//! Workers kept wholly free for urgent work. During a burst of small urgent jobs in a
//! full pool, a group that has to wait until others are stopped is often late already,
//! so work that can wait leaves a part of the workers free.

use crate::process::planner::place::CapacityView;
use crate::process::planner::state::PlannerState;

/// Percentage of the workers that non-urgent work leaves wholly free. Urgent jobs use
/// about this share in the expected load, so a burst of twice as many fits without
/// stopping anything.
const HEADROOM_PERCENT: usize = 15;

impl PlannerState {
    /// Returns the number of workers that non-urgent work leaves wholly free, zero if no
    /// queue is urgent.
    pub(super) fn headroom(&self, view: &CapacityView) -> usize {
        let mut queues = self.manifest.queues.values();
        if queues.any(|queue| queue.priority == 0) {
            view.rows.len() * HEADROOM_PERCENT / 100
        } else {
            0
        }
    }
}
