//! Whether declared jobs and guarantees fit the declared capacity. Guarantees
//! are placed block by block on empty zones: a placement that is found proves
//! that they fit together; one that is not found is refused, so the check errs
//! on the safe side only.

use crate::version::settings::{BlockAdjacency, GuaranteedShape, JobClass, ZoneSettings};

/// The word of the operator folder for an adjacency.
pub const fn adjacency_label(adjacency: BlockAdjacency) -> &'static str {
    match adjacency {
        BlockAdjacency::Worker => "worker",
        BlockAdjacency::Rack => "rack",
        BlockAdjacency::Zone => "zone",
    }
}

/// Accelerators of the largest place of a zone with this adjacency.
pub fn largest_block(zone: &ZoneSettings, adjacency: BlockAdjacency) -> u64 {
    let worker = u64::from(zone.accelerators_per_worker);
    worker * workers_within(zone, adjacency)
}

/// Whether an empty zone can run one gang of the class.
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

/// Tasks that a resource of one worker allows; no limit when none is needed.
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

/// Blocks of each shape that find a place together on the empty zone, in the
/// order of `shapes`. All fit when each count equals the blocks of its shape.
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

/// Blocks that need whole workers go first and large ones before small ones,
/// since the rest of a worker still serves a small block.
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

/// Free accelerators while guarantees are placed.
struct ZonePacking {
    /// Accelerators of one empty worker; at least one.
    worker_size: u32,
    /// Free accelerators by rack and worker.
    racks: Vec<Vec<u32>>,
}

/// A worker within a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct WorkerPlace {
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

    /// The tightest worker with enough room.
    fn place_worker(&mut self, size: u32) -> bool {
        let Some(place) = self.tightest(0..self.racks.len(), size) else {
            return false;
        };
        self.racks[place.rack][place.worker] -= size;
        true
    }

    /// The rack with the fewest free accelerators that holds the block.
    fn place_rack(&mut self, size: u32) -> bool {
        let mut order: Vec<usize> = (0..self.racks.len()).collect();
        order.sort_by_key(|&rack| self.racks[rack].iter().map(|&f| u64::from(f)).sum::<u64>());
        order
            .into_iter()
            .any(|rack| self.place_within(rack..rack + 1, size))
    }

    /// Whole empty workers plus one remainder. A block in pieces of several
    /// workers' leftovers would serve no gang whose tasks take whole workers.
    fn place_within(&mut self, racks: std::ops::Range<usize>, size: u32) -> bool {
        let whole = (size / self.worker_size) as usize;
        let remainder = size % self.worker_size;
        let mut taken: Vec<WorkerPlace> = self.empty_workers(racks.clone()).take(whole).collect();
        if taken.len() < whole {
            return false;
        }
        self.take_whole(&taken);
        if remainder == 0 {
            return true;
        }
        if let Some(place) = self.tightest(racks, remainder) {
            self.racks[place.rack][place.worker] -= remainder;
            return true;
        }
        self.give_back(&mut taken);
        false
    }

    fn take_whole(&mut self, places: &[WorkerPlace]) {
        for place in places {
            self.racks[place.rack][place.worker] = 0;
        }
    }

    fn give_back(&mut self, places: &mut Vec<WorkerPlace>) {
        for place in places.drain(..) {
            self.racks[place.rack][place.worker] = self.worker_size;
        }
    }

    fn workers(&self, racks: std::ops::Range<usize>) -> impl Iterator<Item = (WorkerPlace, u32)> {
        racks.flat_map(|rack| {
            let free = self.racks[rack].iter().enumerate();
            free.map(move |(worker, &free)| (WorkerPlace { rack, worker }, free))
        })
    }

    fn empty_workers(&self, racks: std::ops::Range<usize>) -> impl Iterator<Item = WorkerPlace> {
        let whole = self.worker_size;
        self.workers(racks)
            .filter(move |(_, free)| *free == whole)
            .map(|(place, _)| place)
    }

    fn tightest(&self, racks: std::ops::Range<usize>, size: u32) -> Option<WorkerPlace> {
        self.workers(racks)
            .filter(|(_, free)| *free >= size)
            .min_by_key(|(_, free)| *free)
            .map(|(place, _)| place)
    }
}
