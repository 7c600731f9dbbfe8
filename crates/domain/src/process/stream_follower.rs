//! Follows one stream: first the newest record of each key, then everything that is
//! appended. Each offset after the first pages is handed out once and in order,
//! whatever is slow, lost or answered late.

use crate::prelude::*;
use crate::process::action::{CallTicket, HostAction, NewestOrder, ReadOrder};
use crate::process::stream::{NewestPage, StreamError, StreamName, StreamPage, StreamRecord};

/// Time for which a read waits at the tail for a record to come.
const TAIL_WAIT: Duration = Duration::from_secs(1);
/// Time for an answer beside the wait: a log that answers 60 times slower than its
/// usual 4 ms, and a page of a megabyte over a link of 10 Mbit/s.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Pause after a failed read, so that a lost log is not asked in a loop.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a read that waits should have brought a record that was written;
/// a log that answers at its usual pace brings it within a few milliseconds.
const WAKE_TIME: Duration = Duration::from_millis(80);
/// Least time between reads without a wait while reads that wait bring nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which reads that wait are not relied on after one brought nothing; the
/// platform leaves waiting reads unanswered for a second at times.
const POLL_TIME: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug)]
enum FollowStage {
    /// Reading the newest records; pages are handed out as they come.
    Gathering {
        /// Key after which the next page begins.
        after: Option<Arc<str>>,
        /// End of the stream at the first page, from where to read on.
        floor: Option<StreamOffset>,
    },
    /// Reading from `next` on.
    Following,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    ticket: CallTicket,
    sent_at: MonotonicTime,
    is_fresh: bool,
}

/// What a follower hands out.
#[derive(Debug, Default)]
pub struct FollowOutput {
    /// Records in order.
    pub records: Vec<StreamRecord>,
    /// Whether everything handed out before is void, since records were lost: these
    /// records begin a state anew.
    pub is_reset: bool,
    /// Time before which none of these records was written: an earlier read, sent
    /// then, had reached the tail. Nothing where no read proves one.
    pub written_after: Option<MonotonicTime>,
}

/// Reader of one stream.
#[derive(Debug)]
pub struct StreamFollower {
    stream: StreamName,
    stage: FollowStage,
    /// Lowest offset that was not handed out.
    next: StreamOffset,
    /// Read that waits at the tail or fetches pages.
    pending: Option<PendingRead>,
    /// Read without a wait that proves where the tail is.
    fresh: Option<PendingRead>,
    wants_fresh: bool,
    /// Least time from one read to the next at the tail.
    pace: Duration,
    due_at: MonotonicTime,
    /// When the newest answered read that reached the tail was sent.
    confirmed_at: Option<MonotonicTime>,
    /// When the newest answer came.
    answered_at: Option<MonotonicTime>,
    /// Since when every read was answered.
    steady_since: Option<MonotonicTime>,
    /// Reads in a row that failed.
    failures: u32,
    /// Record that this host knows to be written.
    written: Option<WrittenMark>,
    /// Reads that wait are not relied on before.
    polls_until: MonotonicTime,
    /// When the newest read without a wait was sent.
    fresh_at: MonotonicTime,
}

/// End of the stream after a record of this host, and when its append was answered.
#[derive(Clone, Copy, Debug)]
struct WrittenMark {
    end: StreamOffset,
    at: MonotonicTime,
}

impl StreamFollower {
    /// A follower that has read nothing.
    pub const fn new(stream: StreamName, pace: Duration, now: MonotonicTime) -> Self {
        Self {
            stream,
            stage: FollowStage::Gathering {
                after: None,
                floor: None,
            },
            next: StreamOffset(0),
            pending: None,
            fresh: None,
            wants_fresh: false,
            pace,
            due_at: now,
            confirmed_at: None,
            answered_at: None,
            steady_since: None,
            failures: 0,
            written: None,
            polls_until: now,
            fresh_at: now,
        }
    }

    /// Notes that a record of this host was written, so that a waiting read that does
    /// not bring it is noticed.
    pub const fn record_written(&mut self, now: MonotonicTime, end: StreamOffset) {
        self.written = Some(WrittenMark { end, at: now });
    }

    /// Whether a record that is known to be written was not read in time.
    fn is_behind(&self, now: MonotonicTime) -> bool {
        self.written
            .is_some_and(|mark| mark.end > self.next && now >= mark.at + WAKE_TIME)
    }

    /// When the newest answered read that reached the tail was sent: whatever was in
    /// the stream by then has been handed out.
    pub const fn confirmed_at(&self) -> Option<MonotonicTime> {
        self.confirmed_at
    }

    /// When the newest answer came.
    pub const fn answered_at(&self) -> Option<MonotonicTime> {
        self.answered_at
    }

    /// Since when no read has failed; nothing while reads fail.
    pub const fn steady_since(&self) -> Option<MonotonicTime> {
        self.steady_since
    }

    /// Reads in a row that failed.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Lowest offset that was not handed out.
    pub const fn next_offset(&self) -> StreamOffset {
        self.next
    }

    /// Changes the least time between reads at the tail.
    pub const fn set_pace(&mut self, pace: Duration) {
        self.pace = pace;
    }

    /// Asks for a read without a wait, beside the one that waits at the tail.
    pub const fn request_immediate_read(&mut self) {
        self.wants_fresh = true;
    }

    /// Reads that are due.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        next_ticket: &mut u64,
        actions: &mut Vec<HostAction>,
    ) {
        if self.pending.is_none() && now >= self.due_at {
            let ticket = allocate_ticket(next_ticket);
            self.pending = Some(PendingRead {
                ticket,
                sent_at: now,
                is_fresh: false,
            });
            // Until the tail was reached once, a wait there would only delay the proof.
            let wait = self.confirmed_at.map_or(Duration::ZERO, |_| TAIL_WAIT);
            actions.push(self.order(ticket, wait));
        }
        let must_poll = self.is_behind(now) || now < self.polls_until;
        self.wants_fresh |= must_poll && now >= self.fresh_at + POLL_INTERVAL;
        let is_following = matches!(self.stage, FollowStage::Following);
        if self.wants_fresh && self.fresh.is_none() && is_following {
            self.wants_fresh = false;
            self.fresh_at = now;
            let ticket = allocate_ticket(next_ticket);
            self.fresh = Some(PendingRead {
                ticket,
                sent_at: now,
                is_fresh: true,
            });
            actions.push(self.order(ticket, Duration::ZERO));
        }
    }

    fn order(&self, ticket: CallTicket, wait: Duration) -> HostAction {
        let stream = self.stream;
        match &self.stage {
            FollowStage::Gathering { after, .. } => HostAction::ReadNewest(NewestOrder {
                ticket,
                stream,
                after: after.clone(),
                timeout: ANSWER_TIME,
            }),
            FollowStage::Following => HostAction::Read(ReadOrder {
                ticket,
                stream,
                from: self.next,
                wait,
                timeout: wait + ANSWER_TIME,
            }),
        }
    }

    fn take_pending(&mut self, ticket: CallTicket) -> Option<PendingRead> {
        for slot in [&mut self.pending, &mut self.fresh] {
            if slot.is_some_and(|read| read.ticket == ticket) {
                return slot.take();
            }
        }
        None
    }

    /// Takes the answer of a read; nothing if it is not one of this follower's.
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
                self.begin_anew(now);
                return Some(FollowOutput::default());
            }
            Err(_) => {
                self.note_failure(now);
                return Some(FollowOutput::default());
            }
        };
        self.note_answer(now);
        if read.is_fresh && self.is_behind(now) {
            self.polls_until = now + POLL_TIME;
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
        if !read.is_fresh {
            // The pace counts from when the last read was sent, so that a quiet stream
            // is read again at once after its wait.
            let paced = read.sent_at + self.pace;
            self.due_at = if has_reached_tail {
                paced.max(now)
            } else {
                now
            };
        }
        Some(FollowOutput {
            records,
            is_reset: false,
            written_after,
        })
    }

    /// Takes a page of newest records; nothing if it is not one of this follower's.
    pub fn handle_newest_page(
        &mut self,
        now: MonotonicTime,
        ticket: CallTicket,
        result: &mut Result<NewestPage, StreamError>,
    ) -> Option<FollowOutput> {
        self.take_pending(ticket)?;
        let Ok(page) = result else {
            self.note_failure(now);
            return Some(FollowOutput::default());
        };
        let page = std::mem::take(page);
        self.note_answer(now);
        self.due_at = now;
        let FollowStage::Gathering { after, floor } = &mut self.stage else {
            return Some(FollowOutput::default());
        };
        let is_reset = floor.is_none();
        let from = *floor.get_or_insert(page.end);
        *after = page.next_after;
        if after.is_none() {
            self.next = from;
            self.stage = FollowStage::Following;
        }
        Some(FollowOutput {
            records: page.records,
            is_reset,
            written_after: None,
        })
    }

    fn begin_anew(&mut self, now: MonotonicTime) {
        log::warn!(stream = self.stream.label(), next = self.next.0; "records are gone; reading the newest of each key");
        self.stage = FollowStage::Gathering {
            after: None,
            floor: None,
        };
        self.pending = None;
        self.fresh = None;
        self.due_at = now;
    }

    fn note_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
        self.steady_since.get_or_insert(now);
        self.failures = 0;
    }

    fn note_failure(&mut self, now: MonotonicTime) {
        self.steady_since = None;
        self.failures += 1;
        self.due_at = now + RETRY_PAUSE;
    }
}

/// The next unused ticket.
pub const fn allocate_ticket(next_ticket: &mut u64) -> CallTicket {
    *next_ticket += 1;
    CallTicket(*next_ticket)
}
