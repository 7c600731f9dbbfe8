//! Simulates two hosts that use the log while every fault alone and every pair of
//! faults is injected. No record may be lost or take effect twice, and no
//! configuration may revert.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_history::{ConfigHistory, PublishedState};
use flamingowalk_core::process::config_table::version_at;
use flamingowalk_core::process::log_appender::{
    AppendError, AppendId, AppenderAction, AppenderEvent, LogAppender, OutgoingRecord,
};
use flamingowalk_core::process::log_follower::{
    FollowerAction, FollowerEvent, LogFollower, ReadError, ReadId, ReadPage,
};
use flamingowalk_core::process::planner::action::JobEnding;
use flamingowalk_core::process::record::{LogEntry, LogOffset};
use flamingowalk_core::process::snapshot::{
    SnapshotSchedule, SnapshotTimes, chunk_id, split_snapshot,
};
use flamingowalk_core::version::settings::ConfigVersion;
use rstest::rstest;

use crate::fake::{FakeLog, Tables, WALL_START_MS, accepted, config, ended, random, settings_text};

const STEP_MS: u64 = 50;
const FAULT_FROM_MS: u64 = 10_000;
const FAULT_UNTIL_MS: u64 = 50_000;
/// Time after the faults within which every record must be resolved.
const RECOVERY_MS: u64 = 60_000;
/// Time after the faults during which hosts still submit records.
const WORK_AFTER_MS: u64 = 20_000;
/// Time at the end without snapshots, so that all records are resolved.
const NO_SNAPSHOT_MS: u64 = 15_000;
const RETENTION_MS: u64 = 15_000;
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// No connection can be made.
    Down,
    /// Every response takes five seconds.
    Slow,
    /// Appends take effect, but their responses are lost.
    AppendAnswerLost,
    /// Appends take effect after eight seconds and are not answered.
    AppendLate,
    /// Reads are never answered.
    ReadSilent,
    /// Retention removes all records older than `RETENTION_MS`.
    Truncate,
    /// The first host restarts every ten seconds.
    Restart,
}

/// A response or a delayed append in transit.
enum Delivery {
    Page {
        host: usize,
        incarnation: u32,
        read: ReadId,
        page: ReadPage,
    },
    ReadFailed {
        host: usize,
        incarnation: u32,
        read: ReadId,
    },
    Answer {
        host: usize,
        incarnation: u32,
        append: AppendId,
        first: LogOffset,
        next: LogOffset,
    },
    AppendFailed {
        host: usize,
        incarnation: u32,
        append: AppendId,
        error: AppendError,
    },
    DelayedAppend {
        records: Vec<OutgoingRecord>,
    },
}

struct Host {
    incarnation: u32,
    follower: LogFollower,
    appender: LogAppender,
    tables: Tables,
    schedule: SnapshotSchedule,
    adopted: ConfigVersion,
    is_complete: bool,
}

struct Simulation {
    now: MonotonicTime,
    faults: [Fault; 2],
    fault_until_ms: u64,
    log: FakeLog,
    hosts: Vec<Host>,
    deliveries: Vec<(MonotonicTime, Delivery)>,
    written: BTreeSet<RecordId>,
    not_written: BTreeSet<RecordId>,
    /// Records without an expiry, which must be in the log at the end.
    must_be_written: BTreeSet<RecordId>,
}

impl Host {
    fn new(now: MonotonicTime, incarnation: u32, seed: u64) -> Self {
        let times = SnapshotTimes {
            interval: Duration::from_secs(4),
            fallback_step: Duration::from_secs(1),
        };
        Self {
            incarnation,
            follower: LogFollower::new(now, random(seed)),
            appender: LogAppender::new(now, random(seed + 100)),
            tables: Tables::default(),
            schedule: SnapshotSchedule::new(times),
            adopted: ConfigVersion(0),
            is_complete: true,
        }
    }
}

impl Simulation {
    fn new(faults: [Fault; 2]) -> Self {
        let now = MonotonicTime(0);
        Self {
            now,
            faults,
            fault_until_ms: FAULT_UNTIL_MS,
            log: FakeLog::default(),
            hosts: vec![Host::new(now, 0, 1), Host::new(now, 0, 2)],
            deliveries: Vec::new(),
            written: BTreeSet::new(),
            not_written: BTreeSet::new(),
            must_be_written: BTreeSet::new(),
        }
    }

    fn millis(&self) -> u64 {
        self.now.0 / 1_000
    }

    fn is_faulty(&self, injected: Fault) -> bool {
        let is_time = (FAULT_FROM_MS..self.fault_until_ms).contains(&self.millis());
        is_time && self.faults.contains(&injected)
    }

    /// Returns whether retention removes records before any host could read them.
    fn is_loss_expected(&self) -> bool {
        self.faults == [Fault::ReadSilent, Fault::Truncate]
    }

    fn run(&mut self) {
        while self.millis() < self.fault_until_ms + RECOVERY_MS {
            self.log.wall.set(self.millis());
            self.deliver_due();
            self.inject_faults();
            for host in 0..self.hosts.len() {
                self.follow(host, FollowerEvent::Tick);
                self.append(host, AppenderEvent::Tick);
                if self.millis() < self.fault_until_ms + RECOVERY_MS - NO_SNAPSHOT_MS {
                    self.snapshot(host);
                }
            }
            if self.millis() < self.fault_until_ms + WORK_AFTER_MS {
                self.submit_work();
            }
            self.now = self.now + Duration::from_millis(STEP_MS);
        }
    }

    fn inject_faults(&mut self) {
        let millis = self.millis();
        if self.is_faulty(Fault::Truncate) {
            let oldest = WALL_START_MS + millis.saturating_sub(RETENTION_MS);
            let kept = self.log.records.iter().find(|r| r.appended_at.0 >= oldest);
            let first = kept.map_or(self.log.tail, |record| record.offset.0);
            self.log.first = self.log.first.max(first);
        }
        if self.is_faulty(Fault::Restart) && millis.is_multiple_of(10_000) {
            let incarnation = self.hosts[0].incarnation + 1;
            self.hosts[0] = Host::new(self.now, incarnation, u64::from(incarnation) + 10);
        }
    }

    /// Submits records: the first host accepts jobs, the second ends them, and both publish
    /// configurations.
    fn submit_work(&mut self) {
        let millis = self.millis();
        let second = millis / 1_000;
        match millis % 1_000 {
            0 => self.submit(
                0,
                accepted(&format!("j{second}"), millis),
                Some(RECORD_TIMEOUT),
            ),
            300 => self.end_oldest(1),
            500 if second.is_multiple_of(3) => self.publish(0, second),
            500 if second.is_multiple_of(2) => self.publish(1, second),
            _ => {}
        }
    }

    fn end_oldest(&mut self, host: usize) {
        let open = self.hosts[host].tables.jobs.open_jobs().nth(3);
        let oldest = open.map(|(job, _)| job.to_string());
        if let Some(job) = oldest {
            let entry = ended(&job, JobEnding::Finished);
            self.submit(host, entry, None);
        }
    }

    fn publish(&mut self, host: usize, second: u64) {
        let base = self.hosts[host].tables.config.head();
        let text = settings_text(&format!("0.{}", second % 9 + 1));
        self.submit(host, config(base, &text), Some(RECORD_TIMEOUT));
    }

    fn submit(&mut self, host: usize, entry: LogEntry, timeout: Option<Duration>) {
        let incarnation = self.hosts[host].incarnation;
        let id = RecordId::from(format!("{host}/{incarnation}/{}", self.millis()));
        let record = OutgoingRecord {
            id: id.clone(),
            entry,
            bytes: 200,
            expires_at: timeout.map(|timeout| self.now + timeout),
        };
        if timeout.is_none() {
            self.must_be_written.insert(id);
        }
        self.hosts[host]
            .appender
            .submit(record)
            .expect("free capacity in the queue");
    }

    fn snapshot(&mut self, host: usize) {
        let wall = WallTime(WALL_START_MS + self.millis());
        let Host {
            follower,
            tables,
            schedule,
            appender,
            is_complete,
            incarnation,
            ..
        } = &mut self.hosts[host];
        let is_current = follower
            .caught_up_at()
            .is_some_and(|at| self.now.since(at).as_secs() < 2);
        if !*is_complete || !is_current || !schedule.is_due(self.now, wall, host as u32) {
            return;
        }
        schedule.mark_written(self.now);
        let writer = format!("{host}/{incarnation}");
        for chunk in split_snapshot(follower.position(), &writer, tables.live_entries()) {
            let record = OutgoingRecord {
                id: chunk_id(&chunk),
                entry: LogEntry::Snapshot(chunk),
                bytes: 1_000,
                expires_at: Some(self.now + RECORD_TIMEOUT),
            };
            appender.submit(record).expect("free capacity in the queue");
        }
    }

    fn follow(&mut self, host: usize, event: FollowerEvent) {
        let actions = self.hosts[host].follower.handle(self.now, event);
        for action in actions {
            self.execute(host, action);
        }
        if let Some(at) = self.hosts[host].follower.caught_up_at() {
            self.append(host, AppenderEvent::CaughtUp { at });
        }
    }

    fn execute(&mut self, host: usize, action: FollowerAction) {
        match action {
            FollowerAction::Read {
                read, from, limit, ..
            } => {
                self.read(host, read, from, limit);
            }
            FollowerAction::AbandonRead { .. } => {}
            FollowerAction::Apply(record) => {
                let state = &mut self.hosts[host];
                state.tables.apply(&record);
                state.schedule.handle_record(&record);
                let (id, offset) = (record.id, record.offset);
                self.append(host, AppenderEvent::Followed { id, offset });
            }
            FollowerAction::Truncated { .. } => self.hosts[host].is_complete = false,
            FollowerAction::Restore(snapshot) => {
                let state = &mut self.hosts[host];
                state.is_complete = true;
                state.tables.restore(&snapshot);
                state.schedule.handle_restored(&snapshot);
                for record in snapshot.records {
                    let (id, offset) = (record.id, record.offset);
                    self.append(host, AppenderEvent::Followed { id, offset });
                }
            }
            FollowerAction::RestoreAbandoned { .. } => {
                assert!(self.is_loss_expected(), "a snapshot was available");
                let state = &mut self.hosts[host];
                state.is_complete = true;
                state.tables.config.mark_records_lost();
                state.schedule.reset();
            }
        }
        let adopted = self.hosts[host].tables.config.adopted_version();
        assert!(
            adopted >= self.hosts[host].adopted,
            "the configuration reverted"
        );
        self.hosts[host].adopted = adopted;
    }

    fn read(&mut self, host: usize, read: ReadId, from: LogOffset, limit: u32) {
        let incarnation = self.hosts[host].incarnation;
        if self.is_faulty(Fault::ReadSilent) {
            return;
        }
        let delivery = if self.is_faulty(Fault::Down) {
            Delivery::ReadFailed {
                host,
                incarnation,
                read,
            }
        } else {
            let page = self.log.read(from, limit);
            Delivery::Page {
                host,
                incarnation,
                read,
                page,
            }
        };
        self.schedule_delivery(delivery);
    }

    fn append(&mut self, host: usize, event: AppenderEvent) {
        let actions = self.hosts[host].appender.handle(self.now, event);
        for action in actions {
            match action {
                AppenderAction::Append { append, records } => {
                    self.write(host, append, records);
                }
                AppenderAction::Written { id, .. } => {
                    let is_first = self.written.insert(id.clone());
                    assert!(is_first || is_snapshot(&id), "{id} reported twice");
                }
                AppenderAction::NotWritten { id, .. } => {
                    let is_first = self.not_written.insert(id.clone());
                    assert!(is_first || is_snapshot(&id), "{id} reported twice");
                }
                AppenderAction::Unresolved { .. } => {}
            }
        }
    }

    fn write(&mut self, host: usize, append: AppendId, records: Vec<OutgoingRecord>) {
        let incarnation = self.hosts[host].incarnation;
        if self.is_faulty(Fault::Down) {
            let error = AppendError::NotSent;
            return self.schedule_delivery(Delivery::AppendFailed {
                host,
                incarnation,
                append,
                error,
            });
        }
        if self.is_faulty(Fault::AppendLate) {
            let at = self.now + Duration::from_secs(8);
            return self
                .deliveries
                .push((at, Delivery::DelayedAppend { records }));
        }
        let first = self.write_records(&records);
        let next = LogOffset(self.log.tail);
        if !self.is_faulty(Fault::AppendAnswerLost) {
            self.schedule_delivery(Delivery::Answer {
                host,
                incarnation,
                append,
                first,
                next,
            });
        } else if append.0.is_multiple_of(2) {
            let error = AppendError::Unknown;
            self.schedule_delivery(Delivery::AppendFailed {
                host,
                incarnation,
                append,
                error,
            });
        }
    }

    fn write_records(&mut self, records: &[OutgoingRecord]) -> LogOffset {
        let offsets: Vec<LogOffset> = records
            .iter()
            .map(|record| self.log.append(&record.id, record.entry.clone()))
            .collect();
        offsets[0]
    }

    fn schedule_delivery(&mut self, delivery: Delivery) {
        let delay = if self.is_faulty(Fault::Slow) {
            5_000
        } else {
            20
        };
        let at = self.now + Duration::from_millis(delay);
        self.deliveries.push((at, delivery));
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.deliveries = left;
        let due: Vec<(MonotonicTime, Delivery)> = due;
        for (_, delivery) in due {
            match delivery {
                Delivery::Page {
                    host,
                    incarnation,
                    read,
                    page,
                } if self.hosts[host].incarnation == incarnation => {
                    self.follow(host, FollowerEvent::ReadAnswered { read, page });
                }
                Delivery::ReadFailed {
                    host,
                    incarnation,
                    read,
                } if self.hosts[host].incarnation == incarnation => {
                    let error = ReadError::Unavailable;
                    self.follow(host, FollowerEvent::ReadFailed { read, error });
                }
                Delivery::Answer {
                    host,
                    incarnation,
                    append,
                    first,
                    next,
                } if self.hosts[host].incarnation == incarnation => {
                    self.append(
                        host,
                        AppenderEvent::Answered {
                            append,
                            first,
                            next,
                        },
                    );
                }
                Delivery::AppendFailed {
                    host,
                    incarnation,
                    append,
                    error,
                } if self.hosts[host].incarnation == incarnation => {
                    self.append(host, AppenderEvent::Failed { append, error });
                }
                Delivery::DelayedAppend { records } => {
                    self.write_records(&records);
                }
                _ => {}
            }
        }
    }

    fn check(&self) {
        let in_log = |id: &RecordId| self.log.has(id);
        assert!(
            self.written.iter().all(in_log),
            "reported as written, yet absent"
        );
        let is_unexpected = |id: &&RecordId| in_log(id) && !is_snapshot(id);
        let unexpected = self.not_written.iter().find(is_unexpected);
        assert_eq!(unexpected, None, "reported as not written, yet present");
        assert!(self.must_be_written.iter().all(in_log), "an ending is lost");
        let mut expected = Tables::default();
        for record in &self.log.records {
            expected.apply(record);
        }
        for host in &self.hosts {
            assert!(host.is_complete && host.follower.is_complete());
            let other = &self.hosts[0].tables;
            assert_eq!(host.tables.live_entries(), other.live_entries());
            if !self.is_loss_expected() {
                assert_eq!(host.tables.live_entries(), expected.live_entries());
            }
            assert_eq!(host.appender.open_records(), 0);
        }
        let history = ConfigHistory::read(&self.log.records, true);
        let in_force = |config: &&_| matches!(config, PublishedState::InForce);
        let states: Vec<_> = history.list().iter().map(|config| config.state).collect();
        assert_eq!(states.iter().filter(in_force).count(), 1);
        assert!(expected.jobs.jobs().count() > 15, "the system worked on");
        assert!(expected.config.head() > ConfigVersion(3));
    }
}

/// Records of snapshots may be reported more than once: a host that has read nothing
/// new writes the same snapshot again, under the same identifiers.
fn is_snapshot(id: &RecordId) -> bool {
    id.as_str().starts_with("snapshot/")
}

#[rstest]
fn faults_alone_and_in_pairs(
    #[values(
        Fault::None,
        Fault::Down,
        Fault::Slow,
        Fault::AppendAnswerLost,
        Fault::AppendLate,
        Fault::ReadSilent,
        Fault::Truncate,
        Fault::Restart
    )]
    first: Fault,
    #[values(
        Fault::None,
        Fault::Down,
        Fault::Slow,
        Fault::AppendAnswerLost,
        Fault::AppendLate,
        Fault::ReadSilent,
        Fault::Truncate,
        Fault::Restart
    )]
    second: Fault,
) {
    if (first as u8) > (second as u8) {
        return; // The pair is tested in the opposite order.
    }
    let mut simulation = Simulation::new([first, second]);
    simulation.run();
    simulation.check();
}

/// The log is unavailable for an hour, and retention removes all records meanwhile.
/// Hosts must recover, and must have backed off during the outage.
#[test]
fn faults_hour_long_outage() {
    let mut simulation = Simulation::new([Fault::Down, Fault::Truncate]);
    simulation.fault_until_ms = 3_610_000;
    simulation.run();
    simulation.check();
    assert!(
        simulation
            .hosts
            .iter()
            .all(|host| host.appender.counters().appends < 4_000)
    );
}

/// A published configuration must be in force on every host within six seconds, which
/// include the wait for the next append, the append, the poll interval and the read.
#[test]
fn config_in_force_within_six_seconds() {
    let mut simulation = Simulation::new([Fault::None, Fault::None]);
    let mut slowest = 0;
    let mut published = BTreeMap::new();
    while simulation.millis() < FAULT_UNTIL_MS {
        let base = simulation.hosts[0].tables.config.head();
        let is_adopted = simulation.hosts.iter().all(|host| host.adopted == base);
        if is_adopted && simulation.millis().is_multiple_of(1_300) && simulation.millis() > 2_000 {
            simulation.publish(0, simulation.millis() / 100);
            published.insert(base, simulation.millis());
        }
        simulation.log.wall.set(simulation.millis());
        simulation.deliver_due();
        for host in 0..2 {
            simulation.follow(host, FollowerEvent::Tick);
            simulation.append(host, AppenderEvent::Tick);
            simulation.snapshot(host);
        }
        let lowest = simulation
            .hosts
            .iter()
            .map(|host| host.adopted)
            .min()
            .expect("hosts");
        for record in &simulation.log.records {
            if let LogEntry::Config(entry) = &record.entry
                && version_at(record.offset) <= lowest
                && let Some(at) = published.remove(&entry.base)
            {
                slowest = slowest.max(simulation.millis() - at);
            }
        }
        simulation.now = simulation.now + Duration::from_millis(STEP_MS);
    }
    assert!(published.len() <= 1 && simulation.hosts[1].adopted > ConfigVersion(10));
    assert!(slowest < 6_000, "{slowest} ms");
}
