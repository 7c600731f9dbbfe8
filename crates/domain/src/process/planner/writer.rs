//! Writes the planner's records to the jobs stream. One append is in flight at a time,
//! numbered within the epoch, so that a retry is never written twice and nothing is
//! written once a higher epoch has been announced. Actions that must not precede their
//! record wait as effects of its append.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction};
use crate::process::record::{AppendMark, GroupStage, JobRecord, KeyedRecord};
use crate::process::stream::{AppendCondition, AppendOrder, AppendedAt, StreamError, StreamName};
use crate::process::stream_follower::allocate_ticket;

/// Multiple of the typical time of an append after which its answer counts as lost.
const TIMEOUT_FACTOR: u32 = 4;
/// Minimum timeout of an append: a multiple of the platform's usual 5 to 10 ms, and short
/// enough that five copies fit into the time after which a silent planner is replaced.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum timeout of an append; a log that answers 60 times slower than usual stays
/// within it.
const MAX_APPEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of a sample of the typical time, as a multiple of it, if the append was read back:
/// its answer, or some of its copies, may be lost, and the time says little about the log.
const MAX_READ_BACK_FACTOR: u32 = 2;
/// Typical time of an append that is assumed before the first one.
const INITIAL_APPEND_TIME: Duration = Duration::from_millis(50);
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size from which no further record is added to an append; a quarter of what the platform
/// accepts in one call.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Action that waits until its record is in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitEffect {
    /// Send the starts of this run.
    Start(GroupKey, RunNumber),
    /// Acknowledge the worker's ends up to this number, so that it may discard them.
    AcknowledgeEnds(WorkerName, WorkerIncarnation, u64),
    /// Complete the resignation of leadership.
    Resign,
}

#[derive(Clone, Debug, Default)]
struct RecordBatch {
    /// Records by key; a newer record of a key replaces the older one.
    records: BTreeMap<Arc<str>, KeyedRecord>,
    effects: Vec<CommitEffect>,
}

#[derive(Clone, Debug)]
struct SentBatch {
    batch: RecordBatch,
    ticket: Option<CallTicket>,
    retry_at: MonotonicTime,
    /// When its first copy was sent.
    first_sent_at: MonotonicTime,
    /// When its newest copy was sent.
    last_sent_at: MonotonicTime,
    /// Number of copies sent.
    copies: u32,
}

/// Outcome of an append of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The records are in the log, and these effects may follow.
    Written(Vec<CommitEffect>),
    /// The append will be retried.
    Retrying,
    /// A higher epoch has written: this planner has to stop.
    Superseded,
}

/// Writer of the planner's records.
#[derive(Clone, Debug)]
pub struct PlanWriter {
    epoch: LeaderEpoch,
    /// Number of the next append.
    sequence: u64,
    has_written: bool,
    sent: Option<SentBatch>,
    queued: RecordBatch,
    /// Moving average of the time that an append takes: measured from its newest copy if
    /// that was answered, or divided by the number of copies if the append was read back,
    /// since any of them may have been written.
    typical_time: Duration,
    /// Time after which the log accepted an append of this epoch: when the newest one that
    /// succeeded was sent. The time of its answer would be too late, since the answer may
    /// have waited for long in a process that was paused.
    pub confirmed_at: MonotonicTime,
}

impl PlanWriter {
    /// Creates a writer whose epoch was announced by append zero, sent at `announced_at`.
    pub fn new(epoch: LeaderEpoch, announced_at: MonotonicTime) -> Self {
        Self {
            epoch,
            sequence: 1,
            has_written: false,
            sent: None,
            queued: RecordBatch::default(),
            typical_time: INITIAL_APPEND_TIME,
            confirmed_at: announced_at,
        }
    }

    /// Whether an append is in flight or waits for its retry.
    pub const fn is_busy(&self) -> bool {
        self.sent.is_some()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.sent.is_none() && self.queued.records.is_empty() && self.queued.effects.is_empty()
    }

    /// Returns the groups whose end is among the records that are not known to be written.
    pub fn unwritten_ends(&self) -> BTreeSet<GroupKey> {
        let sent = self.sent.iter().flat_map(|sent| &sent.batch.records);
        let records = sent.chain(&self.queued.records);
        let decoded = records
            .filter_map(|(key, record)| JobRecord::decode(key, record.value.as_deref()).ok());
        let ends = decoded.filter_map(|record| match record {
            JobRecord::Group(key, record) if record.stage == GroupStage::Done => Some(key),
            _ => None,
        });
        ends.collect()
    }

    /// Whether the next append is due and carries no effect, such as that of a heartbeat alone:
    /// nothing waits for it.
    pub fn is_next_idle(&self) -> bool {
        self.sent.is_none() && !self.queued.records.is_empty() && self.queued.effects.is_empty()
    }

    /// Queues a record, and an effect to apply once it is in the log.
    pub fn push(&mut self, record: &JobRecord, effect: Option<CommitEffect>) {
        let encoded = record.encode();
        self.queued
            .records
            .insert(Arc::clone(&encoded.key), encoded);
        self.queued.effects.extend(effect);
    }

    /// Queues an effect to apply once the records that are queued already are in the log.
    pub fn push_effect(&mut self, effect: CommitEffect) {
        self.queued.effects.push(effect);
    }

    /// Takes the effects that wait for no record.
    pub fn take_ready_effects(&mut self) -> Vec<CommitEffect> {
        if self.sent.is_none() && self.queued.records.is_empty() {
            return std::mem::take(&mut self.queued.effects);
        }
        Vec::new()
    }

    /// Sends the queued records, or retries an append that was not answered.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        if self.sent.is_none() && !self.queued.records.is_empty() {
            let batch = self.take_batch();
            self.sent = Some(SentBatch {
                batch,
                ticket: None,
                retry_at: now,
                first_sent_at: now,
                last_sent_at: now,
                copies: 0,
            });
        }
        let (epoch, sequence) = (self.epoch, self.sequence);
        let timeout = self.typical_time * TIMEOUT_FACTOR;
        let Some(sent) = &mut self.sent else {
            return;
        };
        if sent.ticket.is_some() || now < sent.retry_at {
            return;
        }
        let ticket = allocate_ticket(last_ticket);
        sent.ticket = Some(ticket);
        sent.last_sent_at = now;
        sent.copies += 1;
        let mark = JobRecord::Mark(AppendMark(epoch, sequence)).encode();
        let records = sent.batch.records.values().cloned();
        actions.push(HostAction::Append {
            ticket,
            order: AppendOrder {
                stream: StreamName::Jobs,
                records: records.chain([mark]).collect(),
                condition: AppendCondition::Writer { epoch, sequence },
            },
            timeout: timeout.clamp(MIN_APPEND_TIMEOUT, MAX_APPEND_TIMEOUT),
        });
    }

    /// Takes the queued records for one append. Effects go with the last part, since each
    /// needs the records queued before it.
    fn take_batch(&mut self) -> RecordBatch {
        let mut bytes = 0;
        let mut records = BTreeMap::new();
        while bytes < MAX_BATCH_BYTES {
            let Some((key, record)) = self.queued.records.pop_first() else {
                break;
            };
            bytes += key.len() + record.value.as_ref().map_or(0, bytes::Bytes::len);
            records.insert(key, record);
        }
        let is_last = self.queued.records.is_empty();
        let effects = if is_last {
            std::mem::take(&mut self.queued.effects)
        } else {
            Vec::new()
        };
        RecordBatch { records, effects }
    }

    /// Handles the result of an append. Returns `None` if the append is not this writer's.
    pub fn handle_append_result(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &Result<AppendedAt, StreamError>,
    ) -> Option<WriteOutcome> {
        let sent = self.sent.as_mut()?;
        if sent.ticket != Some(ticket) {
            return None;
        }
        sent.ticket = None;
        let outcome = match result {
            Ok(_) => {
                let sent_at = sent.last_sent_at;
                WriteOutcome::Written(self.record_written(sent_at, now.since(sent_at)))
            }
            Err(StreamError::Sequence { expected }) if !self.has_written => {
                // The announcement of the epoch used a different sequence number.
                self.sequence = *expected;
                WriteOutcome::Retrying
            }
            Err(StreamError::Fenced | StreamError::Sequence { .. }) => WriteOutcome::Superseded,
            Err(_) => {
                sent.retry_at = now + RETRY_DELAY;
                WriteOutcome::Retrying
            }
        };
        Some(outcome)
    }

    /// Handles the number of an append that was read back. If it is the append in flight,
    /// returns its effects, since the append is in the log even if its answer is lost.
    pub fn apply_mark(
        &mut self,
        now: MonotonicTime,
        mark: AppendMark,
    ) -> Option<Vec<CommitEffect>> {
        let sent = self.sent.as_ref()?;
        if mark != AppendMark(self.epoch, self.sequence) {
            return None;
        }
        let sent_at = sent.first_sent_at;
        let elapsed = now.since(sent_at) / sent.copies.max(1);
        let elapsed = elapsed.min(self.typical_time * MAX_READ_BACK_FACTOR);
        Some(self.record_written(sent_at, elapsed))
    }

    fn record_written(&mut self, sent_at: MonotonicTime, elapsed: Duration) -> Vec<CommitEffect> {
        self.sequence += 1;
        self.has_written = true;
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.typical_time = (self.typical_time + elapsed) / 2;
        let sent = self.sent.take();
        sent.map(|sent| sent.batch.effects).unwrap_or_default()
    }
}
