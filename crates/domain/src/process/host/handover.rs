//! Ends that a superseded planner saw and could not record. Its successor may have no other
//! way to learn of them: a worker that has left lists nothing. Under load on a pool that
//! shrinks while a zone is cut off, the successor otherwise runs such units again, after the
//! lease, and the steps after them wait.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction};
use crate::process::job_table::JobTable;
use crate::process::record::{GroupRecord, GroupStage, JobRecord, KeyedRecord};
use crate::process::stream::{AppendCondition, AppendOrder, AppendedAt, StreamError, StreamName};
use crate::process::stream_follower::allocate_ticket;

/// Timeout of an append, and delay before it is sent again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which ends are not handed over any more. The successor has run the units again by
/// then, and records of their jobs may have been removed.
const MAX_AGE: Duration = Duration::from_mins(1);

/// Ends that wait to be handed over.
#[derive(Clone, Debug, Default)]
pub(super) struct EndHandover {
    groups: BTreeSet<GroupKey>,
    /// When the planner that saw them ended.
    since: MonotonicTime,
    ticket: Option<CallTicket>,
    retry_at: MonotonicTime,
}

impl EndHandover {
    /// Adds the groups that a planner saw done.
    pub(super) fn add(&mut self, now: MonotonicTime, groups: BTreeSet<GroupKey>) {
        if groups.is_empty() {
            return;
        }
        log::info!(target: "end", groups = groups.len(); "ends that are not recorded are handed over");
        self.groups.extend(groups);
        self.since = now;
    }

    /// Records the ends that the log does not contain. A read that was sent after the planner
    /// ended has to have reached the tail, so that what the successor recorded is known.
    pub(super) fn poll(
        &mut self,
        now: MonotonicTime,
        confirmed_at: Option<MonotonicTime>,
        table: &JobTable,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        if now >= self.since + MAX_AGE {
            self.groups.clear();
        }
        let is_current = confirmed_at.is_some_and(|at| at >= self.since);
        if self.groups.is_empty() || !is_current || self.ticket.is_some() || now < self.retry_at {
            return;
        }
        let records: BTreeMap<_, _> = self
            .groups
            .iter()
            .filter_map(|key| Some((*key, done_record(table, key)?)))
            .collect();
        self.groups.retain(|key| records.contains_key(key));
        if records.is_empty() {
            return;
        }
        let ticket = allocate_ticket(last_ticket);
        self.ticket = Some(ticket);
        self.retry_at = now + APPEND_TIMEOUT;
        actions.push(HostAction::Append {
            ticket,
            order: AppendOrder {
                stream: StreamName::Jobs,
                records: records.into_values().collect(),
                condition: AppendCondition::None,
            },
            timeout: APPEND_TIMEOUT,
        });
    }

    /// Handles the result of an append. Returns whether the append was one of these. Ends whose
    /// append was not answered are sent again unless they are read.
    pub(super) fn handle_append_result(
        &mut self,
        ticket: CallTicket,
        result: &Result<AppendedAt, StreamError>,
    ) -> bool {
        if self.ticket != Some(ticket) {
            return false;
        }
        self.ticket = None;
        if result.is_ok() {
            self.groups.clear();
        }
        true
    }
}

/// Returns the record of a group's end, which keeps the run and the failures that the successor
/// recorded. `None` if the log needs no such record.
fn done_record(table: &JobTable, key: &GroupKey) -> Option<KeyedRecord> {
    let job = table.job(key.job).filter(|job| job.is_open())?;
    let known = job.groups.get(key)?;
    if known.stage == GroupStage::Done {
        return None;
    }
    let record = GroupRecord {
        stage: GroupStage::Done,
        places: Vec::new(),
        released: BTreeSet::new(),
        ..known.clone()
    };
    Some(JobRecord::Group(*key, record).encode())
}
