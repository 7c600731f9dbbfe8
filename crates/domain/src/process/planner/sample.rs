//! Collects the samples for the speeds of the workers: the first pace of each run, or its
//! duration if it ends before a pace was measured.

use crate::prelude::*;
use crate::process::planner::forecast::expected_run;
use crate::process::planner::job::PlanMember;
use crate::process::planner::speed::PaceChange;
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker::PlanWorkers;
use crate::process::planner::worker_figures::{RunSample, SLOWED_OUTLIERS, SampleResult, StepPace};
use crate::request::submission::StepShape;

impl PlannerState {
    /// Uses the pace of a member as a sample, unless its run was one already.
    pub(super) fn learn_from_pace(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
        change: &PaceChange,
    ) {
        self.learn(now, key, index, |unit_noise| {
            RunSample::from_pace(change.pace, change.rise, unit_noise)
        });
    }

    /// Uses the duration of a completed single unit as a sample, unless its run was one
    /// already.
    pub(super) fn learn_from_end(&mut self, now: MonotonicTime, key: &GroupKey) {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(key)) else {
            return;
        };
        if group.members.len() != 1 || !group.is_full_run {
            return;
        }
        let run_time = now.since(group.started_at);
        self.learn(now, key, 0, |unit_noise| {
            Some(RunSample::from_run(run_time, unit_noise))
        });
    }

    fn learn(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
        sample: impl FnOnce(f64) -> Option<RunSample>,
    ) {
        if !self.limits.adapts_to_speeds {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some((shape, group)) = job.shape(key.step).zip(job.group(key)) else {
            return;
        };
        let member = group.members.get(index);
        let Some(member) = member.filter(|member| !member.progress.is_sampled) else {
            return;
        };
        let worker = self.workers.get(&member.worker);
        let is_cold = worker.is_some_and(|worker| group.started_at < worker.unsampled_until);
        let is_excluded = shape.is_long_running || shape.is_filler || is_cold;
        if is_excluded || !is_near(shape, &group.members, &self.workers) {
            return;
        }
        let queue = job.accepted.queue.clone();
        let unit_noise = self.run_times.unit_noise(&queue);
        let Some(sample) = sample(unit_noise) else {
            return;
        };
        let (name, estimate_ms) = (member.worker.clone(), shape.estimate_ms);
        if let Some(member) = self.member_mut(key, index) {
            member.progress.is_sampled = true;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let step = job
            .occurrences
            .get_mut(&key.occurrence)
            .and_then(|occurrence| occurrence.steps.get_mut(usize::from(key.step)));
        let Some(step) = step else {
            return;
        };
        let has_others = step.pace.is_some();
        let pace = step.pace.get_or_insert_with(|| {
            let expected = expected_run(&self.run_times, &queue, estimate_ms, 1.0);
            StepPace::new(expected, self.run_times.run_variance(&queue))
        });
        let estimate = self.speeds.workers.entry(name).or_default();
        let difference = sample.log - (pace.log - estimate.log);
        let explained = pace.variance + estimate.variance + sample.noise - unit_noise;
        let result = estimate.observe(now, pace, sample);
        let (is_suspect, is_slow) = (
            estimate.slow_outliers >= SLOWED_OUTLIERS,
            result == SampleResult::Slow,
        );
        self.note_length(now, key, index, is_slow, is_suspect);
        if has_others && result == SampleResult::Counted {
            self.run_times
                .record_unit_noise(&queue, difference.powi(2) - explained);
        }
    }

    /// Notes whether a run is long. Two slow runs in a row on a worker mean that the worker is
    /// slowed down instead.
    fn note_length(
        &mut self,
        now: MonotonicTime,
        key: &GroupKey,
        index: usize,
        is_slow: bool,
        is_suspect: bool,
    ) {
        if !self.speeds.spread.differ {
            return;
        }
        let Some(group) = self.group_mut(key) else {
            return;
        };
        let is_repeated = group.was_long;
        let Some(member) = group.members.get_mut(index) else {
            return;
        };
        member.progress.is_long = is_slow && !is_suspect;
        let name = member.worker.clone();
        if is_slow && is_suspect {
            self.mark_worker_slowed(now, &name, "two slow runs");
        } else if is_repeated {
            self.speeds.repeats.record(is_slow);
        }
    }

    /// Compares the speeds of the workers, if that is due.
    pub(super) fn compare_speeds(&mut self, now: MonotonicTime) {
        if self.limits.adapts_to_speeds && self.speeds.compare(now) {
            let spread = self.speeds.spread;
            log::info!(
                target: "worker", differ = spread.differ, compared = spread.compared,
                deviation = spread.deviation;
                "comparison of the workers' speeds changed"
            );
        }
    }

    /// Returns the usual speed of a worker relative to an average one.
    pub(super) fn speed_factor(&self, name: &WorkerName) -> f64 {
        if self.speeds.spread.differ {
            return self.speeds.estimate(name).factor();
        }
        self.workers
            .get(name)
            .map_or(1.0, |worker| worker.speed.factor())
    }
}

/// Whether the members of a group run near their data and in one rack, if they need that:
/// otherwise they take several times as long.
fn is_near(shape: &StepShape, members: &[PlanMember], workers: &PlanWorkers) -> bool {
    let rack_of = |member: &PlanMember| {
        let worker = workers.get(&member.worker);
        worker.and_then(|worker| worker.report.rack.as_ref())
    };
    if let Some(rack) = &shape.data_rack {
        return members.iter().all(|member| rack_of(member) == Some(rack));
    }
    if !(shape.same_rack && shape.is_gang) {
        return true;
    }
    let first = members.first().and_then(rack_of);
    members.iter().all(|member| rack_of(member) == first)
}
