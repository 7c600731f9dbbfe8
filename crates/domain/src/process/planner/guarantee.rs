//! Guarantees of the customers: a number of accelerators that belongs to the urgent jobs of a
//! customer at all times. Under overload the jobs within it go before the other urgent jobs
//! and may stop them.

use crate::prelude::*;
use crate::process::planner::job::PlanJob;
use crate::process::planner::state::PlannerState;

impl PlannerState {
    /// Returns the urgent jobs that their customers' guarantees cover: of each customer those
    /// accepted first, as many as need no more than the guarantee together.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobKey> {
        let is_urgent = |job: &&PlanJob| job.accepted.priority == 0 && !job.is_closing;
        let mut urgent: Vec<&PlanJob> = self.jobs.values().filter(is_urgent).collect();
        urgent.sort_by_key(|job| (job.accepted.accepted_at, job.key));
        let mut used: BTreeMap<&CustomerName, u32> = BTreeMap::new();
        let mut covered = BTreeSet::new();
        for job in urgent {
            let Some(customer) = &job.accepted.customer else {
                continue;
            };
            let used = used.entry(customer).or_default();
            *used = used.saturating_add(needed_accelerators(job));
            if *used <= self.manifest.guaranteed(customer) {
                covered.insert(job.key);
            }
        }
        covered
    }

    /// Returns the customers whose open urgent jobs need less than their guarantee.
    pub(super) fn covered_customers(&self) -> BTreeSet<CustomerName> {
        let mut used: BTreeMap<&CustomerName, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if let Some(customer) = &job.accepted.customer
                && job.accepted.priority == 0
                && !job.is_closing
            {
                let used = used.entry(customer).or_default();
                *used = used.saturating_add(needed_accelerators(job));
            }
        }
        let customers = self.manifest.customers.iter();
        customers
            .filter(|(name, entry)| {
                used.get(name).copied().unwrap_or(0) < entry.guaranteed_accelerators
            })
            .map(|(name, _)| name.clone())
            .collect()
    }
}

/// Returns the accelerators that a job needs at once: those of its widest step.
fn needed_accelerators(job: &PlanJob) -> u32 {
    let steps = job.accepted.submission.steps.iter();
    let needs = steps.map(|shape| u32::from(shape.count).saturating_mul(shape.demand.accelerators));
    needs.max().unwrap_or(0)
}
