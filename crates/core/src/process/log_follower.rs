//! Follows the platform's log. The machine asks for pages and hands out records
//! in the order of their offsets, each offset once, whatever is slow, lost or
//! answered twice on the way. When retention has taken records that it has not
//! read, it looks for a snapshot and goes on from there.

pub mod message;
pub mod snapshot_seek;

use std::fmt::{self, Display, Formatter};

use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
pub use crate::process::log_follower::message::{
    FollowerAction, FollowerCounters, FollowerEvent, ReadError, ReadId, ReadPage,
};
use crate::process::log_follower::snapshot_seek::{SeekStep, SnapshotSeek};
use crate::process::record::{LogOffset, StoredEntry};
use crate::process::retry_backoff::RetryBackoff;
use crate::process::snapshot::{Snapshot, SnapshotCollector};

/// Time for which a read waits at the tail of the log for a record to come.
pub const TAIL_WAIT: Duration = Duration::from_secs(1);
/// Least time from one read at the tail to the next, for a log that does not wait.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Most records of a page.
pub const MAX_PAGE_RECORDS: u32 = 256;
/// Time without an answer after which a second read is sent, on another
/// connection. Doubles while nothing is answered and follows the time of the
/// latest answer, for a log that is merely slow.
const READ_PATIENCE: Duration = Duration::from_secs(3);
/// Longest patience; with `READ_LIMIT` reads it outlasts an answer of 30 s.
const LONGEST_PATIENCE: Duration = Duration::from_secs(16);
/// Most reads without an answer; the oldest is given up for a new one.
const READ_LIMIT: usize = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingRead {
    from: LogOffset,
    limit: u32,
    /// Time for which the log may hold it.
    wait: Duration,
    sent_at: MonotonicTime,
}

#[derive(Clone, Debug)]
enum FollowMode {
    Seeking(SnapshotSeek),
    Following,
}

/// Reader of the log.
#[derive(Clone, Debug)]
pub struct LogFollower {
    mode: FollowMode,
    /// Chunks of the snapshot to agree on, after records were lost for good.
    agreement: Option<SnapshotCollector>,
    /// Lowest offset that was not handed out. Goes up only, but for a restore.
    position: LogOffset,
    /// When the latest answered read that reached the tail was sent. Whatever
    /// was in the log by then has been handed out.
    caught_up_at: Option<MonotonicTime>,
    /// Reads without an answer, at most `READ_LIMIT`.
    pending: BTreeMap<ReadId, PendingRead>,
    /// Latest read, unless it was answered; older ones are kept for late answers.
    active: Option<ReadId>,
    next_read: u64,
    read_at: MonotonicTime,
    limit: u32,
    patience: Duration,
    backoff: RetryBackoff,
    counters: FollowerCounters,
}

impl LogFollower {
    /// A follower that has read nothing. `random` differs between hosts.
    pub fn new(now: MonotonicTime, random: ChaCha8Rng) -> Self {
        Self {
            mode: FollowMode::Seeking(SnapshotSeek::new(None)),
            agreement: None,
            position: LogOffset(0),
            caught_up_at: None,
            pending: BTreeMap::new(),
            active: None,
            next_read: 0,
            read_at: now,
            limit: MAX_PAGE_RECORDS,
            patience: READ_PATIENCE,
            backoff: RetryBackoff::new(random),
            counters: FollowerCounters::default(),
        }
    }

    /// Lowest offset that was not handed out.
    pub fn position(&self) -> LogOffset {
        self.position
    }

    /// When the latest answered read that reached the tail was sent; nothing
    /// while records are missing.
    pub fn caught_up_at(&self) -> Option<MonotonicTime> {
        self.caught_up_at
    }

    /// Whether records that were handed out, with the snapshot before them, say
    /// everything up to `position`.
    pub fn is_complete(&self) -> bool {
        matches!(self.mode, FollowMode::Following)
    }

    /// Counters.
    pub fn counters(&self) -> &FollowerCounters {
        &self.counters
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: MonotonicTime, event: FollowerEvent) -> Vec<FollowerAction> {
        let mut actions = Vec::new();
        match event {
            FollowerEvent::ReadAnswered { read, page } => {
                self.handle_page(now, read, page, &mut actions);
            }
            FollowerEvent::ReadFailed { read, error } => self.handle_error(now, read, error),
            FollowerEvent::Tick => {}
        }
        self.send_read(now, &mut actions);
        actions
    }

    fn handle_page(
        &mut self,
        now: MonotonicTime,
        read: ReadId,
        page: ReadPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        let Some(pending) = self.pending.remove(&read) else {
            return;
        };
        self.backoff.succeed();
        let patience = now.since(pending.sent_at) * 2;
        self.patience = patience.clamp(READ_PATIENCE, LONGEST_PATIENCE);
        self.limit = (self.limit * 2).min(MAX_PAGE_RECORDS);
        let is_active = self.active == Some(read);
        if is_active {
            self.active = None;
        }
        if page.tail < pending.from && self.is_complete() {
            self.counters.regressed += 1;
            self.read_at = now + POLL_INTERVAL;
            return;
        }
        let has_more = match &mut self.mode {
            FollowMode::Following => self.follow(&pending, page, actions),
            FollowMode::Seeking(_) => self.seek(now, &pending, &page, actions),
        };
        if is_active {
            // The first read after catching up waits at the tail by itself.
            let is_first_wait = pending.wait.is_zero() && self.caught_up_at.is_some();
            let next_poll = pending.sent_at + POLL_INTERVAL;
            let is_at_once = has_more || is_first_wait;
            self.read_at = if is_at_once { now } else { now.max(next_poll) };
        }
    }

    /// Hands out the records of a page and tells whether more are waiting.
    fn follow(
        &mut self,
        pending: &PendingRead,
        page: ReadPage,
        actions: &mut Vec<FollowerAction>,
    ) -> bool {
        if page.first > self.position {
            self.truncate(page.first, actions);
            return true;
        }
        for record in page.records {
            if let Some(snapshot) = self.agree(&record, page.first) {
                self.follow_from(snapshot.covers_until, actions);
                actions.push(FollowerAction::Restore(snapshot));
                return true;
            }
            if record.offset < self.position {
                self.counters.repeated += 1;
                continue;
            }
            self.position = record.offset.next();
            self.counters.applied += 1;
            actions.push(FollowerAction::Apply(record));
        }
        self.position = self.position.max(page.next.min(page.tail));
        let is_at_tail = self.position >= page.tail;
        if is_at_tail {
            self.caught_up_at = self.caught_up_at.max(Some(pending.sent_at));
        }
        !is_at_tail
    }

    /// The snapshot that this record completes, if one is awaited and reading can
    /// go on at its offset.
    fn agree(&mut self, record: &StoredEntry, first: LogOffset) -> Option<Snapshot> {
        let collector = self.agreement.as_mut()?;
        collector.handle_record(record);
        let is_usable = |snapshot: &Snapshot| snapshot.covers_until >= first;
        if !collector.newest().is_some_and(is_usable) {
            return None;
        }
        self.agreement.take()?.into_newest()
    }

    fn truncate(&mut self, first: LogOffset, actions: &mut Vec<FollowerAction>) {
        self.counters.truncated += 1;
        self.caught_up_at = None;
        self.mode = FollowMode::Seeking(SnapshotSeek::new(Some(self.position)));
        actions.push(FollowerAction::Truncated {
            from: self.position,
            first,
        });
    }

    fn seek(
        &mut self,
        now: MonotonicTime,
        pending: &PendingRead,
        page: &ReadPage,
        actions: &mut Vec<FollowerAction>,
    ) -> bool {
        let FollowMode::Seeking(seek) = &mut self.mode else {
            return false;
        };
        match seek.handle_page(now, pending.from, page) {
            SeekStep::Continue => true,
            SeekStep::Wait => false,
            SeekStep::StartAt(offset) => {
                self.follow_from(offset, actions);
                true
            }
            SeekStep::Restore(snapshot) => {
                self.agreement = None;
                self.follow_from(snapshot.covers_until, actions);
                actions.push(FollowerAction::Restore(snapshot));
                true
            }
            SeekStep::Abandon(first) => {
                self.agreement = Some(SnapshotCollector::default());
                self.follow_from(first, actions);
                actions.push(FollowerAction::RestoreAbandoned { first });
                true
            }
        }
    }

    /// Reads that were sent while seeking could hand out records from the wrong
    /// place, so their answers are not awaited.
    fn follow_from(&mut self, offset: LogOffset, actions: &mut Vec<FollowerAction>) {
        self.mode = FollowMode::Following;
        self.position = offset;
        let given_up = std::mem::take(&mut self.pending).into_keys();
        actions.extend(given_up.map(|read| FollowerAction::AbandonRead { read }));
        self.active = None;
    }

    fn handle_error(&mut self, now: MonotonicTime, read: ReadId, error: ReadError) {
        let Some(pending) = self.pending.remove(&read) else {
            return;
        };
        self.counters.failed += 1;
        if self.active != Some(read) {
            return;
        }
        self.active = None;
        match error {
            ReadError::Unavailable => self.read_at = now + self.backoff.fail(),
            ReadError::TooLarge if pending.limit > 1 => self.limit = pending.limit / 2,
            ReadError::TooLarge => self.skip_record(pending.from),
        }
    }

    /// Every reader has the same limit, so a record above it counts for none.
    fn skip_record(&mut self, from: LogOffset) {
        self.counters.oversized += 1;
        match &mut self.mode {
            FollowMode::Following => self.position = self.position.max(from.next()),
            FollowMode::Seeking(seek) => seek.skip_record(from),
        }
    }

    fn send_read(&mut self, now: MonotonicTime, actions: &mut Vec<FollowerAction>) {
        let is_impatient = match self.active.and_then(|read| self.pending.get(&read)) {
            Some(pending) if now.since(pending.sent_at) < self.patience => return,
            Some(_) => true,
            None if now < self.read_at => return,
            None => false,
        };
        if is_impatient {
            self.counters.timed_out += 1;
            self.patience = (self.patience * 2).min(LONGEST_PATIENCE);
        }
        self.drop_oldest(actions);
        let (from, limit) = match &self.mode {
            FollowMode::Following => (self.position, self.limit),
            FollowMode::Seeking(seek) => (seek.read_from(), seek.read_limit(self.limit)),
        };
        let read = ReadId(self.next_read);
        self.next_read += 1;
        let pending = PendingRead {
            from,
            limit,
            wait: self.tail_wait(),
            sent_at: now,
        };
        self.pending.insert(read, pending);
        self.active = Some(read);
        actions.push(FollowerAction::Read {
            read,
            from,
            limit,
            wait: self.tail_wait(),
            is_connection_new: is_impatient,
        });
    }

    /// A follower that has to catch up asks for what there is.
    fn tail_wait(&self) -> Duration {
        if self.caught_up_at.is_some() {
            TAIL_WAIT
        } else {
            Duration::ZERO
        }
    }

    fn drop_oldest(&mut self, actions: &mut Vec<FollowerAction>) {
        while self.pending.len() >= READ_LIMIT {
            if let Some((read, _)) = self.pending.pop_first() {
                actions.push(FollowerAction::AbandonRead { read });
            }
        }
    }
}

impl Display for LogFollower {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mode = match &self.mode {
            FollowMode::Following => "following",
            FollowMode::Seeking(_) => "seeking a snapshot",
        };
        write!(f, "{mode} at {}, ", self.position)?;
        match self.caught_up_at {
            Some(at) => writeln!(f, "caught up at {at}, {} reads pending", self.pending.len()),
            None => writeln!(f, "not caught up, {} reads pending", self.pending.len()),
        }
    }
}
