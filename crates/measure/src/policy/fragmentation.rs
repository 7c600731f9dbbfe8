//! Fragmentation of the free accelerators of a zone.

use std::collections::BTreeMap;

use super::job_outcome::ZoneSample;

/// Accelerators of one worker at one time.
#[derive(Clone, Debug)]
pub(super) struct WorkerOccupancy {
    /// Rack of the worker.
    pub rack: String,
    /// Accelerators of the worker.
    pub total: u32,
    /// Numbers of the accelerators that are held.
    pub held: Vec<u32>,
    /// Number of accelerators that run a task.
    pub running: u32,
}

impl WorkerOccupancy {
    fn free(&self) -> u32 {
        self.total - self.held.len() as u32
    }

    fn longest_run(&self) -> u32 {
        let free: Vec<u32> = (0..self.total).filter(|n| !self.held.contains(n)).collect();
        let runs = free.chunk_by(|left, right| left + 1 == *right);
        runs.map(|run| run.len() as u32).max().unwrap_or(0)
    }
}

/// Measures the capacity of workers that are up. All workers must have the same number of
/// accelerators.
pub(super) fn measure_fragmentation(workers: &[WorkerOccupancy]) -> ZoneSample {
    let mut idle_by_rack: BTreeMap<&str, u32> = BTreeMap::new();
    let mut size_by_rack: BTreeMap<&str, u32> = BTreeMap::new();
    for worker in workers {
        *size_by_rack.entry(&worker.rack).or_default() += worker.total;
        if worker.held.is_empty() {
            *idle_by_rack.entry(&worker.rack).or_default() += worker.total;
        }
    }
    let largest_run = workers.iter().map(WorkerOccupancy::longest_run).max();
    let largest_idle = idle_by_rack.values().copied().max();
    let free = workers.iter().map(WorkerOccupancy::free).sum();
    let worker_size = workers.iter().map(|worker| worker.total).max().unwrap_or(0);
    let rack_size = size_by_rack.values().copied().max().unwrap_or(0);
    ZoneSample {
        total: workers.iter().map(|worker| worker.total).sum(),
        running: workers.iter().map(|worker| worker.running).sum(),
        free,
        largest_block: largest_run.max(largest_idle).unwrap_or(0),
        best_block: best_block(free, worker_size, rack_size),
        partial_gangs: 0,
    }
}

/// Returns the largest adjacent block if all free accelerators were packed together.
fn best_block(free: u32, worker_size: u32, rack_size: u32) -> u32 {
    if free < worker_size || worker_size == 0 {
        return free;
    }
    (free / worker_size * worker_size).min(rack_size)
}
