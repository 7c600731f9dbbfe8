//! Checks of the planner's invariants, independent of the code that changes the
//! state. Every violation is reported. Debug builds run the checks after events, after
//! each one while few jobs are open.

use thiserror::Error;

use crate::prelude::*;
use crate::process::planner::event::TaskKey;
use crate::process::planner::guarantee::GuaranteedBlock;
use crate::process::planner::job_entry::{JobEntry, JobStage, MemberState};
use crate::process::planner::ledger::{AcceleratorSet, CapacityLedger, WorkerCapacity};
use crate::process::planner::state::{PlannerPolicy, PlannerState};
use crate::version::settings::BlockAdjacency;

/// One broken invariant.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlannerError {
    /// The free or spare resources of a worker differ from a recount.
    #[error("free resources of {0} differ from a recount of its holdings; recount after changes")]
    Miscounted(WorkerName),
    /// The index of holdings disagrees with the workers.
    #[error("holding of {0} is not indexed by its worker; change both together")]
    Misindexed(TaskKey),
    /// Two tasks were granted the same accelerator.
    #[error("{first} and {second} were granted the same accelerator of {worker}; list its tasks")]
    DuplicateGrant {
        /// The worker.
        worker: WorkerName,
        /// One task.
        first: TaskKey,
        /// The other task.
        second: TaskKey,
    },
    /// A member that may hold resources is not in the ledger.
    #[error("{0} may hold resources that the ledger counts as free; hold them until it is over")]
    UnheldMember(TaskKey),
    /// A job is queued but not in the queue, or the other way round.
    #[error("{0} queued jobs but {1} in the queue; change stage and queue together")]
    QueueMismatch(usize, usize),
    /// The members of a job do not match its stage.
    #[error("{0} has members that do not match stage {1}; stop the gang as a whole")]
    StageMismatch(JobId, String),
    /// A job that may run once was started again.
    #[error("{0} may run once and was started {1} times; end it as failed instead")]
    UnexpectedRestart(JobId, u32),
    /// Two guaranteed blocks are on one accelerator.
    #[error("guaranteed blocks on {0} overlap; bind each accelerator once")]
    OverlappingBlocks(WorkerName),
    /// A guaranteed block does not have its declared shape.
    #[error("a block of {0} with {1} accelerators does not have its declared shape; bind it again")]
    BlockShapeMismatch(CustomerName, u32),
    /// A task that is not reclaimable is on a block of another customer.
    #[error("{0} is not reclaimable and is placed on a block of {1}; place it elsewhere")]
    Unreclaimable(TaskKey, CustomerName),
    /// Tasks that are not reclaimable leave too few other resources for a block.
    #[error("slots, cores or memory of {0} do not suffice for its blocks; place less there")]
    InsufficientShare(WorkerName),
    /// Members are placed although this planner is not leader.
    #[error("{0} has members although this planner is not leader; remove them with the leadership")]
    MembersWithoutLeadership(JobId),
}

/// Returns every broken invariant of a planner's state; empty if all hold.
pub fn verify_state(state: &PlannerState) -> Vec<PlannerError> {
    let mut errors = verify_ledger(&state.ledger);
    for (id, entry) in &state.jobs {
        verify_job(state, id, entry, &mut errors);
    }
    if state.policy == PlannerPolicy::Guarantees && state.is_active() && !state.plan_stale {
        verify_plan(state, &mut errors);
    }
    let queued = state
        .jobs
        .values()
        .filter(|entry| entry.stage == JobStage::Queued)
        .count();
    if queued != state.queue.len() {
        errors.push(PlannerError::QueueMismatch(queued, state.queue.len()));
    }
    errors
}

/// Returns every broken invariant of a ledger.
pub fn verify_ledger(ledger: &CapacityLedger) -> Vec<PlannerError> {
    let mut errors = Vec::new();
    for (name, capacity) in ledger.workers() {
        let is_exact = capacity.free == capacity.recounted_free()
            && capacity.spare == capacity.recounted_spare();
        if !is_exact {
            errors.push(PlannerError::Miscounted(name.clone()));
        }
        verify_grants(name, capacity, &mut errors);
        for key in capacity.holdings.keys() {
            if ledger.holders().get(key) != Some(name) {
                errors.push(PlannerError::Misindexed(key.clone()));
            }
        }
    }
    for (key, worker) in ledger.holders() {
        let is_held = ledger
            .worker(worker)
            .is_some_and(|w| w.holdings.contains_key(key));
        if !is_held {
            errors.push(PlannerError::Misindexed(key.clone()));
        }
    }
    errors
}

fn verify_grants(name: &WorkerName, capacity: &WorkerCapacity, errors: &mut Vec<PlannerError>) {
    let granted: Vec<(&TaskKey, AcceleratorSet)> = capacity
        .holdings
        .iter()
        .filter(|(_, holding)| holding.granted)
        .map(|(key, holding)| (key, holding.accelerators))
        .collect();
    for (index, (first, accelerators)) in granted.iter().enumerate() {
        for (second, others) in &granted[index + 1..] {
            if !accelerators.intersection(*others).is_empty() {
                errors.push(PlannerError::DuplicateGrant {
                    worker: name.clone(),
                    first: (*first).clone(),
                    second: (*second).clone(),
                });
            }
        }
    }
}

fn verify_job(state: &PlannerState, id: &JobId, entry: &JobEntry, errors: &mut Vec<PlannerError>) {
    if state.leadership.is_none() && !entry.members.is_empty() {
        errors.push(PlannerError::MembersWithoutLeadership(id.clone()));
    }
    if !matches_stage(entry) {
        let text = format!("{:?}", entry.stage);
        errors.push(PlannerError::StageMismatch(id.clone(), text));
    }
    let may_repeat = entry.is_idempotent() || !entry.checkpoints.is_empty();
    if entry.starts > 1 && entry.job.attempts_started <= 1 && !may_repeat {
        errors.push(PlannerError::UnexpectedRestart(id.clone(), entry.starts));
    }
    for (index, member) in entry.members.iter().enumerate() {
        let key = entry.key(index);
        let is_known = state.ledger.worker(&member.worker).is_some();
        let holder = state.ledger.holders().get(&key);
        if is_known && !member.is_over() && holder != Some(&member.worker) {
            errors.push(PlannerError::UnheldMember(key));
        }
    }
}

/// Checks that all guaranteed shapes fit at the same time into free and reclaimable
/// capacity. It recounts from the blocks and holdings alone.
fn verify_plan(state: &PlannerState, errors: &mut Vec<PlannerError>) {
    let mut bound: BTreeMap<&WorkerName, AcceleratorSet> = BTreeMap::new();
    for block in state.plan.blocks().iter().filter(|block| block.is_bound()) {
        if !is_shaped(state, block) {
            errors.push(PlannerError::BlockShapeMismatch(
                block.customer.clone(),
                block.size,
            ));
        }
        for part in &block.parts {
            let before = bound.entry(&part.worker).or_default();
            if !before.intersection(part.accelerators).is_empty() {
                errors.push(PlannerError::OverlappingBlocks(part.worker.clone()));
            }
            *before = before.union(part.accelerators);
            verify_part(state, block, &part.worker, part.accelerators, errors);
        }
    }
    for name in bound.keys() {
        let Some(capacity) = state.ledger.worker(name) else {
            continue;
        };
        if !state
            .plan
            .leaves_shares(name, &state.worker_view(capacity), None)
        {
            errors.push(PlannerError::InsufficientShare((*name).clone()));
        }
    }
}

fn verify_part(
    state: &PlannerState,
    block: &GuaranteedBlock,
    worker: &WorkerName,
    accelerators: AcceleratorSet,
    errors: &mut Vec<PlannerError>,
) {
    let holdings = state
        .ledger
        .worker(worker)
        .map(|capacity| &capacity.holdings);
    for (key, holding) in holdings.into_iter().flatten() {
        let overlaps = !holding.accelerators.intersection(accelerators).is_empty();
        let is_pinned = state
            .job_of(key)
            .is_some_and(|entry| entry.job.customer != block.customer && state.is_pinned(entry));
        if holding.granted && overlaps && is_pinned {
            errors.push(PlannerError::Unreclaimable(
                key.clone(),
                block.customer.clone(),
            ));
        }
    }
}

/// Returns whether a block has its declared size and adjacency.
fn is_shaped(state: &PlannerState, block: &GuaranteedBlock) -> bool {
    let size: u32 = block
        .parts
        .iter()
        .map(|part| part.accelerators.count())
        .sum();
    let racks: BTreeSet<Option<&RackName>> = block
        .parts
        .iter()
        .map(|part| {
            state
                .ledger
                .worker(&part.worker)
                .map(|capacity| &capacity.record.rack)
        })
        .collect();
    let is_adjacent = match block.adjacency {
        BlockAdjacency::Worker => {
            block.parts.len() == 1 && block.parts[0].accelerators.longest_run() == block.size
        }
        BlockAdjacency::Rack => racks.len() == 1,
        BlockAdjacency::Zone => true,
    };
    size == block.size && is_adjacent && !racks.contains(&None)
}

/// Returns whether the members of a job match its stage.
fn matches_stage(entry: &JobEntry) -> bool {
    let size = entry.class.as_ref().map_or(0, |class| class.tasks) as usize;
    let is_complete = entry.members.len() == size;
    let all = |states: &[MemberState]| entry.members.iter().all(|m| states.contains(&m.state));
    match &entry.stage {
        JobStage::Unsettled | JobStage::Queued | JobStage::Ending(_) => entry.members.is_empty(),
        JobStage::Reserving => is_complete && all(&[MemberState::ReserveAsked, MemberState::Held]),
        JobStage::Recording => is_complete && all(&[MemberState::Held]),
        JobStage::Starting => {
            is_complete
                && all(&[
                    MemberState::StartAsked,
                    MemberState::StartUnknown,
                    MemberState::Running,
                    MemberState::Finished,
                ])
        }
        JobStage::Running => is_complete && all(&[MemberState::Running, MemberState::Finished]),
        JobStage::Stopping(_) => is_complete,
    }
}
