//! The planner's state of a job: its occurrences, their steps, and the groups of each
//! step with the workers of their newest run.

use crate::prelude::*;
use crate::process::planner::objectives::StartForecast;
use crate::process::planner::speed::MemberProgress;
use crate::process::planner::worker_figures::StepPace;
use crate::process::record::{AcceptedJob, GroupRecord, GroupStage, MemberPlace};
use crate::request::submission::StepShape;

/// Number of groups of a job from which no further occurrence is opened before one is done;
/// bounds the memory and the time of passes that a schedule in the past costs.
const MAX_OPEN_GROUPS_PER_JOB: usize = 5_000;

/// A job that has not ended, or whose units still occupy workers.
#[derive(Clone, Debug)]
pub struct PlanJob {
    /// Identifier.
    pub key: JobKey,
    /// Submission and settings with which the job was accepted.
    pub accepted: Arc<AcceptedJob>,
    /// When it was accepted, by this host's monotonic clock.
    pub accepted_at: MonotonicTime,
    /// Occurrences that were opened or are in the log, by number.
    pub occurrences: BTreeMap<u32, PlanOccurrence>,
    /// Number of occurrences in which every group is done.
    pub done_occurrences: u32,
    /// Number of the next occurrence to open.
    pub next_occurrence: u32,
    /// Whether the job has ended or was cancelled and waits for its units to release their
    /// workers.
    pub is_closing: bool,
}

/// One run through the steps of a job.
#[derive(Clone, Debug)]
pub struct PlanOccurrence {
    /// When it was due, by this host's monotonic clock.
    pub due_at: MonotonicTime,
    /// Steps in order.
    pub steps: Vec<PlanStep>,
    /// What was expected when its groups started; `None` before the first start by this
    /// planner.
    pub forecast: Option<StartForecast>,
}

/// One step of an occurrence.
#[derive(Clone, Debug)]
pub struct PlanStep {
    /// Groups in order of their units.
    pub groups: Vec<PlanGroup>,
    /// Number of groups that are done.
    pub done: usize,
    /// Expected run time of its units by the runs that were measured; `None` before the first.
    pub pace: Option<StepPace>,
}

/// A group of units.
#[derive(Clone, Debug, Default)]
pub struct PlanGroup {
    /// Newest run; zero before the first.
    pub run: RunNumber,
    /// Number of runs that ended as failed; not kept for long-running steps, which have no
    /// limit.
    pub failures: u16,
    /// These runs, so that each counts once: several members may fail, and an end is listed
    /// to the next planner again if it was not acknowledged.
    pub failed_runs: BTreeSet<RunNumber>,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
    /// Progress through starting, running and stopping.
    pub phase: GroupPhase,
    /// Members of the newest run in order of their units. Empty before the first run
    /// and once a stopped run was released.
    pub members: Vec<PlanMember>,
    /// The group is not started again before this time, a moment after its newest stop.
    pub not_before: MonotonicTime,
    /// When a lease of the newest run expired without word of its end.
    pub lost_at: Option<MonotonicTime>,
    /// When the start of the newest run was sent.
    pub started_at: MonotonicTime,
    /// Whether this planner started the newest run, and without a checkpoint, so that its
    /// duration is a sample for the estimates.
    pub is_full_run: bool,
    /// Whether its previous run was stopped since it was long; it is not stopped for that again.
    pub was_long: bool,
    /// Number of runs that were moved since they seemed to stall.
    pub stalls: u32,
    /// Workers that the group avoids after failures. A preference only once `avoids_until` has
    /// passed, or if the others are too few for the group.
    pub failed_on: Vec<WorkerName>,
    /// Time before which the group rather waits than starts on a worker that it avoids.
    pub avoids_until: MonotonicTime,
}

/// Phase of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GroupPhase {
    /// Waits for the steps before its own, or for free capacity.
    #[default]
    Waiting,
    /// Its start is being recorded.
    Recording,
    /// Its start was recorded and sent; its members are starting or running.
    Active,
    /// Its members are being stopped; it waits again once all are released.
    Stopping,
    /// Done. Its members may occupy their workers until these report their ends.
    Done,
}

/// One member of a group's newest run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanMember {
    /// Worker.
    pub worker: WorkerName,
    /// Newest known incarnation of the worker that may have received the start. Orders name
    /// the worker only, so any later one may have received it as well.
    pub incarnation: WorkerIncarnation,
    /// Incarnation that listed the run. The run ends with it, and before it was listed no
    /// incarnation's end proves that the run has ended.
    pub listed_by: Option<WorkerIncarnation>,
    /// Whether its worker has answered the start or has listed the run. A start without an
    /// answer may be carried out later.
    pub is_start_answered: bool,
    /// Whether an earlier planner started it. An incarnation that has answered this planner
    /// refuses that start, so that a listing without the run is conclusive.
    pub is_inherited: bool,
    /// Progress through starting, running and stopping.
    pub stage: MemberStage,
    /// Progress of its work as its worker lists it.
    pub progress: MemberProgress,
}

/// Stage of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberStage {
    /// Its start is being recorded.
    Recording,
    /// Its start was sent and not answered.
    Starting,
    /// It was started at this time or before: a listing requested later contains it.
    Running(MonotonicTime),
    /// It has to be stopped; the order is not sent yet, or not answered.
    Stopping,
    /// Its stop was answered at this time: a listing requested later shows its end, or
    /// that it does not run.
    Stopped(MonotonicTime),
    /// It no longer occupies its worker.
    Released,
}

impl MemberStage {
    /// Whether the member may occupy its worker.
    pub const fn is_held(self) -> bool {
        !matches!(self, Self::Released)
    }
}

impl PlanOccurrence {
    /// Creates an occurrence without any started group.
    pub fn new(accepted: &AcceptedJob, due_at: MonotonicTime) -> Self {
        let steps = accepted.submission.steps.iter();
        let steps = steps.map(PlanStep::new).collect();
        Self {
            due_at,
            steps,
            forecast: None,
        }
    }

    /// Whether all groups of all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(PlanStep::is_done)
    }

    /// Whether all steps that a step depends on are done.
    pub fn is_step_ready(&self, shape: &StepShape) -> bool {
        let is_done = |before: &u16| {
            let step = self.steps.get(usize::from(*before));
            step.is_none_or(PlanStep::is_done)
        };
        shape.after.iter().all(is_done)
    }
}

impl PlanStep {
    fn new(shape: &StepShape) -> Self {
        Self {
            groups: vec![PlanGroup::default(); group_count(shape)],
            done: 0,
            pace: None,
        }
    }

    /// Whether all groups are done.
    pub const fn is_done(&self) -> bool {
        self.done == self.groups.len()
    }
}

impl PlanGroup {
    /// Whether a member may occupy its worker.
    pub fn is_held(&self) -> bool {
        self.members.iter().any(|member| member.stage.is_held())
    }

    /// Returns the record of the group for the log.
    pub fn record(&self) -> GroupRecord {
        let stage = match self.phase {
            GroupPhase::Done => GroupStage::Done,
            GroupPhase::Waiting => GroupStage::Waiting,
            GroupPhase::Recording | GroupPhase::Active | GroupPhase::Stopping => {
                GroupStage::Started
            }
        };
        let has_places = stage == GroupStage::Started;
        let places = self.members.iter().filter(|_| has_places);
        let released = (0..).zip(places.clone());
        let released = released.filter(|(_, member)| !member.stage.is_held());
        let released = released.map(|(index, _)| index).collect();
        let places = places.map(|member| MemberPlace(member.worker.clone(), member.incarnation));
        GroupRecord {
            run: self.run,
            failures: self.failures,
            failed_runs: self.failed_runs.clone(),
            stage,
            places: places.collect(),
            saved: self.saved.clone(),
            released,
        }
    }
}

impl PlanJob {
    /// Creates a job without any started group.
    pub const fn new(key: JobKey, accepted: Arc<AcceptedJob>, accepted_at: MonotonicTime) -> Self {
        Self {
            key,
            accepted,
            accepted_at,
            occurrences: BTreeMap::new(),
            done_occurrences: 0,
            next_occurrence: 0,
            is_closing: false,
        }
    }

    /// Returns the shape of a step.
    pub fn shape(&self, step: u16) -> Option<&StepShape> {
        self.accepted.submission.steps.get(usize::from(step))
    }

    /// Returns a group, or `None` if its occurrence is not open.
    pub fn group(&self, key: &GroupKey) -> Option<&PlanGroup> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        step.groups.get(usize::from(key.index.unwrap_or(0)))
    }

    /// Returns a mutable reference to a group, or `None` if its occurrence is not open.
    pub fn group_mut(&mut self, key: &GroupKey) -> Option<&mut PlanGroup> {
        let occurrence = self.occurrences.get_mut(&key.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(key.step))?;
        step.groups.get_mut(usize::from(key.index.unwrap_or(0)))
    }

    /// Returns the group of a unit and the unit's index among its members.
    pub fn locate(&self, unit: &UnitKey) -> Option<(GroupKey, usize)> {
        let shape = self.shape(unit.step)?;
        let key = GroupKey {
            job: unit.job,
            occurrence: unit.occurrence,
            step: unit.step,
            index: (!shape.is_gang).then_some(unit.index),
        };
        let member = if shape.is_gang {
            usize::from(unit.index)
        } else {
            0
        };
        Some((key, member))
    }

    /// Returns the keys of all groups of the open occurrences.
    pub fn group_keys(&self) -> Vec<GroupKey> {
        let mut keys = Vec::new();
        for number in self.occurrences.keys() {
            for (step, shape) in self.accepted.submission.steps.iter().enumerate() {
                keys.extend(shape.groups(self.key, *number, step as u16));
            }
        }
        keys
    }

    /// Returns all groups of the open occurrences.
    pub fn groups(&self) -> impl Iterator<Item = (GroupKey, &PlanGroup)> {
        self.occurrences
            .iter()
            .flat_map(move |(number, occurrence)| {
                let steps = occurrence.steps.iter().enumerate();
                steps.flat_map(move |(step, plan_step)| {
                    let is_gang = self.shape(step as u16).is_some_and(|shape| shape.is_gang);
                    let groups = plan_step.groups.iter().enumerate();
                    groups.map(move |(index, group)| {
                        let key = GroupKey {
                            job: self.key,
                            occurrence: *number,
                            step: step as u16,
                            index: (!is_gang).then_some(index as u16),
                        };
                        (key, group)
                    })
                })
            })
    }

    /// Whether any member of the job may occupy a worker.
    pub fn is_held(&self) -> bool {
        // Stops are sent and listed in the order of the units, so the last groups are held for
        // longest. From the front, a cancelled job of 5,000 groups took seconds.
        self.occurrences.values().rev().any(|occurrence| {
            let mut steps = occurrence.steps.iter().rev();
            steps.any(|step| step.groups.iter().rev().any(PlanGroup::is_held))
        })
    }

    /// Whether another occurrence may be opened, besides those that are open and not done.
    pub fn may_open_occurrence(&self) -> bool {
        let open = self.next_occurrence.saturating_sub(self.done_occurrences);
        let groups: usize = self.accepted.submission.steps.iter().map(group_count).sum();
        open == 0 || (open as usize).saturating_mul(groups) < MAX_OPEN_GROUPS_PER_JOB
    }

    /// Whether every occurrence is done; never true for a long-running job.
    pub fn is_done(&self) -> bool {
        !self.accepted.submission.is_long_running()
            && self.done_occurrences == self.accepted.submission.occurrences()
    }
}

/// Returns the number of groups of a step in each occurrence.
fn group_count(shape: &StepShape) -> usize {
    let groups = if shape.is_gang { 1 } else { shape.count };
    usize::from(groups)
}
