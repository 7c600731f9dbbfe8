//! Order in which waiting steps are planned when the demand exceeds the capacity of the
//! pool: by the priority of the queue, then by the end of the objective. Steps that can
//! no longer meet even the late objective come last.

use crate::prelude::*;
use crate::process::planner::estimate::RunTimes;
use crate::process::planner::job::{GroupPhase, PlanJob, PlanOccurrence};

/// A step with groups that wait to run.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// Key of the step.
    pub key: StepKey,
    /// Indices of the waiting groups in the step.
    pub groups: Vec<usize>,
    /// Priority of the queue.
    pub priority: u8,
    /// Whether even the late objective has passed.
    pub is_too_late: bool,
    /// End of the objective of the occurrence.
    pub due_by: MonotonicTime,
    /// When the occurrence was due to start.
    pub ready_at: MonotonicTime,
}

/// Late objective as a multiple of the objective. A completion after the objective
/// counts as late; one after the late objective has no value.
pub const LATE_FACTOR: u32 = 3;

/// Returns the expected duration of the longest chain of dependent steps of a job.
pub fn critical_path_time(job: &PlanJob, times: &RunTimes) -> Duration {
    let steps = &job.accepted.submission.steps;
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for shape in steps {
        let predecessors = shape.after.iter();
        let start = predecessors
            .filter_map(|step| ends.get(usize::from(*step)))
            .max()
            .copied()
            .unwrap_or_default();
        let run = times.expected(&job.accepted.queue, shape.estimate_ms);
        ends.push(start + run);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the time after its due time within which an occurrence of a job should be
/// done.
pub fn objective(job: &PlanJob, times: &RunTimes) -> Duration {
    let target = Duration::from_millis(job.accepted.target_latency_ms);
    critical_path_time(job, times).mul_f64(job.accepted.stretch.max(0.0)) + target
}

/// Returns all steps with groups that may start now, in the order of planning.
pub fn waiting_steps(
    now: MonotonicTime,
    jobs: &BTreeMap<JobKey, PlanJob>,
    times: &RunTimes,
) -> Vec<WaitingStep> {
    let mut waiting = Vec::new();
    for job in jobs.values().filter(|job| !job.is_closing) {
        let objective = objective(job, times);
        for (number, occurrence) in &job.occurrences {
            add_steps(now, job, *number, occurrence, objective, &mut waiting);
        }
    }
    waiting.sort_by_key(|step| {
        let WaitingStep {
            is_too_late,
            priority,
            due_by,
            key,
            ..
        } = step;
        (*is_too_late, *priority, *due_by, *key)
    });
    waiting
}

fn add_steps(
    now: MonotonicTime,
    job: &PlanJob,
    number: u32,
    occurrence: &PlanOccurrence,
    objective: Duration,
    waiting: &mut Vec<WaitingStep>,
) {
    let due_by = occurrence.due_at + objective;
    let late_by = occurrence.due_at + objective * LATE_FACTOR;
    for (index, step) in occurrence.steps.iter().enumerate() {
        let shape = &job.accepted.submission.steps[index];
        if step.is_done() || !occurrence.is_step_ready(shape) {
            continue;
        }
        let is_ready = |group: &crate::process::planner::job::PlanGroup| {
            group.phase == GroupPhase::Waiting && now >= group.not_before
        };
        let groups: Vec<usize> = (0..step.groups.len())
            .filter(|index| is_ready(&step.groups[*index]))
            .collect();
        if groups.is_empty() {
            continue;
        }
        waiting.push(WaitingStep {
            key: StepKey {
                job: job.key,
                occurrence: number,
                step: index as u16,
            },
            groups,
            priority: job.accepted.priority,
            is_too_late: now > late_by,
            due_by,
            ready_at: occurrence.due_at,
        });
    }
}
