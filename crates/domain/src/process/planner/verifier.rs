//! Checks the planner's state against its invariants, counting from the holdings alone,
//! and reports every violation.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, PlanStep};
use crate::process::planner::state::PlannerState;
use crate::request::submission::UnitDemand;

impl PlannerState {
    /// Returns all violated invariants; empty for a consistent state.
    pub fn verify(&self) -> Vec<String> {
        let mut violations = Vec::new();
        self.verify_capacity(&mut violations);
        self.verify_holdings(&mut violations);
        self.verify_groups(&mut violations);
        violations
    }

    fn verify_capacity(&self, violations: &mut Vec<String>) {
        for (name, worker) in &self.workers {
            let mut used = UnitDemand::default();
            for holding in worker.holdings.values() {
                used = used.plus(&holding.demand);
            }
            // Before the first complete listing of a worker, some of the runs held there may
            // have ended already.
            if worker.link.has_complete_listing && !used.fits(&worker.report.capacity) {
                let units: Vec<String> = worker.holdings.keys().map(UnitKey::to_string).collect();
                let held = units.join(", ");
                violations.push(format!(
                    "worker {name} holds more than its capacity: {held}"
                ));
            }
            if worker.free != worker.report.capacity.minus(&used) {
                violations.push(format!(
                    "worker {name} has a wrong count of its free capacity"
                ));
            }
        }
    }

    fn verify_holdings(&self, violations: &mut Vec<String>) {
        let mut places: BTreeMap<UnitKey, &WorkerName> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (unit, holding) in &worker.holdings {
                if let Some(other) = places.insert(*unit, name) {
                    violations.push(format!("unit {unit} is held on {other} and on {name}"));
                }
                let group = self
                    .jobs
                    .get(&holding.group.job)
                    .and_then(|job| job.group(&holding.group));
                let member = group.and_then(|group| group.members.get(holding.member));
                let is_valid =
                    member.is_some_and(|member| member.worker == *name && member.stage.is_held());
                if !is_valid {
                    violations.push(format!("unit {unit} is held on {name} without a member"));
                }
            }
        }
    }

    fn verify_groups(&self, violations: &mut Vec<String>) {
        for (key, job) in &self.jobs {
            for (number, occurrence) in &job.occurrences {
                for (index, step) in occurrence.steps.iter().enumerate() {
                    verify_step(&format!("{key}.{number}.{index}"), step, violations);
                }
            }
        }
    }
}

fn verify_step(name: &str, step: &PlanStep, violations: &mut Vec<String>) {
    let done = step
        .groups
        .iter()
        .filter(|group| group.phase == GroupPhase::Done)
        .count();
    if done != step.done {
        violations.push(format!(
            "step {name} counts {} done groups instead of {done}",
            step.done
        ));
    }
    for (index, group) in step.groups.iter().enumerate() {
        if group.phase == GroupPhase::Waiting && group.is_held() {
            violations.push(format!(
                "group {name}.{index} is waiting while a run of it still holds capacity"
            ));
        }
    }
}
