//! Dry run of a submission: where a job would go now and why. It makes the decisions of a pass
//! on a copy of the planner's state that has the job, and changes no state.
//!
//! The load that this answers: operators of a full or partly evacuated pool who ask why jobs
//! of a queue wait. One dry run costs about as much as one pass and a copy of the state.

pub mod report;

use crate::prelude::*;
use crate::process::planner::decision::{
    GroupCase, GroupDecision, ReservationCount, StepCase, StepCursor, decide_next, reserve_room,
};
use crate::process::planner::explain::report::{
    JobExplanation, StepExplanation, StopExplanation, WaitCause,
};
use crate::process::planner::job::{PlanJob, PlanOccurrence};
use crate::process::planner::place::{CapacityView, PlaceRequest, Placement};
use crate::process::planner::reclaim::ReclaimDecision;
use crate::process::planner::state::PlannerState;
use crate::process::record::AcceptedJob;
use crate::request::submission::UnitDemand;

/// What a pass would decide about the groups of a step of the job.
#[derive(Clone, Debug, Default)]
struct StepTrial {
    placements: Vec<Placement>,
    /// The first group that would wait.
    wait: Option<GroupWait>,
}

/// Why a group would wait, and what would be done for it.
#[derive(Clone, Debug)]
struct GroupWait {
    cause: WaitCause,
    stops: Option<StopExplanation>,
    is_reserved: bool,
    start: Option<ExpectedStart>,
}

impl From<WaitCause> for GroupWait {
    fn from(cause: WaitCause) -> Self {
        Self {
            cause,
            stops: None,
            is_reserved: false,
            start: None,
        }
    }
}

/// When a group would start, and on which workers if that is known.
#[derive(Clone, Debug)]
struct ExpectedStart {
    at: MonotonicTime,
    workers: Vec<WorkerName>,
}

/// Explains where a job would go if it were accepted now.
pub fn explain_job(
    planner: &PlannerState,
    now: MonotonicTime,
    wall: WallTime,
    accepted: AcceptedJob,
) -> JobExplanation {
    let (job, due_in) = candidate_job(planner, now, wall, accepted);
    let (job_key, accepted) = (job.key, Arc::clone(&job.accepted));
    let mut scratch = planner.clone();
    scratch.jobs.insert(job_key, job);
    let guaranteed = scratch.guaranteed_jobs();
    let waiting = scratch.waiting_in_order(now, &guaranteed);
    let mut view = scratch.capacity_view(now, scratch.uncertain_workers(now), guaranteed);
    let mut reserved = ReservationCount::default();
    let mut left = waiting
        .iter()
        .filter(|step| step.key.job == job_key)
        .count();
    let (mut groups_before, mut first_steps) = (0, Vec::new());
    for step in &waiting {
        if left == 0 {
            break;
        }
        let Some(mut case) = StepCase::new(&scratch, now, step, &view) else {
            continue;
        };
        if step.key.job == job_key {
            left -= 1;
            // Approvals are requested for submitted jobs only.
            case.approved = None;
            let trial = try_step(&mut scratch, &case, &mut view, &mut reserved);
            first_steps.push(explain_step(&case, trial, groups_before, &view));
        } else {
            groups_before += step.groups.len();
            plan_earlier_step(&mut scratch, &case, &mut view, &mut reserved);
        }
    }
    first_steps.sort_by_key(|step| step.step);
    let full_queues = planner.admission.full_queues();
    let mut full = full_queues.iter();
    JobExplanation {
        rejected_for_ms: full
            .find(|full| {
                let customer = full.customer.as_ref();
                full.queue == accepted.queue
                    && customer.is_none_or(|name| accepted.customer.as_ref() == Some(name))
            })
            .map(|full| full.retry_after_ms),
        queue: accepted.queue.clone(),
        service: accepted.service.clone(),
        priority: accepted.priority,
        is_guaranteed: view.guaranteed.contains(&job_key),
        due_to_start_in_ms: due_in,
        later_steps: accepted.submission.steps.len() - first_steps.len(),
        first_steps,
    }
}

/// Returns the job under a key that no job has, with its first occurrence open, and the time
/// until that is due.
fn candidate_job(
    planner: &PlannerState,
    now: MonotonicTime,
    wall: WallTime,
    accepted: AcceptedJob,
) -> (PlanJob, Option<u64>) {
    let mut key = JobKey(u64::MAX);
    while planner.jobs.contains_key(&key) {
        key = JobKey(key.0 - 1);
    }
    let due = accepted
        .submission
        .schedule
        .map_or(wall.0, |schedule| schedule.due_at(0).0);
    let due_at = now - Duration::from_millis(wall.0.saturating_sub(due));
    let mut job = PlanJob::new(key, Arc::new(accepted), now);
    let occurrence = PlanOccurrence::new(&job.accepted, due_at);
    job.occurrences.insert(0, occurrence);
    job.next_occurrence = 1;
    (job, (due > wall.0).then(|| due - wall.0))
}

/// Decides about the groups of another job that come before. What they would stop is claimed
/// already if a pass ran since they came.
fn plan_earlier_step(
    scratch: &mut PlannerState,
    case: &StepCase<'_>,
    view: &mut CapacityView,
    reserved: &mut ReservationCount,
) {
    let mut cursor = StepCursor::default();
    while let Some((group, decision)) = decide_next(scratch, case, &mut cursor, view, reserved) {
        if decision == GroupDecision::NoRoom {
            let request = case.waiting_request(&group);
            match scratch.decide_reclaim(case.now, case.step, &request, view) {
                ReclaimDecision::Reserve(choice) => {
                    view.reserve(&choice.workers, &request, choice.awaited_until);
                }
                ReclaimDecision::Stop(choice) => {
                    view.allocate(&request, &placement_of(choice.workers));
                }
                ReclaimDecision::StopNothing | ReclaimDecision::EndsInTime => {
                    reserve_room(scratch, case, &request, view, reserved);
                }
            }
        } else {
            scratch.apply_decision(case, &group, &decision, view);
        }
    }
}

/// Decides about the groups of a step of the job.
fn try_step(
    scratch: &mut PlannerState,
    case: &StepCase<'_>,
    view: &mut CapacityView,
    reserved: &mut ReservationCount,
) -> StepTrial {
    let mut trial = StepTrial::default();
    let mut cursor = StepCursor::default();
    while let Some((group, decision)) = decide_next(scratch, case, &mut cursor, view, reserved) {
        scratch.apply_decision(case, &group, &decision, view);
        let wait = match decision {
            GroupDecision::Start { placement } | GroupDecision::StartClaimed { placement } => {
                trial.placements.push(placement);
                continue;
            }
            GroupDecision::AwaitClaim | GroupDecision::ReleaseClaim { .. } => continue,
            GroupDecision::AwaitFaster { workers, from } => GroupWait {
                cause: WaitCause::FasterWorkers {
                    workers: workers.clone(),
                },
                stops: None,
                is_reserved: true,
                start: Some(ExpectedStart { at: from, workers }),
            },
            GroupDecision::KeptFree => WaitCause::KeptForUrgent.into(),
            GroupDecision::NoRoom => wait_without_room(scratch, case, &group, view, reserved),
        };
        trial.wait.get_or_insert(wait);
    }
    if let Some(bar) = scratch.start_gate.orders_bar(case.now) {
        trial.placements.clear();
        trial.wait = Some(WaitCause::Barred { bar: bar.label() }.into());
    }
    trial
}

/// Returns why a group without room would wait, what it would stop, and whether it would get a
/// reservation.
fn wait_without_room(
    scratch: &PlannerState,
    case: &StepCase<'_>,
    group: &GroupCase,
    view: &mut CapacityView,
    reserved: &mut ReservationCount,
) -> GroupWait {
    let (now, request) = (case.now, case.waiting_request(group));
    let reason = wait_cause(scratch, &request, view);
    if matches!(reason, WaitCause::NoEligibleWorker { .. }) {
        return reason.into();
    }
    match scratch.decide_reclaim(now, case.step, &request, view) {
        ReclaimDecision::Stop(choice) => {
            view.allocate(&request, &placement_of(choice.workers.clone()));
            return GroupWait {
                start: Some(ExpectedStart {
                    at: choice.awaited_until.max(now + scratch.limits.stop_grace),
                    workers: choice.workers.clone(),
                }),
                stops: Some(StopExplanation {
                    groups: choice.victims.iter().map(GroupKey::to_string).collect(),
                    lost_core_seconds: choice.lost,
                    workers: choice.workers,
                }),
                ..reason.into()
            };
        }
        ReclaimDecision::Reserve(choice) => {
            view.reserve(&choice.workers, &request, choice.awaited_until);
            return GroupWait {
                is_reserved: true,
                start: Some(ExpectedStart {
                    at: choice.awaited_until,
                    workers: choice.workers,
                }),
                ..reason.into()
            };
        }
        ReclaimDecision::StopNothing | ReclaimDecision::EndsInTime => {}
    }
    let start = scratch.expected_start(now, &request, view);
    GroupWait {
        is_reserved: reserve_room(scratch, case, &request, view, reserved),
        start: start.map(|at| ExpectedStart {
            at,
            workers: Vec::new(),
        }),
        ..reason.into()
    }
}

fn placement_of(workers: Vec<WorkerName>) -> Placement {
    Placement {
        workers,
        is_remote: false,
    }
}

fn explain_step(
    case: &StepCase<'_>,
    trial: StepTrial,
    groups_before: usize,
    view: &CapacityView,
) -> StepExplanation {
    let (now, step) = (case.now, case.step);
    let placements = trial.placements.into_iter();
    let mut starts: Vec<_> = placements.map(|placed| placed.workers).collect();
    let mut start = starts.first().map(|workers| ExpectedStart {
        at: now,
        workers: workers.clone(),
    });
    let (mut wait, mut stops, mut is_reserved) = (None, None, false);
    if let Some(found) = trial.wait {
        start = start.or(found.start);
        (wait, stops, is_reserved) = (Some(found.cause), found.stops, found.is_reserved);
    }
    if case.advice.is_some() && !starts.is_empty() {
        let workers = std::mem::take(&mut starts).into_iter().flatten();
        wait = Some(WaitCause::Approval {
            workers: workers.collect::<BTreeSet<_>>().into_iter().collect(),
        });
        start = None;
    }
    let millis = |at: MonotonicTime| at.since(now).as_millis() as u64;
    let shape = case.shape();
    let end = start.as_ref().filter(|_| !shape.is_long_running);
    StepExplanation {
        step: step.key.step,
        groups: step.groups.len(),
        units_per_group: shape.group_size(),
        groups_before,
        starts,
        wait,
        stops,
        is_reserved,
        start_in_ms: start.as_ref().map(|start| millis(start.at)),
        end_in_ms: end.map(|start| millis(start.at + run_time_on(case, view, &start.workers))),
        objective_in_ms: millis(step.due_by),
        late_objective_in_ms: millis(step.late_by),
    }
}

/// Returns the expected run time of a group on these workers, at average speed if they are not
/// known.
fn run_time_on(case: &StepCase<'_>, view: &CapacityView, workers: &[WorkerName]) -> Duration {
    let Some(goal) = case.goal else {
        return case.run_time;
    };
    let placement = Placement {
        workers: workers.to_vec(),
        is_remote: false,
    };
    goal.run_time.div_f64(view.slowest_speed(&placement))
}

/// Returns why a group without room would wait.
fn wait_cause(
    planner: &PlannerState,
    request: &PlaceRequest<'_>,
    view: &CapacityView,
) -> WaitCause {
    let eligible = view.eligible_rows(request);
    if eligible.is_empty() {
        return no_eligible_worker(planner, request);
    }
    let rows = eligible.iter().map(|index| &view.rows[*index]);
    let fitting_units: u32 = rows.clone().map(|row| row.slots(request)).sum();
    if fitting_units >= u32::from(request.count) {
        return WaitCause::Locality { fitting_units };
    }
    let unreserved = rows.clone().map(|row| {
        let mut row = row.clone();
        row.reservations.clear();
        row.slots(request)
    });
    let unreserved: u32 = unreserved.sum();
    if unreserved >= u32::from(request.count) {
        let reserved = rows.filter(|row| !row.reservations.is_empty());
        return WaitCause::Reserved {
            on_workers: reserved.count(),
        };
    }
    let free = rows.fold(UnitDemand::default(), |sum, row| sum.plus(&row.free));
    WaitCause::NoCapacity {
        eligible: eligible.len(),
        fitting_units,
        needed_units: request.count,
        free: free.into(),
        unit: request.shape.reserved_demand().into(),
    }
}

fn no_eligible_worker(planner: &PlannerState, request: &PlaceRequest<'_>) -> WaitCause {
    let label = request.shape.label.clone();
    let workers = planner.workers.values();
    let of_service: Vec<_> = workers
        .filter(|worker| worker.report.service == *request.service)
        .collect();
    let matching: Vec<_> = of_service
        .iter()
        .filter(|worker| worker.accepts_starts() && !planner.is_spare(request.service))
        .filter(|worker| {
            label
                .as_ref()
                .is_none_or(|label| worker.report.labels.contains(label))
        })
        .collect();
    let in_closed_zones = matching
        .iter()
        .filter(|worker| planner.is_evacuated(worker));
    WaitCause::NoEligibleWorker {
        of_service: of_service.len(),
        in_closed_zones: in_closed_zones.count(),
        matching: matching.len(),
        closed_zones: planner.start_gate.closed().keys().cloned().collect(),
        label,
    }
}
