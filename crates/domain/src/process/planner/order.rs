//! Which waiting step goes first. Answers the load of a pool that is asked for more
//! than it has: urgent queues first, then those whose objective ends first, and last
//! what can no longer be in time.

use crate::prelude::*;
use crate::process::planner::estimate::RunTimes;
use crate::process::planner::job::{GroupPhase, PlanJob, PlanOccurrence};

/// A step of which groups wait to run.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// The step.
    pub key: StepKey,
    /// Places of the waiting groups in the step.
    pub groups: Vec<usize>,
    /// Priority of the queue.
    pub priority: u8,
    /// Whether even the late objective is out of reach.
    pub is_too_late: bool,
    /// When the occurrence should be done.
    pub due_by: MonotonicTime,
    /// When the occurrence was due to begin.
    pub ready_at: MonotonicTime,
}

/// Objective after which completion counts as late, and after which it is worth
/// nothing, as a factor of the objective.
pub const LATE_FACTOR: u32 = 3;

/// The longest chain of expected run times through the steps of a job.
pub fn critical_path_time(job: &PlanJob, times: &RunTimes) -> Duration {
    let steps = &job.accepted.submission.steps;
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for shape in steps {
        let before = shape.after.iter();
        let begin = before
            .filter_map(|step| ends.get(usize::from(*step)))
            .max()
            .copied()
            .unwrap_or_default();
        let run = times.expected(&job.accepted.queue, shape.estimate_ms);
        ends.push(begin + run);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Time from its due time in which an occurrence of a job should be done.
pub fn objective(job: &PlanJob, times: &RunTimes) -> Duration {
    let target = Duration::from_millis(job.accepted.target_latency_ms);
    critical_path_time(job, times).mul_f64(job.accepted.stretch.max(0.0)) + target
}

/// All steps with groups that may start now, first things first.
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
        if step.is_done() || !occurrence.is_open(shape) {
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
