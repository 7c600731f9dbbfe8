//! Where the guaranteed shapes of all customers would go. The plan binds every
//! block to accelerators by number, each accelerator to at most one block, so all
//! shapes fit at the same time. Work that cannot be taken back never sits on the
//! block of another customer; everything else there can be reclaimed.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::ledger::AcceleratorSet;
use crate::version::settings::{BlockAdjacency, SystemSettings};

/// Accelerators of one worker that belong to a block.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockPart {
    /// The worker.
    pub worker: WorkerName,
    /// Its accelerators in the block; at least one.
    pub accelerators: AcceleratorSet,
}

/// One guaranteed block.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteedBlock {
    /// Its customer.
    pub customer: CustomerName,
    /// Accelerators in the block.
    pub size: u32,
    /// How close they are.
    pub adjacency: BlockAdjacency,
    /// Where it is; `size` accelerators as close as `adjacency` asks, or nothing
    /// while there is no room, as after the loss of workers.
    pub parts: Vec<BlockPart>,
}

impl GuaranteedBlock {
    /// Whether the block has a place.
    pub const fn is_bound(&self) -> bool {
        !self.parts.is_empty()
    }
}

/// What one customer holds on a worker and cannot give back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PinnedUse {
    /// Accelerators.
    pub accelerators: AcceleratorSet,
    /// All resources.
    pub demand: TaskDemand,
}

/// What the plan needs to know of one worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Its rack.
    pub rack: RackName,
    /// Everything it has.
    pub total: TaskDemand,
    /// What cannot be taken back, by customer.
    pub pinned: BTreeMap<CustomerName, PinnedUse>,
    /// Accelerators held at all, by customer.
    pub held: BTreeMap<CustomerName, AcceleratorSet>,
}

/// Workers that guaranteed blocks may be on.
pub type ZoneView = BTreeMap<WorkerName, WorkerView>;

/// Places of all guaranteed blocks of a zone.
#[derive(Clone, Debug, Default)]
pub struct GuaranteePlan {
    /// The blocks, in the order of customers and shapes.
    blocks: Vec<GuaranteedBlock>,
    /// The same places by worker and customer; the sets of one worker are disjoint.
    owned: BTreeMap<WorkerName, BTreeMap<CustomerName, AcceleratorSet>>,
}

impl GuaranteePlan {
    /// Takes over the shapes that settings declare for a zone; blocks that were
    /// there before keep their places.
    pub fn adopt(&mut self, zone: &ZoneName, settings: &SystemSettings) {
        let mut before = std::mem::take(&mut self.blocks);
        for (customer, owner) in &settings.customers {
            for shape in owner.guarantees.iter().filter(|shape| shape.zone == *zone) {
                for _ in 0..shape.blocks {
                    let same = before.iter().position(|block| {
                        block.customer == *customer
                            && block.size == shape.size
                            && block.adjacency == shape.adjacency
                    });
                    let parts = same.map(|index| before.remove(index).parts);
                    self.blocks.push(GuaranteedBlock {
                        customer: customer.clone(),
                        size: shape.size,
                        adjacency: shape.adjacency,
                        parts: parts.unwrap_or_default(),
                    });
                }
            }
        }
        self.index();
    }

    /// Every block.
    pub fn blocks(&self) -> &[GuaranteedBlock] {
        &self.blocks
    }

    /// How many blocks have no place.
    pub fn unbound(&self) -> usize {
        self.blocks.iter().filter(|block| !block.is_bound()).count()
    }

    /// Whether a customer has any block.
    pub fn has_blocks(&self, customer: &CustomerName) -> bool {
        self.blocks.iter().any(|block| block.customer == *customer)
    }

    /// Blocks by worker and customer.
    pub const fn owned(&self) -> &BTreeMap<WorkerName, BTreeMap<CustomerName, AcceleratorSet>> {
        &self.owned
    }

    /// Accelerators of a customer's blocks on a worker.
    pub fn owned_by(&self, worker: &WorkerName, customer: &CustomerName) -> AcceleratorSet {
        let owners = self.owned.get(worker);
        owners
            .and_then(|owners| owners.get(customer))
            .copied()
            .unwrap_or_default()
    }

    /// Accelerators of all other customers' blocks on a worker.
    pub fn owned_by_others(&self, worker: &WorkerName, customer: &CustomerName) -> AcceleratorSet {
        let mut others = AcceleratorSet::default();
        for (owner, accelerators) in self.owned.get(worker).into_iter().flatten() {
            if owner != customer {
                others = others.union(*accelerators);
            }
        }
        others
    }

    /// Gives new places to blocks whose places are gone or pinned by others, and to
    /// blocks without a place. If that leaves one without, all are placed anew, the
    /// largest first, unless that leaves more without.
    pub fn repair(&mut self, view: &ZoneView) {
        for index in 0..self.blocks.len() {
            if !self.is_sound(index, view) {
                self.blocks[index].parts.clear();
                self.index();
            }
        }
        if self.unbound() == 0 {
            return;
        }
        self.bind_all(view);
        if self.unbound() == 0 {
            return;
        }
        let mut fresh = self.clone();
        for block in &mut fresh.blocks {
            block.parts.clear();
        }
        fresh.index();
        fresh.bind_all(view);
        if fresh.unbound() < self.unbound() {
            *self = fresh;
        }
    }

    /// Whether every block has a place.
    pub fn is_whole(&self) -> bool {
        self.blocks.iter().all(GuaranteedBlock::is_bound)
    }

    fn bind_all(&mut self, view: &ZoneView) {
        let mut order: Vec<usize> = (0..self.blocks.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.blocks[*index].size));
        for index in order {
            if !self.blocks[index].is_bound() {
                self.blocks[index].parts = self.find_parts(index, view);
                self.index();
            }
        }
    }

    /// Whether a block's place exists, is nobody else's and leaves every customer
    /// its share of the other resources.
    fn is_sound(&self, index: usize, view: &ZoneView) -> bool {
        let block = &self.blocks[index];
        block.parts.iter().all(|part| {
            view.get(&part.worker).is_some_and(|worker| {
                let all = AcceleratorSet::block(0, worker.total.accelerators);
                let exists = part.accelerators.difference(all).is_empty();
                let pinned = pinned_by_others(worker, &block.customer);
                let is_clear = part.accelerators.intersection(pinned).is_empty();
                exists && is_clear && self.leaves_shares(&part.worker, worker, None)
            })
        })
    }

    /// Whether every customer gets the share of a worker's slots, cores and memory
    /// that goes with its accelerators there, beside what is pinned and, if given,
    /// `extra` pinned by one customer besides.
    pub fn leaves_shares(
        &self,
        name: &WorkerName,
        worker: &WorkerView,
        extra: Option<(&CustomerName, TaskDemand)>,
    ) -> bool {
        let none = BTreeMap::new();
        let owners = self.owned.get(name).unwrap_or(&none);
        let mut customers: BTreeSet<&CustomerName> = owners.keys().collect();
        customers.extend(worker.pinned.keys());
        customers.extend(extra.map(|(customer, _)| customer));
        let mut needed = TaskDemand::default();
        for customer in customers {
            let owned = owners.get(customer).copied().unwrap_or_default();
            let mut used = worker
                .pinned
                .get(customer)
                .copied()
                .unwrap_or_default()
                .demand;
            if let Some((_, demand)) = extra.filter(|(other, _)| *other == customer) {
                used = add(used, demand);
            }
            needed = add(needed, larger(used, share_of(worker.total, owned.count())));
        }
        needed.slots <= worker.total.slots
            && needed.cores <= worker.total.cores
            && needed.memory_mb <= worker.total.memory_mb
    }

    /// The best place for a block among accelerators of no other block.
    fn find_parts(&self, index: usize, view: &ZoneView) -> Vec<BlockPart> {
        let block = &self.blocks[index];
        match block.adjacency {
            BlockAdjacency::Worker => self.find_worker(block, view).into_iter().collect(),
            BlockAdjacency::Rack => {
                let racks: BTreeSet<&RackName> = view.values().map(|w| &w.rack).collect();
                let places = racks
                    .into_iter()
                    .map(|rack| self.gather(block, view, Some(rack)));
                let found = places.filter(|parts| !parts.is_empty());
                found
                    .min_by_key(|parts| Self::disturbance(block, parts, view))
                    .unwrap_or_default()
            }
            BlockAdjacency::Zone => self.gather(block, view, None),
        }
    }

    fn find_worker(&self, block: &GuaranteedBlock, view: &ZoneView) -> Option<BlockPart> {
        let mut best = None;
        for (name, worker) in view {
            for run in self.open(block, name, worker).runs() {
                let windows = (run.length + 1).saturating_sub(block.size);
                for first in run.first..run.first + windows {
                    let part = BlockPart {
                        worker: name.clone(),
                        accelerators: AcceleratorSet::block(first, block.size),
                    };
                    if !self.leaves_part(block, &part, worker) {
                        continue;
                    }
                    let cost = Self::disturbance(block, std::slice::from_ref(&part), view);
                    let rank = (cost, run.length);
                    if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                        best = Some((rank, part));
                    }
                }
            }
        }
        best.map(|(_, part)| part)
    }

    /// Parts on as few workers of a rack, or of the zone, as will do.
    fn gather(
        &self,
        block: &GuaranteedBlock,
        view: &ZoneView,
        rack: Option<&RackName>,
    ) -> Vec<BlockPart> {
        let mut workers: Vec<(&WorkerName, &WorkerView, AcceleratorSet)> = view
            .iter()
            .filter(|(_, worker)| rack.is_none_or(|rack| worker.rack == *rack))
            .map(|(name, worker)| (name, worker, self.open(block, name, worker)))
            .collect();
        workers.sort_by_key(|(name, worker, open)| {
            let held = worker
                .held
                .get(&block.customer)
                .copied()
                .unwrap_or_default();
            let own = held.intersection(*open).count();
            (
                std::cmp::Reverse(own),
                std::cmp::Reverse(open.count()),
                (*name).clone(),
            )
        });
        let mut parts = Vec::new();
        let mut missing = block.size;
        for (name, worker, open) in workers {
            let taken = lowest(open, missing);
            let part = BlockPart {
                worker: name.clone(),
                accelerators: taken,
            };
            if taken.is_empty() || !self.leaves_part(block, &part, worker) {
                continue;
            }
            missing -= taken.count();
            parts.push(part);
            if missing == 0 {
                return parts;
            }
        }
        Vec::new()
    }

    /// Accelerators of a worker that are of no block and not pinned by others.
    fn open(
        &self,
        block: &GuaranteedBlock,
        name: &WorkerName,
        worker: &WorkerView,
    ) -> AcceleratorSet {
        let mut open = AcceleratorSet::block(0, worker.total.accelerators);
        for owned in self.owned.get(name).into_iter().flat_map(BTreeMap::values) {
            open = open.difference(*owned);
        }
        open.difference(pinned_by_others(worker, &block.customer))
    }

    /// Whether a part leaves every customer its share of the worker.
    fn leaves_part(&self, block: &GuaranteedBlock, part: &BlockPart, worker: &WorkerView) -> bool {
        let mut owners = self.owned.get(&part.worker).cloned().unwrap_or_default();
        let owned = owners.entry(block.customer.clone()).or_default();
        *owned = owned.union(part.accelerators);
        let trial = Self {
            blocks: Vec::new(),
            owned: BTreeMap::from([(part.worker.clone(), owners)]),
        };
        trial.leaves_shares(&part.worker, worker, None)
    }

    /// Accelerators of a place that others hold now, less those its owner holds.
    fn disturbance(block: &GuaranteedBlock, parts: &[BlockPart], view: &ZoneView) -> i64 {
        let mut cost = 0;
        for part in parts {
            let held = view.get(&part.worker).map(|worker| &worker.held);
            for (customer, accelerators) in held.into_iter().flatten() {
                let shared = i64::from(part.accelerators.intersection(*accelerators).count());
                cost += if *customer == block.customer {
                    -shared
                } else {
                    shared
                };
            }
        }
        cost
    }

    fn index(&mut self) {
        self.owned.clear();
        for block in &self.blocks {
            for part in &block.parts {
                let owners = self.owned.entry(part.worker.clone()).or_default();
                let owned = owners.entry(block.customer.clone()).or_default();
                *owned = owned.union(part.accelerators);
            }
        }
    }
}

impl Display for GuaranteePlan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for block in &self.blocks {
            write!(
                f,
                "block {} {} {:?}",
                block.customer, block.size, block.adjacency
            )?;
            for part in &block.parts {
                write!(f, " {}{}", part.worker, part.accelerators)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

fn pinned_by_others(worker: &WorkerView, customer: &CustomerName) -> AcceleratorSet {
    let others = worker.pinned.iter().filter(|(other, _)| *other != customer);
    others.fold(AcceleratorSet::default(), |set, (_, pinned)| {
        set.union(pinned.accelerators)
    })
}

/// The lowest accelerators of a set, at most `count`.
fn lowest(set: AcceleratorSet, count: u32) -> AcceleratorSet {
    let mut taken = AcceleratorSet::default();
    for run in set.runs() {
        let missing = count - taken.count();
        taken = taken.union(AcceleratorSet::block(run.first, run.length.min(missing)));
    }
    taken
}

/// The share of a worker that goes with so many of its accelerators.
pub fn share_of(total: TaskDemand, accelerators: u32) -> TaskDemand {
    let all = total.accelerators.max(1);
    TaskDemand {
        slots: total.slots * accelerators / all,
        accelerators,
        cores: total.cores * accelerators / all,
        memory_mb: total.memory_mb * u64::from(accelerators) / u64::from(all),
    }
}

/// The sum of two demands.
pub const fn add(one: TaskDemand, other: TaskDemand) -> TaskDemand {
    TaskDemand {
        slots: one.slots + other.slots,
        accelerators: one.accelerators + other.accelerators,
        cores: one.cores + other.cores,
        memory_mb: one.memory_mb + other.memory_mb,
    }
}

fn larger(one: TaskDemand, other: TaskDemand) -> TaskDemand {
    TaskDemand {
        slots: one.slots.max(other.slots),
        accelerators: one.accelerators.max(other.accelerators),
        cores: one.cores.max(other.cores),
        memory_mb: one.memory_mb.max(other.memory_mb),
    }
}
