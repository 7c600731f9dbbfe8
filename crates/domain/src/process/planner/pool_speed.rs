//! Current speed of the pool, from the paces of the runs in execution. Load that this
//! addresses: most workers run at a fifth of their speed for many seconds, so that a run that is
//! restarted elsewhere is as slow there, and expected ends at the usual speed are far too early.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanMember};
use crate::process::planner::sample::is_near;
use crate::process::planner::state::PlannerState;
use crate::request::submission::StepShape;

/// Interval between two updates; each looks at all runs.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which a pace counts. Workers hold a poll for up to 1.9 s, so that each run in
/// execution is listed within this time, and a recovery shows soon after it.
const MAX_PACE_AGE: Duration = Duration::from_millis(2_500);
/// Least number of paces from which a speed is derived: expected paces are as rough as the
/// callers' estimates.
const MIN_PACES: usize = 8;
/// Speed from which the pool counts as usual: run times spread by a quarter in calm conditions.
const USUAL_SPEED: f64 = 0.75;
/// Speed below which run times are not learned from: they would count as the usual ones, so that
/// the pool would no longer seem slow.
const SLOW_SPEED: f64 = 0.5;
/// Least speed, so that expected ends stay finite.
const MIN_SPEED: f64 = 0.05;

/// Newest pace of a run in execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSample {
    /// Pace in percent per second.
    pub pace: f64,
    /// Pace that is expected of it on its worker at the usual speed.
    pub expected: f64,
    /// Time since its worker listed it.
    pub age: Duration,
}

/// Newest estimate of the speed of the pool.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PoolSpeed {
    /// Speed relative to the usual one, at most 1.
    pub(super) value: f64,
    next_update_at: MonotonicTime,
    /// Speeds of the workers of which runs report, while the pool is slow.
    workers: BTreeMap<WorkerName, f64>,
    /// When the pool was last far slower than usual.
    slow_at: Option<MonotonicTime>,
}

impl PoolSpeed {
    /// Creates the estimate of a planner that has observed no run.
    pub(super) const fn new(now: MonotonicTime) -> Self {
        Self {
            value: 1.0,
            next_update_at: now,
            workers: BTreeMap::new(),
            slow_at: None,
        }
    }

    /// Returns the current speed of a worker relative to its usual one; that of the pool if no
    /// run on it reports.
    pub(super) fn of_worker(&self, name: &WorkerName) -> f64 {
        self.workers.get(name).copied().unwrap_or(self.value)
    }

    /// Returns the current speed of the fastest worker relative to its usual one.
    pub(super) fn fastest(&self) -> f64 {
        self.workers.values().copied().fold(self.value, f64::max)
    }

    /// Whether the pool was far slower than usual at some time since `from`.
    pub(super) fn was_slow_since(&self, from: MonotonicTime) -> bool {
        self.slow_at.is_some_and(|at| at >= from)
    }
}

/// Returns the current speed of a pool relative to its usual one: the median over the recent
/// paces. It is 1 in calm conditions, and while too few runs report.
pub fn pool_speed(samples: &[PaceSample]) -> f64 {
    let recent = samples
        .iter()
        .filter(|sample| sample.age <= MAX_PACE_AGE && sample.expected > 0.0);
    let mut ratios: Vec<f64> = recent.map(|sample| sample.pace / sample.expected).collect();
    if ratios.len() < MIN_PACES {
        return 1.0;
    }
    let middle = ratios.len() / 2;
    let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
    if *median >= USUAL_SPEED {
        1.0
    } else {
        median.max(MIN_SPEED)
    }
}

/// Returns the current speed of each worker relative to its usual one: the median over the
/// recent paces there. A worker counts as usual from half of its speed, since few runs report
/// and their estimates may be wrong by as much.
pub fn worker_speeds(samples: &[(WorkerName, PaceSample)]) -> BTreeMap<WorkerName, f64> {
    let mut ratios: BTreeMap<WorkerName, Vec<f64>> = BTreeMap::new();
    for (name, sample) in samples {
        if sample.age <= MAX_PACE_AGE && sample.expected > 0.0 {
            let ratio = sample.pace / sample.expected;
            ratios.entry(name.clone()).or_default().push(ratio);
        }
    }
    let speeds = ratios.into_iter().map(|(name, mut ratios)| {
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        let is_usual = *median >= SLOW_SPEED;
        (name, if is_usual { 1.0 } else { median.max(MIN_SPEED) })
    });
    speeds.collect()
}

impl PlannerState {
    /// Updates the speed of the pool, if that is due.
    pub(super) fn update_pool_speed(&mut self, now: MonotonicTime) {
        if !self.limits.overload.uses_pool_speed() || now < self.pool_speed.next_update_at {
            return;
        }
        self.pool_speed.next_update_at = now + UPDATE_INTERVAL;
        let samples = self.pace_samples(now);
        let paces: Vec<PaceSample> = samples.iter().map(|(_, sample)| *sample).collect();
        let value = pool_speed(&paces);
        let was_usual = self.pool_speed.value >= 1.0;
        if was_usual != (value >= 1.0) {
            log::info!(target: "worker", speed = value; "pool begins or ends to be slow");
        }
        self.pool_speed.value = value;
        self.pool_speed.workers = if value < 1.0 {
            worker_speeds(&samples)
        } else {
            BTreeMap::new()
        };
        if value < SLOW_SPEED {
            self.pool_speed.slow_at = Some(now);
        }
    }

    /// Returns the speed with which stops and moves count: the current one if the deployment
    /// limits stops, or else the usual one.
    pub(super) const fn stop_speed(&self) -> f64 {
        if self.limits.overload.limits_stops {
            self.pool_speed.value
        } else {
            1.0
        }
    }

    /// Returns the expected duration of a whole run that starts now on a worker of average
    /// speed.
    pub(super) fn current_run_time(&self, queue: &QueueName, shape: &StepShape) -> Duration {
        let usual = self.run_times.expected(queue, shape.estimate_ms);
        usual.div_f64(self.stop_speed())
    }

    /// Returns the newest paces of the runs on reachable workers. Runs away from their data or
    /// their rack are left out: they are slow on any worker.
    fn pace_samples(&self, now: MonotonicTime) -> Vec<(WorkerName, PaceSample)> {
        let mut samples = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_closing) {
            for (key, group) in job.groups() {
                let shape = job
                    .shape(key.step)
                    .filter(|shape| !shape.is_long_running && !shape.is_filler);
                let Some(shape) = shape.filter(|_| group.phase == GroupPhase::Active) else {
                    continue;
                };
                if !is_near(shape, &group.members, &self.workers) {
                    continue;
                }
                let queue = &job.accepted.queue;
                let expected = self.run_times.expected(queue, shape.estimate_ms);
                let members = group.members.iter();
                samples.extend(members.filter_map(|member| {
                    let expected = 100.0 / expected.as_secs_f64().max(0.001);
                    let sample = self.pace_sample(now, member, expected)?;
                    Some((member.worker.clone(), sample))
                }));
            }
        }
        samples
    }

    /// Returns the newest pace of a member, given the expected one on a worker of average speed.
    fn pace_sample(
        &self,
        now: MonotonicTime,
        member: &PlanMember,
        expected: f64,
    ) -> Option<PaceSample> {
        let worker = self.workers.get(&member.worker)?;
        let progress = &member.progress;
        // A member at 100 percent waits for the others of its gang.
        let is_working = matches!(member.stage, MemberStage::Running(_)) && progress.percent < 100;
        if !is_working || worker.link.failures > 0 {
            return None;
        }
        Some(PaceSample {
            pace: progress.pace?,
            expected: expected * self.speed_factor(&member.worker),
            age: now.since(progress.listed_at?),
        })
    }
}
