//! The guarantee plan: where the guaranteed shapes of all customers are placed. It
//! binds every block to numbered accelerators and each accelerator to at most one
//! block, so all shapes fit at the same time. Work that cannot be reclaimed (pinned
//! work) never runs on the block of another customer; all other work there can be
//! reclaimed.

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
    /// Customer that the block is guaranteed to.
    pub customer: CustomerName,
    /// Accelerators in the block.
    pub size: u32,
    /// Unit within which all its accelerators lie.
    pub adjacency: BlockAdjacency,
    /// Place of the block: `size` accelerators that satisfy `adjacency`. Empty while
    /// there is no capacity for it, for example after the loss of workers.
    pub parts: Vec<BlockPart>,
}

impl GuaranteedBlock {
    /// Whether the block has a place.
    pub const fn is_bound(&self) -> bool {
        !self.parts.is_empty()
    }
}

/// Resources of one customer's work on a worker that cannot be reclaimed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PinnedUse {
    /// Accelerators held.
    pub accelerators: AcceleratorSet,
    /// All resources held.
    pub demand: TaskDemand,
}

/// State of one worker as the plan needs it.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Its rack.
    pub rack: RackName,
    /// All its resources.
    pub total: TaskDemand,
    /// Resources that cannot be reclaimed, by customer.
    pub pinned: BTreeMap<CustomerName, PinnedUse>,
    /// All accelerators held, reclaimable or not, by customer.
    pub held: BTreeMap<CustomerName, AcceleratorSet>,
}

/// Workers on which guaranteed blocks may be placed.
pub type ZoneView = BTreeMap<WorkerName, WorkerView>;

/// Placement of all guaranteed blocks of a zone.
#[derive(Clone, Debug, Default)]
pub struct GuaranteePlan {
    /// The blocks, ordered by customer and shape.
    blocks: Vec<GuaranteedBlock>,
    /// The same places by worker and customer; the sets of one worker are disjoint.
    owned: BTreeMap<WorkerName, BTreeMap<CustomerName, AcceleratorSet>>,
}

impl GuaranteePlan {
    /// Adopts the shapes that the settings declare for a zone. Blocks that the plan
    /// already had keep their places.
    pub fn adopt(&mut self, zone: &ZoneName, settings: &SystemSettings) {
        let mut previous = std::mem::take(&mut self.blocks);
        for (customer, declared) in &settings.customers {
            for shape in declared
                .guarantees
                .iter()
                .filter(|shape| shape.zone == *zone)
            {
                for _ in 0..shape.blocks {
                    let position = previous.iter().position(|block| {
                        block.customer == *customer
                            && block.size == shape.size
                            && block.adjacency == shape.adjacency
                    });
                    let parts = position.map(|index| previous.remove(index).parts);
                    self.blocks.push(GuaranteedBlock {
                        customer: customer.clone(),
                        size: shape.size,
                        adjacency: shape.adjacency,
                        parts: parts.unwrap_or_default(),
                    });
                }
            }
        }
        self.rebuild_index();
    }

    /// Returns all blocks.
    pub fn blocks(&self) -> &[GuaranteedBlock] {
        &self.blocks
    }

    /// Returns how many blocks have no place.
    pub fn unbound(&self) -> usize {
        self.blocks.iter().filter(|block| !block.is_bound()).count()
    }

    /// Whether a customer has any block.
    pub fn has_blocks(&self, customer: &CustomerName) -> bool {
        self.blocks.iter().any(|block| block.customer == *customer)
    }

    /// Returns the accelerators of all blocks, by worker and customer.
    pub const fn owned(&self) -> &BTreeMap<WorkerName, BTreeMap<CustomerName, AcceleratorSet>> {
        &self.owned
    }

    /// Returns the accelerators of a customer's blocks on a worker.
    pub fn owned_by(&self, worker: &WorkerName, customer: &CustomerName) -> AcceleratorSet {
        let owners = self.owned.get(worker);
        owners
            .and_then(|owners| owners.get(customer))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the accelerators of all other customers' blocks on a worker.
    pub fn owned_by_others(&self, worker: &WorkerName, customer: &CustomerName) -> AcceleratorSet {
        let mut others = AcceleratorSet::default();
        for (owner, accelerators) in self.owned.get(worker).into_iter().flatten() {
            if owner != customer {
                others = others.union(*accelerators);
            }
        }
        others
    }

    /// Gives new places to blocks whose place is lost or pinned by another customer,
    /// and to blocks without a place. If a block remains unbound, places all blocks
    /// again, the largest first, and uses that plan if it leaves fewer unbound.
    pub fn repair(&mut self, view: &ZoneView) {
        for index in 0..self.blocks.len() {
            if !self.has_valid_place(index, view) {
                self.blocks[index].parts.clear();
                self.rebuild_index();
            }
        }
        if self.unbound() == 0 {
            return;
        }
        self.bind_unbound(view);
        if self.unbound() == 0 {
            return;
        }
        let mut replacement = self.clone();
        for block in &mut replacement.blocks {
            block.parts.clear();
        }
        replacement.rebuild_index();
        replacement.bind_unbound(view);
        if replacement.unbound() < self.unbound() {
            *self = replacement;
        }
    }

    /// Whether every block has a place.
    pub fn is_fully_bound(&self) -> bool {
        self.blocks.iter().all(GuaranteedBlock::is_bound)
    }

    fn bind_unbound(&mut self, view: &ZoneView) {
        let mut order: Vec<usize> = (0..self.blocks.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.blocks[*index].size));
        for index in order {
            if !self.blocks[index].is_bound() {
                self.blocks[index].parts = self.find_place(index, view);
                self.rebuild_index();
            }
        }
    }

    /// Whether a block's place exists, is not pinned by another customer and leaves
    /// every customer its share of the other resources.
    fn has_valid_place(&self, index: usize, view: &ZoneView) -> bool {
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

    /// Whether every customer gets a share of the worker's slots, cores and memory in
    /// proportion to its guaranteed accelerators there, beside the pinned resources.
    /// `extra` adds a demand to what one customer has pinned.
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
            needed = add(
                needed,
                maximum(used, proportional_share(worker.total, owned.count())),
            );
        }
        needed.slots <= worker.total.slots
            && needed.cores <= worker.total.cores
            && needed.memory_mb <= worker.total.memory_mb
    }

    /// Finds the place for a block that disturbs other work least, among accelerators
    /// that belong to no block. Empty if there is none.
    fn find_place(&self, index: usize, view: &ZoneView) -> Vec<BlockPart> {
        let block = &self.blocks[index];
        match block.adjacency {
            BlockAdjacency::Worker => self.find_window(block, view).into_iter().collect(),
            BlockAdjacency::Rack => {
                let racks: BTreeSet<&RackName> = view.values().map(|w| &w.rack).collect();
                let places = racks
                    .into_iter()
                    .map(|rack| self.collect_parts(block, view, Some(rack)));
                let found = places.filter(|parts| !parts.is_empty());
                found
                    .min_by_key(|parts| Self::disturbance(block, parts, view))
                    .unwrap_or_default()
            }
            BlockAdjacency::Zone => self.collect_parts(block, view, None),
        }
    }

    /// Finds the run of adjacent accelerators on one worker that disturbs other work
    /// least; of equal ones, the one in the shortest available run.
    fn find_window(&self, block: &GuaranteedBlock, view: &ZoneView) -> Option<BlockPart> {
        let mut best = None;
        for (name, worker) in view {
            for run in self.available(block, name, worker).runs() {
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
                    if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                        best = Some((rank, part));
                    }
                }
            }
        }
        best.map(|(_, part)| part)
    }

    /// Collects parts of a block from the workers of a rack, or of the zone if `rack` is
    /// `None`. Prefers workers where the customer already holds most, then those with most
    /// available accelerators, so that few workers are used. Empty if the block does
    /// not fit.
    fn collect_parts(
        &self,
        block: &GuaranteedBlock,
        view: &ZoneView,
        rack: Option<&RackName>,
    ) -> Vec<BlockPart> {
        let mut workers: Vec<(&WorkerName, &WorkerView, AcceleratorSet)> = view
            .iter()
            .filter(|(_, worker)| rack.is_none_or(|rack| worker.rack == *rack))
            .map(|(name, worker)| (name, worker, self.available(block, name, worker)))
            .collect();
        workers.sort_by_key(|(name, worker, available)| {
            let held = worker
                .held
                .get(&block.customer)
                .copied()
                .unwrap_or_default();
            let own = held.intersection(*available).count();
            (
                std::cmp::Reverse(own),
                std::cmp::Reverse(available.count()),
                (*name).clone(),
            )
        });
        let mut parts = Vec::new();
        let mut missing = block.size;
        for (name, worker, available) in workers {
            let taken = lowest_accelerators(available, missing);
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

    /// Returns the accelerators of a worker that belong to no block and are not pinned
    /// by another customer.
    fn available(
        &self,
        block: &GuaranteedBlock,
        name: &WorkerName,
        worker: &WorkerView,
    ) -> AcceleratorSet {
        let mut available = AcceleratorSet::block(0, worker.total.accelerators);
        for owned in self.owned.get(name).into_iter().flat_map(BTreeMap::values) {
            available = available.difference(*owned);
        }
        available.difference(pinned_by_others(worker, &block.customer))
    }

    /// Whether the plan still leaves every customer its share of the worker once the
    /// part is added.
    fn leaves_part(&self, block: &GuaranteedBlock, part: &BlockPart, worker: &WorkerView) -> bool {
        let mut owners = self.owned.get(&part.worker).cloned().unwrap_or_default();
        let owned = owners.entry(block.customer.clone()).or_default();
        *owned = owned.union(part.accelerators);
        let candidate = Self {
            blocks: Vec::new(),
            owned: BTreeMap::from([(part.worker.clone(), owners)]),
        };
        candidate.leaves_shares(&part.worker, worker, None)
    }

    /// Returns the number of accelerators of a place that other customers hold now,
    /// minus those that the block's customer holds.
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

    /// Recomputes `owned` from `blocks`.
    fn rebuild_index(&mut self) {
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

/// Returns the lowest-numbered accelerators of a set, at most `count`.
fn lowest_accelerators(set: AcceleratorSet, count: u32) -> AcceleratorSet {
    let mut taken = AcceleratorSet::default();
    for run in set.runs() {
        let missing = count - taken.count();
        taken = taken.union(AcceleratorSet::block(run.first, run.length.min(missing)));
    }
    taken
}

/// Returns the share of `total` in proportion to a number of its accelerators.
pub fn proportional_share(total: TaskDemand, accelerators: u32) -> TaskDemand {
    let all = total.accelerators.max(1);
    TaskDemand {
        slots: total.slots * accelerators / all,
        accelerators,
        cores: total.cores * accelerators / all,
        memory_mb: total.memory_mb * u64::from(accelerators) / u64::from(all),
    }
}

/// Returns the sum of two demands.
pub const fn add(one: TaskDemand, other: TaskDemand) -> TaskDemand {
    TaskDemand {
        slots: one.slots + other.slots,
        accelerators: one.accelerators + other.accelerators,
        cores: one.cores + other.cores,
        memory_mb: one.memory_mb + other.memory_mb,
    }
}

fn maximum(one: TaskDemand, other: TaskDemand) -> TaskDemand {
    TaskDemand {
        slots: one.slots.max(other.slots),
        accelerators: one.accelerators.max(other.accelerators),
        cores: one.cores.max(other.cores),
        memory_mb: one.memory_mb.max(other.memory_mb),
    }
}
