//! State read from the jobs stream: every known job with its cancellation, progress and
//! outcome. Each host has a table, built from the records alone.

use crate::prelude::*;
use crate::process::record::{
    AcceptedJob, AppendMark, GroupRecord, GroupStage, JobOutcome, JobRecord, PlannerHeartbeat,
    RecordKey, RunTimesRecord, SpeedRecord, WaveRecord,
};
use crate::request::caller_request::JobPhase;

/// Everything recorded of one job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedJob {
    /// The acceptance; `None` if only other records of the job were read so far, such as its
    /// cancellation.
    pub accepted: Option<Arc<AcceptedJob>>,
    /// Whether it was cancelled.
    pub is_cancelled: bool,
    /// How it ended, if it has.
    pub outcome: Option<JobOutcome>,
    /// Progress of the groups that ever started. Empty once the job has ended.
    pub groups: BTreeMap<GroupKey, GroupRecord>,
    /// Groups of which the log may hold a record.
    pub recorded: BTreeSet<GroupKey>,
    /// Whether a unit has ever started.
    pub has_started: bool,
    /// When this host first read that the job has ended or was cancelled.
    pub ended_at: Option<MonotonicTime>,
}

/// Effect of a record that the host has to react to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableChange {
    /// No effect.
    None,
    /// A job was accepted.
    Accepted(JobKey),
    /// A job was cancelled.
    Cancelled(JobKey),
    /// All units of a group are done.
    GroupDone(GroupKey),
    /// The planner sent a heartbeat, perhaps its last one.
    Heartbeat,
    /// An append of the planner is in the log.
    Marked(AppendMark),
}

/// All jobs recorded in the log, and the state of the planner and of the waves.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<JobKey, RecordedJob>,
    heartbeat: Option<PlannerHeartbeat>,
    /// When the newest heartbeat was read, if it followed another of the same planner: the
    /// first one that a host reads may be old.
    heartbeat_at: Option<MonotonicTime>,
    /// Mark of the newest append of a planner.
    mark: Option<AppendMark>,
    waves: BTreeMap<WaveNumber, WaveRecord>,
    /// Speeds of the workers, by the part of the workers.
    speeds: BTreeMap<u8, SpeedRecord>,
    run_times: RunTimesRecord,
}

impl RecordedJob {
    /// Returns the job's state as callers see it, or `None` if its acceptance was not read.
    pub fn phase(&self) -> Option<JobPhase> {
        self.accepted.as_ref()?;
        Some(match self.outcome {
            Some(JobOutcome::Completed) => JobPhase::Completed,
            Some(JobOutcome::Failed) => JobPhase::Failed,
            None if self.is_cancelled => JobPhase::Cancelled,
            None if self.has_started => JobPhase::Running,
            None => JobPhase::Queued,
        })
    }

    /// Whether units of the job may still have to run.
    pub fn is_open(&self) -> bool {
        self.accepted.is_some() && !self.is_cancelled && self.outcome.is_none()
    }
}

impl JobTable {
    /// Returns the jobs by identifier.
    pub const fn jobs(&self) -> &BTreeMap<JobKey, RecordedJob> {
        &self.jobs
    }

    /// Returns the records of a job, or `None` if there are none.
    pub fn job(&self, key: JobKey) -> Option<&RecordedJob> {
        self.jobs.get(&key)
    }

    /// Returns the progress of the waves of upkeep.
    pub const fn waves(&self) -> &BTreeMap<WaveNumber, WaveRecord> {
        &self.waves
    }

    /// Returns the speeds of the workers that a planner learned, by the part of the workers.
    pub const fn speeds(&self) -> &BTreeMap<u8, SpeedRecord> {
        &self.speeds
    }

    /// Returns the figures of the queues that a planner learned.
    pub const fn run_times(&self) -> &RunTimesRecord {
        &self.run_times
    }

    /// Returns the newest heartbeat of a planner.
    pub const fn heartbeat(&self) -> Option<&PlannerHeartbeat> {
        self.heartbeat.as_ref()
    }

    /// Returns the newest heartbeat if it was read at or after a time and followed another of
    /// the same planner.
    pub fn heartbeat_since(&self, since: MonotonicTime) -> Option<&PlannerHeartbeat> {
        let is_fresh = self.heartbeat_at.is_some_and(|at| at >= since);
        self.heartbeat.as_ref().filter(|_| is_fresh)
    }

    /// Applies a record. Applying a copy of a record changes nothing, and of two acceptances
    /// of a job the first counts.
    pub fn apply(&mut self, now: MonotonicTime, record: JobRecord) -> TableChange {
        match record {
            JobRecord::Acceptance(key, accepted) => self.accept(key, accepted),
            JobRecord::Cancellation(key) => {
                let job = self.jobs.entry(key).or_default();
                job.is_cancelled = true;
                job.ended_at.get_or_insert(now);
                job.groups.clear();
                TableChange::Cancelled(key)
            }
            JobRecord::Outcome(key, outcome) => {
                let job = self.jobs.entry(key).or_default();
                job.outcome = Some(outcome);
                job.ended_at.get_or_insert(now);
                job.groups.clear();
                TableChange::None
            }
            JobRecord::Group(group, record) => {
                let is_done = record.stage == GroupStage::Done;
                self.apply_group(group, record);
                if is_done {
                    TableChange::GroupDone(group)
                } else {
                    TableChange::None
                }
            }
            JobRecord::Heartbeat(heartbeat) => {
                let follows = self.heartbeat.as_ref().is_some_and(|previous| {
                    previous.epoch == heartbeat.epoch
                        && previous.leader_time_ms < heartbeat.leader_time_ms
                });
                self.heartbeat_at = follows.then_some(now);
                self.heartbeat = Some(heartbeat);
                TableChange::Heartbeat
            }
            JobRecord::Wave(wave, record) => {
                self.waves.insert(wave, record);
                TableChange::None
            }
            JobRecord::Speeds(part, record) => {
                self.speeds.insert(part, record);
                TableChange::None
            }
            JobRecord::RunTimes(record) => {
                self.run_times = record;
                TableChange::None
            }
            JobRecord::Mark(mark) => {
                self.mark = Some(mark);
                TableChange::Marked(mark)
            }
            JobRecord::Tombstone(key) => {
                self.remove_key(key);
                TableChange::None
            }
        }
    }

    /// Replaces the table by one that was read later. Returns what has changed.
    pub fn replace(&mut self, table: Self) -> Vec<TableChange> {
        let previous = std::mem::replace(self, table);
        let mut changes = Vec::new();
        for (key, job) in &mut self.jobs {
            let known = previous.jobs.get(key);
            let first_ended_at = known.and_then(|known| known.ended_at);
            job.ended_at = job.ended_at.map(|at| first_ended_at.unwrap_or(at));
            let was_accepted = known.is_some_and(|known| known.accepted.is_some());
            if job.accepted.is_some() && !was_accepted {
                changes.push(TableChange::Accepted(*key));
            }
            if job.is_cancelled && !known.is_some_and(|known| known.is_cancelled) {
                changes.push(TableChange::Cancelled(*key));
            }
            let groups = job.groups.iter();
            let done = groups.filter(|(group, record)| {
                let known = known.and_then(|known| known.groups.get(group));
                record.stage == GroupStage::Done
                    && known.is_none_or(|known| known.stage != GroupStage::Done)
            });
            changes.extend(done.map(|(group, _)| TableChange::GroupDone(*group)));
        }
        if self.heartbeat.is_some() && self.heartbeat != previous.heartbeat {
            changes.push(TableChange::Heartbeat);
        }
        changes.extend(
            self.mark
                .filter(|mark| previous.mark != Some(*mark))
                .map(TableChange::Marked),
        );
        changes
    }

    fn accept(&mut self, key: JobKey, accepted: Arc<AcceptedJob>) -> TableChange {
        let job = self.jobs.entry(key).or_default();
        if job.accepted.is_some() {
            if accepted.is_compacted() && job.ended_at.is_some() {
                job.accepted = Some(accepted);
            }
            return TableChange::None;
        }
        job.accepted = Some(accepted);
        TableChange::Accepted(key)
    }

    fn apply_group(&mut self, group: GroupKey, record: GroupRecord) {
        let job = self.jobs.entry(group.job).or_default();
        job.has_started |= record.run > RunNumber(0);
        job.recorded.insert(group);
        if job.outcome.is_none() && !job.is_cancelled {
            job.groups.insert(group, record);
        }
    }

    fn remove_key(&mut self, key: RecordKey) {
        match key {
            RecordKey::Acceptance(job) => {
                self.jobs.remove(&job);
            }
            RecordKey::Group(group) => {
                if let Some(job) = self.jobs.get_mut(&group.job) {
                    job.groups.remove(&group);
                    job.recorded.remove(&group);
                }
            }
            RecordKey::Cancellation(_)
            | RecordKey::Outcome(_)
            | RecordKey::Heartbeat
            | RecordKey::Mark => {}
            RecordKey::Wave(wave) => {
                self.waves.remove(&wave);
            }
            RecordKey::Speeds(part) => {
                self.speeds.remove(&part);
            }
            RecordKey::RunTimes => self.run_times = RunTimesRecord::default(),
        }
    }

    /// Returns the number of open jobs of a queue of which no unit has started.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let is_pending = |job: &&RecordedJob| {
            job.is_open()
                && !job.has_started
                && job
                    .accepted
                    .as_ref()
                    .is_some_and(|accepted| accepted.queue == *queue)
        };
        self.jobs.values().filter(is_pending).count() as u64
    }

    /// Returns records that shorten what the log retains of ended jobs, at most `limit`: the
    /// progress of their groups is removed, and their acceptance loses the submission. Every
    /// host reads the newest record of each key when it starts.
    pub fn compaction(&self, limit: usize) -> Vec<JobRecord> {
        let ended = self.jobs.iter().filter(|(_, job)| job.ended_at.is_some());
        let records = ended.flat_map(|(key, job)| {
            let groups = job.recorded.iter().copied().map(RecordKey::Group);
            let accepted = job.accepted.as_ref().filter(|job| !job.is_compacted());
            let shortened =
                accepted.map(|job| JobRecord::Acceptance(*key, Arc::new(job.compacted())));
            groups.map(JobRecord::Tombstone).chain(shortened)
        });
        records.take(limit).collect()
    }

    /// Returns the keys of the records of all jobs that ended before a time.
    pub fn expired_keys(&self, ended_before: MonotonicTime) -> Vec<RecordKey> {
        let mut keys = Vec::new();
        for (job, recorded_job) in &self.jobs {
            if recorded_job.ended_at.is_none_or(|at| at >= ended_before) {
                continue;
            }
            keys.extend(recorded_job.recorded.iter().copied().map(RecordKey::Group));
            keys.push(RecordKey::Outcome(*job));
            keys.push(RecordKey::Cancellation(*job));
            keys.push(RecordKey::Acceptance(*job));
        }
        keys
    }
}
