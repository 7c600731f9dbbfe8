//! The service that keeps the machines, simulated: a list, and upkeep that ends
//! everything on a machine and brings a new worker some time later.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::UpkeepOrder;
use flamingowalk_domain::process::machine::{
    ListedMachine, MachineError, MachinePage, MachineState,
};

/// Machines of a page of the list.
const PAGE: usize = 4;
/// Time that an upkeep takes.
pub const UPKEEP_TIME: Duration = Duration::from_secs(2);

/// A machine.
#[derive(Clone, Debug)]
pub struct SimMachine {
    /// Its worker.
    pub worker: WorkerName,
    /// When its upkeep is over; nothing while it is up.
    pub away_until: Option<MonotonicTime>,
    /// Whether it is down for good.
    pub is_down: bool,
    /// Waves in which it had its upkeep.
    pub waves: BTreeSet<WaveNumber>,
    /// Highest epoch that ordered.
    token: LeaderEpoch,
}

/// The service.
#[derive(Clone, Debug, Default)]
pub struct SimMachines {
    /// Machines by name.
    pub machines: BTreeMap<MachineName, SimMachine>,
    /// Most machines that were away at once.
    pub max_unavailable: usize,
    /// Upkeeps done.
    pub upkeeps: usize,
    /// Orders whose answer is lost, of the next ones.
    pub lost_answers: usize,
}

impl SimMachine {
    const fn is_up(&self) -> bool {
        self.away_until.is_none() && !self.is_down
    }
}

impl SimMachines {
    /// Gives every worker a machine of its own.
    pub fn add_workers(&mut self, workers: impl Iterator<Item = WorkerName>) {
        for worker in workers {
            let name = MachineName::from(format!("machine-of-{worker}"));
            let machine = SimMachine {
                worker,
                away_until: None,
                is_down: false,
                waves: BTreeSet::new(),
                token: LeaderEpoch(0),
            };
            self.machines.insert(name, machine);
        }
    }

    /// A page of the list.
    pub fn list(&self, after: Option<&str>) -> MachinePage {
        let from = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let rows = self.machines.iter().skip(from).take(PAGE);
        let listed = rows.map(|(name, machine)| ListedMachine {
            name: name.clone(),
            state: if machine.is_down {
                MachineState::Unavailable
            } else if machine.away_until.is_some() {
                MachineState::Upkeep
            } else {
                MachineState::Up
            },
            worker: machine.is_up().then(|| machine.worker.clone()),
        });
        let next = from + PAGE;
        MachinePage {
            machines: listed.collect(),
            next: (next < self.machines.len()).then(|| next.to_string().into()),
        }
    }

    /// Takes an order: the worker that ends with it, if one does.
    ///
    /// # Errors
    /// The order is refused.
    pub fn upkeep(
        &mut self,
        now: MonotonicTime,
        order: &UpkeepOrder,
    ) -> Result<Option<WorkerName>, MachineError> {
        let machine = self.machines.get_mut(&order.machine);
        let machine = machine.ok_or(MachineError::NotOfWave)?;
        if order.epoch < machine.token {
            return Err(MachineError::Fenced);
        }
        machine.token = order.epoch;
        if machine.waves.contains(&order.wave) {
            return Ok(None);
        }
        if !machine.is_up() {
            return Err(MachineError::Busy);
        }
        machine.waves.insert(order.wave);
        machine.away_until = Some(now + UPKEEP_TIME);
        let worker = machine.worker.clone();
        self.upkeeps += 1;
        let away = self.machines.values();
        let away = away.filter(|machine| machine.away_until.is_some());
        self.max_unavailable = self.max_unavailable.max(away.count());
        Ok(Some(worker))
    }

    /// Machines whose upkeep is over, with their workers before.
    pub fn return_machines(&mut self, now: MonotonicTime) -> Vec<WorkerName> {
        let mut back = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.away_until.is_some_and(|until| now >= until) {
                machine.away_until = None;
                let next = format!("{}+", machine.worker);
                back.push(std::mem::replace(&mut machine.worker, next.into()));
            }
        }
        back
    }
}
