//! Chooses the worker of each call among the listed ones.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::border::hosts::ListedWorker;
use crate::request::call_request::{CallFault, CallRequest, CallTarget};

/// What is known of one target of calls.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Its address.
    pub address: SocketAddr,
    /// Services it runs.
    pub services: BTreeSet<ServiceName>,
    /// Whether it is to receive no new work.
    pub leaving: bool,
    /// Calls in flight from this host; never above the target's slots.
    pub in_flight: u32,
    /// Execution slots of the target.
    pub slots: u32,
}

/// The targets of calls.
#[derive(Clone, Debug)]
pub struct CallDesk {
    /// Zone of this host, whose targets come first.
    zone: ZoneName,
    /// Targets by name.
    pub targets: BTreeMap<WorkerName, TargetEntry>,
}

impl CallDesk {
    /// A desk without targets.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            targets: BTreeMap::new(),
        }
    }

    /// Takes over a reading of the host list.
    pub fn update(&mut self, workers: &[ListedWorker]) {
        let mut targets = BTreeMap::new();
        for worker in workers {
            let name = worker.record.name.clone();
            let in_flight = self.targets.get(&name).map_or(0, |entry| entry.in_flight);
            let entry = TargetEntry {
                zone: worker.zone.clone(),
                address: worker.address,
                services: worker.record.services.clone(),
                leaving: worker.record.leaving,
                in_flight,
                slots: worker.record.slots,
            };
            targets.insert(name, entry);
        }
        self.targets = targets;
    }

    /// Chooses the less loaded of two random targets, own zone first.
    ///
    /// # Errors
    /// [`CallFault::NotRun`] when no target takes the call now.
    pub fn choose(
        &mut self,
        request: &CallRequest,
        deadline: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Result<CallTarget, CallFault> {
        let own = self.eligible(&request.service, true);
        let names = if own.is_empty() {
            self.eligible(&request.service, false)
        } else {
            own
        };
        if names.is_empty() {
            let text = format!(
                "no worker takes calls of {} now; try again",
                request.service
            );
            return Err(CallFault::NotRun(text));
        }
        let first = &names[rng.random_range(0..names.len())];
        let second = &names[rng.random_range(0..names.len())];
        let load = |name: &WorkerName| self.targets.get(name).map_or(u32::MAX, |t| t.in_flight);
        let worker = if load(second) < load(first) {
            second.clone()
        } else {
            first.clone()
        };
        let Some(entry) = self.targets.get_mut(&worker) else {
            return Err(CallFault::NotRun(
                "the worker is gone; try again".to_owned(),
            ));
        };
        entry.in_flight += 1;
        Ok(CallTarget {
            worker,
            address: entry.address,
            deadline,
        })
    }

    /// Frees the slot of a call that left its target.
    pub fn release(&mut self, target: &CallTarget) {
        if let Some(entry) = self.targets.get_mut(&target.worker) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    fn eligible(&self, service: &ServiceName, own_zone: bool) -> Vec<WorkerName> {
        let takes = |entry: &TargetEntry| {
            !entry.leaving
                && entry.in_flight < entry.slots
                && entry.services.contains(service)
                && (!own_zone || entry.zone == self.zone)
        };
        let entries = self.targets.iter().filter(|(_, entry)| takes(entry));
        entries.map(|(name, _)| name.clone()).collect()
    }
}
