//! Tests of the tables as folds over records: the first of several conflicting records
//! takes effect, copies change nothing, and a snapshot replaces all records before it.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_history::{ConfigHistory, PublishOutcome, diff_texts};
use flamingowalk_core::process::config_table::{
    ConfigChange, ConfigRejection, ConfigTable, version_at,
};
use flamingowalk_core::process::job_table::{
    ENDED_JOB_RETENTION, JobChange, JobTable, RejectionReason,
};
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::record::{LogEntry, LogOffset, StoredEntry};
use flamingowalk_core::process::snapshot::{
    SnapshotCollector, SnapshotSchedule, SnapshotTimes, chunk_id, split_snapshot,
};
use flamingowalk_core::version::settings::ConfigVersion;
use proptest::prelude::*;
use rstest::rstest;

use crate::fake::{
    FakeLog, Tables, WALL_START_MS, accepted, cancelled, config, ended, moved, settings_text,
    started,
};

const HOUR_MS: u64 = 3_600_000;

fn log_of(entries: Vec<LogEntry>) -> FakeLog {
    let mut log = FakeLog::default();
    for (index, entry) in entries.into_iter().enumerate() {
        log.append(&RecordId::from(format!("id{index}")), entry);
    }
    log
}

fn last_change(entries: Vec<LogEntry>) -> JobChange {
    let mut table = JobTable::default();
    let log = log_of(entries);
    let changes = log.records.iter().filter_map(|record| table.apply(record));
    changes.last().expect("a record about jobs")
}

fn other_work(job: &str) -> LogEntry {
    let LogEntry::JobAccepted(mut entry) = accepted(job, 0) else {
        unreachable!("an acceptance");
    };
    entry.class = ClassName::from("other");
    LogEntry::JobAccepted(entry)
}

const FINISHED: JobEnding = JobEnding::Finished;

#[rstest]
#[case::same_work(vec![accepted("j", 0), accepted("j", 5)], RejectionReason::Repeated)]
#[case::other_work(vec![accepted("j", 0), other_work("j")], RejectionReason::OtherWork)]
#[case::after_end(vec![accepted("j", 0), ended("j", FINISHED), accepted("j", 0)], RejectionReason::Repeated)]
#[case::clock_ahead(vec![accepted("j", 2 * HOUR_MS)], RejectionReason::ClockSkew)]
#[case::cancel_unknown(vec![cancelled("j")], RejectionReason::UnknownJob)]
#[case::cancel_twice(vec![accepted("j", 0), cancelled("j"), cancelled("j")], RejectionReason::Repeated)]
#[case::start_again(vec![accepted("j", 0), started("j", 2), started("j", 1)], RejectionReason::Repeated)]
#[case::start_after_end(vec![accepted("j", 0), ended("j", FINISHED), started("j", 1)], RejectionReason::EndedJob)]
#[case::end_twice(vec![accepted("j", 0), ended("j", FINISHED), ended("j", JobEnding::Cancelled)], RejectionReason::EndedJob)]
#[case::move_from_other(vec![accepted("j", 0), moved("j", "b", "c")], RejectionReason::OtherZone)]
fn job_table_rejected_record(#[case] entries: Vec<LogEntry>, #[case] reason: RejectionReason) {
    assert_eq!(last_change(entries), JobChange::Rejected(reason));
}

#[test]
fn job_table_keeps_first_ending() {
    let failed = JobEnding::Failed("out of memory".to_owned());
    let log = log_of(vec![
        accepted("j", 0),
        started("j", 1),
        started("j", 2),
        moved("j", "a", "b"),
        cancelled("j"),
        ended("j", failed.clone()),
        ended("j", FINISHED),
    ]);
    let mut table = JobTable::default();
    for record in &log.records {
        table.apply(record);
    }
    let job = table.get(&JobId::from("j")).expect("the job");
    assert_eq!(job.home(), &ZoneName::from("b"));
    assert_eq!(job.attempts_started(), 2);
    assert!(job.cancelled.is_some());
    assert_eq!(
        job.ended.as_ref().map(|end| &end.entry.ending),
        Some(&failed)
    );
}

/// A job moves to another zone and back. A late copy of the first move must not move
/// it again.
#[test]
fn job_table_copy_of_move() {
    let mut log = log_of(vec![
        accepted("j", 0),
        moved("j", "a", "b"),
        moved("j", "b", "a"),
    ]);
    log.append(&RecordId::from("id1"), moved("j", "a", "b"));
    let mut table = JobTable::default();
    let changes: Vec<_> = log
        .records
        .iter()
        .map(|record| table.apply(record))
        .collect();
    assert_eq!(
        changes[3],
        Some(JobChange::Rejected(RejectionReason::Repeated))
    );
}

/// An ended job is removed after its retention. A late copy of its acceptance must not
/// add it again.
#[test]
fn job_table_removes_ended_job() {
    let mut log = log_of(vec![
        accepted("j", 0),
        ended("j", FINISHED),
        accepted("open", 0),
    ]);
    log.wall.set(ENDED_JOB_RETENTION.as_millis() as u64 + 1);
    log.append(&RecordId::from("id0"), accepted("j", 0));
    let mut table = JobTable::default();
    let changes: Vec<_> = log
        .records
        .iter()
        .map(|record| table.apply(record))
        .collect();
    assert_eq!(
        changes[3],
        Some(JobChange::Rejected(RejectionReason::ClockSkew))
    );
    let left: Vec<_> = table.jobs().map(|(id, _)| id.as_str()).collect();
    assert_eq!(left, ["open"]);
}

/// Restoring a snapshot must report the jobs that changed while the host missed
/// records.
#[test]
fn job_table_restore_changes() {
    let mut log = log_of(vec![
        accepted("ends", 0),
        accepted("starts", 0),
        accepted("stays", 0),
    ]);
    let mut behind = JobTable::default();
    for record in &log.records {
        behind.apply(record);
    }
    let mut ahead = behind.clone();
    for (id, entry) in [
        ("e", ended("ends", FINISHED)),
        ("s", started("starts", 1)),
        ("n", accepted("new", 0)),
    ] {
        log.append(&RecordId::from(id), entry);
        ahead.apply(log.records.last().expect("a record"));
    }
    let change = behind.restore(&ahead.live_entries());
    let names = |jobs: &[JobId]| jobs.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(names(&change.closed), ["ends"]);
    assert_eq!(names(&change.opened), ["new"]);
    assert_eq!(names(&change.changed), ["starts"]);
    assert_eq!(behind.live_entries(), ahead.live_entries());
}

#[test]
fn config_table_lost_race() {
    let text = settings_text("0.1");
    let mut log = log_of(vec![config(ConfigVersion(0), &text)]);
    let won = log.append(
        &RecordId::from("won"),
        config(ConfigVersion(1), &settings_text("0.2")),
    );
    let lost = log.append(
        &RecordId::from("lost"),
        config(ConfigVersion(1), &settings_text("0.3")),
    );
    let copy = log.append(
        &RecordId::from("lost"),
        config(ConfigVersion(1), &settings_text("0.3")),
    );
    let mut table = ConfigTable::default();
    let changes: Vec<_> = log.records.iter().filter_map(|r| table.apply(r)).collect();
    let rejected = ConfigChange::Rejected(ConfigRejection::LostRace);
    let adopted = |offset| ConfigChange::Adopted(version_at(offset));
    assert_eq!(
        changes,
        [
            adopted(LogOffset(0)),
            adopted(won),
            rejected.clone(),
            rejected
        ]
    );
    assert!(copy > lost && table.head() == version_at(won));
    let history = ConfigHistory::read(&log.records, true);
    insta::assert_snapshot!(history.outcome(&RecordId::from("lost")), @r"
    not in force: operator published config2 first; look at the differences, take config2 into the folder and publish again with it as base
      [policy] weight: `0.2` becomes `0.3`
    ");
    insta::assert_snapshot!(history, @r"
    config1 on config0 by operator: replaced by config2
    config2 on config1 by operator: in force
    config3 on config1 by operator: void, another version was in force
    config5 on config1 by operator: void, another version was in force
    ");
    assert_eq!(
        history.outcome(&RecordId::from("id0")),
        PublishOutcome::Superseded {
            version: ConfigVersion(1),
            newest: version_at(won)
        }
    );
    assert_eq!(
        history.outcome(&RecordId::from("none")),
        PublishOutcome::NotSeen
    );
}

/// An operator reverts to older settings: they must take effect as a new version.
#[test]
fn config_table_older_content_again() {
    let (old, new) = (settings_text("0.1"), settings_text("0.2"));
    let log = log_of(vec![
        config(ConfigVersion(0), &old),
        config(ConfigVersion(1), &new),
        config(ConfigVersion(2), &old),
    ]);
    let mut table = ConfigTable::default();
    let versions: Vec<_> = log
        .records
        .iter()
        .map(|record| {
            table.apply(record);
            table.adopted_version()
        })
        .collect();
    assert_eq!(
        versions,
        [ConfigVersion(1), ConfigVersion(2), ConfigVersion(3)]
    );
    let weight = table.adopted().map(|config| config.settings.policy.weight);
    assert_eq!(weight, Some(0.1));
}

#[rstest]
#[case::nonsense("[zone", true)]
#[case::unknown_key("[policy]\nspeed = 9\n", true)]
#[case::wrong_hash("", false)]
fn config_table_invalid_record(#[case] text: &str, #[case] is_in_force: bool) {
    let mut invalid = config(ConfigVersion(1), text);
    if let LogEntry::Config(entry) = &mut invalid
        && !is_in_force
    {
        entry.content_hash.push('0');
    }
    let mut log = log_of(vec![
        config(ConfigVersion(0), &settings_text("0.1")),
        invalid,
    ]);
    let mut table = ConfigTable::default();
    for record in &log.records {
        table.apply(record);
    }
    assert_eq!(table.adopted_version(), ConfigVersion(1));
    assert_eq!(table.unreadable_records(), u64::from(is_in_force));
    let base = table.head();
    let corrected = log.append(
        &RecordId::from("mended"),
        config(base, &settings_text("0.2")),
    );
    table.apply(log.records.last().expect("a record"));
    assert_eq!(table.adopted_version(), version_at(corrected));
}

/// A host without access to the log adopts a version from a peer. It must keep that
/// version when it reads older records later.
#[test]
fn config_table_adopts_from_peer() {
    let log = log_of(vec![
        config(ConfigVersion(0), &settings_text("0.1")),
        config(ConfigVersion(1), &settings_text("0.2")),
        config(ConfigVersion(2), &settings_text("0.3")),
    ]);
    let mut table = ConfigTable::default();
    table.apply(&log.records[0]);
    let peer_change = table.adopt_newer(&log.records[2]);
    assert_eq!(peer_change, Some(ConfigChange::Adopted(ConfigVersion(3))));
    assert_eq!(
        table.adopt_newer(&log.records[1]),
        Some(ConfigChange::Known(ConfigVersion(2)))
    );
    for record in &log.records[1..] {
        table.apply(record);
        assert_eq!(table.adopted_version(), ConfigVersion(3));
    }
    assert_eq!(table.head(), ConfigVersion(3));
}

/// Two hosts that lost different records must agree on the version in force of the next
/// snapshot. Neither may adopt an older version than its own, nor any version between
/// the loss and the snapshot.
#[test]
fn config_table_agrees_after_loss() {
    let mut log = log_of(vec![config(ConfigVersion(0), &settings_text("0.1"))]);
    log.append(
        &RecordId::from("second"),
        config(ConfigVersion(1), &settings_text("0.2")),
    );
    let mut behind = ConfigTable::default();
    behind.apply(&log.records[0]);
    let mut ahead = behind.clone();
    ahead.apply(&log.records[1]);
    log.append(
        &RecordId::from("gap"),
        config(ConfigVersion(9), &settings_text("0.4")),
    );
    for table in [&mut behind, &mut ahead] {
        table.mark_records_lost();
    }
    let snapshot = behind.live_entries();
    let deferred = ahead.apply(&log.records[2]);
    assert_eq!(
        deferred,
        Some(ConfigChange::Deferred(version_at(log.records[2].offset)))
    );
    for table in [&mut behind, &mut ahead] {
        table.restore(&snapshot);
        assert_eq!(table.head(), ConfigVersion(1));
    }
    assert_eq!(behind.adopted_version(), ConfigVersion(1));
    assert_eq!(ahead.adopted_version(), ConfigVersion(2));
    log.append(
        &RecordId::from("next"),
        config(ConfigVersion(1), &settings_text("0.5")),
    );
    let next = log.records.last().expect("a record");
    for table in [&mut behind, &mut ahead] {
        assert_eq!(
            table.apply(next),
            Some(ConfigChange::Adopted(version_at(next.offset)))
        );
    }
}

#[test]
fn config_history_starts_at_snapshot() {
    let mut log = log_of(vec![
        config(ConfigVersion(0), &settings_text("0.1")),
        config(ConfigVersion(1), &settings_text("0.2")),
        config(ConfigVersion(1), &settings_text("0.3")),
    ]);
    let mut tables = Tables::default();
    for record in &log.records {
        tables.apply(record);
    }
    for chunk in split_snapshot(LogOffset(log.tail), "h", tables.live_entries()) {
        log.append(&chunk_id(&chunk), LogEntry::Snapshot(chunk));
    }
    log.append(
        &RecordId::from("new"),
        config(ConfigVersion(2), &settings_text("0.4")),
    );
    let history = ConfigHistory::read(&log.records[2..], false);
    insta::assert_snapshot!(history, @r"
    config2 on config1 by operator: replaced by config6
    config3 on config1 by operator: void, another version was in force
    config6 on config2 by operator: in force
    ");
}

#[test]
fn diff_texts_all_kinds() {
    let old = "[a]\nsame = 1\nchanged = 1\ngone = 1\n[gone]\nk = 1\n";
    let new = "[a]\nchanged = 2\nsame = 1\nnew = 1\n";
    let lines: Vec<String> = diff_texts(old, new)
        .expect("valid INI")
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    [a] changed: `1` becomes `2`
    [a] gone: `1` is removed
    [a] new: `1` is added
    [gone] k: `1` is removed
    ");
}

#[test]
fn snapshot_chunks_of_two_writers() {
    let entries: Vec<StoredEntry> =
        log_of((0..900).map(|i| accepted(&format!("j{i}"), 0)).collect()).records;
    let mut chunks = split_snapshot(LogOffset(7_000), "h1", entries.clone());
    assert!(chunks.len() > 3);
    let other = split_snapshot(LogOffset(7_000), "h2", entries[..600].to_vec());
    chunks.reverse();
    let mixed: Vec<_> = chunks
        .iter()
        .skip(1)
        .chain(&other[1..])
        .chain(&chunks)
        .collect();
    let mut log = FakeLog::default();
    let mut collector = SnapshotCollector::default();
    for chunk in mixed {
        assert_eq!(collector.newest(), None);
        log.append(&chunk_id(chunk), LogEntry::Snapshot(chunk.clone()));
        collector.handle_record(log.records.last().expect("a record"));
        if chunk == &chunks[0] {
            break;
        }
    }
    assert_eq!(
        collector.newest().map(|snapshot| &snapshot.records),
        Some(&entries)
    );
}

#[rstest]
#[case::none_seen(None, 0, true)]
#[case::fresh(Some(10), 0, false)]
#[case::due(Some(40), 0, true)]
#[case::second_host_waits(Some(40), 1, false)]
#[case::second_host_steps_in(Some(45), 1, true)]
fn snapshot_schedule_due(#[case] age_secs: Option<u64>, #[case] rank: u32, #[case] due: bool) {
    let times = SnapshotTimes {
        interval: Duration::from_secs(40),
        fallback_step: Duration::from_secs(5),
    };
    let mut schedule = SnapshotSchedule::new(times);
    let wall = WallTime(WALL_START_MS + age_secs.unwrap_or(0) * 1_000);
    if age_secs.is_some() {
        let mut log = FakeLog::default();
        for chunk in split_snapshot(LogOffset(0), "h", Vec::new()) {
            log.append(&chunk_id(&chunk), LogEntry::Snapshot(chunk));
        }
        schedule.handle_record(&log.records[0]);
    }
    let now = MonotonicTime::from_secs(100);
    assert_eq!(schedule.is_due(now, wall, rank), due);
    schedule.mark_written(now);
    assert!(!schedule.is_due(now + Duration::from_secs(19), wall, rank));
}

fn any_entry() -> impl Strategy<Value = LogEntry> {
    let job = (0..4_u8).prop_map(|index| format!("j{index}"));
    let zone = || (0..3_usize).prop_map(|index| ["a", "b", "c"][index]);
    prop_oneof![
        job.clone().prop_map(|job| accepted(&job, 0)),
        job.clone().prop_map(|job| cancelled(&job)),
        (job.clone(), 1..4_u32).prop_map(|(job, attempt)| started(&job, attempt)),
        job.clone().prop_map(|job| ended(&job, FINISHED)),
        (job, zone(), zone()).prop_map(|(job, from, to)| moved(&job, from, to)),
        (0..8_u64, 1..9_u8).prop_map(|(base, weight)| {
            config(ConfigVersion(base), &settings_text(&format!("0.{weight}")))
        }),
        Just(LogEntry::Unreadable {
            kind: "new".to_owned()
        }),
    ]
}

fn fold(records: &[StoredEntry]) -> Tables {
    let mut tables = Tables::default();
    for record in records {
        tables.apply(record);
    }
    tables
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A snapshot at any offset and the records after it must give the same tables as all
    /// records.
    #[test]
    fn tables_from_snapshot(entries in proptest::collection::vec(any_entry(), 1..40), cut in 0..40_usize) {
        let log = log_of(entries);
        let cut = cut.min(log.records.len());
        let covers = log.records.get(cut).map_or(LogOffset(log.tail), |record| record.offset);
        let mut collector = SnapshotCollector::default();
        let mut other = FakeLog::default();
        for chunk in split_snapshot(covers, "h", fold(&log.records[..cut]).live_entries()) {
            other.append(&chunk_id(&chunk), LogEntry::Snapshot(chunk));
            collector.handle_record(other.records.last().expect("a record"));
        }
        let snapshot = collector.into_newest().expect("a snapshot");
        let mut tables = Tables::default();
        tables.restore(&snapshot);
        for record in &log.records[cut..] {
            tables.apply(record);
        }
        let expected = fold(&log.records);
        prop_assert_eq!(tables.live_entries(), expected.live_entries());
        prop_assert_eq!(tables.config.adopted(), expected.config.adopted());
        prop_assert_eq!(tables.config.head(), expected.config.head());
    }

    /// Copies of records that took effect must change nothing, and the adopted version
    /// must never become lower.
    #[test]
    fn tables_ignore_copies(
        entries in proptest::collection::vec(any_entry(), 1..30),
        copies in proptest::collection::vec((0..30_usize, 0..30_usize), 0..12),
    ) {
        let log = log_of(entries);
        let mut tables = Tables::default();
        let mut effective = Vec::new();
        let mut mixed = Vec::new();
        for (index, record) in log.records.iter().enumerate() {
            let before = tables.live_entries();
            tables.apply(record);
            mixed.push(record.clone());
            if tables.live_entries() != before {
                effective.push(record.clone());
            }
            let due = copies.iter().filter(|(at, _)| *at == index);
            let due = due.filter_map(|(_, copied)| effective.get(*copied));
            mixed.extend(due.cloned());
        }
        // A copy has its own, higher offset in a real log, so copies are given offsets
        // above those of all records. Their content is unchanged.
        let mut repeated = Tables::default();
        let mut adopted = ConfigVersion(0);
        for record in &mixed {
            let is_copy = matches!(record.entry, LogEntry::Config(_))
                && version_at(record.offset) <= repeated.config.head();
            let mut record = record.clone();
            if is_copy {
                record.offset = LogOffset(record.offset.0 + 1_000);
            }
            repeated.apply(&record);
            prop_assert!(repeated.config.adopted_version() >= adopted);
            adopted = repeated.config.adopted_version();
        }
        prop_assert_eq!(repeated.live_entries(), tables.live_entries());
    }
}
