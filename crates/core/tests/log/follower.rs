//! The follower alone: order, gaps, repeated and lost answers, truncation.

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

/// A follower, its open reads and what it handed out.
struct Reader {
    now: MonotonicTime,
    follower: LogFollower,
    /// Reads without an answer, with the log's answer of the time of the request.
    open: BTreeMap<ReadId, (LogOffset, u32)>,
    offsets: Vec<LogOffset>,
    events: Vec<String>,
}

impl Reader {
    fn new() -> Self {
        let now = MonotonicTime::from_secs(1);
        Self {
            now,
            follower: LogFollower::new(now, random(7)),
            open: BTreeMap::new(),
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
                    self.open.insert(read, (from, limit));
                }
                FollowerAction::AbandonRead { read } => {
                    self.open.remove(&read);
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
        if let Some((from, limit)) = self.open.remove(&read) {
            let page = log.read(from, limit);
            self.handle(FollowerEvent::ReadAnswered { read, page });
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        self.handle(FollowerEvent::Tick);
    }

    /// Answers everything for a while.
    fn run(&mut self, log: &FakeLog, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let reads: Vec<ReadId> = self.open.keys().copied().collect();
            for read in reads {
                self.answer(log, read);
            }
            self.pass(TICK);
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

/// Reads follow each other at once on a log that waits at its tail, and at the
/// poll interval on one that does not.
#[test]
fn follow_next_read() {
    let log = filled(3);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(2));
    for (held, gap) in [(TAIL_WAIT, Duration::ZERO), (Duration::ZERO, POLL_INTERVAL)] {
        while reader.open.is_empty() {
            reader.pass(TICK);
        }
        let sent = reader.now;
        let read = *reader.open.keys().next().expect("a read");
        reader.now = sent + held;
        reader.answer(&log, read);
        while reader.open.is_empty() {
            reader.pass(TICK);
        }
        assert_eq!(reader.now, sent + held + gap);
    }
}

/// A host that has caught up waits at the tail at once.
#[test]
fn follow_first_wait() {
    let log = filled(3);
    let mut reader = Reader::new();
    reader.pass(TICK);
    while reader.follower.caught_up_at().is_none() {
        let read = *reader.open.keys().next().expect("a read");
        reader.answer(&log, read);
    }
    assert_eq!(reader.open.len(), 1, "the next read is out");
}

/// A late answer proves no more than what the log held when the read was sent.
#[test]
fn follow_caught_up_counts_from_request() {
    let log = filled(3);
    let mut reader = Reader::new();
    reader.run(&log, Duration::from_secs(1));
    while reader.open.is_empty() {
        reader.pass(TICK);
    }
    let sent = reader.now;
    let read = *reader.open.keys().next().expect("a read");
    reader.pass(Duration::from_millis(1_500));
    reader.answer(&log, read);
    assert_eq!(reader.follower.caught_up_at(), Some(sent));
}

#[test]
fn follow_silent_read() {
    let log = filled(3);
    let mut reader = Reader::new();
    let first = *reader.open.keys().next().unwrap_or(&ReadId(0));
    reader.pass(TICK);
    reader.pass(Duration::from_secs(4));
    assert_eq!(reader.open.len(), 2, "a second read was sent");
    let second = *reader.open.keys().last().expect("a read");
    assert_ne!(first, second);
    reader.answer(&log, second);
    reader.run(&log, Duration::from_secs(1));
    assert_eq!(reader.offsets, offsets_from(&log, 0));
}

/// One record that no reader takes does not hold up the others.
#[test]
fn follow_oversized_record() {
    let log = filled(600);
    let huge = log.records[300].offset;
    let mut reader = Reader::new();
    for _ in 0..400 {
        let reads: Vec<_> = reader
            .open
            .iter()
            .map(|(read, what)| (*read, *what))
            .collect();
        for (read, (from, limit)) in reads {
            let page = log.read(from, limit);
            if page.records.iter().any(|record| record.offset == huge) {
                reader.open.remove(&read);
                let error = ReadError::TooLarge;
                reader.handle(FollowerEvent::ReadFailed { read, error });
            } else {
                reader.answer(&log, read);
            }
        }
        reader.pass(TICK);
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

/// A snapshot that covers less than retention has taken is of no use.
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

/// A start reads the newest part of a long log, not all of it.
#[test]
fn follow_start_reads_little() {
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

/// A late answer to a read of an earlier scan must not let the present scan pass
/// over the snapshot.
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
    reader.pass(TICK);
    reader.answer(&log, ReadId(0));
    let late = *reader
        .open
        .keys()
        .next()
        .expect("the first read of the scan");
    let scan_start = reader.open[&late].0;
    reader.pass(Duration::from_secs(4));
    while reader.open.values().all(|(from, _)| *from >= scan_start) {
        let newest = *reader.open.keys().last().expect("a read");
        reader.answer(&log, newest);
        reader.pass(TICK);
    }
    reader.answer(&log, late);
    reader.run(&log, Duration::from_secs(10));
    assert_eq!(reader.events, [format!("restore {covers}")]);
}

/// Hosts that lost records to retention agree on the next snapshot.
#[test]
fn follow_agrees_after_loss() {
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
enum Move {
    Append(u8),
    Snapshot,
    Truncate(u8),
    Answer(u8),
    AnswerTwice,
    Fail,
    Drop,
    Wait(u16),
}

fn any_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        3 => (1..60_u8).prop_map(Move::Append),
        1 => Just(Move::Snapshot),
        1 => (0..100_u8).prop_map(Move::Truncate),
        6 => (0..3_u8).prop_map(Move::Answer),
        1 => Just(Move::AnswerTwice),
        1 => Just(Move::Fail),
        1 => Just(Move::Drop),
        4 => (0..9_000_u16).prop_map(Move::Wait),
    ]
}

fn make_move(reader: &mut Reader, log: &mut FakeLog, step: Move) {
    let nth = |reader: &Reader, n: u8| reader.open.keys().nth(n.into()).copied();
    match step {
        Move::Append(records) => (0..records).for_each(|_| {
            log.append(&RecordId::from("id"), cancelled("j"));
        }),
        Move::Snapshot => write_snapshot(log, LogOffset(log.tail)),
        Move::Truncate(percent) => {
            let first = log.tail * u64::from(percent) / 100;
            log.first = log.first.max(first);
        }
        Move::Answer(n) => {
            if let Some(read) = nth(reader, n) {
                reader.answer(log, read);
            }
        }
        Move::AnswerTwice => {
            if let Some(read) = nth(reader, 0) {
                let open = reader.open[&read];
                reader.answer(log, read);
                reader.open.insert(read, open);
                reader.answer(log, read);
            }
        }
        Move::Fail => {
            if let Some(read) = nth(reader, 0) {
                reader.open.remove(&read);
                let error = ReadError::Unavailable;
                reader.handle(FollowerEvent::ReadFailed { read, error });
            }
        }
        Move::Drop => {
            if let Some(read) = nth(reader, 0) {
                reader.open.remove(&read);
            }
        }
        Move::Wait(millis) => reader.pass(Duration::from_millis(millis.into())),
    }
}

/// Records handed out since the last restart of the sequence are exactly those
/// of the log from the first of them on, without one missing or doubled.
fn is_unbroken(log: &FakeLog, offsets: &[LogOffset]) -> bool {
    let Some(first) = offsets.first() else {
        return true;
    };
    offsets_from(log, first.0).starts_with(offsets)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is lost, late, doubled or taken by retention, records come in
    /// order without a gap, and once the log answers the follower reaches its tail.
    #[test]
    fn follow_any_faults(moves in proptest::collection::vec(any_move(), 1..120)) {
        let mut log = FakeLog::default();
        let mut reader = Reader::new();
        for step in moves {
            let position = reader.follower.position();
            let events = reader.events.len();
            make_move(&mut reader, &mut log, step);
            prop_assert!(is_unbroken(&log, &reader.offsets));
            prop_assert!(reader.open.len() <= 3);
            if reader.events.len() == events {
                prop_assert!(reader.follower.position() >= position);
            }
        }
        let covers = LogOffset(log.tail);
        write_snapshot(&mut log, covers);
        reader.run(&log, Duration::from_mins(1));
        prop_assert!(is_unbroken(&log, &reader.offsets));
        prop_assert!(reader.follower.is_complete());
        prop_assert_eq!(reader.follower.position(), LogOffset(log.tail));
    }
}
