//! Gauges of a host: its role, its distance behind the log, and on the planner also the
//! waiting groups, workers and accelerators.

use metrics::gauge;

use crate::prelude::*;
use crate::process::host::DomainHost;
use crate::process::planner::PlannerState;
use crate::version::manifest::DomainManifest;

/// One while this host plans.
pub const LEADERSHIP_HELD: &str = "flamingowalk_domain_seat_held";
/// Counter of takeovers, in which this host started to plan.
pub const TAKEOVERS: &str = "flamingowalk_domain_takeovers_total";
/// Jobs that have not ended.
pub const OPEN_JOBS: &str = "flamingowalk_domain_open_jobs";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "flamingowalk_domain_config_version";
/// One while this host reaches the log.
pub const LOG_REACHABLE: &str = "flamingowalk_domain_log_reachable";
/// Seconds since the newest read that reached the tail of the jobs stream was sent.
pub const READ_LAG: &str = "flamingowalk_domain_read_lag_seconds";
/// Zones that the operator has closed by an evacuation.
pub const CLOSED_ZONES: &str = "flamingowalk_domain_closed_zones";
/// Seconds since the newest read that reached the tail of the operator's stream was sent.
pub const ORDERS_LAG: &str = "flamingowalk_domain_operator_lag_seconds";
/// Groups that wait for capacity, by `priority`; on the planner.
pub const WAITING_GROUPS: &str = "flamingowalk_domain_waiting_groups";
/// Seconds for which the oldest of these groups has waited, by `priority`; on the planner.
pub const OLDEST_WAIT: &str = "flamingowalk_domain_oldest_wait_seconds";
/// Workers by `state`; on the planner.
pub const WORKERS: &str = "flamingowalk_domain_workers";
/// Accelerators by `state`; on the planner.
pub const ACCELERATORS: &str = "flamingowalk_domain_accelerators";
/// Standard deviation of the logarithms of the workers' speeds, zero where they do not differ;
/// on the planner.
pub const SPEED_DEVIATION: &str = "flamingowalk_domain_worker_speed_deviation";
/// Workers whose speed is known well enough to rely on; on the planner.
pub const KNOWN_SPEEDS: &str = "flamingowalk_domain_worker_speeds_known";

impl DomainHost {
    /// Sets every gauge. The planner's gauges keep their last values when planning ends.
    pub(super) fn set_gauges(&self, now: MonotonicTime) {
        gauge!(LEADERSHIP_HELD).set(f64::from(u8::from(self.planner.is_some())));
        gauge!(LOG_REACHABLE).set(f64::from(u8::from(self.has_log(now))));
        let open = self.job_table.jobs().values().filter(|job| job.is_open());
        gauge!(OPEN_JOBS).set(open.count() as f64);
        if let Some(manifest) = &self.manifest {
            gauge!(CONFIG_VERSION).set(manifest.version as f64);
        }
        if let Some(confirmed_at) = self.jobs.confirmed_at() {
            gauge!(READ_LAG).set(now.since(confirmed_at).as_secs_f64());
        }
        gauge!(CLOSED_ZONES).set(self.closed_zones.len() as f64);
        if let Some(confirmed_at) = self.config.confirmed_at() {
            gauge!(ORDERS_LAG).set(now.since(confirmed_at).as_secs_f64());
        }
        if let Some((planner, manifest)) = self.planner.as_ref().zip(self.manifest.as_ref()) {
            set_queue_gauges(now, planner, manifest);
            set_worker_gauges(now, planner);
            set_speed_gauges(planner);
        }
    }
}

fn set_queue_gauges(now: MonotonicTime, planner: &PlannerState, manifest: &DomainManifest) {
    let mut waiting: BTreeMap<u8, WaitingTotal> = BTreeMap::new();
    for queue in manifest.queues.values() {
        waiting.entry(queue.priority).or_default();
    }
    for step in planner.waiting(now) {
        let total = waiting.entry(step.priority).or_default();
        total.groups += step.groups.len();
        total.oldest = total.oldest.max(now.since(step.ready_at));
    }
    for (priority, total) in waiting {
        let priority = priority.to_string();
        gauge!(WAITING_GROUPS, "priority" => priority.clone()).set(total.groups as f64);
        gauge!(OLDEST_WAIT, "priority" => priority).set(total.oldest.as_secs_f64());
    }
}

/// Waiting groups of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingTotal {
    groups: usize,
    oldest: Duration,
}

fn set_speed_gauges(planner: &PlannerState) {
    let speeds = planner.speeds();
    let deviation = if speeds.spread.differ {
        speeds.spread.deviation
    } else {
        0.0
    };
    gauge!(SPEED_DEVIATION).set(deviation);
    let names = planner.workers().keys();
    let known = names.filter(|name| speeds.estimate(name).is_known());
    gauge!(KNOWN_SPEEDS).set(known.count() as f64);
}

fn set_worker_gauges(now: MonotonicTime, planner: &PlannerState) {
    let (mut open, mut draining, mut unresponsive, mut excluded) = (0_u32, 0_u32, 0_u32, 0_u32);
    let mut evacuated = 0_u32;
    let (mut held, mut free) = (0_u32, 0_u32);
    for worker in planner.workers().values() {
        let count = if worker.is_draining {
            &mut draining
        } else if worker.link.failures > 0 || !worker.is_listed {
            &mut unresponsive
        } else if planner.is_evacuated(worker) {
            &mut evacuated
        } else if worker.is_open(now) {
            &mut open
        } else {
            &mut excluded
        };
        *count += 1;
        let total = worker.report.capacity.accelerators;
        free = free.saturating_add(worker.free.accelerators);
        held = held.saturating_add(total.saturating_sub(worker.free.accelerators));
    }
    let counts = [
        ("open", open),
        ("leaving", draining),
        ("silent", unresponsive),
        ("set-aside", excluded),
        ("evacuated", evacuated),
    ];
    for (state, count) in counts {
        gauge!(WORKERS, "state" => state).set(f64::from(count));
    }
    gauge!(ACCELERATORS, "state" => "held").set(f64::from(held));
    gauge!(ACCELERATORS, "state" => "free").set(f64::from(free));
}
