//! Cost account of insufficient capacity: what a caller loses if a job ends at a given time,
//! and what is lost if a run is stopped. Planning order, reclaim and rejection use the same
//! account, so that they agree on which work costs callers least.
//!
//! The load that this answers: demand of 1.3 to 2 times the pool, where not every job can be
//! done in time. Only ratios of costs are compared. Thresholds come from the objective and the
//! late objective of each job; nothing here depends on the prices of a deployment.

use crate::prelude::*;

/// Loss of a job that is done after its objective but within its late objective, as a share
/// of the whole loss. Callers of urgent jobs value late results at a fifth to a third.
const LATE_LOSS_SHARE: f64 = 0.75;
/// Factor on the weight of a job within its customer's guarantee. It is far above the ratio
/// of the priorities, so that such a job is never the cheapest to delay or to stop.
const GUARANTEED_WEIGHT_FACTOR: f64 = 16.0;
/// Cost of repeating a start, in core seconds: the orders, the record and the idle capacity
/// between the stop and the next start.
const RESTART_CORE_SECONDS: f64 = 4.0;

/// What a job promises its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerTerms {
    /// Priority of the queue; zero is the most urgent.
    pub priority: u8,
    /// End of the objective.
    pub due_by: MonotonicTime,
    /// End of the late objective, after which the result is of no use.
    pub late_by: MonotonicTime,
    /// Whether the job is within its customer's guarantee.
    pub is_guaranteed: bool,
    /// Whether the job ends by itself. Delay costs nothing otherwise: such a job has no
    /// objective for its end.
    pub has_end: bool,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopCase {
    /// Cores that all members hold together; an accelerator counts as several.
    pub cores: f64,
    /// Time for which the run has worked since its newest checkpoint, or since its start if
    /// it has none.
    pub unsaved: Duration,
    /// Work of the whole job in core seconds.
    pub job_work: f64,
    /// When the job is expected to end if the run goes on.
    pub ends_at: MonotonicTime,
    /// When it is expected to end if the run is stopped now and started again.
    pub restart_ends_at: MonotonicTime,
}

/// Returns the loss of a job that is of no use, for each core second of its work.
pub fn caller_weight(terms: &CallerTerms) -> f64 {
    let weight = 1.0 / (1.0 + f64::from(terms.priority));
    if terms.is_guaranteed {
        weight * GUARANTEED_WEIGHT_FACTOR
    } else {
        weight
    }
}

/// Returns what the caller loses if the work ends at `ends_at`, for each core second of the
/// job's work: zero up to the objective, and the whole weight after the late objective.
pub fn delay_cost(terms: &CallerTerms, ends_at: MonotonicTime) -> f64 {
    if !terms.has_end || ends_at <= terms.due_by {
        0.0
    } else if ends_at <= terms.late_by {
        caller_weight(terms) * LATE_LOSS_SHARE
    } else {
        caller_weight(terms)
    }
}

/// Returns what is lost if a run is stopped now, in core seconds: its work since the newest
/// checkpoint, the repeated start, and what its caller loses by the later end.
pub fn stop_loss(terms: &CallerTerms, case: &StopCase) -> f64 {
    let repeated = case.unsaved.as_secs_f64() * case.cores + RESTART_CORE_SECONDS;
    let delayed = delay_cost(terms, case.restart_ends_at) - delay_cost(terms, case.ends_at);
    repeated + delayed.max(0.0) * case.job_work
}
