//! The planner's figures in the log, for the next planner: the speeds of the workers and the
//! run times of the queues. Load that this addresses: pools of unequal speed, in which a
//! successor without these figures places urgent gangs at random again.
//!
//! They are written only where speeds differ. The workers are in [`SPEED_PARTS`] parts by a
//! hash of their names, one record each; a record is written once something in it changed by
//! more than its error. Records join appends for which nothing waits, such as that of a
//! heartbeat alone, so they add bytes but no append, and no start waits behind them.

use crate::prelude::*;
use crate::process::planner::estimate::{RATIO_CLASSES, RunTimes, TypicalFigures};
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker::PlanWorkers;
use crate::process::planner::worker_figures::{PoolSpeeds, SpeedEstimate};
use crate::process::record::{
    JobRecord, QueueRow, RecordKey, RunTimesRecord, SpeedRecord, SpeedRow,
};
use crate::request::submission::WallMillis;

/// Number of parts of the workers. With 3,000 workers a record has about 4 KB.
pub const SPEED_PARTS: u8 = 16;
/// Minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of workers from which no further part is added to a write, about 4 KB.
const MAX_WORKERS_PER_WRITE: usize = 200;
/// Time after which a record is written anew even without a change, so that its age tells
/// whether a planner still confirms it.
const REFRESH_INTERVAL: Duration = Duration::from_mins(30);
/// Time after which the queues' figures are written again if runs were observed.
const RUN_TIMES_INTERVAL: Duration = Duration::from_secs(20);
/// Age from which a record is ignored: machines may have been replaced under their names.
const MAX_AGE: Duration = Duration::from_hours(6);
/// Variance that an estimate gains with each hour of its record's age.
const VARIANCE_PER_HOUR: f64 = 0.004;
/// Least change of a logarithm of a speed that is written, in hundredths.
const MIN_CHANGE: i16 = 8;
/// Share of the workers of a part, in percent, whose change is written at the next write.
const PROMPT_PERCENT: usize = 5;
/// Time after which a change of fewer workers is written.
const CHANGE_INTERVAL: Duration = Duration::from_mins(1);
/// Limit of the number of estimates of workers that are not listed, which may return.
const MAX_UNLISTED: usize = 1_000;

/// What the planner wrote last, and when.
#[derive(Clone, Debug, Default)]
pub struct RecordedFigures {
    parts: BTreeMap<u8, RecordedPart>,
    run_times_at: Option<MonotonicTime>,
    next_write_at: MonotonicTime,
}

/// Speeds of a part as they were written last.
#[derive(Clone, Debug, Default)]
struct RecordedPart {
    rows: BTreeMap<WorkerName, (i16, u8)>,
    written_at: MonotonicTime,
}

/// Returns the part of a worker.
pub fn part_of(name: &WorkerName) -> u8 {
    // FNV-1a: the part must not depend on the release.
    let hash = name.as_str().bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    (hash % u32::from(SPEED_PARTS)) as u8
}

/// Returns the records that are due, none if the speeds do not differ.
pub fn due_records(
    now: MonotonicTime,
    wall: WallMillis,
    speeds: &mut PoolSpeeds,
    workers: &PlanWorkers,
    times: &RunTimes,
) -> Vec<JobRecord> {
    if now < speeds.recorded.next_write_at {
        return Vec::new();
    }
    if !speeds.spread.differ {
        return withdrawn_records(&mut speeds.recorded);
    }
    speeds.recorded.next_write_at = now + WRITE_INTERVAL;
    if speeds.workers.len() > workers.len() + MAX_UNLISTED {
        speeds.workers.retain(|name, _| workers.contains_key(name));
    }
    let mut records = Vec::new();
    let mut parts: BTreeMap<u8, BTreeMap<WorkerName, (i16, u8)>> = BTreeMap::new();
    for (name, speed) in &speeds.workers {
        if workers.contains_key(name) {
            let part = parts.entry(part_of(name)).or_default();
            part.insert(name.clone(), quantized(speed));
        }
    }
    let mut changes: Vec<(usize, u8)> = parts
        .iter()
        .map(|(part, rows)| (speeds.recorded.changes(now, *part, rows), *part))
        .filter(|(changes, _)| *changes > 0)
        .collect();
    // The parts with most changes first.
    changes.sort_by_key(|(changes, part)| (std::cmp::Reverse(*changes), *part));
    let mut written = 0;
    for (_, part) in changes {
        let Some(rows) = parts
            .remove(&part)
            .filter(|_| written < MAX_WORKERS_PER_WRITE)
        else {
            break;
        };
        written += rows.len();
        let listed = rows.iter();
        let listed = listed.map(|(name, (log, error))| SpeedRow(name.clone(), *log, *error));
        let record = SpeedRecord(wall, listed.collect());
        records.push(JobRecord::Speeds(part, record));
        let part = speeds.recorded.parts.entry(part).or_default();
        *part = RecordedPart {
            rows,
            written_at: now,
        };
    }
    let is_due = |at: MonotonicTime| now.since(at) >= RUN_TIMES_INTERVAL;
    if speeds.recorded.run_times_at.is_none_or(is_due) {
        speeds.recorded.run_times_at = Some(now);
        records.push(JobRecord::RunTimes(run_times_record(wall, times)));
    }
    records
}

/// Returns the removal of what was written before the speeds were found alike.
fn withdrawn_records(recorded: &mut RecordedFigures) -> Vec<JobRecord> {
    let recorded = std::mem::take(recorded);
    let speeds = recorded.parts.into_keys().map(RecordKey::Speeds);
    let run_times = recorded.run_times_at.map(|_| RecordKey::RunTimes);
    let keys = speeds.chain(run_times);
    keys.map(JobRecord::Tombstone).collect()
}

impl RecordedFigures {
    /// Returns what an earlier planner wrote.
    fn restored(
        now: MonotonicTime,
        wall: WallMillis,
        speeds: &BTreeMap<u8, SpeedRecord>,
        run_times: &RunTimesRecord,
    ) -> Self {
        let age = |written_at: WallMillis| Duration::from_millis(wall.saturating_sub(written_at));
        let parts = speeds.iter().map(|(part, SpeedRecord(written_at, rows))| {
            let rows = rows.iter();
            let rows = rows.map(|SpeedRow(name, log, error)| (name.clone(), (*log, *error)));
            let recorded = RecordedPart {
                rows: rows.collect(),
                written_at: now - age(*written_at),
            };
            (*part, recorded)
        });
        let RunTimesRecord(written_at, queues) = run_times;
        Self {
            parts: parts.collect(),
            run_times_at: (!queues.is_empty()).then(|| now - age(*written_at)),
            next_write_at: now,
        }
    }

    /// Returns the number of workers of a part whose written speed is off by more than its
    /// error, zero if a write is not due for them; at least one if the record has to be
    /// refreshed.
    fn changes(
        &self,
        now: MonotonicTime,
        part: u8,
        rows: &BTreeMap<WorkerName, (i16, u8)>,
    ) -> usize {
        let Some(recorded) = self.parts.get(&part) else {
            return rows.len();
        };
        let is_changed = |(name, row): &(&WorkerName, &(i16, u8))| {
            let Some(before) = recorded.rows.get(*name) else {
                return true;
            };
            let change = row.0.saturating_sub(before.0).saturating_abs();
            let is_moved = change >= MIN_CHANGE.max(i16::from(before.1));
            is_moved || u16::from(row.1) * 3 <= u16::from(before.1) * 2
        };
        let changed = rows.iter().filter(is_changed).count();
        let age = now.since(recorded.written_at);
        if age >= REFRESH_INTERVAL {
            return changed.max(1);
        }
        let is_due = changed * 100 >= rows.len() * PROMPT_PERCENT || age >= CHANGE_INTERVAL;
        if is_due { changed } else { 0 }
    }
}

fn quantized(speed: &SpeedEstimate) -> (i16, u8) {
    let log = (speed.log * 100.0).round() as i16;
    let error = (speed.error() * 100.0).ceil() as u8;
    (log, error)
}

/// Returns the estimates of a record, with an error that grows with its age.
pub fn restored_speeds(
    wall: WallMillis,
    records: &BTreeMap<u8, SpeedRecord>,
) -> BTreeMap<WorkerName, SpeedEstimate> {
    let mut estimates = BTreeMap::new();
    for SpeedRecord(written_at, rows) in records.values() {
        let age = Duration::from_millis(wall.saturating_sub(*written_at));
        if age >= MAX_AGE {
            continue;
        }
        let added = VARIANCE_PER_HOUR * age.as_secs_f64() / 3_600.0;
        for SpeedRow(name, log, error) in rows {
            let variance = (f64::from(*error) / 100.0).powi(2) + added;
            let estimate = SpeedEstimate::restored(f64::from(*log) / 100.0, variance);
            estimates.insert(name.clone(), estimate);
        }
    }
    estimates
}

fn run_times_record(wall: WallMillis, times: &RunTimes) -> RunTimesRecord {
    let thousandths = |value: f64| (value * 1_000.0).round() as i32;
    let rows = times.typical_by_queue().map(|(queue, typical)| {
        let figures = [
            typical.mean_log,
            typical.ratio_log,
            typical.mean_error,
            typical.ratio_error,
            typical.unit_noise,
        ];
        let classes = typical.classes.iter();
        QueueRow(
            queue.clone(),
            typical.runs,
            figures.map(thousandths),
            classes.map(|count| (count * 10.0).round() as u32).collect(),
        )
    });
    RunTimesRecord(wall, rows.collect())
}

/// Returns the figures of a row.
fn restored_figures(row: &QueueRow) -> TypicalFigures {
    let QueueRow(_, runs, figures, counts) = row;
    let [mean_log, ratio_log, mean_error, ratio_error, unit_noise] =
        figures.map(|value| f64::from(value) / 1_000.0);
    let mut classes = [0.0; RATIO_CLASSES];
    for (class, count) in classes.iter_mut().zip(counts) {
        *class = f64::from(*count) / 10.0;
    }
    TypicalFigures {
        runs: *runs,
        mean_log: mean_log.clamp(0.0, MAX_RUN_LOG),
        ratio_log: ratio_log.clamp(-MAX_RUN_LOG, MAX_RUN_LOG),
        mean_error: mean_error.clamp(0.0, MAX_FIGURE_ERROR),
        ratio_error: ratio_error.clamp(0.0, MAX_FIGURE_ERROR),
        unit_noise: unit_noise.clamp(0.0, MAX_FIGURE_ERROR),
        classes,
    }
}

/// Limit of a restored logarithm of a run time in milliseconds: about half a year.
const MAX_RUN_LOG: f64 = 24.0;
/// Limit of a restored squared error.
const MAX_FIGURE_ERROR: f64 = 4.0;

impl PlannerState {
    /// Queues the records that are due.
    pub(super) fn record_figures(&mut self, now: MonotonicTime, wall: WallTime) {
        let (speeds, workers, times) = (&mut self.speeds, &self.workers, &self.run_times);
        for record in due_records(now, wall.0, speeds, workers, times) {
            self.writer.push(&record, None);
        }
    }

    /// Restores the figures that an earlier planner recorded. The workers must have been added
    /// before; names that are not among them are kept, since their workers may return.
    pub fn restore_figures(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        speeds: &BTreeMap<u8, SpeedRecord>,
        run_times: &RunTimesRecord,
    ) {
        if !self.limits.adapts_to_speeds {
            return;
        }
        self.speeds.restore(restored_speeds(wall.0, speeds));
        self.speeds.recorded = RecordedFigures::restored(now, wall.0, speeds, run_times);
        let RunTimesRecord(written_at, rows) = run_times;
        let age = Duration::from_millis(wall.0.saturating_sub(*written_at));
        for row in rows.iter().filter(|_| age < MAX_AGE) {
            let QueueRow(queue, ..) = row;
            self.run_times.restore(now, queue, restored_figures(row));
        }
        let spread = self.speeds.spread;
        if !self.speeds.workers.is_empty() {
            log::info!(
                target: "worker", workers = self.speeds.workers.len(), differ = spread.differ;
                "speeds restored"
            );
        }
    }
}
