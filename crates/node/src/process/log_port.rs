//! One stream of the log as the event loop sees it: a follower, an appender and
//! the schedule of snapshots, without connections. Requests to the log and
//! notices to the loop are collected and taken by the caller.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_appender::{
    AppendError, AppendId, AppenderAction, AppenderEvent, LogAppender, NotWrittenReason,
    OutgoingRecord, SubmitError,
};
use flamingowalk_core::process::log_follower::{
    FollowerAction, FollowerEvent, LogFollower, ReadError, ReadId, ReadPage,
};
use flamingowalk_core::process::record::{LogEntry, LogOffset, StoredEntry};
use flamingowalk_core::process::snapshot::{
    Snapshot, SnapshotSchedule, SnapshotTimes, chunk_id, split_snapshot,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::border::log::{AppendedRange, LogPage, NewRecord};
use crate::border::records::{read_record, write_record};

/// Age of the newest whole read up to which a host may write a snapshot.
const SNAPSHOT_CURRENCY: Duration = Duration::from_secs(5);
/// Time for which a snapshot chunk is worth writing.
const CHUNK_TIME: Duration = Duration::from_mins(1);

/// A request to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRequest {
    /// Read a page, waiting at the tail.
    Read {
        /// Number of the read.
        read: ReadId,
        /// First offset wanted.
        from: LogOffset,
        /// Most records wanted.
        limit: u32,
        /// Time for which the log may hold the read.
        wait: Duration,
        /// Whether to open a new connection.
        is_connection_new: bool,
    },
    /// Close the connection of a read that has no use any more.
    AbandonRead {
        /// The read.
        read: ReadId,
    },
    /// Append records, all or none.
    Append {
        /// Number of the append.
        append: AppendId,
        /// Records in order.
        records: Vec<NewRecord>,
    },
}

/// What the loop learns about the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum LogNotice {
    /// The next record in order.
    Record(StoredEntry),
    /// Everything that was in the log when a read was sent has been noticed.
    CaughtUp {
        /// When the read was sent; increases from notice to notice.
        sent_at: MonotonicTime,
    },
    /// A read failed.
    ReadFailed,
    /// Records were lost to retention; a snapshot is looked for.
    Truncated {
        /// Oldest offset that is left.
        first: LogOffset,
    },
    /// A snapshot replaces everything before it.
    Restored(Snapshot),
    /// No snapshot came; records follow from the oldest one left.
    Abandoned {
        /// Oldest offset that is left.
        first: LogOffset,
    },
    /// A submitted record is certainly not in the log.
    NotWritten {
        /// The record.
        id: RecordId,
        /// Why.
        reason: NotWrittenReason,
    },
    /// It is unknown whether a submitted record is in the log; it is not sent again.
    Unresolved {
        /// The record.
        id: RecordId,
    },
}

/// One followed and written stream.
#[derive(Debug)]
pub struct LogPort {
    follower: LogFollower,
    appender: LogAppender,
    schedule: SnapshotSchedule,
    /// Run of this host; part of every record identifier.
    run: String,
    next_record: u64,
    /// Whether a record was submitted since the last event.
    is_submitted: bool,
    /// Whether the newest answer to a read was none.
    is_read_failed: bool,
    caught_up_at: Option<MonotonicTime>,
    requests: Vec<LogRequest>,
    notices: Vec<LogNotice>,
}

impl LogPort {
    /// A port that has read nothing. `run` and `seed` differ between hosts and runs.
    pub fn new(now: MonotonicTime, run: String, seed: u64, times: SnapshotTimes) -> Self {
        let random = |stream| {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(stream);
            random
        };
        Self {
            follower: LogFollower::new(now, random(1)),
            appender: LogAppender::new(now, random(2)),
            schedule: SnapshotSchedule::new(times),
            run,
            next_record: 0,
            is_submitted: false,
            is_read_failed: false,
            caught_up_at: None,
            requests: Vec::new(),
            notices: Vec::new(),
        }
    }

    /// Lowest offset that was not noticed.
    pub fn position(&self) -> LogOffset {
        self.follower.position()
    }

    /// When the latest read that reached the tail was sent; nothing while records
    /// are missing.
    pub fn caught_up_at(&self) -> Option<MonotonicTime> {
        self.follower.caught_up_at()
    }

    /// Whether the log does not answer reads, or has let one wait for long.
    pub fn is_failing(&self) -> bool {
        self.is_read_failed || self.follower.counters().timed_out > 0
    }

    /// Submitted records that are not known to be in the log.
    pub fn open_records(&self) -> usize {
        self.appender.open_records()
    }

    /// Requests to carry out, in order.
    pub fn take_requests(&mut self) -> Vec<LogRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Notices in order.
    pub fn take_notices(&mut self) -> Vec<LogNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Takes a record over and tells its identifier. Without `time` it is sent
    /// until it is in the log.
    ///
    /// # Errors
    /// A [`SubmitError`]; nothing is written then.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        entry: LogEntry,
        time: Option<Duration>,
    ) -> Result<RecordId, SubmitError> {
        let id = RecordId::from(format!("{}/{}", self.run, self.next_record));
        self.next_record += 1;
        self.submit_as(now, id.clone(), entry, time)?;
        Ok(id)
    }

    fn submit_as(
        &mut self,
        now: MonotonicTime,
        id: RecordId,
        entry: LogEntry,
        time: Option<Duration>,
    ) -> Result<(), SubmitError> {
        self.is_submitted = true;
        let wire = write_record(&id, &entry);
        let bytes = serde_json::to_vec(&wire).map_or(0, |text| text.len());
        self.appender.submit(OutgoingRecord {
            id,
            entry,
            bytes,
            expires_at: time.map(|time| now + time),
        })
    }

    /// Whether a record was submitted since the last event, which would send it.
    pub fn is_submitted(&self) -> bool {
        self.is_submitted
    }

    /// Whether this host, with `rank` live hosts before it, is to write a snapshot.
    /// A stream that never had a record needs none.
    pub fn is_snapshot_due(&self, now: MonotonicTime, wall: WallTime, rank: u32) -> bool {
        let is_current = |at: MonotonicTime| now.since(at) < SNAPSHOT_CURRENCY;
        self.position() > LogOffset(0)
            && self.caught_up_at().is_some_and(is_current)
            && self.schedule.is_due(now, wall, rank)
    }

    /// Writes a snapshot of the state at the present position.
    pub fn write_snapshot(&mut self, now: MonotonicTime, entries: Vec<StoredEntry>) {
        self.schedule.mark_written(now);
        for chunk in split_snapshot(self.position(), &self.run, entries) {
            let id = chunk_id(&chunk);
            let entry = LogEntry::Snapshot(chunk);
            if let Err(error) = self.submit_as(now, id, entry, Some(CHUNK_TIME)) {
                log::warn!("no snapshot: {error}");
                return;
            }
        }
    }

    /// Takes the answer to a read.
    pub fn handle_read(
        &mut self,
        now: MonotonicTime,
        read: ReadId,
        result: Result<LogPage, ReadError>,
    ) {
        self.is_read_failed = result.is_err();
        let event = match result {
            Ok(page) => FollowerEvent::ReadAnswered {
                read,
                page: read_page(page),
            },
            Err(error) => {
                self.notices.push(LogNotice::ReadFailed);
                FollowerEvent::ReadFailed { read, error }
            }
        };
        self.follow(now, event);
    }

    /// Takes the answer to an append.
    pub fn handle_append(
        &mut self,
        now: MonotonicTime,
        append: AppendId,
        result: Result<AppendedRange, AppendError>,
    ) {
        let event = match result {
            Ok(range) => AppenderEvent::Answered {
                append,
                first: LogOffset(range.first_offset),
                next: LogOffset(range.next_offset),
            },
            Err(error) => AppenderEvent::Failed { append, error },
        };
        self.append(now, event);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.follow(now, FollowerEvent::Tick);
        self.append(now, AppenderEvent::Tick);
    }

    fn follow(&mut self, now: MonotonicTime, event: FollowerEvent) {
        for action in self.follower.handle(now, event) {
            self.take_action(now, action);
        }
        let caught_up_at = self.follower.caught_up_at();
        if let Some(sent_at) = caught_up_at
            && self.caught_up_at < caught_up_at
        {
            self.notices.push(LogNotice::CaughtUp { sent_at });
            self.append(now, AppenderEvent::CaughtUp { at: sent_at });
        }
        self.caught_up_at = caught_up_at;
    }

    fn take_action(&mut self, now: MonotonicTime, action: FollowerAction) {
        match action {
            FollowerAction::Read {
                read,
                from,
                limit,
                wait,
                is_connection_new,
            } => self.requests.push(LogRequest::Read {
                read,
                from,
                limit,
                wait,
                is_connection_new,
            }),
            FollowerAction::AbandonRead { read } => {
                self.requests.push(LogRequest::AbandonRead { read });
            }
            FollowerAction::Apply(record) => {
                self.schedule.handle_record(&record);
                self.note_followed(now, &record);
                self.notices.push(LogNotice::Record(record));
            }
            FollowerAction::Truncated { first, .. } => {
                self.notices.push(LogNotice::Truncated { first });
            }
            FollowerAction::Restore(snapshot) => {
                self.schedule.handle_restored(&snapshot);
                for record in &snapshot.records {
                    self.note_followed(now, record);
                }
                self.notices.push(LogNotice::Restored(snapshot));
            }
            FollowerAction::RestoreAbandoned { first } => {
                self.schedule.reset();
                self.notices.push(LogNotice::Abandoned { first });
            }
        }
    }

    fn note_followed(&mut self, now: MonotonicTime, record: &StoredEntry) {
        let id = record.id.clone();
        let offset = record.offset;
        self.append(now, AppenderEvent::Followed { id, offset });
    }

    fn append(&mut self, now: MonotonicTime, event: AppenderEvent) {
        self.is_submitted = false;
        for action in self.appender.handle(now, event) {
            match action {
                AppenderAction::Append { append, records } => {
                    let records = records.iter();
                    let records = records.map(|r| write_record(&r.id, &r.entry)).collect();
                    self.requests.push(LogRequest::Append { append, records });
                }
                // The record itself is the news, once it is read.
                AppenderAction::Written { .. } => {}
                AppenderAction::NotWritten { id, reason } => {
                    self.notices.push(LogNotice::NotWritten { id, reason });
                }
                AppenderAction::Unresolved { id } => {
                    self.notices.push(LogNotice::Unresolved { id });
                }
            }
        }
    }
}

fn read_page(page: LogPage) -> ReadPage {
    ReadPage {
        records: page.records.into_iter().map(read_record).collect(),
        first: LogOffset(page.first_offset),
        next: LogOffset(page.next_offset),
        tail: LogOffset(page.tail_offset),
    }
}
