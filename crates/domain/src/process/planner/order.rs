//! Order in which waiting steps are planned when the demand exceeds the capacity of the
//! pool: by the priority of the queue, then those that a guarantee covers, then by the end of
//! the objective. An urgent step that can no longer meet it counts with the end of its late
//! objective: it gains nothing from an earlier start, and others would miss theirs meanwhile.
//! Steps that can no longer meet even that come last.

use flamingowalk_core::clock::saturating_scale;

use crate::prelude::*;
use crate::process::planner::backlog::DelayedWork;
use crate::process::planner::estimate::RunTimes;
use crate::process::planner::job::{GroupPhase, PlanGroup, PlanJob, PlanOccurrence};

/// A step with groups that wait to run.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// Key of the step.
    pub key: StepKey,
    /// Indices of the waiting groups in the step.
    pub groups: Vec<usize>,
    /// Priority of the queue.
    pub priority: u8,
    /// Whether the job is within its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether the objective cannot be met any more. Never set for a long-running job, which
    /// has no end.
    pub is_late: bool,
    /// Whether even the late objective cannot be met any more. Never set for a long-running
    /// job either.
    pub is_too_late: bool,
    /// End of the objective of the occurrence.
    pub due_by: MonotonicTime,
    /// End of the late objective.
    pub late_by: MonotonicTime,
    /// When the occurrence was due to start.
    pub ready_at: MonotonicTime,
}

/// Late objective as a multiple of the objective. A completion after the objective
/// counts as late; one after the late objective has no value.
pub const LATE_FACTOR: u32 = 3;
/// Share of the expected remaining time that a job needs at least: estimates are rough, and a
/// job counts as too late only if it certainly is.
const LEAST_TIME_SHARE: f64 = 0.5;

/// Returns the expected duration of the longest chain of dependent steps of a job.
pub fn critical_path_time(job: &PlanJob, times: &RunTimes) -> Duration {
    chain_time(job, times, |_| true)
}

/// Returns the expected duration of the longest chain of the steps of an occurrence that are
/// not done.
pub fn remaining_time(job: &PlanJob, occurrence: &PlanOccurrence, times: &RunTimes) -> Duration {
    chain_time(job, times, |step| {
        let step = occurrence.steps.get(step);
        step.is_some_and(|step| !step.is_done())
    })
}

/// Returns the expected duration of the longest chain of dependent steps; only those that
/// `counts` returns true for take time.
fn chain_time(job: &PlanJob, times: &RunTimes, counts: impl Fn(usize) -> bool) -> Duration {
    let steps = &job.accepted.submission.steps;
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (index, shape) in steps.iter().enumerate() {
        let predecessors = shape.after.iter();
        let start = predecessors
            .filter_map(|step| ends.get(usize::from(*step)))
            .max()
            .copied()
            .unwrap_or_default();
        let run = if counts(index) {
            times.expected(&job.accepted.queue, shape.estimate_ms)
        } else {
            Duration::ZERO
        };
        ends.push(start.saturating_add(run));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the time after its due time within which an occurrence of a job should be
/// done.
pub fn objective(job: &PlanJob, times: &RunTimes) -> Duration {
    let target = Duration::from_millis(job.accepted.target_latency_ms);
    let stretch = job.accepted.stretch.max(0.0);
    saturating_scale(critical_path_time(job, times), stretch).saturating_add(target)
}

/// Returns the time after its due time up to which an occurrence is late but still of use.
pub const fn late_objective(objective: Duration) -> Duration {
    objective.saturating_mul(LATE_FACTOR)
}

/// Puts the steps of delayed occurrences after the others of their priority. Among themselves
/// they are in the order of their late objectives, the large ones first: these need the
/// capacity for longest, and would not be served at all behind the small ones.
pub fn put_delayed_last(waiting: &mut [WaitingStep], delayed: &DelayedWork) {
    if delayed.is_empty() {
        return;
    }
    waiting.sort_by_key(|step| {
        let found = delayed.get(&(step.key.job, step.key.occurrence));
        let found = found.filter(|_| !step.is_guaranteed);
        let is_delayed = found.is_some();
        let is_small = found == Some(&false);
        let counts_late = is_delayed || step.is_late;
        let deadline = if counts_late {
            step.late_by
        } else {
            step.due_by
        };
        let group = (step.is_too_late, step.priority, !step.is_guaranteed);
        (group, is_delayed, is_small, deadline, step.key)
    });
}

/// Returns all steps with groups that may start now, in the order of planning.
pub fn waiting_steps(
    now: MonotonicTime,
    jobs: &BTreeMap<JobKey, PlanJob>,
    times: &RunTimes,
    guaranteed: &BTreeSet<JobKey>,
) -> Vec<WaitingStep> {
    let mut waiting = Vec::new();
    for job in jobs.values().filter(|job| !job.is_closing) {
        let objective = objective(job, times);
        let has_end = !job.accepted.submission.is_long_running();
        for (number, occurrence) in &job.occurrences {
            let remaining = remaining_time(job, occurrence, times);
            let due_by = occurrence.due_at + objective;
            let late_by = occurrence.due_at + late_objective(objective);
            let template = WaitingStep {
                key: StepKey {
                    job: job.key,
                    occurrence: *number,
                    step: 0,
                },
                groups: Vec::new(),
                priority: job.accepted.priority,
                is_guaranteed: guaranteed.contains(&job.key),
                is_late: has_end && now + remaining > due_by,
                is_too_late: has_end && now + remaining.mul_f64(LEAST_TIME_SHARE) > late_by,
                due_by,
                late_by,
                ready_at: occurrence.due_at,
            };
            add_steps(now, job, occurrence, &template, &mut waiting);
        }
    }
    sort_waiting(&mut waiting);
    waiting
}

/// Puts waiting steps in the order of planning.
pub fn sort_waiting(waiting: &mut [WaitingStep]) {
    waiting.sort_by_key(|step| {
        let is_delayed = step.is_late && step.priority == 0;
        let deadline = if is_delayed {
            step.late_by
        } else {
            step.due_by
        };
        let group = (step.is_too_late, step.priority, !step.is_guaranteed);
        (group, deadline, step.key)
    });
}

fn add_steps(
    now: MonotonicTime,
    job: &PlanJob,
    occurrence: &PlanOccurrence,
    template: &WaitingStep,
    waiting: &mut Vec<WaitingStep>,
) {
    for (index, step) in occurrence.steps.iter().enumerate() {
        let shape = &job.accepted.submission.steps[index];
        if step.is_done() || !occurrence.is_step_ready(shape) {
            continue;
        }
        let is_ready =
            |group: &PlanGroup| group.phase == GroupPhase::Waiting && now >= group.not_before;
        let groups: Vec<usize> = (0..step.groups.len())
            .filter(|index| is_ready(&step.groups[*index]))
            .collect();
        if groups.is_empty() {
            continue;
        }
        let mut waiting_step = WaitingStep {
            groups,
            ..template.clone()
        };
        waiting_step.key.step = index as u16;
        waiting.push(waiting_step);
    }
}
