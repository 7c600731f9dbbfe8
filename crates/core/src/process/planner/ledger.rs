//! The planner's view of the capacity and holdings of each worker of its zone. The
//! worker is authoritative: the ledger follows its responses and task lists, and
//! counts the resources of a request without a response as held.

use std::fmt::{self, Display, Formatter};

use crate::prelude::*;
use crate::process::planner::action::TaskDemand;
use crate::process::planner::event::{TaskKey, WorkerRecord};

/// Largest number of accelerators per worker that an [`AcceleratorSet`] represents.
pub const MAX_ACCELERATORS: u32 = 64;

/// Accelerators of one worker, by number.
#[must_use]
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AcceleratorSet(u64);

impl AcceleratorSet {
    /// Returns the set of `count` accelerators numbered from `first`.
    pub fn block(first: u32, count: u32) -> Self {
        debug_assert!(
            first + count <= MAX_ACCELERATORS,
            "block outside the worker"
        );
        if count == 0 {
            return Self(0);
        }
        Self((u64::MAX >> (MAX_ACCELERATORS - count)) << first)
    }

    /// Returns the set of accelerators with these numbers. Ignores numbers out of range.
    pub fn from_numbers(numbers: &[u32]) -> Self {
        let bits = numbers
            .iter()
            .filter(|number| **number < MAX_ACCELERATORS)
            .fold(0, |bits, number| bits | (1 << number));
        Self(bits)
    }

    /// Returns the number of accelerators in the set.
    pub const fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns the accelerators in either set.
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the accelerators in both sets.
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the accelerators of this set that are not in the other.
    pub const fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether the set has no accelerator.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the runs of adjacent accelerators in the set, lowest first.
    pub fn runs(self) -> Vec<AcceleratorRun> {
        let mut runs = Vec::new();
        let mut bits = self.0;
        while bits != 0 {
            let first = bits.trailing_zeros();
            let length = (bits >> first).trailing_ones();
            runs.push(AcceleratorRun { first, length });
            bits &= !Self::block(first, length).0;
        }
        runs
    }

    /// Returns the first `count` accelerators of the shortest run that has as many, or
    /// `None` if no run has.
    pub fn best_block(self, count: u32) -> Option<Self> {
        if count == 0 {
            return Some(Self(0));
        }
        self.runs()
            .into_iter()
            .filter(|run| run.length >= count)
            .min_by_key(|run| (run.length, run.first))
            .map(|run| Self::block(run.first, count))
    }

    /// Returns the length of the longest run of adjacent accelerators.
    pub fn longest_run(self) -> u32 {
        self.runs().iter().map(|run| run.length).max().unwrap_or(0)
    }
}

impl Display for AcceleratorSet {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let numbers: Vec<String> = (0..MAX_ACCELERATORS)
            .filter(|number| self.0 >> number & 1 == 1)
            .map(|number| number.to_string())
            .collect();
        write!(f, "[{}]", numbers.join(","))
    }
}

/// Adjacent accelerators of one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceleratorRun {
    /// Lowest number of the run.
    pub first: u32,
    /// Number of accelerators; at least one.
    pub length: u32,
}

/// Resources that one task holds or may hold on its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskHolding {
    /// Resources held.
    pub demand: TaskDemand,
    /// Accelerators held: predicted until the worker responds, then as reported.
    pub accelerators: AcceleratorSet,
    /// Whether the worker reported the accelerators and has not since reported one of
    /// them for another task.
    pub granted: bool,
    /// Sequence number of the holding's insertion; never reused.
    pub generation: u64,
}

/// Capacity and holdings of one worker.
#[derive(Clone, Debug)]
pub struct WorkerCapacity {
    /// The worker's entry in the host list.
    pub record: WorkerRecord,
    /// Holdings by task.
    pub holdings: BTreeMap<TaskKey, TaskHolding>,
    /// Accelerators that no holding has. Always equal to `recounted_free`.
    pub free: AcceleratorSet,
    /// Resources that no holding has; zero for a resource that is overcommitted. Never
    /// more accelerators than are in `free`. Always equal to `recounted_spare`.
    pub spare: TaskDemand,
}

impl WorkerCapacity {
    /// Creates a worker without holdings.
    pub fn new(record: WorkerRecord) -> Self {
        let mut capacity = Self {
            record,
            holdings: BTreeMap::new(),
            free: AcceleratorSet::default(),
            spare: TaskDemand::default(),
        };
        capacity.recount();
        capacity
    }

    /// Returns all resources of the worker.
    pub fn total(&self) -> TaskDemand {
        TaskDemand {
            slots: self.record.slots,
            accelerators: self.record.accelerators.min(MAX_ACCELERATORS),
            cores: self.record.cores,
            memory_mb: self.record.memory_mb,
        }
    }

    /// Recomputes the free accelerators from the holdings.
    pub fn recounted_free(&self) -> AcceleratorSet {
        let all = AcceleratorSet::block(0, self.total().accelerators);
        self.holdings
            .values()
            .fold(all, |free, holding| free.difference(holding.accelerators))
    }

    /// Recomputes the spare resources from the holdings.
    pub fn recounted_spare(&self) -> TaskDemand {
        let mut spare = self.total();
        for holding in self.holdings.values() {
            spare = subtract(spare, holding.demand);
        }
        spare.accelerators = spare.accelerators.min(self.recounted_free().count());
        spare
    }

    /// Marks older grants that overlap the one of `key` as not granted: the worker must
    /// have ended those tasks, which its next list will show.
    fn revoke_overlapping_grants(&mut self, key: &TaskKey, accelerators: AcceleratorSet) {
        let others = self.holdings.iter_mut().filter(|(other, _)| *other != key);
        for (_, holding) in others {
            if !holding.accelerators.intersection(accelerators).is_empty() {
                holding.granted = false;
            }
        }
    }

    /// Predicts again which accelerators unanswered reservations will get, after the
    /// worker reported other accelerators than predicted for some task.
    fn predict_accelerators(&mut self) {
        let all = AcceleratorSet::block(0, self.total().accelerators);
        let mut free = self
            .holdings
            .values()
            .filter(|holding| holding.granted)
            .fold(all, |free, holding| free.difference(holding.accelerators));
        let mut displaced = Vec::new();
        for (key, holding) in self.holdings.iter().filter(|(_, holding)| !holding.granted) {
            let is_free = holding.accelerators.difference(free).is_empty();
            let has_demanded_count = holding.accelerators.count() == holding.demand.accelerators;
            if is_free && has_demanded_count {
                free = free.difference(holding.accelerators);
            } else {
                displaced.push(key.clone());
            }
        }
        for key in displaced {
            let Some(holding) = self.holdings.get_mut(&key) else {
                continue;
            };
            if let Some(block) = free.best_block(holding.demand.accelerators) {
                holding.accelerators = block;
                free = free.difference(block);
            }
        }
        self.recount();
    }

    fn recount(&mut self) {
        self.free = self.recounted_free();
        self.spare = self.recounted_spare();
    }

    /// Whether a task with this demand fits into the capacity that is free now.
    pub fn fits(&self, demand: &TaskDemand) -> bool {
        covers(&self.spare, demand) && self.free.best_block(demand.accelerators).is_some()
    }
}

/// Whether `capacity` has at least `demand` of every resource.
pub fn covers(capacity: &TaskDemand, demand: &TaskDemand) -> bool {
    capacity.slots >= demand.slots
        && capacity.accelerators >= demand.accelerators
        && capacity.cores >= demand.cores
        && capacity.memory_mb >= demand.memory_mb
}

/// Returns `capacity` minus `demand`, saturating at zero.
pub fn subtract(capacity: TaskDemand, demand: TaskDemand) -> TaskDemand {
    TaskDemand {
        slots: capacity.slots.saturating_sub(demand.slots),
        accelerators: capacity.accelerators.saturating_sub(demand.accelerators),
        cores: capacity.cores.saturating_sub(demand.cores),
        memory_mb: capacity.memory_mb.saturating_sub(demand.memory_mb),
    }
}

/// Capacity of the workers of one zone.
#[derive(Clone, Debug, Default)]
pub struct CapacityLedger {
    /// Workers by name.
    workers: BTreeMap<WorkerName, WorkerCapacity>,
    /// Worker of each holding. Contains exactly the holdings of all workers.
    holders: BTreeMap<TaskKey, WorkerName>,
    /// Generation of the newest holding.
    generation: u64,
    /// Number of changes so far.
    changes: u64,
}

impl CapacityLedger {
    /// Returns the number of changes so far. Equal numbers mean equal contents.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the workers by name.
    pub const fn workers(&self) -> &BTreeMap<WorkerName, WorkerCapacity> {
        &self.workers
    }

    /// Returns the worker of each holding.
    pub const fn holders(&self) -> &BTreeMap<TaskKey, WorkerName> {
        &self.holders
    }

    /// Returns a worker by name.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerCapacity> {
        self.workers.get(name)
    }

    /// Returns the holding of a task.
    pub fn holding(&self, key: &TaskKey) -> Option<&TaskHolding> {
        let worker = self.holders.get(key)?;
        self.workers.get(worker)?.holdings.get(key)
    }

    /// Adds a worker or updates its resources. Its holdings stay.
    pub fn update_worker(&mut self, record: WorkerRecord) {
        self.changes += 1;
        if let Some(capacity) = self.workers.get_mut(&record.name) {
            capacity.record = record;
            capacity.recount();
        } else {
            let name = record.name.clone();
            self.workers.insert(name, WorkerCapacity::new(record));
        }
    }

    /// Removes a worker with all its holdings.
    pub fn remove_worker(&mut self, name: &WorkerName) {
        self.changes += 1;
        let Some(capacity) = self.workers.remove(name) else {
            return;
        };
        for key in capacity.holdings.keys() {
            self.holders.remove(key);
        }
    }

    /// Removes every holding, as after the loss of leadership.
    pub fn clear_holdings(&mut self) {
        self.changes += 1;
        self.holders.clear();
        for capacity in self.workers.values_mut() {
            capacity.holdings.clear();
            capacity.recount();
        }
    }

    /// Holds `demand` for a task, with accelerators from the shortest run that fits.
    /// Returns false and holds nothing if the demand does not fit or the task already
    /// has a holding.
    pub fn hold(&mut self, worker: &WorkerName, key: &TaskKey, demand: TaskDemand) -> bool {
        let Some(capacity) = self.workers.get(worker) else {
            return false;
        };
        if self.holders.contains_key(key) || !covers(&capacity.spare, &demand) {
            return false;
        }
        let Some(accelerators) = capacity.free.best_block(demand.accelerators) else {
            return false;
        };
        self.insert(worker, key, demand, accelerators, false);
        true
    }

    /// Records the holding that the worker reports for a task, even if it exceeds the
    /// worker's capacity.
    pub fn observe(
        &mut self,
        worker: &WorkerName,
        key: &TaskKey,
        demand: TaskDemand,
        accelerators: AcceleratorSet,
    ) {
        self.release(key);
        self.insert(worker, key, demand, accelerators, true);
    }

    /// Records the accelerators that the worker granted to a task with a holding.
    pub fn grant(&mut self, key: &TaskKey, accelerators: AcceleratorSet) {
        let Some(worker) = self.holders.get(key) else {
            return;
        };
        let Some(capacity) = self.workers.get_mut(worker) else {
            return;
        };
        self.changes += 1;
        if let Some(holding) = capacity.holdings.get_mut(key) {
            holding.accelerators = accelerators;
            holding.granted = true;
        }
        capacity.revoke_overlapping_grants(key, accelerators);
        capacity.predict_accelerators();
    }

    /// Removes the holding of a task, if any.
    pub fn release(&mut self, key: &TaskKey) {
        let Some(worker) = self.holders.remove(key) else {
            return;
        };
        self.changes += 1;
        if let Some(capacity) = self.workers.get_mut(&worker) {
            capacity.holdings.remove(key);
            capacity.recount();
        }
    }

    fn insert(
        &mut self,
        worker: &WorkerName,
        key: &TaskKey,
        demand: TaskDemand,
        accelerators: AcceleratorSet,
        granted: bool,
    ) {
        let Some(capacity) = self.workers.get_mut(worker) else {
            return;
        };
        self.generation += 1;
        self.changes += 1;
        let holding = TaskHolding {
            demand,
            accelerators,
            granted,
            generation: self.generation,
        };
        capacity.holdings.insert(key.clone(), holding);
        if granted {
            capacity.revoke_overlapping_grants(key, accelerators);
        }
        capacity.predict_accelerators();
        self.holders.insert(key.clone(), worker.clone());
    }
}

impl Display for CapacityLedger {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (name, capacity) in &self.workers {
            let spare = capacity.spare;
            writeln!(
                f,
                "worker {name} rack {} free {} slots {} cores {} memory {}",
                capacity.record.rack, capacity.free, spare.slots, spare.cores, spare.memory_mb
            )?;
            for (key, holding) in &capacity.holdings {
                writeln!(
                    f,
                    "  {key} {} g{}",
                    holding.accelerators, holding.generation
                )?;
            }
        }
        Ok(())
    }
}
