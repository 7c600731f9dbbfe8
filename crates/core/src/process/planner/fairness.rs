//! Dominant resource fairness between customers. The dominant share of a customer is
//! the largest share of any resource of the zone that it holds beyond its guarantee.

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::guarantee::{add, proportional_share};
use crate::process::planner::state::PlannerState;
use crate::version::settings::JobClass;

/// Scale of an integer share: shares are in millionths of the zone.
const SHARE_SCALE: i64 = 1_000_000;

impl PlannerState {
    /// Recounts the resources that each customer holds.
    pub(super) fn recount_customer_use(&mut self) {
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
        self.use_by_customer = used;
        self.total = total;
    }

    /// Returns what a customer is guaranteed in the zone. Resources other than
    /// accelerators are in proportion to its guaranteed accelerators.
    fn guaranteed(&self, customer: &CustomerName) -> TaskDemand {
        let Some(declared) = self.settings.customers.get(customer) else {
            return TaskDemand::default();
        };
        let shapes = declared
            .guarantees
            .iter()
            .filter(|shape| shape.zone == self.zone);
        let accelerators = shapes.map(|shape| shape.blocks * shape.size).sum();
        proportional_share(self.total, accelerators)
    }

    /// Whether one more job of a class would exceed the customer's guarantee.
    pub(super) fn exceeds_guarantee(&self, customer: &CustomerName, class: &JobClass) -> bool {
        let used = self.customer_use(customer);
        let guaranteed = self.guaranteed(customer);
        if class.accelerators == 0 {
            return used.cores + class.tasks * class.cores > guaranteed.cores;
        }
        used.accelerators + class.tasks * class.accelerators > guaranteed.accelerators
    }

    /// Returns the dominant share beyond the guarantee, in millionths and divided by
    /// the customer's weight. It is negative if the customer holds less than its
    /// guarantee of every resource; a negative share is not divided by the weight.
    pub(super) fn share_over_guarantee(&self, customer: &CustomerName) -> i64 {
        let used = self.customer_use(customer);
        let guaranteed = self.guaranteed(customer);
        let weight = self
            .settings
            .customers
            .get(customer)
            .map_or(1, |declared| declared.weight.max(1));
        let shares = [
            excess_share(used.slots, guaranteed.slots, self.total.slots),
            excess_share(
                used.accelerators,
                guaranteed.accelerators,
                self.total.accelerators,
            ),
            excess_share(used.cores, guaranteed.cores, self.total.cores),
            excess_share_u64(used.memory_mb, guaranteed.memory_mb, self.total.memory_mb),
        ];
        let dominant = shares.into_iter().max().unwrap_or(0);
        if dominant > 0 {
            dominant / i64::from(weight)
        } else {
            dominant
        }
    }

    /// Adds the resources of a placement of this pass to what the customer holds.
    pub(super) fn add_customer_use(&mut self, customer: &CustomerName, demand: TaskDemand) {
        let used = self.use_by_customer.entry(customer.clone()).or_default();
        *used = add(*used, demand);
    }
}

fn excess_share(used: u32, guaranteed: u32, total: u32) -> i64 {
    excess_share_u64(u64::from(used), u64::from(guaranteed), u64::from(total))
}

fn excess_share_u64(used: u64, guaranteed: u64, total: u64) -> i64 {
    let over =
        i64::try_from(used).unwrap_or(i64::MAX) - i64::try_from(guaranteed).unwrap_or(i64::MAX);
    over.saturating_mul(SHARE_SCALE) / i64::try_from(total.max(1)).unwrap_or(i64::MAX)
}
