//! Tests of the follower: order, gaps, duplicated and lost responses, truncation.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_follower::snapshot_seek::SNAPSHOT_WAIT;
use flamingowalk_core::process::log_follower::{
    FollowerAction, FollowerEvent, LogFollower, MAX_PAGE_RECORDS, POLL_INTERVAL, ReadError, ReadId,
    TAIL_WAIT,
};
use flamingowalk_core::process::record::{LogEntry, LogOffset};
use flamingowalk_core::process::snapshot::{chunk_id, split_snapshot};
use proptest::prelude::*;

use crate::fake::{FakeLog, cancelled, random};

const TICK: Duration = Duration::from_millis(100);

/// A follower, its pending reads and the records that it delivered.
struct Reader {
    now: MonotonicTime,
    follower: LogFollower,
    /// Unanswered reads, each with its offset and limit.
    pending: BTreeMap<ReadId, (LogOffset, u32)>,
    offsets: Vec<LogOffset>,
    events: Vec<String>,
}

impl Reader {
    fn new() -> Self {
        let now = MonotonicTime::from_secs(1);
        Self {
            now,
            follower: LogFollower::new(now, random(7)),
            pending: BTreeMap::new(),
            offsets: Vec::new(),
            events: Vec::new(),
        }
    }

    fn handle(&mut self, event: FollowerEvent) {
        for action in self.follower.handle(self.now, event) {
            match action {
                FollowerAction::Read {
                    read, from, limit, ..
                } => {
                    self.pending.insert(read, (from, limit));
                }
                FollowerAction::AbandonRead { read } => {
                    self.pending.remove(&read);
                }
                FollowerAction::Apply(record) => self.offsets.push(record.offset),
                FollowerAction::Truncated { from, first } => {
                    self.events.push(format!("truncated {from} {first}"));
                }
                FollowerAction::Restore(snapshot) => {
                    self.offsets.clear();
                    self.events
                        .push(format!("restore {}", snapshot.covers_until));
                }
                FollowerAction::RestoreAbandoned { first } => {
                    self.offsets.clear();
                    self.events.push(format!("abandoned {first}"));
                }
            }
        }
    }

    fn answer(&mut self, log: &FakeLog, read: ReadId) {
        if let Some((from, limit)) = self.pending.remove(&read) {
            let page = log.read(from, limit);
            self.handle(FollowerEvent::ReadAnswered { read, page });
        }
    }

    fn advance_time(&mut self, time: Duration) {
        self.now = self.now + time;
        self.handle(FollowerEvent::Tick);
    }

    /// Answers all reads for a given time.
    fn run(&mut self, log: &FakeLog, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let reads: Vec<ReadId> = self.pending.keys().copied().collect();
            for read in reads {
                self.answer(log, read);
            }
            self.advance_time(TICK);
        }
    }
}

fn filled(records: usize) -> FakeLog {
    let mut log = FakeLog::default();
    for index in 0..records {
        log.append(&RecordId::from(format!("id{index}")), cancelled("j"));
    }
    log
}

fn write_snapshot(log: &mut FakeLog, covers: LogOffset) {
    for chunk in split_snapshot(covers, "h", Vec::new()) {
        log.append(&chunk_id(&chunk), LogEntry::Snapshot(chunk));
    }
}

fn offsets_from(log: &FakeLog, from: u64) -> Vec<LogOffset> {
    let offsets = log.records.iter().map(|record| record.offset);
    offsets.filter(|offset| offset.0 >= from).collect()
}

#[test]
fn follow_pages_in_order() {
    let mut log = filled(1_000);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(5));
    assert_eq!(reader.offsets, offsets_from(&log, 0));
    assert!(reader.follower.is_complete());
    let before = reader.follower.caught_up_at();
    log.append(&RecordId::from("more"), cancelled("j"));
    reader.run(&log, POLL_INTERVAL + TICK);
    assert_eq!(reader.offsets, offsets_from(&log, 0));
    assert!(reader.follower.caught_up_at() > before);
}

/// The next read is sent at once to a log that holds reads at its tail, and after the
/// poll interval to one that does not.
#[test]
fn follow_next_read() {
    let log = filled(3);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(2));
    for (held, gap) in [(TAIL_WAIT, Duration::ZERO), (Duration::ZERO, POLL_INTERVAL)] {
        while reader.pending.is_empty() {
            reader.advance_time(TICK);
        }
        let sent = reader.now;
        let read = *reader.pending.keys().next().expect("a read");
        reader.now = sent + held;
        reader.answer(&log, read);
        while reader.pending.is_empty() {
            reader.advance_time(TICK);
        }
        assert_eq!(reader.now, sent + held + gap);
    }
}

/// Once a follower has caught up, it must send the next read, which the log holds at
/// its tail, without waiting for the poll interval.
#[test]
fn follow_first_wait() {
    let log = filled(3);
    let mut reader = Reader::new();
    reader.advance_time(TICK);
    while reader.follower.caught_up_at().is_none() {
        let read = *reader.pending.keys().next().expect("a read");
        reader.answer(&log, read);
    }
    assert_eq!(reader.pending.len(), 1, "the next read was sent");
}

/// A late response shows the log as of the time when the read was sent. Counting from
/// the time of the response would make the follower seem more current than it is.
#[test]
fn follow_caught_up_counts_from_request() {
    let log = filled(3);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(1));
    while reader.pending.is_empty() {
        reader.advance_time(TICK);
    }
    let sent = reader.now;
    let read = *reader.pending.keys().next().expect("a read");
    reader.advance_time(Duration::from_millis(1_500));
    reader.answer(&log, read);
    assert_eq!(reader.follower.caught_up_at(), Some(sent));
}

#[test]
fn follow_unanswered_read() {
    let log = filled(3);
    let mut reader = Reader::new();
    let first = *reader.pending.keys().next().unwrap_or(&ReadId(0));
    reader.advance_time(TICK);
    reader.advance_time(Duration::from_secs(4));
    assert_eq!(reader.pending.len(), 2, "a second read was sent");
    let second = *reader.pending.keys().last().expect("a read");
    assert_ne!(first, second);
    reader.answer(&log, second);
    reader.run(&log, Duration::from_secs(1));
    assert_eq!(reader.offsets, offsets_from(&log, 0));
}

/// A record above the size limit of readers must not hold up the others.
#[test]
fn follow_oversized_record() {
    let log = filled(600);
    let huge = log.records[300].offset;
    let mut reader = Reader::new();
    for _ in 0..400 {
        let reads: Vec<_> = reader
            .pending
            .iter()
            .map(|(read, request)| (*read, *request))
            .collect();
        for (read, (from, limit)) in reads {
            let page = log.read(from, limit);
            if page.records.iter().any(|record| record.offset == huge) {
                reader.pending.remove(&read);
                let error = ReadError::TooLarge;
                reader.handle(FollowerEvent::ReadFailed { read, error });
            } else {
                reader.answer(&log, read);
            }
        }
        reader.advance_time(TICK);
    }
    let expected: Vec<_> = offsets_from(&log, 0)
        .into_iter()
        .filter(|o| *o != huge)
        .collect();
    assert_eq!(reader.offsets, expected);
    assert_eq!(reader.follower.counters().oversized, 1);
}

#[test]
fn follow_truncated_below_position() {
    let mut log = filled(50);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(2));
    let position = reader.follower.position();
    filled(50).records.iter().for_each(|record| {
        log.append(&record.id, record.entry.clone());
    });
    log.first = position.0 + 10;
    reader.run(&log, Duration::from_secs(2));
    assert_eq!(
        reader.events,
        [format!("truncated {position} {}", LogOffset(log.first))]
    );
    assert!(!reader.follower.is_complete());
    assert_eq!(reader.follower.caught_up_at(), None);
    let covers = LogOffset(log.tail);
    write_snapshot(&mut log, covers);
    reader.run(&log, Duration::from_secs(2));
    assert_eq!(reader.events.last(), Some(&format!("restore {covers}")));
    assert_eq!(reader.offsets, offsets_from(&log, covers.0));
    assert!(reader.follower.caught_up_at().is_some());
}

/// A snapshot cannot be used if retention has removed records that follow it.
#[test]
fn follow_snapshot_too_old() {
    let mut log = filled(50);
    write_snapshot(&mut log, LogOffset(10));
    log.first = 20;
    let mut reader = Reader::new();
    reader.run(&log, SNAPSHOT_WAIT);
    assert!(reader.events.is_empty() && !reader.follower.is_complete());
    reader.run(&log, Duration::from_secs(3));
    assert_eq!(reader.events, ["abandoned offset20"]);
    assert_eq!(reader.offsets, offsets_from(&log, 20));
}

/// A host that starts must read only the newest part of a long log.
#[test]
fn follow_start_reads_tail_only() {
    let mut log = filled(20_000);
    let covers = LogOffset(log.tail);
    write_snapshot(&mut log, covers);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(10));
    assert_eq!(reader.events, [format!("restore {covers}")]);
    assert_eq!(reader.offsets, offsets_from(&log, covers.0));
    let pages = u64::from(MAX_PAGE_RECORDS);
    assert!(reader.follower.counters().applied < pages);
}

/// A late response to a read of an earlier scan must not advance the present scan past
/// the snapshot.
#[test]
fn follow_late_answer_of_earlier_scan() {
    let mut log = filled(900);
    let covers = LogOffset(log.tail);
    write_snapshot(&mut log, covers);
    filled(4_000).records.iter().for_each(|record| {
        log.append(&record.id, record.entry.clone());
    });
    log.first = 5;
    let mut reader = Reader::new();
    reader.advance_time(TICK);
    reader.answer(&log, ReadId(0));
    let late = *reader
        .pending
        .keys()
        .next()
        .expect("the first read of the scan");
    let scan_start = reader.pending[&late].0;
    reader.advance_time(Duration::from_secs(4));
    while reader.pending.values().all(|(from, _)| *from >= scan_start) {
        let newest = *reader.pending.keys().last().expect("a read");
        reader.answer(&log, newest);
        reader.advance_time(TICK);
    }
    reader.answer(&log, late);
    reader.run(&log, Duration::from_secs(10));
    assert_eq!(reader.events, [format!("restore {covers}")]);
}

/// After retention removed unread records, the next snapshot must be restored, so that
/// hosts that missed different records converge.
#[test]
fn follow_restores_after_loss() {
    let mut log = filled(50);
    log.first = 20;
    let mut reader = Reader::new();
    reader.run(&log, SNAPSHOT_WAIT + Duration::from_secs(3));
    let covers = LogOffset(log.tail);
    log.append(&RecordId::from("more"), cancelled("j"));
    write_snapshot(&mut log, covers);
    reader.run(&log, Duration::from_secs(3));
    assert_eq!(
        reader.events,
        ["abandoned offset20".to_owned(), format!("restore {covers}")]
    );
    assert_eq!(reader.offsets, offsets_from(&log, covers.0));
}

#[test]
fn follow_regressed_log() {
    let mut log = filled(30);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(2));
    let (position, caught_up) = (reader.follower.position(), reader.follower.caught_up_at());
    log.records.truncate(10);
    log.tail = log.records[9].offset.0 + 1;
    reader.run(&log, Duration::from_secs(2));
    assert_eq!(reader.follower.position(), position);
    assert!(reader.follower.counters().regressed > 0);
    assert!(reader.follower.caught_up_at() <= caught_up.map(|at| at + POLL_INTERVAL * 2));
}

#[derive(Clone, Copy, Debug)]
enum TestStep {
    Append(u8),
    Snapshot,
    Truncate(u8),
    Answer(u8),
    AnswerTwice,
    Fail,
    Drop,
    Wait(u16),
}

fn any_step() -> impl Strategy<Value = TestStep> {
    prop_oneof![
        3 => (1..60_u8).prop_map(TestStep::Append),
        1 => Just(TestStep::Snapshot),
        1 => (0..100_u8).prop_map(TestStep::Truncate),
        6 => (0..3_u8).prop_map(TestStep::Answer),
        1 => Just(TestStep::AnswerTwice),
        1 => Just(TestStep::Fail),
        1 => Just(TestStep::Drop),
        4 => (0..9_000_u16).prop_map(TestStep::Wait),
    ]
}

fn apply_step(reader: &mut Reader, log: &mut FakeLog, step: TestStep) {
    let nth = |reader: &Reader, n: u8| reader.pending.keys().nth(n.into()).copied();
    match step {
        TestStep::Append(records) => (0..records).for_each(|_| {
            log.append(&RecordId::from("id"), cancelled("j"));
        }),
        TestStep::Snapshot => write_snapshot(log, LogOffset(log.tail)),
        TestStep::Truncate(percent) => {
            let first = log.tail * u64::from(percent) / 100;
            log.first = log.first.max(first);
        }
        TestStep::Answer(n) => {
            if let Some(read) = nth(reader, n) {
                reader.answer(log, read);
            }
        }
        TestStep::AnswerTwice => {
            if let Some(read) = nth(reader, 0) {
                let pending = reader.pending[&read];
                reader.answer(log, read);
                reader.pending.insert(read, pending);
                reader.answer(log, read);
            }
        }
        TestStep::Fail => {
            if let Some(read) = nth(reader, 0) {
                reader.pending.remove(&read);
                let error = ReadError::Unavailable;
                reader.handle(FollowerEvent::ReadFailed { read, error });
            }
        }
        TestStep::Drop => {
            if let Some(read) = nth(reader, 0) {
                reader.pending.remove(&read);
            }
        }
        TestStep::Wait(millis) => reader.advance_time(Duration::from_millis(millis.into())),
    }
}

/// Returns whether `offsets`, those of the records delivered since the last restore, are
/// exactly those of the log from the first of them on, without any missing or duplicated.
fn is_contiguous(log: &FakeLog, offsets: &[LogOffset]) -> bool {
    let Some(first) = offsets.first() else {
        return true;
    };
    offsets_from(log, first.0).starts_with(offsets)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Responses may be lost, late or duplicated and retention may remove records. Records
    /// must still be delivered in order without a gap, and the follower must reach the
    /// tail once the log answers.
    #[test]
    fn follow_any_faults(steps in proptest::collection::vec(any_step(), 1..120)) {
        let mut log = FakeLog::default();
        let mut reader = Reader::new();
        for step in steps {
            let position = reader.follower.position();
            let events = reader.events.len();
            apply_step(&mut reader, &mut log, step);
            prop_assert!(is_contiguous(&log, &reader.offsets));
            prop_assert!(reader.pending.len() <= 3);
            if reader.events.len() == events {
                prop_assert!(reader.follower.position() >= position);
            }
        }
        let covers = LogOffset(log.tail);
        write_snapshot(&mut log, covers);
        reader.run(&log, Duration::from_mins(1));
        prop_assert!(is_contiguous(&log, &reader.offsets));
        prop_assert!(reader.follower.is_complete());
        prop_assert_eq!(reader.follower.position(), LogOffset(log.tail));
    }
}
