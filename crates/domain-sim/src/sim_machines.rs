//! Simulated service that manages the machines: it lists them, and carries out upkeep,
//! which ends all runs on a machine and brings it back with a new worker.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::UpkeepOrder;
use flamingowalk_domain::process::machine::{
    ListedMachine, MachineError, MachinePage, MachineState,
};

/// Largest number of machines on a page of the list.
const MAX_PAGE_MACHINES: usize = 4;
/// Time that the upkeep of a machine takes.
pub const UPKEEP_DURATION: Duration = Duration::from_secs(2);

/// Simulated machine.
#[derive(Clone, Debug)]
pub struct SimMachine {
    /// Worker on the machine.
    pub worker: WorkerName,
    /// When its upkeep ends, or `None` if no upkeep is in progress.
    pub upkeep_until: Option<MonotonicTime>,
    /// Whether it is permanently down for another reason than upkeep.
    pub is_down: bool,
    /// Waves for which its upkeep was started.
    pub waves: BTreeSet<WaveNumber>,
    /// Highest epoch of an order. Orders of lower epochs are refused.
    highest_epoch: LeaderEpoch,
}

/// Simulated machine service.
#[derive(Clone, Debug, Default)]
pub struct SimMachines {
    /// Machines by name.
    pub machines: BTreeMap<MachineName, SimMachine>,
    /// Largest number of machines that were in upkeep at once.
    pub max_unavailable: usize,
    /// Number of upkeeps started.
    pub upkeeps: usize,
    /// When the newest order for upkeep of each epoch arrived.
    pub last_orders: BTreeMap<LeaderEpoch, MonotonicTime>,
    /// Number of next orders for upkeep whose answers are lost.
    pub answers_to_lose: usize,
}

impl SimMachine {
    const fn is_up(&self) -> bool {
        self.upkeep_until.is_none() && !self.is_down
    }
}

impl SimMachines {
    /// Adds a machine for each of the workers.
    pub fn add_workers(&mut self, workers: impl Iterator<Item = WorkerName>) {
        for worker in workers {
            let name = MachineName::from(format!("machine-of-{worker}"));
            let machine = SimMachine {
                worker,
                upkeep_until: None,
                is_down: false,
                waves: BTreeSet::new(),
                highest_epoch: LeaderEpoch(0),
            };
            self.machines.insert(name, machine);
        }
    }

    /// Returns a page of the list of machines.
    pub fn list(&self, after: Option<&str>) -> MachinePage {
        let from = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let rows = self.machines.iter().skip(from).take(MAX_PAGE_MACHINES);
        let listed = rows.map(|(name, machine)| ListedMachine {
            name: name.clone(),
            state: if machine.is_down {
                MachineState::Unavailable
            } else if machine.upkeep_until.is_some() {
                MachineState::Upkeep
            } else {
                MachineState::Up
            },
            worker: machine.is_up().then(|| machine.worker.clone()),
        });
        let next = from + MAX_PAGE_MACHINES;
        MachinePage {
            machines: listed.collect(),
            next: (next < self.machines.len()).then(|| next.to_string().into()),
        }
    }

    /// Starts the upkeep of a machine and returns the worker that ends with it, or `None`
    /// if the machine had its upkeep in this wave before.
    ///
    /// # Errors
    /// Fails if the machine is unknown or not up, or if an order of a higher epoch arrived
    /// before.
    pub fn upkeep(
        &mut self,
        now: MonotonicTime,
        order: &UpkeepOrder,
    ) -> Result<Option<WorkerName>, MachineError> {
        self.last_orders.insert(order.epoch, now);
        let machine = self.machines.get_mut(&order.machine);
        let machine = machine.ok_or(MachineError::NotOfWave)?;
        if order.epoch < machine.highest_epoch {
            return Err(MachineError::Fenced);
        }
        machine.highest_epoch = order.epoch;
        if machine.waves.contains(&order.wave) {
            return Ok(None);
        }
        if !machine.is_up() {
            return Err(MachineError::Busy);
        }
        machine.waves.insert(order.wave);
        machine.upkeep_until = Some(now + UPKEEP_DURATION);
        let worker = machine.worker.clone();
        self.upkeeps += 1;
        let in_upkeep = self.machines.values();
        let in_upkeep = in_upkeep.filter(|machine| machine.upkeep_until.is_some());
        self.max_unavailable = self.max_unavailable.max(in_upkeep.count());
        Ok(Some(worker))
    }

    /// Brings the machines back whose upkeep is over. Returns the workers that were on them
    /// before.
    pub fn finish_upkeeps(&mut self, now: MonotonicTime) -> Vec<WorkerName> {
        let mut returned = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.upkeep_until.is_some_and(|until| now >= until) {
                machine.upkeep_until = None;
                let next = format!("{}+", machine.worker);
                returned.push(std::mem::replace(&mut machine.worker, next.into()));
            }
        }
        returned
    }
}
