//! Who holds what and whether it can be taken back: the planner's state as the
//! guarantee plan needs it, and the upkeep of that plan.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::event::TaskKey;
use crate::process::planner::gang::LAPSE_MARGIN;
use crate::process::planner::guarantee::{PinnedUse, WorkerView, ZoneView, add};
use crate::process::planner::job_entry::{JobEntry, JobStage};
use crate::process::planner::ledger::{AcceleratorSet, WorkerCapacity};
use crate::process::planner::state::PlannerState;
use crate::version::settings::{JobClass, PolicySettings};

impl PlannerState {
    /// Whether the capacity of a class's tasks can be taken back in time without
    /// running anything twice that may run once.
    pub(super) fn is_reclaimable(&self, class: &JobClass) -> bool {
        class.idempotent
            || (class.checkpoint && !checkpoint_timeout(&self.settings.policy).is_zero())
    }

    /// The job that a holding belongs to, unless it is a stray.
    pub(super) fn job_of(&self, key: &TaskKey) -> Option<&JobEntry> {
        let entry = self.jobs.get(&key.job)?;
        entry.member_index(key).map(|_| entry)
    }

    /// Whether a holding stays until its job ends by itself.
    pub(super) fn is_pinned(&self, entry: &JobEntry) -> bool {
        let is_reclaimable = entry
            .class
            .as_ref()
            .is_none_or(|class| self.is_reclaimable(class));
        !is_reclaimable && !matches!(entry.stage, JobStage::Stopping(_))
    }

    /// A worker as the guarantee plan sees it.
    pub(super) fn worker_view(&self, capacity: &WorkerCapacity) -> WorkerView {
        let mut view = WorkerView {
            rack: capacity.record.rack.clone(),
            total: capacity.total(),
            pinned: BTreeMap::new(),
            held: BTreeMap::new(),
        };
        for (key, holding) in &capacity.holdings {
            let Some(entry) = self.job_of(key) else {
                continue;
            };
            let customer = &entry.job.customer;
            let held: &mut AcceleratorSet = view.held.entry(customer.clone()).or_default();
            *held = held.union(holding.accelerators);
            if self.is_pinned(entry) {
                let pinned: &mut PinnedUse = view.pinned.entry(customer.clone()).or_default();
                pinned.accelerators = pinned.accelerators.union(holding.accelerators);
                pinned.demand = add(pinned.demand, holding.demand);
            }
        }
        view
    }

    /// All workers that guaranteed blocks may be on.
    pub(super) fn zone_view(&self) -> ZoneView {
        let stays = |name: &WorkerName| {
            self.workers
                .get(name)
                .is_some_and(|entry| !entry.removed && !entry.leaving)
        };
        self.ledger
            .workers()
            .iter()
            .filter(|(name, _)| stays(name))
            .map(|(name, capacity)| (name.clone(), self.worker_view(capacity)))
            .collect()
    }

    /// Brings the guarantee plan in line with workers, settings and pinned work.
    pub(super) fn repair_plan(&mut self) {
        let view = self.zone_view();
        self.plan.repair(&view);
    }

    /// Whether a grant leaves all guarantees in place, if need be at other places.
    /// Only work that cannot be taken back can do harm.
    pub(super) fn keeps_guarantees(&mut self, task: &TaskKey) -> bool {
        let Some(entry) = self.job_of(task) else {
            return true;
        };
        if !self.is_pinned(entry) {
            return true;
        }
        let customer = entry.job.customer.clone();
        let (Some(worker), Some(holding)) =
            (self.ledger.holders().get(task), self.ledger.holding(task))
        else {
            return true;
        };
        let others = self.plan.owned_by_others(worker, &customer);
        let is_clear = holding.accelerators.intersection(others).is_empty();
        let has_shares = self.ledger.worker(worker).is_none_or(|capacity| {
            self.plan
                .leaves_shares(worker, &self.worker_view(capacity), None)
        });
        if is_clear && has_shares {
            return true;
        }
        let mut trial = self.plan.clone();
        trial.repair(&self.zone_view());
        let keeps = trial.unbound() <= self.plan.unbound();
        if keeps {
            self.plan = trial;
        }
        keeps
    }

    /// Resources that a customer holds in the zone, and those it is guaranteed.
    pub(super) fn customer_use(&self, customer: &CustomerName) -> TaskDemand {
        self.used.get(customer).copied().unwrap_or_default()
    }
}

/// Longest time a task may take to save its state while its capacity is reclaimed.
/// After it the task is stopped, and a silent worker's lease lapses in time.
pub fn checkpoint_timeout(policy: &PolicySettings) -> Duration {
    policy
        .reclaim_bound
        .saturating_sub(policy.task_lease + LAPSE_MARGIN)
}
