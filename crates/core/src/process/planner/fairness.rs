//! Shares of customers. The dominant share of a customer is the largest part of
//! any resource of the zone that it holds beyond its guarantee.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::guarantee::{add, share_of};
use crate::process::planner::state::PlannerState;
use crate::version::settings::JobClass;

/// Parts into which a share is counted.
const SHARE_PARTS: i64 = 1_000_000;

impl PlannerState {
    /// Counts what each customer holds anew.
    pub(super) fn recount_use(&mut self) {
        let mut used: BTreeMap<CustomerName, TaskDemand> = BTreeMap::new();
        let mut total = TaskDemand::default();
        for capacity in self.ledger.workers().values() {
            total = add(total, capacity.total());
            for (key, holding) in &capacity.holdings {
                if let Some(entry) = self.job_of(key) {
                    let held = used.entry(entry.job.customer.clone()).or_default();
                    *held = add(*held, holding.demand);
                }
            }
        }
        self.used = used;
        self.total = total;
    }

    /// What a customer is guaranteed in the zone, other resources in proportion.
    fn guaranteed(&self, customer: &CustomerName) -> TaskDemand {
        let Some(owner) = self.settings.customers.get(customer) else {
            return TaskDemand::default();
        };
        let shapes = owner
            .guarantees
            .iter()
            .filter(|shape| shape.zone == self.zone);
        let accelerators = shapes.map(|shape| shape.blocks * shape.size).sum();
        share_of(self.total, accelerators)
    }

    /// Whether one more job of a class takes a customer beyond its guarantee.
    pub(super) fn exceeds_guarantee(&self, customer: &CustomerName, class: &JobClass) -> bool {
        let used = self.customer_use(customer);
        let guaranteed = self.guaranteed(customer);
        if class.accelerators == 0 {
            return used.cores + class.tasks * class.cores > guaranteed.cores;
        }
        used.accelerators + class.tasks * class.accelerators > guaranteed.accelerators
    }

    /// Dominant share over guarantee, by weight, in millionths; negative for a
    /// customer that holds less than its guarantee of everything.
    pub(super) fn share_over_guarantee(&self, customer: &CustomerName) -> i64 {
        let used = self.customer_use(customer);
        let owed = self.guaranteed(customer);
        let weight = self
            .settings
            .customers
            .get(customer)
            .map_or(1, |owner| owner.weight.max(1));
        let parts = [
            part(used.slots, owed.slots, self.total.slots),
            part(
                used.accelerators,
                owed.accelerators,
                self.total.accelerators,
            ),
            part(used.cores, owed.cores, self.total.cores),
            part_of(used.memory_mb, owed.memory_mb, self.total.memory_mb),
        ];
        let dominant = parts.into_iter().max().unwrap_or(0);
        if dominant > 0 {
            dominant / i64::from(weight)
        } else {
            dominant
        }
    }

    /// Counts what a customer holds after a placement of this pass.
    pub(super) fn add_customer_use(&mut self, customer: &CustomerName, demand: TaskDemand) {
        let used = self.used.entry(customer.clone()).or_default();
        *used = add(*used, demand);
    }
}

fn part(used: u32, owed: u32, total: u32) -> i64 {
    part_of(u64::from(used), u64::from(owed), u64::from(total))
}

fn part_of(used: u64, owed: u64, total: u64) -> i64 {
    let over = i64::try_from(used).unwrap_or(i64::MAX) - i64::try_from(owed).unwrap_or(i64::MAX);
    over.saturating_mul(SHARE_PARTS) / i64::try_from(total.max(1)).unwrap_or(i64::MAX)
}
