//! Follows one stream: first reads the newest record of each key, then everything that is
//! appended. Each offset after the first pages is returned once and in order, also when
//! responses are slow, lost or late. After records were truncated the newest record of each
//! key is read again. [`FollowOutput::is_complete`] says when the records of such a reading
//! make up the state of the stream.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, NewestOrder, ReadOrder, ResponseTimeout};
use crate::process::stream::{NewestPage, StreamError, StreamName, StreamPage, StreamRecord};

/// Time for which the log may hold a read at the tail until a record is appended.
const TAIL_WAIT: Duration = Duration::from_secs(1);
/// Timeout of the first bytes of a response in addition to its wait, and of the bytes after
/// the newest ones: enough for a log that answers 60 times slower than its usual 4 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a whole response in addition to its wait, also while its body arrives. The
/// largest response has 8 MiB, which a link of 10 Mbit/s transfers in 6.7 s.
const BODY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time without progress from which a body counts as stalled, and other reads are sent again.
/// It exceeds the 100 ms for which a host may be without its share of a core.
const BODY_STALL: Duration = Duration::from_millis(400);
/// Timeout of a page of the newest records. After a failure of the whole system all hosts read
/// their pages at once and share the rate of the log: a page that is slow is waited for, since
/// a second read of it would only add to the load. It counts again from each progress of the
/// body, up to [`BODY_TIMEOUT`] in addition.
const NEWEST_PAGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time by which a waiting read is overdue before other reads probe the log: the connection
/// may be silent, or the log may be back while the read is lost.
const OVERDUE_MARGIN: Duration = Duration::from_millis(250);
/// Interval of these probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Limit of the probes in flight: a slow log answers each after more than the interval.
const MAX_PROBES: usize = 3;
/// Delay after a failed read, so that an unreachable log is not queried in a tight loop.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time within which a read that waits at the tail should deliver a record that was
/// written. At its usual speed the log delivers it within a few milliseconds.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(80);
/// Minimum time between immediate reads while waiting reads are not relied on.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which immediate reads back up the waiting ones after a waiting read failed to
/// deliver a written record. The platform sometimes leaves waiting reads unanswered for a
/// second.
const POLL_FALLBACK_DURATION: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug)]
enum FollowStage {
    /// Reading the newest record of each key; pages are returned as they arrive.
    ReadingNewest {
        /// Key after which the next page begins.
        after: Option<Arc<str>>,
        /// End of the stream at the first page; following starts there. `None` before the
        /// first page.
        follow_from: Option<StreamOffset>,
    },
    /// Reading from `next` on.
    Following,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    ticket: CallTicket,
    sent_at: MonotonicTime,
    is_immediate: bool,
    /// When the newest bytes of the response arrived; `None` before its first ones.
    progressed_at: Option<MonotonicTime>,
}

impl PendingRead {
    /// Whether the body of the response is arriving.
    fn is_arriving(&self, now: MonotonicTime) -> bool {
        self.progressed_at
            .is_some_and(|at| now.since(at) < BODY_STALL)
    }
}

/// Records that a follower returns.
#[derive(Debug, Default)]
pub struct FollowOutput {
    /// Records in order.
    pub records: Vec<StreamRecord>,
    /// Whether a new reading begins with these records: they are the first ones, or the
    /// follower has restarted after records were truncated.
    pub is_reset: bool,
    /// Whether the records returned since the newest reset make up the state of the whole
    /// stream at one offset. Until then some keys are missing, and others are newer than
    /// records that follow.
    pub is_complete: bool,
    /// Time before which none of these records was written: when the newest earlier read
    /// that reached the tail was sent. `None` if no read has reached the tail yet, and for
    /// the newest records of the keys.
    pub written_after: Option<MonotonicTime>,
}

/// Follower of one stream.
#[derive(Debug)]
pub struct StreamFollower {
    stream: StreamName,
    stage: FollowStage,
    /// Lowest offset that was not returned yet.
    next: StreamOffset,
    /// End of the stream at the newest page of newest records: the pages and everything that
    /// was appended up to there are consistent.
    pages_end: StreamOffset,
    /// The read that waits at the tail or fetches pages.
    pending: Option<PendingRead>,
    /// The immediate reads, which do not wait at the tail: one, or several while the log is
    /// probed.
    immediate: Vec<PendingRead>,
    /// Whether an immediate read has to be sent.
    wants_immediate: bool,
    /// Minimum time from one read to the next at the tail.
    read_interval: Duration,
    read_due_at: MonotonicTime,
    /// When the newest read that reached the tail was sent.
    confirmed_at: Option<MonotonicTime>,
    /// When the newest response came.
    answered_at: Option<MonotonicTime>,
    /// Since when no read has failed; `None` after a failed read.
    steady_since: Option<MonotonicTime>,
    /// Number of consecutive failed reads.
    failures: u32,
    /// Newest record that this host knows to be written.
    written: Option<WrittenEnd>,
    /// Until when immediate reads are sent in addition to the waiting ones.
    poll_until: MonotonicTime,
    /// When the newest immediate read was sent.
    immediate_sent_at: MonotonicTime,
}

/// Offset after a record that this host appended, and when the append was confirmed.
#[derive(Clone, Copy, Debug)]
struct WrittenEnd {
    end: StreamOffset,
    at: MonotonicTime,
}

impl StreamFollower {
    /// Returns a follower that has read nothing yet.
    pub const fn new(stream: StreamName, read_interval: Duration, now: MonotonicTime) -> Self {
        Self {
            stream,
            stage: FollowStage::ReadingNewest {
                after: None,
                follow_from: None,
            },
            next: StreamOffset(0),
            pages_end: StreamOffset(0),
            pending: None,
            immediate: Vec::new(),
            wants_immediate: false,
            read_interval,
            read_due_at: now,
            confirmed_at: None,
            answered_at: None,
            steady_since: None,
            failures: 0,
            written: None,
            poll_until: now,
            immediate_sent_at: now,
        }
    }

    /// Records that a record of this host was written, so that a waiting read that does not
    /// deliver it is detected.
    pub const fn record_written(&mut self, now: MonotonicTime, end: StreamOffset) {
        self.written = Some(WrittenEnd { end, at: now });
    }

    /// Whether a record known to be written was not read within [`MAX_WAKE_DELAY`].
    fn is_behind(&self, now: MonotonicTime) -> bool {
        self.written
            .is_some_and(|written| written.end > self.next && now >= written.at + MAX_WAKE_DELAY)
    }

    /// Returns when the newest read that reached the tail was sent: all records that were in
    /// the stream by then have been returned. `None` if no read has reached the tail yet.
    pub const fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.confirmed_at
    }

    /// Returns when the newest response came.
    pub const fn answered_at(&self) -> Option<MonotonicTime> {
        self.answered_at
    }

    /// Returns since when no read has failed, or `None` after a failed read.
    pub const fn steady_since(&self) -> Option<MonotonicTime> {
        self.steady_since
    }

    /// Returns the number of consecutive failed reads.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the lowest offset that was not returned yet.
    pub const fn next_offset(&self) -> StreamOffset {
        self.next
    }

    /// Whether the records returned since the newest reset make up the state of the whole
    /// stream at one offset.
    pub const fn is_complete(&self) -> bool {
        matches!(self.stage, FollowStage::Following) && self.next.0 >= self.pages_end.0
    }

    /// Sets the minimum time between reads at the tail.
    pub const fn set_read_interval(&mut self, read_interval: Duration) {
        self.read_interval = read_interval;
    }

    /// Requests an immediate read in addition to the one that waits at the tail.
    pub const fn request_immediate_read(&mut self) {
        self.wants_immediate = true;
    }

    /// Records that a further part of the response to a read arrived. Ignores reads of others.
    pub fn record_progress(&mut self, now: MonotonicTime, ticket: CallTicket) {
        let mut reads = self.pending.iter_mut().chain(&mut self.immediate);
        if let Some(read) = reads.find(|read| read.ticket == ticket) {
            read.progressed_at = Some(now);
            self.answered_at = Some(now);
        }
    }

    /// Whether the body of a response is arriving. A second read would fetch the same records
    /// and share the link with it.
    fn is_receiving(&self, now: MonotonicTime) -> bool {
        let mut reads = self.pending.iter().chain(&self.immediate);
        reads.any(|read| read.is_arriving(now))
    }

    /// Sends the reads that are due.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        last_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        let is_receiving = self.is_receiving(now);
        if self.pending.is_none() && now >= self.read_due_at && !is_receiving {
            let ticket = allocate_ticket(last_ticket);
            self.pending = Some(PendingRead {
                ticket,
                sent_at: now,
                is_immediate: false,
                progressed_at: None,
            });
            // Before the tail was reached once, waiting there would only delay the
            // confirmation that everything was read.
            let wait = self.confirmed_at.map_or(Duration::ZERO, |_| TAIL_WAIT);
            actions.push(self.read_action(ticket, wait));
        }
        let must_poll = (self.is_behind(now) || now < self.poll_until) && !is_receiving;
        self.wants_immediate |= must_poll && now >= self.immediate_sent_at + POLL_INTERVAL;
        let is_probing = (self.failures > 0 || self.is_overdue(now)) && !is_receiving;
        self.wants_immediate |= is_probing && now >= self.immediate_sent_at + PROBE_INTERVAL;
        let is_following = matches!(self.stage, FollowStage::Following);
        let max_reads = if is_probing { MAX_PROBES } else { 1 };
        if self.wants_immediate && self.immediate.len() < max_reads && is_following {
            self.wants_immediate = false;
            self.immediate_sent_at = now;
            let ticket = allocate_ticket(last_ticket);
            self.immediate.push(PendingRead {
                ticket,
                sent_at: now,
                is_immediate: true,
                progressed_at: None,
            });
            actions.push(self.read_action(ticket, Duration::ZERO));
        }
    }

    /// Whether the waiting read should have been answered a while ago, or its response stalled.
    fn is_overdue(&self, now: MonotonicTime) -> bool {
        let longest_wait = TAIL_WAIT + OVERDUE_MARGIN;
        self.pending.is_some_and(|read| match read.progressed_at {
            Some(at) => now.since(at) >= BODY_STALL,
            None => now.since(read.sent_at) >= longest_wait,
        })
    }

    fn read_action(&self, ticket: CallTicket, wait: Duration) -> HostAction {
        let stream = self.stream;
        match &self.stage {
            FollowStage::ReadingNewest { after, .. } => HostAction::ReadNewest(NewestOrder {
                ticket,
                stream,
                after: after.clone(),
                timeout: ResponseTimeout {
                    first: NEWEST_PAGE_TIMEOUT,
                    stall: NEWEST_PAGE_TIMEOUT,
                    total: NEWEST_PAGE_TIMEOUT + BODY_TIMEOUT,
                },
            }),
            FollowStage::Following => HostAction::Read(ReadOrder {
                ticket,
                stream,
                from: self.next,
                wait,
                timeout: ResponseTimeout {
                    first: wait + RESPONSE_TIMEOUT,
                    stall: RESPONSE_TIMEOUT,
                    total: wait + BODY_TIMEOUT,
                },
            }),
        }
    }

    fn take_pending(&mut self, ticket: CallTicket) -> Option<PendingRead> {
        if self.pending.is_some_and(|read| read.ticket == ticket) {
            return self.pending.take();
        }
        let position = self
            .immediate
            .iter()
            .position(|read| read.ticket == ticket)?;
        Some(self.immediate.remove(position))
    }

    /// Handles the result of a read. Returns `None` if this follower did not send it.
    pub fn handle_page(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &mut Result<StreamPage, StreamError>,
    ) -> Option<FollowOutput> {
        let read = self.take_pending(ticket)?;
        let page = match result {
            Ok(page) => std::mem::take(page),
            Err(StreamError::Truncated { .. }) => {
                self.restart(now);
                return Some(FollowOutput::default());
            }
            Err(_) => {
                self.record_failure(now);
                return Some(FollowOutput::default());
            }
        };
        self.record_response(now);
        if read.is_immediate && self.is_behind(now) {
            self.poll_until = now + POLL_FALLBACK_DURATION;
        }
        if read.is_immediate && self.is_overdue(now) {
            // The log answers, so the answer to the waiting read is lost.
            self.pending = None;
            self.read_due_at = now;
        }
        let known = self.next;
        let records: Vec<_> = page
            .records
            .into_iter()
            .filter(|record| record.offset >= known)
            .collect();
        self.next = self.next.max(page.next);
        let written_after = self.confirmed_at;
        let has_reached_tail = self.next >= page.end;
        if has_reached_tail {
            self.confirmed_at = self.confirmed_at.max(Some(read.sent_at));
        }
        if !read.is_immediate {
            // The interval counts from when the last read was sent, so that a quiet stream
            // is read again right after its wait.
            let next_read_at = read.sent_at + self.read_interval;
            self.read_due_at = if has_reached_tail {
                next_read_at.max(now)
            } else {
                now
            };
        }
        Some(FollowOutput {
            records,
            is_reset: false,
            is_complete: self.is_complete(),
            written_after,
        })
    }

    /// Handles a page of newest records. Returns `None` if this follower did not request it.
    pub fn handle_newest_page(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &mut Result<NewestPage, StreamError>,
    ) -> Option<FollowOutput> {
        self.take_pending(ticket)?;
        let Ok(page) = result else {
            self.record_failure(now);
            return Some(FollowOutput::default());
        };
        let page = std::mem::take(page);
        self.record_response(now);
        self.read_due_at = now;
        let FollowStage::ReadingNewest { after, follow_from } = &mut self.stage else {
            return Some(FollowOutput::default());
        };
        let is_reset = follow_from.is_none();
        let from = *follow_from.get_or_insert(page.end);
        *after = page.next_after;
        self.pages_end = self.pages_end.max(page.end);
        if after.is_none() {
            self.next = from;
            self.stage = FollowStage::Following;
        }
        Some(FollowOutput {
            records: page.records,
            is_reset,
            is_complete: self.is_complete(),
            written_after: None,
        })
    }

    fn restart(&mut self, now: MonotonicTime) {
        log::warn!(stream = self.stream.label(), next = self.next.0; "records were truncated; reading the newest of each key");
        self.stage = FollowStage::ReadingNewest {
            after: None,
            follow_from: None,
        };
        self.pending = None;
        self.immediate.clear();
        self.read_due_at = now;
    }

    fn record_response(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
        self.steady_since.get_or_insert(now);
        self.failures = 0;
    }

    fn record_failure(&mut self, now: MonotonicTime) {
        self.steady_since = None;
        self.failures += 1;
        self.read_due_at = now + RETRY_DELAY;
    }
}

/// Returns the next unused ticket.
pub const fn allocate_ticket(last_ticket: &mut u64) -> CallTicket {
    *last_ticket += 1;
    CallTicket(*last_ticket)
}
