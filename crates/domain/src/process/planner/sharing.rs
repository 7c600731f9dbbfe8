//! Who may share a worker. Answers units that serve users beside units that fill idle
//! processor time: fillers disturb serving units by amounts that nobody knows in
//! advance, so the two never share a worker; fillers give way. A long-running step
//! says how many of its units may be away by planned work, and no more are stopped.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanGroup, PlanJob, PlanStep};
use crate::process::planner::worker::PlanWorker;
use crate::request::submission::StepShape;

/// Percentage that a worker lists for a long-running unit that is at work.
const AT_WORK_PERCENT: u32 = 100;

/// How a unit shares its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnitShare {
    /// Neither of the others.
    Ordinary,
    /// Serves users of its own, with a bound on their response times.
    Serving,
    /// Uses the processor time that others leave.
    Filler {
        /// Thousandths of a core that it can use.
        cpu_millis: u64,
    },
}

/// Units on a worker that not every other unit may join.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharedUse {
    /// Units that serve users.
    pub serving: u32,
    /// Units that fill.
    pub fillers: u32,
    /// Thousandths of a core that the fillers can use together.
    pub filler_cpu_millis: u64,
}

impl UnitShare {
    /// How the units of a step share.
    pub const fn of(shape: &StepShape) -> Self {
        if shape.is_filler {
            Self::Filler {
                cpu_millis: shape.demand.cpu_millis,
            }
        } else if shape.tail_target_ms.is_some() {
            Self::Serving
        } else {
            Self::Ordinary
        }
    }
}

impl SharedUse {
    /// Counts the units on a worker.
    pub fn of(worker: &PlanWorker) -> Self {
        let mut shared = Self::default();
        for holding in worker.holdings.values() {
            shared.add(holding.share);
        }
        shared
    }

    /// Counts one more unit.
    pub const fn add(&mut self, share: UnitShare) {
        match share {
            UnitShare::Ordinary => {}
            UnitShare::Serving => self.serving += 1,
            UnitShare::Filler { cpu_millis } => {
                self.fillers += 1;
                self.filler_cpu_millis += cpu_millis;
            }
        }
    }

    /// Whether a unit may join these.
    pub const fn admits(&self, share: UnitShare) -> bool {
        match share {
            UnitShare::Ordinary => true,
            UnitShare::Serving => self.fillers == 0,
            UnitShare::Filler { .. } => self.serving == 0,
        }
    }

    /// How many units of this kind may join; at most `most`. Fillers share one
    /// worker's processor time only until they could use all of it.
    pub fn slots(&self, share: UnitShare, cpu_capacity: u64, most: u32) -> u32 {
        if !self.admits(share) {
            return 0;
        }
        let UnitShare::Filler { cpu_millis } = share else {
            return most;
        };
        let left = cpu_capacity.saturating_sub(self.filler_cpu_millis);
        let fitting = left.checked_div(cpu_millis);
        fitting.map_or(most, |fitting| {
            u32::try_from(fitting).unwrap_or(most).min(most)
        })
    }
}

impl PlanJob {
    /// Whether stopping the group leaves enough of its step at work, if no other is
    /// stopped with it.
    pub(super) fn may_stop_alone(&self, key: &GroupKey) -> bool {
        self.spare_units(key).is_none_or(|spare| spare > 0)
    }

    /// Whether stopping the group leaves enough of its step at work. Only the first
    /// groups at work may be stopped, as many as may still be away, so that any number
    /// of them can be chosen at once.
    pub(super) fn may_stop(&self, key: &GroupKey) -> bool {
        let Some(spare) = self.spare_units(key) else {
            return true;
        };
        let Some((step, index)) = self.limited_step(key).zip(key.index) else {
            return false;
        };
        let before = step.groups.iter().take(usize::from(index));
        before.filter(|group| is_at_work(group)).count() < spare
    }

    /// Further units of a step that may be away; nothing if the step sets no limit.
    fn spare_units(&self, key: &GroupKey) -> Option<usize> {
        let limit = self.shape(key.step).and_then(|shape| shape.may_miss)?;
        let groups = self.limited_step(key).map(|step| step.groups.iter());
        let away = groups
            .into_iter()
            .flatten()
            .filter(|group| !is_at_work(group));
        Some(usize::from(limit).saturating_sub(away.count()))
    }

    fn limited_step(&self, key: &GroupKey) -> Option<&PlanStep> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(usize::from(key.step))
    }
}

fn is_at_work(group: &PlanGroup) -> bool {
    let is_working = |stage: MemberStage| matches!(stage, MemberStage::Running(_));
    group.phase == GroupPhase::Active
        && group
            .members
            .iter()
            .all(|member| is_working(member.stage) && member.progress.percent >= AT_WORK_PERCENT)
}
