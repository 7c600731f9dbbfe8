//! Checks the planner's state against its invariants, counting from the holdings
//! alone, and reports every fault found.

use crate::prelude::*;
use crate::process::planner::job::{GroupPhase, PlanStep};
use crate::process::planner::state::PlannerState;
use crate::request::submission::UnitDemand;

impl PlannerState {
    /// All broken invariants; empty for a sound state.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        self.verify_capacity(&mut faults);
        self.verify_holdings(&mut faults);
        self.verify_groups(&mut faults);
        faults
    }

    fn verify_capacity(&self, faults: &mut Vec<String>) {
        for (name, worker) in &self.workers {
            let mut used = UnitDemand::default();
            for holding in worker.holdings.values() {
                used = used.plus(&holding.demand);
            }
            // Before a worker was looked at, runs are held there of which some are gone.
            if worker.link.has_complete_listing && !used.fits(&worker.report.capacity) {
                let units: Vec<String> = worker.holdings.keys().map(UnitKey::to_string).collect();
                let held = units.join(", ");
                faults.push(format!("worker {name} holds more than it has: {held}"));
            }
            if worker.free != worker.report.capacity.minus(&used) {
                faults.push(format!("worker {name} counts its free room wrongly"));
            }
        }
    }

    fn verify_holdings(&self, faults: &mut Vec<String>) {
        let mut places: BTreeMap<UnitKey, &WorkerName> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (unit, holding) in &worker.holdings {
                if let Some(other) = places.insert(*unit, name) {
                    faults.push(format!("unit {unit} is held on {other} and on {name}"));
                }
                let group = self
                    .jobs
                    .get(&holding.group.job)
                    .and_then(|job| job.group(&holding.group));
                let member = group.and_then(|group| group.members.get(holding.member));
                let is_right =
                    member.is_some_and(|member| member.worker == *name && member.stage.is_held());
                if !is_right {
                    faults.push(format!("unit {unit} is held on {name} for no member"));
                }
            }
        }
    }

    fn verify_groups(&self, faults: &mut Vec<String>) {
        for (key, job) in &self.jobs {
            for (number, occurrence) in &job.occurrences {
                for (index, step) in occurrence.steps.iter().enumerate() {
                    verify_step(&format!("{key}.{number}.{index}"), step, faults);
                }
            }
        }
    }
}

fn verify_step(name: &str, step: &PlanStep, faults: &mut Vec<String>) {
    let done = step
        .groups
        .iter()
        .filter(|group| group.phase == GroupPhase::Done)
        .count();
    if done != step.done {
        faults.push(format!("step {name} counts {} done of {done}", step.done));
    }
    for (index, group) in step.groups.iter().enumerate() {
        if group.phase == GroupPhase::Waiting && group.is_held() {
            faults.push(format!(
                "group {name}.{index} waits while a run of it is left"
            ));
        }
    }
}
