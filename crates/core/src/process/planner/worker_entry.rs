//! What the planner knows of one worker besides its capacity: whether it has
//! answered since the seat was gained, and which requests are outstanding.

use crate::prelude::*;
use crate::process::planner::event::{ListedTask, TaskKey};
use crate::process::planner::failure::FailureRecord;

/// An outstanding renewal of leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewRequest {
    /// Time from which an answer extends the leases: that of the oldest request
    /// without an answer, since an answer does not say which one it belongs to.
    pub extends_from: MonotonicTime,
    /// When the newest request was sent.
    pub sent_at: MonotonicTime,
    /// Tasks of the newest request.
    pub tasks: Vec<TaskKey>,
}

/// One worker of the zone.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// Incarnation that the newest record or list gave; never goes back.
    pub incarnation: u64,
    /// Whether it receives no new work; never reset for one incarnation.
    pub leaving: bool,
    /// Whether the host list no longer has it. Kept until nothing is held on it.
    pub removed: bool,
    /// Whether it answered the newest request for its list, since the seat was
    /// gained.
    pub listed: bool,
    /// Whether a request for its list has failed since the seat was gained.
    pub list_failed: bool,
    /// When its list was last asked for and not yet answered.
    pub list_requested_at: Option<MonotonicTime>,
    /// When its list is next due.
    pub next_list_at: MonotonicTime,
    /// Outstanding renewal.
    pub renewal: Option<RenewRequest>,
    /// Its failures, and its quarantine if any.
    pub failures: FailureRecord,
    /// Its tasks as listed before the planner had rebuilt its state.
    pub found: Vec<ListedTask>,
}

impl WorkerEntry {
    /// Whether new work may be placed on it.
    pub const fn is_usable(&self) -> bool {
        self.listed && !self.leaving && !self.removed && self.failures.until.is_none()
    }

    /// Forgets what belongs to a seat that is lost.
    pub fn clear_term_state(&mut self) {
        self.listed = false;
        self.list_failed = false;
        self.list_requested_at = None;
        self.renewal = None;
        self.found.clear();
    }
}
