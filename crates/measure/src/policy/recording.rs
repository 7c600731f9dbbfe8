//! Records the events that the planner of a zone receives in a run on the virtual clock, so
//! that they can be replayed to another planner with the same seed.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::PlannerEvent;
use flamingowalk_core::process::planner::state::PlannerState;
use flamingowalk_core::version::settings::SystemSettings;

use super::workload::{JobArrival, PolicyWorkload};
use super::zone_run::{JobFeed, RunLength, ZoneSetup, record_run};

/// Event received by the planner.
#[derive(Clone, Debug)]
pub struct RecordedEvent {
    /// Time of receipt.
    pub at: MonotonicTime,
    /// Event.
    pub event: PlannerEvent,
}

/// Job of a recorded run.
#[derive(Clone, Debug)]
pub struct RecordedJob {
    /// Customer.
    pub customer: CustomerName,
    /// Declared class.
    pub class: ClassName,
    /// Time of its acceptance.
    pub at: Duration,
    /// Real run time.
    pub run_time: Duration,
}

/// Runs the first zone of the settings for `length` and returns the events of its planner.
/// `jobs` must be in order of arrival.
pub fn record_zone(
    settings: &Arc<SystemSettings>,
    planner: &dyn Fn() -> PlannerState,
    jobs: &[RecordedJob],
    length: Duration,
) -> Vec<RecordedEvent> {
    let (zone, _) = settings
        .zones
        .first_key_value()
        .expect("checked settings have a zone");
    let arrivals = jobs.iter().enumerate().map(|(index, job)| {
        let class = &settings.classes[&job.class];
        JobArrival {
            id: JobId::from(format!("job-{index:06}")),
            at: MonotonicTime::default() + job.at,
            customer: job.customer.clone(),
            class: job.class.clone(),
            accelerators: class.tasks * class.accelerators,
            urgent: false,
            zone: zone.clone(),
            run_time: job.run_time,
            fails: false,
            is_too_large: false,
            cancel_at: None,
        }
    });
    let workload = PolicyWorkload {
        arrivals: arrivals.collect(),
        faults: Vec::new(),
    };
    record_run(ZoneSetup {
        zone: zone.clone(),
        settings: Arc::clone(settings),
        workload: &workload,
        length: RunLength {
            arrivals: length,
            drain: Duration::ZERO,
        },
        feed: JobFeed::Direct,
        planner: planner(),
    })
}
