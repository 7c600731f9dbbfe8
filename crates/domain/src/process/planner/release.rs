//! Keeps what the log shows of running groups within the capacity of the workers. A run that was
//! stopped stays recorded as started, since its group usually starts again soon and is recorded
//! then. Its new state is recorded once other units use its capacity, in the append of their
//! start: a successor would hold both.

use crate::prelude::*;
use crate::process::planner::job::GroupPhase;
use crate::process::planner::state::PlannerState;
use crate::process::record::JobRecord;

/// Groups with members that were released on a worker, and whose record still has these
/// members there.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseNotes {
    /// Runs by worker. An entry is removed with the next start on the worker, or with its job.
    runs: BTreeMap<WorkerName, BTreeMap<GroupKey, RunNumber>>,
}

impl ReleaseNotes {
    /// Notes that a member of a run no longer occupies its worker.
    pub(super) fn insert(&mut self, name: &WorkerName, key: GroupKey, run: RunNumber) {
        let runs = self.runs.entry(name.clone()).or_default();
        runs.insert(key, run);
    }

    /// Removes the notes of a group on these workers, after its state was recorded.
    pub(super) fn remove<'a>(
        &mut self,
        names: impl Iterator<Item = &'a WorkerName>,
        key: &GroupKey,
    ) {
        for name in names {
            if let Some(runs) = self.runs.get_mut(name) {
                runs.remove(key);
            }
        }
    }

    /// Removes the notes of a job.
    pub(super) fn remove_job(&mut self, key: JobKey) {
        self.runs.retain(|_, runs| {
            runs.retain(|group, _| group.job != key);
            !runs.is_empty()
        });
    }
}

impl PlannerState {
    /// Records the groups whose capacity on a worker is used again by a start that is recorded
    /// now. A group whose start may be carried out late keeps its record, by which a successor
    /// allows for that run, as long as it could not be started elsewhere itself.
    pub(super) fn record_releases(&mut self, now: MonotonicTime, name: &WorkerName) {
        let Some(runs) = self.releases.runs.remove(name) else {
            return;
        };
        for (key, run) in runs {
            let job = self.jobs.get(&key.job).filter(|job| !job.is_closing);
            let group = job.and_then(|job| job.group(&key));
            let group = group.filter(|group| {
                let is_stopped = matches!(group.phase, GroupPhase::Stopping | GroupPhase::Waiting);
                is_stopped && group.run == run
            });
            let Some(group) = group else {
                continue;
            };
            if self.has_uncertain_start(now, &key) {
                self.releases.insert(name, key, run);
                continue;
            }
            let record = group.record();
            self.writer.push(&JobRecord::Group(key, record), None);
        }
    }
}
