//! Checks whether declared jobs and guarantees fit the declared capacity. Guarantees
//! are placed block by block on an empty zone. If no placement is found, they are
//! refused. The search is not exhaustive, so the check may refuse guarantees that
//! would fit, but never accepts any that do not.

use crate::version::settings::{BlockAdjacency, GuaranteedShape, JobClass, ZoneSettings};

/// Returns the value of an adjacency in the operator folder.
pub const fn adjacency_label(adjacency: BlockAdjacency) -> &'static str {
    match adjacency {
        BlockAdjacency::Worker => "worker",
        BlockAdjacency::Rack => "rack",
        BlockAdjacency::Zone => "zone",
    }
}

/// Returns the number of accelerators in the largest block of a zone with this
/// adjacency.
pub fn largest_block(zone: &ZoneSettings, adjacency: BlockAdjacency) -> u64 {
    let worker = u64::from(zone.accelerators_per_worker);
    worker * workers_within(zone, adjacency)
}

/// Returns whether an empty zone can run one gang of the class.
pub fn fits_class(zone: &ZoneSettings, class: &JobClass) -> bool {
    let per_worker = [
        u64::from(zone.slots_per_worker),
        tasks_per_worker(
            zone.accelerators_per_worker.into(),
            class.accelerators.into(),
        ),
        tasks_per_worker(zone.cores_per_worker.into(), class.cores.into()),
        tasks_per_worker(zone.memory_mb_per_worker, class.memory_mb),
    ];
    let tasks_of_worker = per_worker.into_iter().min().unwrap_or(0);
    let tasks = tasks_of_worker.saturating_mul(workers_within(zone, class.adjacency));
    tasks >= u64::from(class.tasks)
}

/// Returns the number of tasks that a resource of one worker allows; unlimited if the
/// tasks do not use it.
fn tasks_per_worker(capacity: u64, demand: u64) -> u64 {
    capacity.checked_div(demand).unwrap_or(u64::MAX)
}

fn workers_within(zone: &ZoneSettings, adjacency: BlockAdjacency) -> u64 {
    let rack = u64::from(zone.workers_per_rack);
    match adjacency {
        BlockAdjacency::Worker => 1,
        BlockAdjacency::Rack => rack,
        BlockAdjacency::Zone => rack * u64::from(zone.racks),
    }
}

/// Returns the number of blocks of each shape that can be placed together on the
/// empty zone, in the order of `shapes`. All fit if each number equals the blocks of
/// its shape.
pub fn place_guarantees(zone: &ZoneSettings, shapes: &[GuaranteedShape]) -> Vec<u32> {
    let mut packing = ZonePacking::new(zone);
    let mut placed = vec![0; shapes.len()];
    for index in packing_order(shapes) {
        let shape = &shapes[index];
        placed[index] = (0..shape.blocks)
            .take_while(|_| packing.place(shape.adjacency, shape.size))
            .count() as u32;
    }
    placed
}

/// Returns the order in which shapes are placed. Blocks that need entire workers come
/// first and large blocks before small ones, since the free part of a worker can still
/// hold a small block.
fn packing_order(shapes: &[GuaranteedShape]) -> Vec<usize> {
    let rank = |adjacency| match adjacency {
        BlockAdjacency::Rack => 0,
        BlockAdjacency::Zone => 1,
        BlockAdjacency::Worker => 2,
    };
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    order.sort_by_key(|&i| (rank(shapes[i].adjacency), std::cmp::Reverse(shapes[i].size)));
    order
}

/// Free accelerators of a zone while guarantees are placed.
struct ZonePacking {
    /// Accelerators of an empty worker; at least one.
    worker_size: u32,
    /// Free accelerators by rack and worker.
    racks: Vec<Vec<u32>>,
}

/// Position of a worker within a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct WorkerPosition {
    rack: usize,
    worker: usize,
}

impl ZonePacking {
    fn new(zone: &ZoneSettings) -> Self {
        let rack = vec![zone.accelerators_per_worker; zone.workers_per_rack as usize];
        Self {
            worker_size: zone.accelerators_per_worker.max(1),
            racks: vec![rack; zone.racks as usize],
        }
    }

    fn place(&mut self, adjacency: BlockAdjacency, size: u32) -> bool {
        let all_racks = 0..self.racks.len();
        match adjacency {
            BlockAdjacency::Worker => self.place_worker(size),
            BlockAdjacency::Zone => self.place_within(all_racks, size),
            BlockAdjacency::Rack => self.place_rack(size),
        }
    }

    /// Places a block on the worker with the fewest free accelerators that can hold it.
    fn place_worker(&mut self, size: u32) -> bool {
        let Some(place) = self.find_best_fit(0..self.racks.len(), size) else {
            return false;
        };
        self.racks[place.rack][place.worker] -= size;
        true
    }

    /// Places a block in the rack with the fewest free accelerators that can hold it.
    fn place_rack(&mut self, size: u32) -> bool {
        let mut order: Vec<usize> = (0..self.racks.len()).collect();
        order.sort_by_key(|&rack| self.racks[rack].iter().map(|&f| u64::from(f)).sum::<u64>());
        order
            .into_iter()
            .any(|rack| self.place_within(rack..rack + 1, size))
    }

    /// Places a block on empty workers, plus one worker for the remainder. A block made
    /// of the free parts of several workers could not run a gang whose tasks each take
    /// an entire worker.
    fn place_within(&mut self, racks: std::ops::Range<usize>, size: u32) -> bool {
        let full_workers = (size / self.worker_size) as usize;
        let remainder = size % self.worker_size;
        let mut allocated: Vec<WorkerPosition> = self
            .empty_workers(racks.clone())
            .take(full_workers)
            .collect();
        if allocated.len() < full_workers {
            return false;
        }
        self.allocate_workers(&allocated);
        if remainder == 0 {
            return true;
        }
        if let Some(place) = self.find_best_fit(racks, remainder) {
            self.racks[place.rack][place.worker] -= remainder;
            return true;
        }
        self.release_workers(&mut allocated);
        false
    }

    fn allocate_workers(&mut self, places: &[WorkerPosition]) {
        for place in places {
            self.racks[place.rack][place.worker] = 0;
        }
    }

    fn release_workers(&mut self, places: &mut Vec<WorkerPosition>) {
        for place in places.drain(..) {
            self.racks[place.rack][place.worker] = self.worker_size;
        }
    }

    fn workers(
        &self,
        racks: std::ops::Range<usize>,
    ) -> impl Iterator<Item = (WorkerPosition, u32)> {
        racks.flat_map(|rack| {
            let free = self.racks[rack].iter().enumerate();
            free.map(move |(worker, &free)| (WorkerPosition { rack, worker }, free))
        })
    }

    fn empty_workers(&self, racks: std::ops::Range<usize>) -> impl Iterator<Item = WorkerPosition> {
        let empty_size = self.worker_size;
        self.workers(racks)
            .filter(move |(_, free)| *free == empty_size)
            .map(|(place, _)| place)
    }

    fn find_best_fit(&self, racks: std::ops::Range<usize>, size: u32) -> Option<WorkerPosition> {
        self.workers(racks)
            .filter(|(_, free)| *free >= size)
            .min_by_key(|(_, free)| *free)
            .map(|(place, _)| place)
    }
}
