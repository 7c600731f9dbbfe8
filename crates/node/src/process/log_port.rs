//! One stream of the log in the event loop: a follower, an appender and the schedule
//! of snapshots, without connections. Requests to the log and notices for the loop
//! are collected until the caller takes them.

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

/// Maximum age of the newest read to the tail for a host to write a snapshot.
const MAX_SNAPSHOT_READ_AGE: Duration = Duration::from_secs(5);
/// Time after which a snapshot chunk that is not written is abandoned.
const CHUNK_TIMEOUT: Duration = Duration::from_mins(1);

/// A request to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRequest {
    /// Read a page, waiting for records at the tail.
    Read {
        /// Number of the read.
        read: ReadId,
        /// First offset to read.
        from: LogOffset,
        /// Maximum number of records.
        limit: u32,
        /// Time for which the log may hold the read.
        wait: Duration,
        /// Whether to open a new connection.
        is_connection_new: bool,
    },
    /// Close the connection of a read that is no longer needed.
    AbandonRead {
        /// The read.
        read: ReadId,
    },
    /// Append records atomically.
    Append {
        /// Number of the append.
        append: AppendId,
        /// Records in order.
        records: Vec<NewRecord>,
    },
}

/// Notice about a stream for the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum LogNotice {
    /// The next record in order.
    Record(StoredEntry),
    /// Every record that was in the log when a read was sent has been reported.
    CaughtUp {
        /// When the read was sent; increases from notice to notice.
        sent_at: MonotonicTime,
    },
    /// A read failed.
    ReadFailed,
    /// Records were removed by retention before they were read; a snapshot is looked for.
    Truncated {
        /// Oldest offset that is left.
        first: LogOffset,
    },
    /// A snapshot replaces everything before it.
    Restored(Snapshot),
    /// No snapshot was found; records follow from the oldest one left.
    Abandoned {
        /// Oldest offset that is left.
        first: LogOffset,
    },
    /// A submitted record is definitely not in the log.
    NotWritten {
        /// The record.
        id: RecordId,
        /// The reason.
        reason: NotWrittenReason,
    },
    /// It is unknown whether a submitted record is in the log; it is not sent again.
    Unresolved {
        /// The record.
        id: RecordId,
    },
}

/// One stream that is read and written.
#[derive(Debug)]
pub struct LogPort {
    follower: LogFollower,
    appender: LogAppender,
    schedule: SnapshotSchedule,
    /// Name of this writer, unique to the incarnation; part of every record identifier.
    writer: String,
    next_record: u64,
    /// Whether a record was submitted since the last event.
    has_submissions: bool,
    /// Whether the newest read failed.
    has_read_failed: bool,
    caught_up_at: Option<MonotonicTime>,
    requests: Vec<LogRequest>,
    notices: Vec<LogNotice>,
}

impl LogPort {
    /// Creates a port that has read nothing. `writer` and `seed` differ between hosts and
    /// between their incarnations.
    pub fn new(now: MonotonicTime, writer: String, seed: u64, times: SnapshotTimes) -> Self {
        let new_rng = |stream| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(stream);
            rng
        };
        Self {
            follower: LogFollower::new(now, new_rng(1)),
            appender: LogAppender::new(now, new_rng(2)),
            schedule: SnapshotSchedule::new(times),
            writer,
            next_record: 0,
            has_submissions: false,
            has_read_failed: false,
            caught_up_at: None,
            requests: Vec::new(),
            notices: Vec::new(),
        }
    }

    /// Returns the lowest offset whose record has not been reported.
    pub fn position(&self) -> LogOffset {
        self.follower.position()
    }

    /// Returns when the newest read that reached the tail was sent, or `None` while
    /// records are missing.
    pub fn caught_up_at(&self) -> Option<MonotonicTime> {
        self.follower.caught_up_at()
    }

    /// Returns whether the newest read failed, or a read has timed out.
    pub fn is_failing(&self) -> bool {
        self.has_read_failed || self.follower.counters().timed_out > 0
    }

    /// Returns the number of submitted records that are not known to be in the log.
    pub fn open_records(&self) -> usize {
        self.appender.open_records()
    }

    /// Takes the requests to execute, in order.
    pub fn take_requests(&mut self) -> Vec<LogRequest> {
        std::mem::take(&mut self.requests)
    }

    /// Takes the notices to handle, in order.
    pub fn take_notices(&mut self) -> Vec<LogNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Submits a record and returns its identifier. Without a `timeout` the append is
    /// retried until the record is in the log.
    ///
    /// # Errors
    /// Returns a [`SubmitError`] if the record is not accepted for writing.
    pub fn submit(
        &mut self,
        now: MonotonicTime,
        entry: LogEntry,
        timeout: Option<Duration>,
    ) -> Result<RecordId, SubmitError> {
        let id = RecordId::from(format!("{}/{}", self.writer, self.next_record));
        self.next_record += 1;
        self.submit_as(now, id.clone(), entry, timeout)?;
        Ok(id)
    }

    fn submit_as(
        &mut self,
        now: MonotonicTime,
        id: RecordId,
        entry: LogEntry,
        timeout: Option<Duration>,
    ) -> Result<(), SubmitError> {
        self.has_submissions = true;
        let wire = write_record(&id, &entry);
        let bytes = serde_json::to_vec(&wire).map_or(0, |text| text.len());
        self.appender.submit(OutgoingRecord {
            id,
            entry,
            bytes,
            expires_at: timeout.map(|timeout| now + timeout),
        })
    }

    /// Returns whether a record was submitted since the last event; the next event sends it.
    pub fn has_submissions(&self) -> bool {
        self.has_submissions
    }

    /// Returns whether this host, with `rank` live hosts before it, must write a snapshot.
    /// A stream that never had a record needs none.
    pub fn is_snapshot_due(&self, now: MonotonicTime, wall: WallTime, rank: u32) -> bool {
        let is_current = |at: MonotonicTime| now.since(at) < MAX_SNAPSHOT_READ_AGE;
        self.position() > LogOffset(0)
            && self.caught_up_at().is_some_and(is_current)
            && self.schedule.is_due(now, wall, rank)
    }

    /// Writes a snapshot of the state at the current position.
    pub fn write_snapshot(&mut self, now: MonotonicTime, entries: Vec<StoredEntry>) {
        self.schedule.mark_written(now);
        for chunk in split_snapshot(self.position(), &self.writer, entries) {
            let id = chunk_id(&chunk);
            let entry = LogEntry::Snapshot(chunk);
            if let Err(error) = self.submit_as(now, id, entry, Some(CHUNK_TIMEOUT)) {
                log::warn!("cannot write a snapshot: {error}");
                return;
            }
        }
    }

    /// Handles the answer to a read.
    pub fn handle_read(
        &mut self,
        now: MonotonicTime,
        read: ReadId,
        result: Result<LogPage, ReadError>,
    ) {
        self.has_read_failed = result.is_err();
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
        self.drive_follower(now, event);
    }

    /// Handles the answer to an append.
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
        self.drive_appender(now, event);
    }

    /// Advances the time of the follower and the appender.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.drive_follower(now, FollowerEvent::Tick);
        self.drive_appender(now, AppenderEvent::Tick);
    }

    fn drive_follower(&mut self, now: MonotonicTime, event: FollowerEvent) {
        for action in self.follower.handle(now, event) {
            self.handle_action(now, action);
        }
        let caught_up_at = self.follower.caught_up_at();
        if let Some(sent_at) = caught_up_at
            && self.caught_up_at < caught_up_at
        {
            self.notices.push(LogNotice::CaughtUp { sent_at });
            self.drive_appender(now, AppenderEvent::CaughtUp { at: sent_at });
        }
        self.caught_up_at = caught_up_at;
    }

    fn handle_action(&mut self, now: MonotonicTime, action: FollowerAction) {
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
                self.notify_appender(now, &record);
                self.notices.push(LogNotice::Record(record));
            }
            FollowerAction::Truncated { first, .. } => {
                self.notices.push(LogNotice::Truncated { first });
            }
            FollowerAction::Restore(snapshot) => {
                self.schedule.handle_restored(&snapshot);
                for record in &snapshot.records {
                    self.notify_appender(now, record);
                }
                self.notices.push(LogNotice::Restored(snapshot));
            }
            FollowerAction::RestoreAbandoned { first } => {
                self.schedule.reset();
                self.notices.push(LogNotice::Abandoned { first });
            }
        }
    }

    fn notify_appender(&mut self, now: MonotonicTime, record: &StoredEntry) {
        let id = record.id.clone();
        let offset = record.offset;
        self.drive_appender(now, AppenderEvent::Followed { id, offset });
    }

    fn drive_appender(&mut self, now: MonotonicTime, event: AppenderEvent) {
        self.has_submissions = false;
        for action in self.appender.handle(now, event) {
            match action {
                AppenderAction::Append { append, records } => {
                    let records = records.iter();
                    let records = records.map(|r| write_record(&r.id, &r.entry)).collect();
                    self.requests.push(LogRequest::Append { append, records });
                }
                // The caller is answered when the record itself is read back.
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
