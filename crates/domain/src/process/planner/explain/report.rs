//! Report of a dry run, as text for people and as a value that programs can decode.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use crate::prelude::*;
use crate::request::submission::UnitDemand;

/// Where a job would go now and why. Times are in milliseconds from now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobExplanation {
    /// Queue of the job.
    pub queue: QueueName,
    /// Service whose workers would run it.
    pub service: ServiceName,
    /// Priority of the queue; zero is the most urgent.
    pub priority: u8,
    /// Whether the job would be within its customer's guarantee.
    pub is_guaranteed: bool,
    /// Time after which the queue may accept jobs again, if it is full. A submission would be
    /// rejected meanwhile.
    pub rejected_for_ms: Option<u64>,
    /// Time until the first occurrence is due, if that is later than now. The rest applies as
    /// if it were due now.
    pub due_to_start_in_ms: Option<u64>,
    /// Steps that wait for no other step.
    pub first_steps: Vec<StepExplanation>,
    /// Number of the steps that wait for others.
    pub later_steps: usize,
}

/// Where the groups of a step would go now and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepExplanation {
    /// Number of the step in the job.
    pub step: u16,
    /// Number of groups, which start independently of each other.
    pub groups: usize,
    /// Units of each group, which start together.
    pub units_per_group: u16,
    /// Waiting groups of other jobs that are planned before.
    pub groups_before: usize,
    /// Workers of each group that would start now.
    pub starts: Vec<Vec<WorkerName>>,
    /// Why the other groups would wait.
    pub wait: Option<WaitCause>,
    /// What the first waiting group would stop.
    pub stops: Option<StopExplanation>,
    /// Whether capacity that becomes free would be reserved for the first waiting group.
    pub is_reserved: bool,
    /// Expected start of the first group, where it is known.
    pub start_in_ms: Option<u64>,
    /// Expected end of the first group; `None` also for a long-running step.
    pub end_in_ms: Option<u64>,
    /// Time left until the end of the job's objective.
    pub objective_in_ms: u64,
    /// Time left until the end of its late objective.
    pub late_objective_in_ms: u64,
}

/// Why a group would wait.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "kebab-case")]
pub enum WaitCause {
    /// Nothing may start before the planner knows the operator's orders.
    Barred {
        /// Label of the bar.
        bar: &'static str,
    },
    /// No worker may run the units, whatever its free capacity.
    NoEligibleWorker {
        /// Workers of the service.
        of_service: usize,
        /// Those of them that have the label and accept starts.
        matching: usize,
        /// Those of the matching ones that are in a zone that the operator has closed.
        in_closed_zones: usize,
        /// Closed zones.
        closed_zones: Vec<ZoneName>,
        /// Label that the step requires.
        label: Option<LabelName>,
    },
    /// The units need an approval of their workers, which is requested only for jobs that are
    /// submitted.
    Approval {
        /// Workers that would be chosen if they were approved.
        workers: Vec<WorkerName>,
    },
    /// The capacity is free, but reserved for groups that come before.
    Reserved {
        /// Workers that may run the units and are reserved in part.
        on_workers: usize,
    },
    /// The capacity is free, but not in the rack of the data or not within one rack, and the
    /// group still waits for that.
    Locality {
        /// Units that fit now, anywhere.
        fitting_units: u32,
    },
    /// The capacity is free, but kept for urgent work.
    KeptForUrgent,
    /// The capacity is free, but on workers on which the group would miss its objective, and
    /// faster ones become free in time.
    FasterWorkers {
        /// The faster workers, one for each unit.
        workers: Vec<WorkerName>,
    },
    /// Too little capacity is free.
    NoCapacity {
        /// Workers that may run the units.
        eligible: usize,
        /// Units that fit now.
        fitting_units: u32,
        /// Units that have to fit.
        needed_units: u16,
        /// Free capacity of these workers together.
        free: FreeCapacity,
        /// Capacity that one unit needs.
        unit: FreeCapacity,
    },
}

/// Amounts of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FreeCapacity {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl From<UnitDemand> for FreeCapacity {
    fn from(demand: UnitDemand) -> Self {
        Self {
            cpu_millis: demand.cpu_millis,
            memory_mb: demand.memory_mb,
            accelerators: demand.accelerators,
        }
    }
}

/// Runs that a group would stop.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StopExplanation {
    /// Groups whose runs would be stopped.
    pub groups: Vec<String>,
    /// Cost of the stops in core seconds: lost work, and a fixed cost of each stop.
    pub lost_core_seconds: f64,
    /// Workers on which the group would run then.
    pub workers: Vec<WorkerName>,
}

impl Display for JobExplanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "queue {} service {} priority {} guaranteed {}",
            self.queue, self.service, self.priority, self.is_guaranteed
        )?;
        if let Some(time) = self.rejected_for_ms {
            writeln!(f, "rejected: the queue is full; retry after {time} ms")?;
        }
        if let Some(time) = self.due_to_start_in_ms {
            writeln!(
                f,
                "first occurrence due in {time} ms; explained as if due now"
            )?;
        }
        for step in &self.first_steps {
            write!(f, "{step}")?;
        }
        if self.later_steps > 0 {
            writeln!(f, "{} later steps wait for these", self.later_steps)?;
        }
        Ok(())
    }
}

impl Display for StepExplanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let started = self.starts.len();
        writeln!(
            f,
            "step {}: {started} of {} groups of {} units start now; {} groups come before",
            self.step, self.groups, self.units_per_group, self.groups_before
        )?;
        for workers in &self.starts {
            writeln!(f, "  start on {}", join(workers))?;
        }
        if let Some(cause) = &self.wait {
            writeln!(f, "  wait: {cause}")?;
        }
        if let Some(stops) = &self.stops {
            let lost = stops.lost_core_seconds;
            let (groups, workers) = (stops.groups.join(","), join(&stops.workers));
            writeln!(
                f,
                "  stops {groups} (cost {lost:.0} core seconds) to run on {workers}"
            )?;
        }
        if self.is_reserved {
            writeln!(f, "  capacity is reserved for the first waiting group")?;
        }
        let time = |time: Option<u64>| time.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
        writeln!(
            f,
            "  expected start {} end {}; objective {} ms, late objective {} ms",
            time(self.start_in_ms),
            time(self.end_in_ms),
            self.objective_in_ms,
            self.late_objective_in_ms
        )
    }
}

impl Display for WaitCause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Barred { bar } => write!(f, "nothing may start ({bar})"),
            Self::NoEligibleWorker {
                of_service,
                matching,
                in_closed_zones,
                closed_zones,
                label,
            } => {
                let label = label.as_ref().map_or("none", LabelName::as_str);
                let zones: Vec<_> = closed_zones.iter().map(ZoneName::as_str).collect();
                write!(
                    f,
                    "no eligible worker: {of_service} of the service, {matching} of them open \
                     with label {label}, {in_closed_zones} of those in closed zones [{}]",
                    zones.join(",")
                )
            }
            Self::Approval { workers } => {
                write!(f, "approval needed; would ask for {}", join(workers))
            }
            Self::Reserved { on_workers } => {
                write!(
                    f,
                    "free capacity of {on_workers} workers is reserved for earlier groups"
                )
            }
            Self::Locality { fitting_units } => write!(
                f,
                "waits for its rack: {fitting_units} units fit, but not near the data or not in \
                 one rack"
            ),
            Self::KeptForUrgent => f.write_str("the free workers are kept for urgent work"),
            Self::FasterWorkers { workers } => write!(
                f,
                "waits for faster workers that become free in time: {}",
                join(workers)
            ),
            Self::NoCapacity {
                eligible,
                fitting_units,
                needed_units,
                free,
                unit,
            } => write!(
                f,
                "no capacity: {fitting_units} of {needed_units} units fit on {eligible} eligible \
                 workers; free cpu {} memory {} accelerators {}; a unit needs cpu {} memory {} \
                 accelerators {}",
                free.cpu_millis,
                free.memory_mb,
                free.accelerators,
                unit.cpu_millis,
                unit.memory_mb,
                unit.accelerators
            ),
        }
    }
}

fn join(workers: &[WorkerName]) -> String {
    let names: Vec<_> = workers.iter().map(WorkerName::as_str).collect();
    names.join(",")
}
