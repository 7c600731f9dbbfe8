//! Appends records to the platform's log. All waiting records, up to the limits of an
//! append, go out in one append, and one append is in flight at a time. If the response
//! to an append is lost, the outcome of its records is resolved by reading the log. A
//! record is reported as not written only if that is certain: it was never sent, or the
//! log refused it.

pub mod message;

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
pub use crate::process::log_appender::message::{
    AppendError, AppendId, AppenderAction, AppenderCounters, AppenderEvent, NotWrittenReason,
    OutgoingRecord, SubmitError,
};
use crate::process::record::LogOffset;
use crate::process::retry_backoff::RetryBackoff;

/// Minimum time between two appends of one host. It limits the host to four appends a
/// second at any load. Records that wait meanwhile share the next append, up to its
/// limits.
pub const APPEND_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of records in one append.
pub const MAX_APPEND_RECORDS: usize = 256;
/// Maximum size of one append, unless a single record is larger.
pub const MAX_APPEND_BYTES: usize = 512 * 1_024;
/// Maximum size of one record; readers skip larger ones.
pub const MAX_RECORD_BYTES: usize = 1_024 * 1_024;
/// Time after which the outcome of an unanswered append counts as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open records; further records with an expiry are refused.
pub const MAX_QUEUED_RECORDS: usize = 4_096;
/// Maximum number of expired records with an unknown outcome that are tracked;
/// the oldest are dropped first.
const MAX_UNRESOLVED_RECORDS: usize = 4_096;

/// A record that was sent and may be in the log.
#[derive(Clone, Debug)]
struct UnconfirmedRecord {
    record: OutgoingRecord,
    /// When the outcome of the append became unknown; `None` while the append is in
    /// flight. The record may be sent again once a read that was sent later has
    /// reached the tail without showing the record.
    unknown_since: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct InFlightAppend {
    append: AppendId,
    sent_at: MonotonicTime,
}

/// Writer to the platform's log.
#[derive(Clone, Debug)]
pub struct LogAppender {
    /// Records that are certainly not in the log, in order of submission.
    waiting: VecDeque<OutgoingRecord>,
    /// Records to be sent again, oldest first; an earlier append may have written them.
    retrying: VecDeque<OutgoingRecord>,
    /// Records whose append is in flight or has an unknown outcome.
    unconfirmed: BTreeMap<RecordId, UnconfirmedRecord>,
    /// Records that expired while their outcome was unknown, oldest first.
    unresolved: VecDeque<RecordId>,
    /// Record identifiers of every append that may still be answered.
    sent: BTreeMap<AppendId, Vec<RecordId>>,
    in_flight: Option<InFlightAppend>,
    next_append: u64,
    send_at: MonotonicTime,
    /// Maximum number of records per append. Drops to one if the log refuses an
    /// append and doubles with every success.
    batch_limit: usize,
    backoff: RetryBackoff,
    counters: AppenderCounters,
}

impl LogAppender {
    /// Creates an appender without records. `random` must differ between hosts.
    pub fn new(now: MonotonicTime, random: ChaCha8Rng) -> Self {
        Self {
            waiting: VecDeque::new(),
            retrying: VecDeque::new(),
            unconfirmed: BTreeMap::new(),
            unresolved: VecDeque::new(),
            sent: BTreeMap::new(),
            in_flight: None,
            next_append: 0,
            send_at: now,
            batch_limit: MAX_APPEND_RECORDS,
            backoff: RetryBackoff::new(random),
            counters: AppenderCounters::default(),
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> &AppenderCounters {
        &self.counters
    }

    /// Returns the number of records that have neither been written nor expired.
    pub fn open_records(&self) -> usize {
        self.waiting.len() + self.retrying.len() + self.unconfirmed.len()
    }

    /// Queues a record for the next append. A record that is open already is not
    /// queued twice. One that expired with an unknown outcome is sent again.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is too large or too many records are open. The
    /// record is not queued then.
    pub fn submit(&mut self, record: OutgoingRecord) -> Result<(), SubmitError> {
        if record.bytes > MAX_RECORD_BYTES {
            let bytes = record.bytes;
            return Err(SubmitError::TooLarge { bytes });
        }
        if record.expires_at.is_some() && self.open_records() >= MAX_QUEUED_RECORDS {
            return Err(SubmitError::QueueFull);
        }
        if remove_where(&mut self.unresolved, |unresolved| unresolved == &record.id) {
            self.retrying.push_back(record);
        } else if !self.is_open(&record.id) {
            self.waiting.push_back(record);
        }
        Ok(())
    }

    fn is_open(&self, id: &RecordId) -> bool {
        let queued = self.waiting.iter().chain(&self.retrying);
        self.unconfirmed.contains_key(id) || queued.into_iter().any(|record| &record.id == id)
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: MonotonicTime, event: AppenderEvent) -> Vec<AppenderAction> {
        let mut actions = Vec::new();
        match event {
            AppenderEvent::Answered {
                append,
                first,
                next,
            } => self.handle_response(append, first, next, &mut actions),
            AppenderEvent::Failed { append, error } => {
                self.handle_error(now, append, error, &mut actions);
            }
            AppenderEvent::Followed { id, offset } => {
                if self.resolve(&id, Some(offset), &mut actions) {
                    self.counters.resolved_by_reading += 1;
                }
            }
            AppenderEvent::CaughtUp { at } => self.retry_unseen(at),
            AppenderEvent::Tick => {
                self.check_timeout(now);
                self.expire_records(now, &mut actions);
            }
        }
        self.send(now, &mut actions);
        actions
    }

    fn handle_response(
        &mut self,
        append: AppendId,
        first: LogOffset,
        next: LogOffset,
        actions: &mut Vec<AppenderAction>,
    ) {
        let Some(ids) = self.sent.remove(&append) else {
            return;
        };
        if self.is_in_flight(append) {
            self.in_flight = None;
            self.backoff.reset();
            self.batch_limit = (self.batch_limit * 2).min(MAX_APPEND_RECORDS);
        }
        let is_dense = next.0.saturating_sub(first.0) == ids.len() as u64;
        for (id, index) in ids.iter().zip(0..) {
            let offset = is_dense.then_some(LogOffset(first.0 + index));
            self.resolve(id, offset, actions);
        }
    }

    fn is_in_flight(&self, append: AppendId) -> bool {
        self.in_flight.as_ref().is_some_and(|f| f.append == append)
    }

    /// Reports a record as written, at most once. Returns whether it was still open.
    fn resolve(
        &mut self,
        id: &RecordId,
        offset: Option<LogOffset>,
        actions: &mut Vec<AppenderAction>,
    ) -> bool {
        let is_new = self.remove_sent(id);
        if is_new {
            let id = id.clone();
            actions.push(AppenderAction::Written { id, offset });
            self.remove_resolved_appends();
        }
        is_new
    }

    /// Removes a record that was sent. Returns whether it was still open.
    fn remove_sent(&mut self, id: &RecordId) -> bool {
        self.unconfirmed.remove(id).is_some()
            || remove_record(&mut self.retrying, id)
            || remove_where(&mut self.unresolved, |unresolved| unresolved == id)
    }

    fn handle_error(
        &mut self,
        now: MonotonicTime,
        append: AppendId,
        error: AppendError,
        actions: &mut Vec<AppenderAction>,
    ) {
        if !self.is_in_flight(append) {
            return;
        }
        self.in_flight = None;
        let wait = self.backoff.record_failure();
        self.send_at = self.send_at.max(now + wait);
        match error {
            AppendError::Unknown => self.mark_outcome_unknown(now, append),
            AppendError::NotSent => self.requeue(append, actions),
            AppendError::Refused(message) => self.handle_refusal(append, &message, actions),
        }
    }

    fn mark_outcome_unknown(&mut self, now: MonotonicTime, append: AppendId) {
        self.counters.unanswered += 1;
        for id in self.sent.get(&append).into_iter().flatten() {
            if let Some(unconfirmed) = self.unconfirmed.get_mut(id) {
                unconfirmed.unknown_since = Some(now);
            }
        }
    }

    /// Returns the records of an append that certainly was not written to their
    /// queues. Those that an earlier append may have written go to `retrying`.
    fn requeue(&mut self, append: AppendId, actions: &mut Vec<AppenderAction>) {
        for id in self.sent.remove(&append).unwrap_or_default().iter().rev() {
            let was_sent = self.was_sent(id);
            match self.unconfirmed.remove(id) {
                Some(unconfirmed) if was_sent => self.retrying.push_front(unconfirmed.record),
                Some(unconfirmed) => self.waiting.push_front(unconfirmed.record),
                None if was_sent => {}
                None => self.report_not_written(id, NotWrittenReason::Expired, actions),
            }
        }
    }

    /// Reports a record that no append can have written, unless its outcome is known
    /// already.
    fn report_not_written(
        &mut self,
        id: &RecordId,
        reason: NotWrittenReason,
        actions: &mut Vec<AppenderAction>,
    ) {
        if self.remove_sent(id) {
            let id = id.clone();
            actions.push(AppenderAction::NotWritten { id, reason });
        }
    }

    fn was_sent(&self, id: &RecordId) -> bool {
        self.sent.values().flatten().any(|sent| sent == id)
    }

    /// Retries a refused append record by record, so that one invalid record does
    /// not hold up the others.
    fn handle_refusal(
        &mut self,
        append: AppendId,
        message: &str,
        actions: &mut Vec<AppenderAction>,
    ) {
        let ids = self.sent.get(&append).cloned().unwrap_or_default();
        self.batch_limit = 1;
        if let [id] = ids.as_slice()
            && !self.was_sent_before(id, append)
        {
            self.sent.remove(&append);
            let reason = NotWrittenReason::Refused(message.to_owned());
            return self.report_not_written(id, reason, actions);
        }
        self.requeue(append, actions);
    }

    fn was_sent_before(&self, id: &RecordId, append: AppendId) -> bool {
        let mut earlier = self.sent.range(..append);
        earlier.any(|(_, ids)| ids.contains(id))
    }

    /// Retries the records that a read to the tail did not show, if it was sent (at
    /// `at`) after their outcome became unknown. The first append may still take effect:
    /// readers ignore copies.
    fn retry_unseen(&mut self, at: MonotonicTime) {
        let unseen: Vec<RecordId> = self
            .unconfirmed
            .iter()
            .filter(|(_, unconfirmed)| unconfirmed.unknown_since.is_some_and(|since| since < at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in unseen {
            if let Some(unconfirmed) = self.unconfirmed.remove(&id) {
                self.retrying.push_back(unconfirmed.record);
            }
        }
    }

    fn check_timeout(&mut self, now: MonotonicTime) {
        let Some(last) = &self.in_flight else { return };
        if now.since(last.sent_at) >= APPEND_TIMEOUT {
            let append = last.append;
            self.in_flight = None;
            self.send_at = self.send_at.max(now + self.backoff.record_failure());
            self.mark_outcome_unknown(now, append);
        }
    }

    fn expire_records(&mut self, now: MonotonicTime, actions: &mut Vec<AppenderAction>) {
        let is_expired = |record: &OutgoingRecord| record.expires_at.is_some_and(|at| at <= now);
        self.waiting.retain(|record| {
            if is_expired(record) {
                actions.push(AppenderAction::NotWritten {
                    id: record.id.clone(),
                    reason: NotWrittenReason::Expired,
                });
            }
            !is_expired(record)
        });
        let retrying = self.retrying.iter();
        let unconfirmed = self
            .unconfirmed
            .values()
            .map(|unconfirmed| &unconfirmed.record);
        let expired: Vec<RecordId> = retrying
            .chain(unconfirmed)
            .filter(|record| is_expired(record))
            .map(|record| record.id.clone())
            .collect();
        for id in expired {
            self.unconfirmed.remove(&id);
            remove_record(&mut self.retrying, &id);
            self.unresolved.push_back(id.clone());
            actions.push(AppenderAction::Unresolved { id });
        }
        while self.unresolved.len() > MAX_UNRESOLVED_RECORDS {
            self.unresolved.pop_front();
        }
        self.remove_resolved_appends();
    }

    fn remove_resolved_appends(&mut self) {
        let Self {
            sent,
            unconfirmed,
            retrying,
            unresolved,
            ..
        } = self;
        sent.retain(|_, ids| {
            ids.iter().any(|id| {
                unconfirmed.contains_key(id)
                    || unresolved.contains(id)
                    || retrying.iter().any(|record| &record.id == id)
            })
        });
    }

    fn send(&mut self, now: MonotonicTime, actions: &mut Vec<AppenderAction>) {
        if self.in_flight.is_some() || now < self.send_at {
            return;
        }
        let records = self.next_batch();
        if records.is_empty() {
            return;
        }
        let append = AppendId(self.next_append);
        self.next_append += 1;
        self.counters.appends += 1;
        self.counters.records += records.len() as u64;
        let ids = records.iter().map(|record| record.id.clone()).collect();
        self.sent.insert(append, ids);
        for record in &records {
            let unconfirmed = UnconfirmedRecord {
                record: record.clone(),
                unknown_since: None,
            };
            self.unconfirmed.insert(record.id.clone(), unconfirmed);
        }
        self.in_flight = Some(InFlightAppend {
            append,
            sent_at: now,
        });
        self.send_at = now + APPEND_INTERVAL;
        actions.push(AppenderAction::Append { append, records });
    }

    fn next_batch(&mut self) -> Vec<OutgoingRecord> {
        let mut records: Vec<OutgoingRecord> = Vec::new();
        let mut bytes = 0;
        while records.len() < self.batch_limit {
            let is_retry = !self.retrying.is_empty();
            let queue = if is_retry {
                &mut self.retrying
            } else {
                &mut self.waiting
            };
            let fits = |r: &OutgoingRecord| bytes == 0 || bytes + r.bytes <= MAX_APPEND_BYTES;
            let Some(record) = queue.pop_front_if(|record| fits(record)) else {
                break;
            };
            self.counters.retried += u64::from(is_retry);
            bytes += record.bytes;
            records.push(record);
        }
        records
    }
}

fn remove_record(queue: &mut VecDeque<OutgoingRecord>, id: &RecordId) -> bool {
    remove_where(queue, |record| &record.id == id)
}

fn remove_where<T>(queue: &mut VecDeque<T>, is_wanted: impl Fn(&T) -> bool) -> bool {
    let Some(index) = queue.iter().position(is_wanted) else {
        return false;
    };
    queue.remove(index).is_some()
}

impl Display for LogAppender {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let in_flight = self.in_flight.as_ref().map_or_else(
            || "nothing in flight".to_owned(),
            |in_flight| format!("{} in flight", in_flight.append),
        );
        writeln!(
            f,
            "{} waiting, {} to repeat, {} unsettled, {} doubtful, {in_flight}",
            self.waiting.len(),
            self.retrying.len(),
            self.unconfirmed.len(),
            self.unresolved.len()
        )
    }
}
