//! The planner's records on their way to the jobs stream. One append is under way at
//! a time, numbered within the epoch, so that a repetition is never written twice and
//! nothing is written once a higher epoch has been announced. What must not happen
//! before its record is in the log waits as an effect of its append.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction};
use crate::process::record::{AppendMark, JobRecord, KeyedRecord};
use crate::process::stream::{AppendCondition, AppendOrder, AppendedAt, StreamError, StreamName};
use crate::process::stream_follower::allocate_ticket;

/// Factor of the usual time of an append after which its answer counts as lost.
const ANSWER_FACTOR: u32 = 4;
/// Least time for an answer: a few times the platform's usual 5 to 10 ms, and short
/// enough that five copies fit into the time after which a silent planner is replaced.
const LEAST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Longest time for an answer; a log that answers 60 times slower than usual stays
/// within it.
const LONGEST_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time that a first append is expected to take.
const FIRST_APPEND_TIME: Duration = Duration::from_millis(50);
/// Pause before an append is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Most bytes of one append; a quarter of what the platform takes in one call.
const BATCH_BYTES: usize = 512 * 1024;

/// What waits for a record to be in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitEffect {
    /// Send the starts of this run.
    Start(GroupKey, RunNumber),
    /// Tell the worker to forget its ends up to this number.
    AcknowledgeEnds(WorkerName, WorkerIncarnation, u64),
    /// The seat may be given up.
    Resign,
}

#[derive(Clone, Debug, Default)]
struct RecordBatch {
    /// Records by key; a newer record of a key replaces an older one.
    records: BTreeMap<Arc<str>, KeyedRecord>,
    effects: Vec<CommitEffect>,
}

#[derive(Clone, Debug)]
struct SentBatch {
    batch: RecordBatch,
    ticket: Option<CallTicket>,
    repeat_at: MonotonicTime,
    /// When its first copy was sent.
    first_at: MonotonicTime,
    /// When its newest copy was sent.
    newest_at: MonotonicTime,
    /// Copies sent.
    copies: u32,
}

/// How an append of the planner ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The records are in the log, and these effects may follow.
    Written(Vec<CommitEffect>),
    /// It will be repeated.
    Retrying,
    /// A higher epoch has written: this planner has to stop.
    Superseded,
}

/// The planner's appends.
#[derive(Clone, Debug)]
pub struct PlanWriter {
    epoch: LeaderEpoch,
    /// Number of the next append.
    sequence: u64,
    has_written: bool,
    sent: Option<SentBatch>,
    queued: RecordBatch,
    /// Time that an append takes of late: from its newest copy if that was answered; an
    /// equal part for each copy if it was read back, since any of them may have done it.
    usual_time: Duration,
    /// Time after which the log took an append of this epoch: when the newest one that
    /// succeeded was sent. Its answer may have waited for long in a process that was held
    /// up.
    pub confirmed_at: MonotonicTime,
}

impl PlanWriter {
    /// A writer whose epoch was announced by append zero.
    pub fn new(epoch: LeaderEpoch, now: MonotonicTime) -> Self {
        Self {
            epoch,
            sequence: 1,
            has_written: false,
            sent: None,
            queued: RecordBatch::default(),
            usual_time: FIRST_APPEND_TIME,
            confirmed_at: now,
        }
    }

    /// Whether an append is under way or waits for its repetition.
    pub const fn is_busy(&self) -> bool {
        self.sent.is_some()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.sent.is_none() && self.queued.records.is_empty() && self.queued.effects.is_empty()
    }

    /// Adds a record, and what may follow once it is in the log.
    pub fn push(&mut self, record: &JobRecord, effect: Option<CommitEffect>) {
        let encoded = record.encode();
        self.queued
            .records
            .insert(Arc::clone(&encoded.key), encoded);
        self.queued.effects.extend(effect);
    }

    /// Adds an effect that follows what is queued already.
    pub fn push_effect(&mut self, effect: CommitEffect) {
        self.queued.effects.push(effect);
    }

    /// Effects that wait for no record.
    pub fn take_ready_effects(&mut self) -> Vec<CommitEffect> {
        if self.sent.is_none() && self.queued.records.is_empty() {
            return std::mem::take(&mut self.queued.effects);
        }
        Vec::new()
    }

    /// Sends what is queued, or repeats what was not answered.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        if self.sent.is_none() && !self.queued.records.is_empty() {
            let batch = self.take_batch();
            self.sent = Some(SentBatch {
                batch,
                ticket: None,
                repeat_at: now,
                first_at: now,
                newest_at: now,
                copies: 0,
            });
        }
        let (epoch, sequence) = (self.epoch, self.sequence);
        let timeout = self.usual_time * ANSWER_FACTOR;
        let Some(sent) = &mut self.sent else {
            return;
        };
        if sent.ticket.is_some() || now < sent.repeat_at {
            return;
        }
        let ticket = allocate_ticket(next_ticket);
        sent.ticket = Some(ticket);
        sent.newest_at = now;
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
            timeout: timeout.clamp(LEAST_ANSWER_TIME, LONGEST_ANSWER_TIME),
        });
    }

    /// Takes what is queued, up to the bytes of one append. Effects go with the last
    /// part, since each needs the records queued before it.
    fn take_batch(&mut self) -> RecordBatch {
        let mut bytes = 0;
        let mut records = BTreeMap::new();
        while bytes < BATCH_BYTES {
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

    /// Takes the answer of an append; nothing if it is not one of this writer's.
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
        let step = match result {
            Ok(_) => {
                let sent_at = sent.newest_at;
                WriteOutcome::Written(self.note_written(sent_at, now.since(sent_at)))
            }
            Err(StreamError::Sequence { expected }) if !self.has_written => {
                // The announcement of the epoch counted differently.
                self.sequence = *expected;
                WriteOutcome::Retrying
            }
            Err(StreamError::Fenced | StreamError::Sequence { .. }) => WriteOutcome::Superseded,
            Err(_) => {
                sent.repeat_at = now + REPEAT_PAUSE;
                WriteOutcome::Retrying
            }
        };
        Some(step)
    }

    /// Takes the number of an append that was read back: if it is the one under way,
    /// its effects may follow, whatever became of its answer.
    pub fn apply_mark(
        &mut self,
        now: MonotonicTime,
        mark: AppendMark,
    ) -> Option<Vec<CommitEffect>> {
        let sent = self.sent.as_ref()?;
        if mark != AppendMark(self.epoch, self.sequence) {
            return None;
        }
        let sent_at = sent.first_at;
        let taken = now.since(sent_at) / sent.copies.max(1);
        Some(self.note_written(sent_at, taken))
    }

    fn note_written(&mut self, sent_at: MonotonicTime, taken: Duration) -> Vec<CommitEffect> {
        self.sequence += 1;
        self.has_written = true;
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.usual_time = (self.usual_time + taken) / 2;
        let sent = self.sent.take();
        sent.map(|sent| sent.batch.effects).unwrap_or_default()
    }
}
