//! Which job holds which resources, and whether they can be reclaimed: the view of
//! the planner's state on which the guarantee plan is based, and the repair of that
//! plan.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::event::TaskKey;
use crate::process::planner::gang::LEASE_EXPIRY_MARGIN;
use crate::process::planner::guarantee::{PinnedUse, WorkerView, ZoneView, add};
use crate::process::planner::job_entry::{JobEntry, JobStage};
use crate::process::planner::ledger::{AcceleratorSet, WorkerCapacity};
use crate::process::planner::state::PlannerState;
use crate::version::settings::{JobClass, PolicySettings};

impl PlannerState {
    /// Whether the capacity of a class's tasks can be reclaimed in time without running
    /// a job twice that may run only once.
    pub(super) fn is_reclaimable(&self, class: &JobClass) -> bool {
        class.idempotent
            || (class.checkpoint && !checkpoint_timeout(&self.settings.policy).is_zero())
    }

    /// Returns the job that a holding belongs to, or `None` if the task is unrecorded.
    pub(super) fn job_of(&self, key: &TaskKey) -> Option<&JobEntry> {
        let entry = self.jobs.get(&key.job)?;
        entry.member_index(key).map(|_| entry)
    }

    /// Whether a job's resources stay held until the job ends by itself, since they
    /// cannot be reclaimed.
    pub(super) fn is_pinned(&self, entry: &JobEntry) -> bool {
        let is_reclaimable = entry
            .class
            .as_ref()
            .is_none_or(|class| self.is_reclaimable(class));
        !is_reclaimable && !matches!(entry.stage, JobStage::Stopping(_))
    }

    /// Returns the view of a worker that the guarantee plan uses.
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

    /// Returns the workers on which guaranteed blocks may be placed: all that are neither
    /// removed nor draining.
    pub(super) fn zone_view(&self) -> ZoneView {
        let may_hold_blocks = |name: &WorkerName| {
            self.workers
                .get(name)
                .is_some_and(|entry| !entry.removed && !entry.draining)
        };
        self.ledger
            .workers()
            .iter()
            .filter(|(name, _)| may_hold_blocks(name))
            .map(|(name, capacity)| (name.clone(), self.worker_view(capacity)))
            .collect()
    }

    /// Repairs the guarantee plan after changes of workers, settings or pinned work.
    pub(super) fn repair_plan(&mut self) {
        let view = self.zone_view();
        self.plan.repair(&view);
    }

    /// Whether all guarantees can still be met after a reservation was granted. Moves
    /// guaranteed blocks if that is necessary. Only work that cannot be reclaimed can
    /// break a guarantee.
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
        let mut repaired = self.plan.clone();
        repaired.repair(&self.zone_view());
        let is_no_worse = repaired.unbound() <= self.plan.unbound();
        if is_no_worse {
            self.plan = repaired;
        }
        is_no_worse
    }

    /// Returns the resources that a customer holds in the zone.
    pub(super) fn customer_use(&self, customer: &CustomerName) -> TaskDemand {
        self.use_by_customer
            .get(customer)
            .copied()
            .unwrap_or_default()
    }
}

/// Longest time a task may take to save its state while its capacity is reclaimed.
/// After that the task is stopped. The time left is enough for the lease to expire
/// within the reclaim bound if the worker does not respond.
pub fn checkpoint_timeout(policy: &PolicySettings) -> Duration {
    policy
        .reclaim_bound
        .saturating_sub(policy.task_lease + LEASE_EXPIRY_MARGIN)
}
