//! State of all workers of a zone, independent of the planner's own records.

use flamingowalk_core::prelude::*;
use flamingowalk_wire::target::{TaskState, TaskStatus};

use super::fragmentation::{WorkerOccupancy, measure_fragmentation};
use super::job_outcome::ZoneSample;
use super::virtual_worker::VirtualWorker;

/// Attempt of a job whose members run on several workers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct GangAttempt {
    /// Job identifier.
    pub job: String,
    /// Number of the attempt.
    pub attempt: u32,
}

/// State of the workers of a zone at one time.
#[derive(Clone, Debug)]
pub(super) struct ZoneView {
    /// Capacity and usage.
    pub sample: ZoneSample,
    /// Gangs of which some members run, and others neither run nor have finished.
    pub partial: BTreeSet<GangAttempt>,
}

/// Returns the state of all workers that are up.
pub(super) fn inspect_zone(
    now: MonotonicTime,
    workers: &mut BTreeMap<WorkerName, VirtualWorker>,
) -> ZoneView {
    let mut occupancies = Vec::new();
    let mut gangs: BTreeMap<GangAttempt, MemberCount> = BTreeMap::new();
    for worker in workers.values_mut().filter(|worker| worker.is_up) {
        let tasks = worker.statuses(now);
        for task in &tasks {
            count_member(task, &mut gangs);
        }
        occupancies.push(occupancy_of(worker, &tasks));
    }
    let incomplete = gangs.into_iter().filter(|(_, count)| count.is_partial());
    ZoneView {
        sample: measure_fragmentation(&occupancies),
        partial: incomplete.map(|(gang, _)| gang).collect(),
    }
}

/// Number of members of an attempt by state.
#[derive(Clone, Copy, Debug, Default)]
struct MemberCount {
    running: u32,
    finished: u32,
    members: u32,
}

impl MemberCount {
    fn is_partial(self) -> bool {
        self.running > 0 && self.running + self.finished < self.members
    }
}

fn count_member(task: &TaskStatus, gangs: &mut BTreeMap<GangAttempt, MemberCount>) {
    let Some(payload) = &task.payload else {
        return;
    };
    let gang = GangAttempt {
        job: payload.job_id.clone(),
        attempt: payload.attempt,
    };
    let count = gangs.entry(gang).or_default();
    count.members = payload.members;
    count.running += u32::from(task.state == TaskState::Running);
    count.finished += u32::from(task.state == TaskState::Finished);
}

fn occupancy_of(worker: &VirtualWorker, tasks: &[TaskStatus]) -> WorkerOccupancy {
    let running = tasks.iter().filter(|task| task.state == TaskState::Running);
    let record = worker.record();
    WorkerOccupancy {
        rack: record.rack.to_string(),
        total: record.accelerators,
        running: running.map(|task| task.accelerators.len() as u32).sum(),
        held: tasks
            .iter()
            .flat_map(|task| task.accelerators.clone())
            .collect(),
    }
}
