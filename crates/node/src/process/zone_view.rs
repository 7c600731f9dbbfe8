//! This host's view of every zone, from which it chooses the home zone of a job: the
//! open jobs in the log, and when a peer of the zone last sent a message.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::home_zone::{HomeZoneView, choose_home_zone};
use flamingowalk_core::version::capacity_check::fits_class;
use flamingowalk_core::version::settings::{JobClass, SystemSettings, ZoneSettings};

use crate::process::host_state::HostState;

/// Accelerators that the open jobs of one zone request.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneLoad {
    /// Accelerators for all customers.
    total: u32,
    /// Accelerators for the customer of the new job.
    of_customer: u32,
    /// Accelerator time of the jobs that have not started.
    waiting: Duration,
}

/// Returns the best home zone for a job, or `None` if no zone could ever hold it.
pub fn choose_zone(
    state: &HostState,
    customer: &CustomerName,
    class: &JobClass,
) -> Option<ZoneName> {
    let accelerators = class.tasks * class.accelerators;
    let zones = state.system.zones.iter();
    let views: Vec<HomeZoneView> = zones
        .map(|(zone, declared)| zone_view(state, customer, class, zone, declared))
        .collect();
    choose_home_zone(&views, accelerators, &state.settings.zone)
}

fn zone_view(
    state: &HostState,
    customer: &CustomerName,
    class: &JobClass,
    zone: &ZoneName,
    declared: &ZoneSettings,
) -> HomeZoneView {
    let load = zone_load(state, customer, zone);
    let accelerators = class.tasks * class.accelerators;
    let total = declared.racks * declared.workers_per_rack * declared.accelerators_per_worker;
    let free = total.saturating_sub(load.total);
    let guaranteed = guaranteed_accelerators(&state.system, customer, zone);
    HomeZoneView {
        zone: zone.clone(),
        age: zone_age(state, zone),
        can_hold: fits_class(declared, class),
        fits_now: free >= accelerators,
        unused_guarantee: guaranteed.saturating_sub(load.of_customer),
        queue_time: load.waiting / total.max(1),
        leftover: free.saturating_sub(accelerators),
    }
}

fn zone_load(state: &HostState, customer: &CustomerName, zone: &ZoneName) -> ZoneLoad {
    let mut load = ZoneLoad::default();
    for (_, job) in state.jobs.table.open_jobs() {
        let entry = &job.accepted.entry;
        let Some(class) = state.system.classes.get(&entry.class) else {
            continue;
        };
        if job.home() != zone {
            continue;
        }
        let accelerators = class.tasks * class.accelerators;
        load.total += accelerators;
        if entry.customer == *customer {
            load.of_customer += accelerators;
        }
        if job.attempts_started() == 0 {
            load.waiting += class.run_time * accelerators;
        }
    }
    load
}

fn guaranteed_accelerators(
    system: &SystemSettings,
    customer: &CustomerName,
    zone: &ZoneName,
) -> u32 {
    let shapes = system
        .customers
        .get(customer)
        .map(|customer| customer.guarantees.iter());
    let in_zone = shapes
        .into_iter()
        .flatten()
        .filter(|shape| shape.zone == *zone);
    in_zone.map(|shape| shape.blocks * shape.size).sum()
}

/// Returns the time since a host of the zone last sent a message; zero for the own zone.
fn zone_age(state: &HostState, zone: &ZoneName) -> Duration {
    if *zone == state.settings.zone {
        return Duration::ZERO;
    }
    let peers = state
        .peers
        .peers
        .values()
        .filter(|entry| entry.zone == *zone);
    let newest = peers.filter_map(|entry| entry.last_received_at).max();
    newest.map_or(Duration::MAX, |at| state.clock.now().since(at))
}
