//! Appends records to the platform's log. All records that wait go out in one
//! append, one append is in flight at a time, and a record whose answer was lost
//! is settled by reading the log again. A record is reported as not written only
//! when that is proved: it never was sent, or the log refused it.

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

/// Least time between two appends of one host: at most four a second, whatever
/// the load, since an append takes all that waits.
pub const APPEND_INTERVAL: Duration = Duration::from_millis(250);
/// Most records of one append.
pub const MAX_APPEND_RECORDS: usize = 256;
/// Most bytes of one append, unless one record alone is larger.
pub const MAX_APPEND_BYTES: usize = 512 * 1_024;
/// Largest record; readers skip larger ones.
pub const MAX_RECORD_BYTES: usize = 1_024 * 1_024;
/// Time after which an append counts as unanswered.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Most records with a time limit that wait; more are refused.
pub const MAX_QUEUED_RECORDS: usize = 4_096;
/// Most records that were given up while it is unknown whether they were
/// written; the oldest are no longer watched.
const DOUBTFUL_RECORDS: usize = 4_096;

/// A record that may be in the log.
#[derive(Clone, Debug)]
struct UnsettledRecord {
    record: OutgoingRecord,
    /// When doubt began: a read sent after it that does not show the record
    /// allows to send the record again. Nothing while the append is in flight.
    doubt_since: Option<MonotonicTime>,
}

#[derive(Clone, Debug)]
struct FlyingAppend {
    append: AppendId,
    sent_at: MonotonicTime,
}

/// Writer to the log.
#[derive(Clone, Debug)]
pub struct LogAppender {
    /// Records that are certainly not in the log, in the order of submission.
    waiting: VecDeque<OutgoingRecord>,
    /// Records sent before and to be sent again, oldest first.
    repeating: VecDeque<OutgoingRecord>,
    /// Records that may be in the log.
    unsettled: BTreeMap<RecordId, UnsettledRecord>,
    /// Records given up in doubt, oldest first.
    doubtful: VecDeque<RecordId>,
    /// Records of every append that may still be answered.
    sent: BTreeMap<AppendId, Vec<RecordId>>,
    flying: Option<FlyingAppend>,
    next_append: u64,
    send_at: MonotonicTime,
    /// Records per append; one for a while after the log refused several.
    batch: usize,
    backoff: RetryBackoff,
    counters: AppenderCounters,
}

impl LogAppender {
    /// An appender with nothing to do. `random` differs between hosts.
    pub fn new(now: MonotonicTime, random: ChaCha8Rng) -> Self {
        Self {
            waiting: VecDeque::new(),
            repeating: VecDeque::new(),
            unsettled: BTreeMap::new(),
            doubtful: VecDeque::new(),
            sent: BTreeMap::new(),
            flying: None,
            next_append: 0,
            send_at: now,
            batch: MAX_APPEND_RECORDS,
            backoff: RetryBackoff::new(random),
            counters: AppenderCounters::default(),
        }
    }

    /// Counters.
    pub fn counters(&self) -> &AppenderCounters {
        &self.counters
    }

    /// Records that are not known to be in the log, given up ones excluded.
    pub fn open_records(&self) -> usize {
        self.waiting.len() + self.repeating.len() + self.unsettled.len()
    }

    /// Takes a record over. It goes out with the next append. A record that is
    /// open already is not taken twice; one given up in doubt is sent again.
    ///
    /// # Errors
    ///
    /// When too many records wait or the record is too large; nothing is written.
    pub fn submit(&mut self, record: OutgoingRecord) -> Result<(), SubmitError> {
        if record.bytes > MAX_RECORD_BYTES {
            let bytes = record.bytes;
            return Err(SubmitError::TooLarge { bytes });
        }
        if record.expires_at.is_some() && self.open_records() >= MAX_QUEUED_RECORDS {
            return Err(SubmitError::QueueFull);
        }
        if remove_where(&mut self.doubtful, |doubtful| doubtful == &record.id) {
            self.repeating.push_back(record);
        } else if !self.is_open(&record.id) {
            self.waiting.push_back(record);
        }
        Ok(())
    }

    fn is_open(&self, id: &RecordId) -> bool {
        let queued = self.waiting.iter().chain(&self.repeating);
        self.unsettled.contains_key(id) || queued.into_iter().any(|record| &record.id == id)
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: MonotonicTime, event: AppenderEvent) -> Vec<AppenderAction> {
        let mut actions = Vec::new();
        match event {
            AppenderEvent::Answered {
                append,
                first,
                next,
            } => self.take_answer(append, first, next, &mut actions),
            AppenderEvent::Failed { append, error } => {
                self.handle_error(now, append, error, &mut actions);
            }
            AppenderEvent::Followed { id, offset } => {
                if self.settle(&id, Some(offset), &mut actions) {
                    self.counters.resolved_by_reading += 1;
                }
            }
            AppenderEvent::CaughtUp { at } => self.repeat_unseen(at),
            AppenderEvent::Tick => {
                self.check_answer_limit(now);
                self.give_up(now, &mut actions);
            }
        }
        self.send(now, &mut actions);
        actions
    }

    fn take_answer(
        &mut self,
        append: AppendId,
        first: LogOffset,
        next: LogOffset,
        actions: &mut Vec<AppenderAction>,
    ) {
        let Some(ids) = self.sent.remove(&append) else {
            return;
        };
        if self.is_flying(append) {
            self.flying = None;
            self.backoff.succeed();
            self.batch = (self.batch * 2).min(MAX_APPEND_RECORDS);
        }
        let is_dense = next.0.saturating_sub(first.0) == ids.len() as u64;
        for (id, index) in ids.iter().zip(0..) {
            let offset = is_dense.then_some(LogOffset(first.0 + index));
            self.settle(id, offset, actions);
        }
    }

    fn is_flying(&self, append: AppendId) -> bool {
        self.flying.as_ref().is_some_and(|f| f.append == append)
    }

    /// Reports a record as written, once, and tells whether it was news.
    fn settle(
        &mut self,
        id: &RecordId,
        offset: Option<LogOffset>,
        actions: &mut Vec<AppenderAction>,
    ) -> bool {
        let is_news = self.take_out(id);
        if is_news {
            let id = id.clone();
            actions.push(AppenderAction::Written { id, offset });
            self.forget_settled_appends();
        }
        is_news
    }

    /// Removes a record that was sent, and tells whether it was still open.
    fn take_out(&mut self, id: &RecordId) -> bool {
        self.unsettled.remove(id).is_some()
            || remove_record(&mut self.repeating, id)
            || remove_where(&mut self.doubtful, |doubtful| doubtful == id)
    }

    fn handle_error(
        &mut self,
        now: MonotonicTime,
        append: AppendId,
        error: AppendError,
        actions: &mut Vec<AppenderAction>,
    ) {
        if !self.is_flying(append) {
            return;
        }
        self.flying = None;
        let wait = self.backoff.fail();
        self.send_at = self.send_at.max(now + wait);
        match error {
            AppendError::Unknown => self.begin_doubt(now, append),
            AppendError::NotSent => self.take_back(append, actions),
            AppendError::Refused(message) => self.take_refusal(append, &message, actions),
        }
    }

    fn begin_doubt(&mut self, now: MonotonicTime, append: AppendId) {
        self.counters.unanswered += 1;
        for id in self.sent.get(&append).into_iter().flatten() {
            if let Some(unsettled) = self.unsettled.get_mut(id) {
                unsettled.doubt_since = Some(now);
            }
        }
    }

    /// Records of an append that certainly was not written go back to where they
    /// came from: those sent in an earlier append may be in the log by that one.
    fn take_back(&mut self, append: AppendId, actions: &mut Vec<AppenderAction>) {
        for id in self.sent.remove(&append).unwrap_or_default().iter().rev() {
            let was_sent = self.was_sent(id);
            match self.unsettled.remove(id) {
                Some(unsettled) if was_sent => self.repeating.push_front(unsettled.record),
                Some(unsettled) => self.waiting.push_front(unsettled.record),
                None if was_sent => {}
                None => self.refuse(id, NotWrittenReason::Expired, actions),
            }
        }
    }

    /// Reports a record that no append can have written, unless it was settled.
    fn refuse(
        &mut self,
        id: &RecordId,
        reason: NotWrittenReason,
        actions: &mut Vec<AppenderAction>,
    ) {
        if self.take_out(id) {
            let id = id.clone();
            actions.push(AppenderAction::NotWritten { id, reason });
        }
    }

    fn was_sent(&self, id: &RecordId) -> bool {
        self.sent.values().flatten().any(|sent| sent == id)
    }

    /// One faulty record must not hold up the others, so a refused append is
    /// repeated record by record.
    fn take_refusal(&mut self, append: AppendId, message: &str, actions: &mut Vec<AppenderAction>) {
        let ids = self.sent.get(&append).cloned().unwrap_or_default();
        self.batch = 1;
        if let [id] = ids.as_slice()
            && !self.was_sent_before(id, append)
        {
            self.sent.remove(&append);
            let reason = NotWrittenReason::Refused(message.to_owned());
            return self.refuse(id, reason, actions);
        }
        self.take_back(append, actions);
    }

    fn was_sent_before(&self, id: &RecordId, append: AppendId) -> bool {
        let mut earlier = self.sent.range(..append);
        earlier.any(|(_, ids)| ids.contains(id))
    }

    /// A record that a read sent after the doubt began does not show is sent
    /// again. The first append may still take effect: copies do no harm.
    fn repeat_unseen(&mut self, at: MonotonicTime) {
        let unseen: Vec<RecordId> = self
            .unsettled
            .iter()
            .filter(|(_, unsettled)| unsettled.doubt_since.is_some_and(|since| since < at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in unseen {
            if let Some(unsettled) = self.unsettled.remove(&id) {
                self.repeating.push_back(unsettled.record);
            }
        }
    }

    fn check_answer_limit(&mut self, now: MonotonicTime) {
        let Some(flying) = &self.flying else { return };
        if now.since(flying.sent_at) >= ANSWER_LIMIT {
            let append = flying.append;
            self.flying = None;
            self.send_at = self.send_at.max(now + self.backoff.fail());
            self.begin_doubt(now, append);
        }
    }

    fn give_up(&mut self, now: MonotonicTime, actions: &mut Vec<AppenderAction>) {
        let is_over = |record: &OutgoingRecord| record.expires_at.is_some_and(|at| at <= now);
        self.waiting.retain(|record| {
            if is_over(record) {
                actions.push(AppenderAction::NotWritten {
                    id: record.id.clone(),
                    reason: NotWrittenReason::Expired,
                });
            }
            !is_over(record)
        });
        let repeating = self.repeating.iter();
        let unsettled = self.unsettled.values().map(|unsettled| &unsettled.record);
        let over: Vec<RecordId> = repeating
            .chain(unsettled)
            .filter(|record| is_over(record))
            .map(|record| record.id.clone())
            .collect();
        for id in over {
            self.unsettled.remove(&id);
            remove_record(&mut self.repeating, &id);
            self.doubtful.push_back(id.clone());
            actions.push(AppenderAction::Unresolved { id });
        }
        while self.doubtful.len() > DOUBTFUL_RECORDS {
            self.doubtful.pop_front();
        }
        self.forget_settled_appends();
    }

    fn forget_settled_appends(&mut self) {
        let Self {
            sent,
            unsettled,
            repeating,
            doubtful,
            ..
        } = self;
        sent.retain(|_, ids| {
            ids.iter().any(|id| {
                unsettled.contains_key(id)
                    || doubtful.contains(id)
                    || repeating.iter().any(|record| &record.id == id)
            })
        });
    }

    fn send(&mut self, now: MonotonicTime, actions: &mut Vec<AppenderAction>) {
        if self.flying.is_some() || now < self.send_at {
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
            let unsettled = UnsettledRecord {
                record: record.clone(),
                doubt_since: None,
            };
            self.unsettled.insert(record.id.clone(), unsettled);
        }
        self.flying = Some(FlyingAppend {
            append,
            sent_at: now,
        });
        self.send_at = now + APPEND_INTERVAL;
        actions.push(AppenderAction::Append { append, records });
    }

    fn next_batch(&mut self) -> Vec<OutgoingRecord> {
        let mut records: Vec<OutgoingRecord> = Vec::new();
        let mut bytes = 0;
        while records.len() < self.batch {
            let is_repeated = !self.repeating.is_empty();
            let queue = if is_repeated {
                &mut self.repeating
            } else {
                &mut self.waiting
            };
            let fits = |r: &OutgoingRecord| bytes == 0 || bytes + r.bytes <= MAX_APPEND_BYTES;
            let Some(record) = queue.pop_front_if(|record| fits(record)) else {
                break;
            };
            self.counters.repeated += u64::from(is_repeated);
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
        let flying = self.flying.as_ref().map_or_else(
            || "nothing in flight".to_owned(),
            |flying| format!("{} in flight", flying.append),
        );
        writeln!(
            f,
            "{} waiting, {} to repeat, {} unsettled, {} doubtful, {flying}",
            self.waiting.len(),
            self.repeating.len(),
            self.unsettled.len(),
            self.doubtful.len()
        )
    }
}
