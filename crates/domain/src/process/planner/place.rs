//! Where a group fits: pure search over the room of the workers. Groups are packed
//! tightly, so that whole workers and racks stay free for groups that need them.

use crate::prelude::*;
use crate::process::planner::sharing::{SharedUse, UnitShare};
use crate::process::planner::worker::PlanWorker;
use crate::request::submission::{StepShape, UnitDemand};

/// Room of one worker during a pass.
#[derive(Clone, Debug)]
pub struct CapacityRow {
    /// Worker.
    pub worker: WorkerName,
    /// Service of the worker.
    pub service: ServiceName,
    /// Rack of the worker.
    pub rack: Option<RackName>,
    /// Labels of the worker.
    pub labels: BTreeSet<LabelName>,
    /// Everything that it has.
    pub capacity: UnitDemand,
    /// What is free and kept for nobody.
    pub free: UnitDemand,
    /// Step of the worker's speed; higher is faster.
    pub tier: i32,
    /// Units of each step of each occurrence on it, where the step limits them.
    pub limited: BTreeMap<StepKey, u16>,
    /// Room that larger groups wait for.
    pub reservations: Vec<CapacityReservation>,
    /// Units on it that not every other unit may join.
    pub shared: SharedUse,
}

/// Room of a worker that is kept for a group that does not fit yet.
#[derive(Clone, Copy, Debug)]
pub struct CapacityReservation {
    /// What is kept.
    pub demand: UnitDemand,
    /// When the group is expected to begin; what ends before may use the room.
    pub from: MonotonicTime,
}

/// Workers for the members of a group, in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// One worker for each member.
    pub workers: Vec<WorkerName>,
    /// Whether the units slow down there, away from their data or from each other.
    pub is_remote: bool,
}

/// What a group asks of its place.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// Service whose workers run it.
    pub service: &'a ServiceName,
    /// Step of the group.
    pub key: StepKey,
    /// Shape of the step.
    pub shape: &'a StepShape,
    /// Members to place.
    pub count: u16,
    /// Workers to leave out.
    pub avoided: &'a [WorkerName],
    /// Workers that may run the step, where its queue needs approvals.
    pub approved: Option<&'a BTreeSet<WorkerName>>,
    /// Whether a place where the units slow down will do.
    pub allows_remote: bool,
    /// Whether it should end as soon as it can; others leave fast workers to it, and
    /// no room is kept from it.
    pub is_urgent: bool,
    /// When it is expected to end if it starts now.
    pub ends_at: MonotonicTime,
}

/// Room of all workers that may get something.
#[derive(Clone, Debug, Default)]
pub struct CapacityView {
    /// Rows in order of the workers' names.
    pub rows: Vec<CapacityRow>,
}

impl CapacityRow {
    /// The room of a worker.
    pub fn new(worker: &PlanWorker) -> Self {
        Self {
            worker: worker.report.name.clone(),
            service: worker.report.service.clone(),
            rack: worker.report.rack.clone(),
            labels: worker.report.labels.clone(),
            capacity: worker.report.capacity,
            free: worker.free_capacity_for(None),
            tier: worker.speed.tier(),
            limited: BTreeMap::new(),
            reservations: Vec::new(),
            shared: SharedUse::of(worker),
        }
    }

    /// Whether the worker may run the group at all.
    pub fn suits(&self, request: &PlaceRequest<'_>) -> bool {
        let shape = request.shape;
        let is_approved = |names: &BTreeSet<WorkerName>| names.contains(&self.worker);
        self.service == *request.service
            && request.approved.is_none_or(is_approved)
            && shape
                .label
                .as_ref()
                .is_none_or(|label| self.labels.contains(label))
    }

    /// Members that fit now.
    pub fn slots(&self, request: &PlaceRequest<'_>) -> u32 {
        let share = UnitShare::of(request.shape);
        let cpu_capacity = self.capacity.cpu_millis;
        let most = self
            .shared
            .slots(share, cpu_capacity, u32::from(request.count));
        let mut free = self.free;
        for keep in &self.reservations {
            if !request.is_urgent && keep.from < request.ends_at {
                free = free.minus(&keep.demand);
            }
        }
        let fitting = request.shape.reserved_demand().times_in(&free, most);
        let Some(limit) = request.shape.worker_limit else {
            return fitting;
        };
        let used = self.limited.get(&request.key).copied().unwrap_or(0);
        fitting.min(u32::from(limit.saturating_sub(used)))
    }

    /// Part of the worker that is free for a step. Fillers prefer workers with idle
    /// processors, so for them it counts the other way round.
    fn free_share(&self, shape: &StepShape) -> f64 {
        if shape.is_filler {
            let idle = self
                .free
                .cpu_millis
                .saturating_sub(self.shared.filler_cpu_millis);
            return -(idle as f64);
        }
        self.free.share_of(&self.capacity)
    }
}

impl CapacityView {
    /// A place for a group, if there is one.
    pub fn find_placement(&self, request: &PlaceRequest<'_>) -> Option<Placement> {
        let suited = self.suited(request);
        let shape = request.shape;
        if let Some(rack) = &shape.data_rack {
            let near: Vec<usize> = suited
                .iter()
                .copied()
                .filter(|index| self.rows[*index].rack.as_ref() == Some(rack))
                .collect();
            if let Some(workers) = self.fill_by_speed(&near, request, Self::fill) {
                return Some(Placement {
                    workers,
                    is_remote: false,
                });
            }
        } else if shape.same_rack && shape.is_gang && request.count > 1 {
            if let Some(workers) = self.fill_by_speed(&suited, request, Self::fill_rack) {
                return Some(Placement {
                    workers,
                    is_remote: false,
                });
            }
        } else {
            let workers = self.fill_by_speed(&suited, request, Self::fill);
            return workers.map(|workers| Placement {
                workers,
                is_remote: false,
            });
        }
        if !request.allows_remote {
            return None;
        }
        self.fill(&suited, request).map(|workers| Placement {
            workers,
            is_remote: true,
        })
    }

    /// Workers that may run the group: those to be avoided only if there is no other.
    pub fn suited(&self, request: &PlaceRequest<'_>) -> Vec<usize> {
        let suited: Vec<usize> = (0..self.rows.len())
            .filter(|index| self.rows[*index].suits(request))
            .collect();
        let is_avoided = |index: &usize| request.avoided.contains(&self.rows[*index].worker);
        if request.avoided.is_empty() || suited.iter().all(is_avoided) {
            return suited;
        }
        suited
            .into_iter()
            .filter(|index| !is_avoided(index))
            .collect()
    }

    /// Looks for a place among workers of like speed: a gang is as slow as its slowest
    /// member, and what is urgent gets the fast ones.
    fn fill_by_speed(
        &self,
        suited: &[usize],
        request: &PlaceRequest<'_>,
        fill: impl Fn(&Self, &[usize], &PlaceRequest<'_>) -> Option<Vec<WorkerName>>,
    ) -> Option<Vec<WorkerName>> {
        let tiers: BTreeSet<i32> = suited.iter().map(|index| self.rows[*index].tier).collect();
        let among = |keep: &dyn Fn(i32) -> bool| -> Vec<usize> {
            let kept = suited.iter().filter(|index| keep(self.rows[**index].tier));
            kept.copied().collect()
        };
        if !request.is_urgent {
            for tier in &tiers {
                let found = fill(self, &among(&|other| other == *tier), request);
                if found.is_some() {
                    return found;
                }
            }
        }
        tiers
            .iter()
            .rev()
            .find_map(|tier| fill(self, &among(&|other| other >= *tier), request))
    }

    /// Fills the fullest workers first.
    fn fill(&self, suited: &[usize], request: &PlaceRequest<'_>) -> Option<Vec<WorkerName>> {
        let mut open: Vec<(usize, u32)> = suited
            .iter()
            .map(|index| (*index, self.rows[*index].slots(request)))
            .filter(|(_, slots)| *slots > 0)
            .collect();
        let total: u32 = open.iter().map(|(_, slots)| slots).sum();
        if total < u32::from(request.count) {
            return None;
        }
        open.sort_by(|(left, _), (right, _)| {
            let left = self.rows[*left].free_share(request.shape);
            left.total_cmp(&self.rows[*right].free_share(request.shape))
        });
        let mut workers = Vec::with_capacity(usize::from(request.count));
        for (index, slots) in open {
            let missing = usize::from(request.count) - workers.len();
            let taken = missing.min(slots as usize);
            workers.extend(std::iter::repeat_n(self.rows[index].worker.clone(), taken));
        }
        Some(workers)
    }

    /// Fills the rack in which the least room is left over.
    fn fill_rack(&self, suited: &[usize], request: &PlaceRequest<'_>) -> Option<Vec<WorkerName>> {
        let mut racks: BTreeMap<&RackName, (u32, Vec<usize>)> = BTreeMap::new();
        for index in suited {
            let row = &self.rows[*index];
            let Some(rack) = &row.rack else {
                continue;
            };
            let slots = row.slots(request);
            if slots > 0 {
                let entry = racks.entry(rack).or_default();
                entry.0 += slots;
                entry.1.push(*index);
            }
        }
        let (_, rows) = racks
            .into_values()
            .filter(|(slots, _)| *slots >= u32::from(request.count))
            .min_by_key(|(slots, _)| *slots)?;
        self.fill(&rows, request)
    }

    /// Workers that are wholly free once a group is placed.
    pub fn free_workers_after(&self, placed: &Placement) -> usize {
        let is_whole =
            |row: &&CapacityRow| row.free == row.capacity && !placed.workers.contains(&row.worker);
        self.rows.iter().filter(is_whole).count()
    }

    /// Takes the room of a placed group.
    pub fn allocate(&mut self, request: &PlaceRequest<'_>, placement: &Placement) {
        for name in &placement.workers {
            let found = self.rows.binary_search_by(|row| row.worker.cmp(name));
            let Ok(index) = found else {
                continue;
            };
            let row = &mut self.rows[index];
            row.free = row.free.minus(&request.shape.reserved_demand());
            row.shared.add(UnitShare::of(request.shape));
            if request.shape.worker_limit.is_some() {
                *row.limited.entry(request.key).or_default() += 1;
            }
        }
    }
}
