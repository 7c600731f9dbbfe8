//! State of one worker besides its capacity: whether it has answered since this
//! planner became leader, and which requests to it are outstanding.

use crate::prelude::*;
use crate::process::planner::event::{ListedTask, TaskKey};
use crate::process::planner::failure::FailureRecord;

/// An outstanding renewal of leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewRequest {
    /// Time from which an answer extends the leases. It is the time of the oldest
    /// unanswered request, since an answer does not say which request it belongs to.
    pub extends_from: MonotonicTime,
    /// When the newest request was sent.
    pub sent_at: MonotonicTime,
    /// Tasks of the newest request.
    pub tasks: Vec<TaskKey>,
}

/// One worker of the zone.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// Incarnation in the newest record or list; never decreases.
    pub incarnation: u64,
    /// Whether it is draining and receives no new work; never reset within an
    /// incarnation.
    pub draining: bool,
    /// Whether the host list no longer contains it. The entry is kept until nothing is
    /// held on the worker.
    pub removed: bool,
    /// Whether it answered the newest request for its list since this planner became
    /// leader.
    pub listed: bool,
    /// Whether a request for its list has failed since this planner became leader.
    pub list_failed: bool,
    /// When its list was requested, while the answer is outstanding.
    pub list_requested_at: Option<MonotonicTime>,
    /// When its list is next due.
    pub next_list_at: MonotonicTime,
    /// Outstanding renewal of its leases.
    pub renewal: Option<RenewRequest>,
    /// Its failures, and its quarantine if any.
    pub failures: FailureRecord,
    /// Its newest task list, from which a new leader rebuilds its state.
    pub listed_tasks: Vec<ListedTask>,
}

impl WorkerEntry {
    /// Returns whether new work may be placed on it.
    pub const fn is_usable(&self) -> bool {
        self.listed && !self.draining && !self.removed && self.failures.quarantined_until.is_none()
    }

    /// Resets the state that belongs to a term that has ended.
    pub fn clear_term_state(&mut self) {
        self.listed = false;
        self.list_failed = false;
        self.list_requested_at = None;
        self.renewal = None;
        self.listed_tasks.clear();
    }
}
