//! Workers kept wholly free for urgent work. Answers bursts of small urgent jobs over
//! a full pool: an urgent group that has to wait until others are stopped is often
//! late already, so work that can wait leaves a part of the workers free.

use crate::process::planner::place::CapacityView;
use crate::process::planner::state::PlannerState;

/// Part of the workers, in percent, that work which can wait leaves wholly free: about
/// what urgent jobs take on the users' sheets, so that a burst of twice as many finds
/// room without stopping anything.
const HEADROOM_PERCENT: usize = 15;

impl PlannerState {
    /// Workers that work which can wait leaves wholly free; none without an urgent
    /// queue.
    pub(super) fn headroom(&self, view: &CapacityView) -> usize {
        let mut queues = self.manifest.queues.values();
        if queues.any(|queue| queue.priority == 0) {
            view.rows.len() * HEADROOM_PERCENT / 100
        } else {
            0
        }
    }
}
