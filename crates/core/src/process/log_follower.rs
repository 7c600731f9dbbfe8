//! Follows the platform's log. The state machine requests pages and delivers
//! records in the order of their offsets, each offset once, even if responses are
//! slow, lost or duplicated. If retention has removed records that were not read,
//! it searches for a snapshot and continues from there.

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

/// Time for which the log may hold a read at its tail until a record arrives.
pub const TAIL_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two reads at the tail, for a log that does not hold reads.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records in a page.
pub const MAX_PAGE_RECORDS: u32 = 256;
/// Initial and shortest time without a response after which a second read is sent on
/// another connection. The timeout doubles while no read is answered and is then set to
/// twice the latest response time, so that a slow log is not sent each read twice.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the read timeout. `MAX_PENDING_READS` reads with this timeout
/// outlast a response that takes 30 s.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(16);
/// Maximum number of unanswered reads; a further read replaces the oldest.
const MAX_PENDING_READS: usize = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingRead {
    from: LogOffset,
    limit: u32,
    /// Time for which the log may hold the read at its tail.
    wait: Duration,
    sent_at: MonotonicTime,
}

#[derive(Clone, Debug)]
enum FollowMode {
    Seeking(SnapshotSeek),
    Following,
}

/// Reader of the platform's log.
#[derive(Clone, Debug)]
pub struct LogFollower {
    mode: FollowMode,
    /// Chunks of the next snapshot, which all hosts restore after records were lost for
    /// good; `None` if no snapshot is awaited.
    awaited_snapshot: Option<SnapshotCollector>,
    /// Lowest offset that was not delivered. Only a restore can lower it.
    position: LogOffset,
    /// When the latest answered read that reached the tail was sent. All records
    /// that were in the log by then have been delivered.
    caught_up_at: Option<MonotonicTime>,
    /// Unanswered reads, at most `MAX_PENDING_READS`.
    pending: BTreeMap<ReadId, PendingRead>,
    /// Latest read, unless it was answered. Older ones stay in `pending`, since their
    /// late responses are still used.
    active: Option<ReadId>,
    next_read: u64,
    read_at: MonotonicTime,
    limit: u32,
    timeout: Duration,
    backoff: RetryBackoff,
    counters: FollowerCounters,
}

impl LogFollower {
    /// Creates a follower that has read nothing. `random` must differ between hosts.
    pub fn new(now: MonotonicTime, random: ChaCha8Rng) -> Self {
        Self {
            mode: FollowMode::Seeking(SnapshotSeek::new(None)),
            awaited_snapshot: None,
            position: LogOffset(0),
            caught_up_at: None,
            pending: BTreeMap::new(),
            active: None,
            next_read: 0,
            read_at: now,
            limit: MAX_PAGE_RECORDS,
            timeout: MIN_READ_TIMEOUT,
            backoff: RetryBackoff::new(random),
            counters: FollowerCounters::default(),
        }
    }

    /// Returns the lowest offset that was not delivered.
    pub fn position(&self) -> LogOffset {
        self.position
    }

    /// Returns when the latest answered read that reached the tail was sent; `None`
    /// while records are missing.
    pub fn caught_up_at(&self) -> Option<MonotonicTime> {
        self.caught_up_at
    }

    /// Returns whether the delivered records and the snapshot before them cover
    /// everything up to `position`.
    pub fn is_complete(&self) -> bool {
        matches!(self.mode, FollowMode::Following)
    }

    /// Returns the counters.
    pub fn counters(&self) -> &FollowerCounters {
        &self.counters
    }

    /// Handles an event and returns the resulting actions.
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
        self.backoff.reset();
        let timeout = now.since(pending.sent_at) * 2;
        self.timeout = timeout.clamp(MIN_READ_TIMEOUT, MAX_READ_TIMEOUT);
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
            // The first read after catching up is sent at once: the log holds it at the
            // tail.
            let is_first_wait = pending.wait.is_zero() && self.caught_up_at.is_some();
            let next_poll = pending.sent_at + POLL_INTERVAL;
            let is_due = has_more || is_first_wait;
            self.read_at = if is_due { now } else { now.max(next_poll) };
        }
    }

    /// Delivers the records of a page and returns whether the log holds more.
    fn follow(
        &mut self,
        pending: &PendingRead,
        page: ReadPage,
        actions: &mut Vec<FollowerAction>,
    ) -> bool {
        if page.first > self.position {
            self.handle_truncation(page.first, actions);
            return true;
        }
        for record in page.records {
            if let Some(snapshot) = self.complete_awaited_snapshot(&record, page.first) {
                self.follow_from(snapshot.covers_until, actions);
                actions.push(FollowerAction::Restore(snapshot));
                return true;
            }
            if record.offset < self.position {
                self.counters.duplicates += 1;
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

    /// Returns the snapshot that this record completes, if one is awaited and reading
    /// can continue at its offset.
    fn complete_awaited_snapshot(
        &mut self,
        record: &StoredEntry,
        first: LogOffset,
    ) -> Option<Snapshot> {
        let collector = self.awaited_snapshot.as_mut()?;
        collector.handle_record(record);
        let is_usable = |snapshot: &Snapshot| snapshot.covers_until >= first;
        if !collector.newest().is_some_and(is_usable) {
            return None;
        }
        self.awaited_snapshot.take()?.into_newest()
    }

    fn handle_truncation(&mut self, first: LogOffset, actions: &mut Vec<FollowerAction>) {
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
                self.awaited_snapshot = None;
                self.follow_from(snapshot.covers_until, actions);
                actions.push(FollowerAction::Restore(snapshot));
                true
            }
            SeekStep::Abandon(first) => {
                self.awaited_snapshot = Some(SnapshotCollector::default());
                self.follow_from(first, actions);
                actions.push(FollowerAction::RestoreAbandoned { first });
                true
            }
        }
    }

    /// Follows the log from `offset`. Abandons all pending reads, since those sent
    /// during the search could deliver records from the wrong place.
    fn follow_from(&mut self, offset: LogOffset, actions: &mut Vec<FollowerAction>) {
        self.mode = FollowMode::Following;
        self.position = offset;
        let abandoned = std::mem::take(&mut self.pending).into_keys();
        actions.extend(abandoned.map(|read| FollowerAction::AbandonRead { read }));
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
            ReadError::Unavailable => self.read_at = now + self.backoff.record_failure(),
            ReadError::TooLarge if pending.limit > 1 => self.limit = pending.limit / 2,
            ReadError::TooLarge => self.skip_record(pending.from),
        }
    }

    /// Skips a record above the size limit. All readers have the same limit, so the
    /// record has no effect on any host.
    fn skip_record(&mut self, from: LogOffset) {
        self.counters.oversized += 1;
        match &mut self.mode {
            FollowMode::Following => self.position = self.position.max(from.next()),
            FollowMode::Seeking(seek) => seek.skip_record(from),
        }
    }

    fn send_read(&mut self, now: MonotonicTime, actions: &mut Vec<FollowerAction>) {
        let has_timed_out = match self.active.and_then(|read| self.pending.get(&read)) {
            Some(pending) if now.since(pending.sent_at) < self.timeout => return,
            Some(_) => true,
            None if now < self.read_at => return,
            None => false,
        };
        if has_timed_out {
            self.counters.timed_out += 1;
            self.timeout = (self.timeout * 2).min(MAX_READ_TIMEOUT);
        }
        self.abandon_oldest(actions);
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
            is_connection_new: has_timed_out,
        });
    }

    /// Returns how long the log may hold the next read. A follower that has not caught
    /// up requests an immediate response.
    fn tail_wait(&self) -> Duration {
        if self.caught_up_at.is_some() {
            TAIL_WAIT
        } else {
            Duration::ZERO
        }
    }

    fn abandon_oldest(&mut self, actions: &mut Vec<FollowerAction>) {
        while self.pending.len() >= MAX_PENDING_READS {
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
