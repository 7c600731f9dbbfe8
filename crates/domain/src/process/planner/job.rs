//! A job as the planner sees it: occurrences, their steps, and the groups of each
//! step, with where the newest run of each group is.

use crate::prelude::*;
use crate::process::planner::speed::MemberProgress;
use crate::process::record::{AcceptedJob, GroupRecord, GroupStage, MemberPlace};
use crate::request::submission::StepShape;

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct PlanJob {
    /// Identifier.
    pub key: JobKey,
    /// What was accepted.
    pub accepted: Arc<AcceptedJob>,
    /// When it was accepted, by this host's clock.
    pub accepted_at: MonotonicTime,
    /// Occurrences that are due and not all done, and those before it knows of.
    pub occurrences: BTreeMap<u32, PlanOccurrence>,
    /// Occurrences of which every group is done.
    pub done_occurrences: u32,
    /// Lowest occurrence that was not opened.
    pub next_occurrence: u32,
    /// Whether its units are being stopped for good.
    pub is_closing: bool,
}

/// One run through the steps of a job.
#[derive(Clone, Debug)]
pub struct PlanOccurrence {
    /// When it was due, by this host's clock.
    pub due_at: MonotonicTime,
    /// Steps in order.
    pub steps: Vec<PlanStep>,
}

/// One step of an occurrence.
#[derive(Clone, Debug)]
pub struct PlanStep {
    /// Groups in order of their units.
    pub groups: Vec<PlanGroup>,
    /// Number of groups that are done.
    pub done: usize,
}

/// A group of units.
#[derive(Clone, Debug, Default)]
pub struct PlanGroup {
    /// Newest run; zero before the first.
    pub run: RunNumber,
    /// Runs that ended as failed.
    pub failures: u16,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
    /// How far it is.
    pub phase: GroupPhase,
    /// Members of the newest run in order of their units. Empty before the first run
    /// and once all of them are gone.
    pub members: Vec<PlanMember>,
    /// No start before.
    pub not_before: MonotonicTime,
    /// When the newest run's start was sent.
    pub started_at: MonotonicTime,
    /// Whether the newest run began from the start and was seen to, so that its time
    /// teaches how long such runs take.
    pub is_whole_run: bool,
    /// Workers that failed it, to be avoided while others have room.
    pub failed_on: Vec<WorkerName>,
}

/// How far a group is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GroupPhase {
    /// Waits for its step's turn, or for room.
    #[default]
    Waiting,
    /// Its start is being recorded.
    Recording,
    /// Its start was recorded; its members start or run.
    Active,
    /// Its members are being stopped; it waits again once they are gone.
    Stopping,
    /// Done. Members may still occupy their workers until these say otherwise.
    Done,
}

/// One member of a group's newest run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanMember {
    /// Worker.
    pub worker: WorkerName,
    /// Life of the worker.
    pub incarnation: WorkerIncarnation,
    /// How far it is.
    pub stage: MemberStage,
    /// Its progress as its worker lists it.
    pub progress: MemberProgress,
}

/// How far a member is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberStage {
    /// Its start is being recorded.
    Recording,
    /// Its start was sent and not answered.
    Starting,
    /// It was started at this time or before: a listing asked for later shows it.
    Running(MonotonicTime),
    /// It has to be stopped; the order is to be sent, or was not answered.
    Stopping,
    /// Its stop was answered at this time: a listing asked for later shows its end,
    /// or that it is not there.
    Stopped(MonotonicTime),
    /// It occupies nothing.
    Released,
}

impl MemberStage {
    /// Whether it may occupy its worker.
    pub const fn is_held(self) -> bool {
        !matches!(self, Self::Released)
    }
}

impl PlanOccurrence {
    /// An occurrence of which nothing has started.
    pub fn new(accepted: &AcceptedJob, due_at: MonotonicTime) -> Self {
        let steps = accepted.submission.steps.iter();
        let steps = steps.map(PlanStep::new).collect();
        Self { due_at, steps }
    }

    /// Whether all groups of all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(PlanStep::is_done)
    }

    /// Whether all steps before a step are done.
    pub fn is_open(&self, shape: &StepShape) -> bool {
        let is_done = |before: &u16| {
            let step = self.steps.get(usize::from(*before));
            step.is_none_or(PlanStep::is_done)
        };
        shape.after.iter().all(is_done)
    }
}

impl PlanStep {
    fn new(shape: &StepShape) -> Self {
        let groups = if shape.is_gang { 1 } else { shape.count };
        Self {
            groups: vec![PlanGroup::default(); usize::from(groups)],
            done: 0,
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

    /// What the log has to say of it.
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
        let places = places.map(|member| MemberPlace(member.worker.clone(), member.incarnation));
        GroupRecord {
            run: self.run,
            failures: self.failures,
            stage,
            places: places.collect(),
            saved: self.saved.clone(),
        }
    }
}

impl PlanJob {
    /// A job of which nothing has started.
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

    /// Shape of a step.
    pub fn shape(&self, step: u16) -> Option<&StepShape> {
        self.accepted.submission.steps.get(usize::from(step))
    }

    /// A group, if its occurrence is open.
    pub fn group(&self, key: &GroupKey) -> Option<&PlanGroup> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        step.groups.get(usize::from(key.index.unwrap_or(0)))
    }

    /// A group, if its occurrence is open.
    pub fn group_mut(&mut self, key: &GroupKey) -> Option<&mut PlanGroup> {
        let occurrence = self.occurrences.get_mut(&key.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(key.step))?;
        step.groups.get_mut(usize::from(key.index.unwrap_or(0)))
    }

    /// The group of a unit, and its place among the members.
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

    /// Keys of all groups of the open occurrences.
    pub fn group_keys(&self) -> Vec<GroupKey> {
        let mut keys = Vec::new();
        for number in self.occurrences.keys() {
            for (step, shape) in self.accepted.submission.steps.iter().enumerate() {
                keys.extend(shape.groups(self.key, *number, step as u16));
            }
        }
        keys
    }

    /// Whether some member may occupy a worker.
    pub fn is_held(&self) -> bool {
        self.occurrences.values().any(|occurrence| {
            let mut groups = occurrence.steps.iter().flat_map(|step| &step.groups);
            groups.any(PlanGroup::is_held)
        })
    }

    /// Whether every occurrence is done.
    pub fn is_done(&self) -> bool {
        !self.accepted.submission.is_long_running()
            && self.done_occurrences == self.accepted.submission.occurrences()
    }
}
