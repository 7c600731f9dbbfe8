//! Rules for units that share a worker. Fillers, which use idle processor time, slow
//! down units that serve users by an unpredictable amount, so the two never share a
//! worker, and fillers are stopped for serving units. A long-running step sets how many
//! of its units may be unavailable through planned work, and no more are stopped.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, MemberStage, PlanGroup, PlanJob, PlanStep};
use crate::process::planner::worker::{PlanWorker, PlanWorkers};
use crate::request::submission::StepShape;

/// Percentage that a worker lists for a long-running unit that is in service.
const IN_SERVICE_PERCENT: u32 = 100;

/// Class of a unit for the sharing of workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnitShare {
    /// Neither serving nor filler; shares a worker with any unit.
    Ordinary,
    /// Serves its own users with a bound on response times.
    Serving,
    /// Uses the processor time that other units leave idle.
    Filler {
        /// Processor time that it can use, in thousandths of a core.
        cpu_millis: u64,
    },
}

/// Units on a worker that limit which other units may share it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharedUse {
    /// Number of units that serve users.
    pub serving: u32,
    /// Number of fillers.
    pub fillers: u32,
    /// Processor time that the fillers can use together, in thousandths of a core.
    pub filler_cpu_millis: u64,
}

impl UnitShare {
    /// Returns the class of the units of a step.
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
    /// Counts the units on a worker, and those that the claims of groups other than `group`
    /// will bring.
    pub fn of(worker: &PlanWorker, group: Option<&GroupKey>) -> Self {
        let mut shared = Self::claimed(worker, group);
        for holding in worker.holdings.values() {
            shared.add(holding.share);
        }
        shared
    }

    /// Counts the units that the claims of groups other than `group` will bring.
    pub fn claimed(worker: &PlanWorker, group: Option<&GroupKey>) -> Self {
        let mut shared = Self::default();
        for (_, claimed) in worker.claimed_except(group) {
            for _ in 0..claimed.count {
                shared.add(claimed.share);
            }
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
                self.filler_cpu_millis = self.filler_cpu_millis.saturating_add(cpu_millis);
            }
        }
    }

    /// Whether a unit may share the worker with these units.
    pub const fn admits(&self, share: UnitShare) -> bool {
        match share {
            UnitShare::Ordinary => true,
            UnitShare::Serving => self.fillers == 0,
            UnitShare::Filler { .. } => self.serving == 0,
        }
    }

    /// Returns how many units of a class may join, at most `max_units`. Fillers are admitted
    /// only until together they can use all processor time of the worker.
    pub fn slots(&self, share: UnitShare, cpu_capacity: u64, max_units: u32) -> u32 {
        if !self.admits(share) {
            return 0;
        }
        let UnitShare::Filler { cpu_millis } = share else {
            return max_units;
        };
        let left = cpu_capacity.saturating_sub(self.filler_cpu_millis);
        let fitting = left.checked_div(cpu_millis);
        fitting.map_or(max_units, |fitting| {
            u32::try_from(fitting).unwrap_or(max_units).min(max_units)
        })
    }
}

impl PlanJob {
    /// Whether stopping the group leaves enough units of its step in service, if no other
    /// group is stopped with it.
    pub(super) fn may_stop_alone(&self, key: &GroupKey, workers: &PlanWorkers) -> bool {
        self.remaining_disruptions(key, workers)
            .is_none_or(|remaining| remaining > 0)
    }

    /// Whether stopping the group leaves enough units of its step in service. This holds
    /// only for the first groups in service, as many as may still become unavailable, so
    /// that any number of them can be chosen at once.
    pub(super) fn may_stop(&self, key: &GroupKey, workers: &PlanWorkers) -> bool {
        let Some(remaining) = self.remaining_disruptions(key, workers) else {
            return true;
        };
        let Some((step, index)) = self.plan_step(key).zip(key.index) else {
            return false;
        };
        let preceding = step.groups.iter().take(usize::from(index));
        let in_service = preceding.filter(|group| is_in_service(group, workers));
        in_service.count() < remaining
    }

    /// Returns how many further units of a step may become unavailable, or `None` if the
    /// step sets no limit.
    fn remaining_disruptions(&self, key: &GroupKey, workers: &PlanWorkers) -> Option<usize> {
        let limit = self.shape(key.step).and_then(|shape| shape.may_miss)?;
        let groups = self.plan_step(key).map(|step| step.groups.iter());
        let unavailable = groups
            .into_iter()
            .flatten()
            .filter(|group| !is_in_service(group, workers));
        Some(usize::from(limit).saturating_sub(unavailable.count()))
    }

    fn plan_step(&self, key: &GroupKey) -> Option<&PlanStep> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(usize::from(key.step))
    }
}

/// Whether a group is at work, as far as is known. A unit on a worker that does not answer or
/// is no longer listed may be lost already, long before its run counts as ended.
fn is_in_service(group: &PlanGroup, workers: &PlanWorkers) -> bool {
    let is_running = |stage: MemberStage| matches!(stage, MemberStage::Running(_));
    let is_answering = |name: &WorkerName| {
        let worker = workers.get(name);
        worker.is_some_and(|worker| worker.is_listed && worker.link.failures == 0)
    };
    group.phase == GroupPhase::Active
        && group.members.iter().all(|member| {
            is_running(member.stage)
                && member.progress.percent >= IN_SERVICE_PERCENT
                && is_answering(&member.worker)
        })
}
