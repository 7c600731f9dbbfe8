//! Tests of the appender: group commit, rate limit, lost responses, refusals and
//! records with an unknown outcome.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_appender::{
    APPEND_INTERVAL, AppendError, AppendId, AppenderAction, AppenderEvent, LogAppender,
    MAX_QUEUED_RECORDS, MAX_RECORD_BYTES, NotWrittenReason, OutgoingRecord, SubmitError,
};
use flamingowalk_core::process::record::LogOffset;
use rstest::rstest;

use crate::fake::{cancelled, random};

const RECORD_TIMEOUT: Duration = Duration::from_secs(20);

struct Writer {
    now: MonotonicTime,
    appender: LogAppender,
    appends: Vec<(AppendId, Vec<String>)>,
    reports: Vec<String>,
}

impl Writer {
    fn new() -> Self {
        let now = MonotonicTime::from_secs(1);
        Self {
            now,
            appender: LogAppender::new(now, random(3)),
            appends: Vec::new(),
            reports: Vec::new(),
        }
    }

    fn submit(&mut self, id: &str, timeout: Option<Duration>) {
        let record = outgoing(id, 100, timeout.map(|timeout| self.now + timeout));
        self.appender
            .submit(record)
            .expect("free capacity in the queue");
    }

    fn handle(&mut self, event: AppenderEvent) {
        for action in self.appender.handle(self.now, event) {
            match action {
                AppenderAction::Append { append, records } => {
                    let ids = records.iter().map(|record| record.id.to_string()).collect();
                    self.appends.push((append, ids));
                }
                AppenderAction::Written { id, offset } => {
                    let place = offset.map_or("?".to_owned(), |offset| offset.0.to_string());
                    self.reports.push(format!("{id} written {place}"));
                }
                AppenderAction::NotWritten { id, reason } => {
                    let reason = match reason {
                        NotWrittenReason::Expired => "expired".to_owned(),
                        NotWrittenReason::Refused(message) => message,
                    };
                    self.reports.push(format!("{id} not written: {reason}"));
                }
                AppenderAction::Unresolved { id } => self.reports.push(format!("{id} unresolved")),
            }
        }
    }

    fn advance_time(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            self.handle(AppenderEvent::Tick);
        }
    }

    fn fail_last(&mut self, error: AppendError) {
        let append = self.last();
        self.handle(AppenderEvent::Failed { append, error });
    }

    fn answer_last(&mut self, first: u64, next: u64) {
        let append = self.last();
        let (first, next) = (LogOffset(first), LogOffset(next));
        self.handle(AppenderEvent::Answered {
            append,
            first,
            next,
        });
    }

    fn last(&self) -> AppendId {
        self.appends.last().expect("an append").0
    }
}

fn outgoing(id: &str, bytes: usize, expires_at: Option<MonotonicTime>) -> OutgoingRecord {
    OutgoingRecord {
        id: RecordId::from(id),
        entry: cancelled("j"),
        bytes,
        expires_at,
    }
}

#[test]
fn append_groups_waiting_records() {
    let mut writer = Writer::new();
    writer.submit("a", None);
    writer.advance_time(APPEND_INTERVAL);
    for id in ["b", "c", "d"] {
        writer.submit(id, None);
    }
    writer.advance_time(APPEND_INTERVAL * 4);
    assert_eq!(writer.appends.len(), 1, "one append is in flight at a time");
    writer.answer_last(5, 6);
    writer.answer_last(5, 6);
    writer.advance_time(APPEND_INTERVAL);
    assert_eq!(writer.appends[1].1, ["b", "c", "d"]);
    writer.answer_last(9, 13);
    assert_eq!(
        writer.reports,
        ["a written 5", "b written ?", "c written ?", "d written ?"]
    );
}

#[test]
fn append_rate_limit() {
    let mut writer = Writer::new();
    for index in 0..200 {
        writer.submit(&index.to_string(), None);
        writer.advance_time(Duration::from_millis(50));
        if writer.appender.open_records() > 0 && !writer.appends.is_empty() {
            writer.answer_last(0, 1);
        }
    }
    let appends = writer.appends.len();
    assert!((30..=41).contains(&appends), "{appends} appends in 10 s");
}

/// The response is lost after the write took effect: the record must be found by
/// reading the log and must not be sent again.
#[test]
fn append_lost_answer_resolved_by_reading() {
    let mut writer = Writer::new();
    writer.submit("a", Some(RECORD_TIMEOUT));
    writer.advance_time(APPEND_INTERVAL);
    writer.fail_last(AppendError::Unknown);
    writer.advance_time(Duration::from_secs(2));
    assert_eq!(writer.appends.len(), 1, "nothing is retried before a read");
    let (id, offset) = (RecordId::from("a"), LogOffset(4));
    writer.handle(AppenderEvent::Followed { id, offset });
    let at = writer.now;
    writer.handle(AppenderEvent::CaughtUp { at });
    writer.advance_time(RECORD_TIMEOUT);
    assert_eq!(writer.reports, ["a written 4"]);
    assert_eq!(
        (writer.appends.len(), writer.appender.open_records()),
        (1, 0)
    );
}

#[test]
fn append_unseen_record_is_retried() {
    let mut writer = Writer::new();
    let before = writer.now;
    writer.submit("a", None);
    writer.advance_time(APPEND_INTERVAL);
    writer.fail_last(AppendError::Unknown);
    writer.handle(AppenderEvent::CaughtUp { at: before });
    writer.advance_time(Duration::from_secs(2));
    assert_eq!(
        writer.appends.len(),
        1,
        "a read sent before the outcome became unknown shows nothing"
    );
    let at = writer.now;
    writer.handle(AppenderEvent::CaughtUp { at });
    writer.advance_time(Duration::from_secs(2));
    assert_eq!(writer.appends[1].1, ["a"]);
    let append = writer.appends[0].0;
    let (first, next) = (LogOffset(2), LogOffset(3));
    writer.handle(AppenderEvent::Answered {
        append,
        first,
        next,
    });
    writer.answer_last(7, 8);
    assert_eq!(
        writer.reports,
        ["a written 2"],
        "the late response resolves it, once"
    );
}

#[rstest]
#[case::never_sent(None, "a not written: expired")]
#[case::no_connection(Some(AppendError::NotSent), "a not written: expired")]
#[case::lost_answer(Some(AppendError::Unknown), "a unresolved")]
#[case::refused(Some(AppendError::Refused("malformed".to_owned())), "a not written: malformed")]
fn append_expired(#[case] error: Option<AppendError>, #[case] report: &str) {
    let mut writer = Writer::new();
    if error.is_none() {
        writer.submit("other", None);
        writer.advance_time(APPEND_INTERVAL);
    }
    writer.submit("a", Some(Duration::from_secs(5)));
    if let Some(error) = error {
        for _ in 0..100 {
            writer.advance_time(Duration::from_millis(50));
            if !writer.appends.is_empty() {
                writer.fail_last(error.clone());
            }
        }
    }
    writer.advance_time(Duration::from_secs(6));
    assert_eq!(writer.reports, [report]);
}

/// A failure to connect says nothing about an append that was sent earlier: its record
/// must be reported as unresolved, not as not written.
#[test]
fn append_not_sent_after_lost_answer() {
    let mut writer = Writer::new();
    writer.submit("a", Some(RECORD_TIMEOUT));
    writer.advance_time(APPEND_INTERVAL);
    writer.fail_last(AppendError::Unknown);
    let at = writer.now + Duration::from_millis(1);
    writer.advance_time(Duration::from_secs(1));
    writer.handle(AppenderEvent::CaughtUp { at });
    writer.advance_time(Duration::from_secs(1));
    assert_eq!(writer.appends.len(), 2);
    writer.fail_last(AppendError::NotSent);
    while writer.reports.is_empty() {
        writer.advance_time(APPEND_INTERVAL);
        writer.fail_last(AppendError::NotSent);
    }
    assert_eq!(writer.reports, ["a unresolved"]);
    let (id, offset) = (RecordId::from("a"), LogOffset(4));
    writer.handle(AppenderEvent::Followed { id, offset });
    assert_eq!(writer.reports, ["a unresolved", "a written 4"]);
}

/// An invalid record makes the log refuse the whole append: only that record is
/// reported as refused, the others are written.
#[test]
fn append_refused_record_alone() {
    let mut writer = Writer::new();
    for id in ["a", "bad", "c"] {
        writer.submit(id, None);
    }
    for offset in 0..100 {
        writer.advance_time(Duration::from_millis(500));
        let Some((_, ids)) = writer.appends.last() else {
            continue;
        };
        if ids.iter().any(|id| id == "bad") {
            writer.fail_last(AppendError::Refused("malformed".to_owned()));
        } else {
            let next = offset + ids.len() as u64;
            writer.answer_last(offset, next);
        }
    }
    let mut ends: Vec<&str> = writer
        .reports
        .iter()
        .map(|r| &r[..r.len().min(11)])
        .collect();
    ends.sort_unstable();
    assert_eq!(ends.len(), 3, "{ends:?}");
    assert_eq!(
        (&ends[0][..9], ends[1], &ends[2][..9]),
        ("a written", "bad not wri", "c written")
    );
}

#[test]
fn append_unanswered() {
    let mut writer = Writer::new();
    writer.submit("a", None);
    writer.submit("b", Some(RECORD_TIMEOUT));
    writer.advance_time(Duration::from_secs(30));
    assert_eq!(writer.appends.len(), 1);
    assert_eq!(writer.reports, ["b unresolved"]);
    writer.answer_last(3, 5);
    assert_eq!(
        writer.reports,
        ["b unresolved", "a written 3", "b written 4"]
    );
}

#[test]
fn submit_limits() {
    let mut writer = Writer::new();
    let bytes = MAX_RECORD_BYTES + 1;
    let large = writer.appender.submit(outgoing("large", bytes, None));
    assert_eq!(large, Err(SubmitError::TooLarge { bytes }));
    let expires_at = Some(writer.now + RECORD_TIMEOUT);
    for index in 0..MAX_QUEUED_RECORDS {
        let record = outgoing(&index.to_string(), 1, expires_at);
        assert_eq!(writer.appender.submit(record), Ok(()));
    }
    let full = writer.appender.submit(outgoing("full", 1, expires_at));
    assert_eq!(full, Err(SubmitError::QueueFull));
    let ending = writer.appender.submit(outgoing("ending", 1, None));
    assert_eq!(ending, Ok(()), "an ending is never refused");
}
