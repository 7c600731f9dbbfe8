//! A job as its caller describes it: steps of equal units, with the resources that a unit
//! requires and the constraints on where it may run.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prelude::*;

/// Limit of the units of a step; bounds the work that a job causes in the planner.
pub const MAX_UNITS_PER_STEP: u32 = 10_000;
/// Limit of the steps of a job.
pub const MAX_STEPS_PER_JOB: usize = 1_000;
/// Limit of the units of one occurrence of a job. The planner keeps state for each unit that
/// has not ended; 20 steps of 10,000 units were harmful. The largest jobs seen have hundreds of
/// steps with few units each, or gangs of 464 units.
pub const MAX_UNITS_PER_JOB: u32 = 40_000;
/// Limit of the text for the workers in bytes. The platform allows 4,000; every host keeps it
/// until the job's state is no longer reported.
pub const MAX_SPEC_BYTES: usize = 16 * 1024;
/// Limit of a name of a label, rack or image in bytes.
pub const MAX_NAME_BYTES: usize = 1024;

/// What a caller submits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSubmission {
    /// Text that the workers receive unchanged with every unit.
    pub spec: Arc<str>,
    /// Steps; at least one.
    pub steps: Vec<StepShape>,
    /// Times at which the steps run; `None` for a job that runs once and immediately.
    pub schedule: Option<OccurrenceSchedule>,
}

/// Times of a job that runs repeatedly or later.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OccurrenceSchedule {
    /// Due time of the first occurrence.
    pub first_at: WallMillis,
    /// Milliseconds from one occurrence's due time to the next.
    pub interval_ms: u64,
    /// Number of occurrences; at least one.
    pub count: u32,
}

/// Unix milliseconds in a record.
pub type WallMillis = u64;

impl OccurrenceSchedule {
    /// Returns the due time of an occurrence.
    pub const fn due_at(&self, occurrence: u32) -> WallTime {
        let offset = self.interval_ms.saturating_mul(occurrence as u64);
        WallTime(self.first_at.saturating_add(offset))
    }
}

/// A step: equal units that may run concurrently.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepShape {
    /// Number of units; at least one.
    pub count: u16,
    /// Resources that each unit occupies.
    #[serde(rename = "need")]
    pub demand: UnitDemand,
    /// The caller's estimate of the run time of a unit, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be complete before this one starts.
    pub after: Vec<u16>,
    /// Whether the units are a gang, which runs only as a whole.
    pub is_gang: bool,
    /// Whether the units slow down unless they share a rack.
    pub same_rack: bool,
    /// Whether a stopped unit can resume from a checkpoint.
    pub has_checkpoints: bool,
    /// Label that a worker must have, if any.
    pub label: Option<LabelName>,
    /// Rack that holds the data; the units run more slowly on others.
    pub data_rack: Option<RackName>,
    /// Maximum number of units of one occurrence of the step on the same worker.
    pub worker_limit: Option<u16>,
    /// Whether several copies of a unit may run at once, of which the first to finish counts.
    pub is_speculative: bool,
    /// Whether the units run until the job is cancelled.
    pub is_long_running: bool,
    /// Program that the units run. Units with the same image behave alike.
    pub image: Option<ImageName>,
    /// Bound in milliseconds on the tail response time of a unit that itself serves users.
    pub tail_target_ms: Option<u64>,
    /// Whether the units only use processor time that other units leave unused.
    pub is_filler: bool,
    /// Number of units of a long-running step that planned maintenance may interrupt at once.
    pub may_miss: Option<u16>,
}

/// Amounts of resources: the demand of a unit, or the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnitDemand {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl UnitDemand {
    /// Whether a unit with this demand fits into `free`.
    pub const fn fits(&self, free: &Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Returns how many such units fit into `free`, but not more than `limit`.
    pub fn count_fitting(&self, free: &Self, limit: u32) -> u32 {
        let parts = [
            free.cpu_millis.checked_div(self.cpu_millis),
            free.memory_mb.checked_div(self.memory_mb),
            u64::from(free.accelerators).checked_div(u64::from(self.accelerators)),
        ];
        let fitting = parts.into_iter().flatten().min();
        fitting.map_or(limit, |n| u32::try_from(n).unwrap_or(limit).min(limit))
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns `self` less `other`; zero for a resource of which `other` has more.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the dominant share: the largest fraction of any resource of `total` that this
    /// demand occupies, from 0 to 1 if it fits.
    pub fn share_of(&self, total: &Self) -> f64 {
        let part = |demand: u64, all: u64| {
            if demand == 0 {
                0.0
            } else {
                demand as f64 / all.max(1) as f64
            }
        };
        part(self.cpu_millis, total.cpu_millis)
            .max(part(self.memory_mb, total.memory_mb))
            .max(part(
                u64::from(self.accelerators),
                u64::from(total.accelerators),
            ))
    }
}

/// Why a submission is refused as malformed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SubmissionError {
    /// The job has no steps or too many.
    #[error("a job has 1 to {MAX_STEPS_PER_JOB} steps; split the job")]
    StepCount,
    /// A step has no units or too many.
    #[error("step {step} needs 1 to {MAX_UNITS_PER_STEP} units; set its count")]
    UnitCount {
        /// The step.
        step: usize,
    },
    /// All steps together have too many units.
    #[error("a job has at most {MAX_UNITS_PER_JOB} units in all steps; split the job")]
    TotalUnitCount,
    /// The text for the workers is too long.
    #[error("a spec has at most {MAX_SPEC_BYTES} bytes; pass a reference to larger data")]
    SpecSize,
    /// A name in a step is too long.
    #[error("step {step} has a name of over {MAX_NAME_BYTES} bytes; shorten it")]
    NameSize {
        /// The step.
        step: usize,
    },
    /// A step depends on itself or a later one.
    #[error("step {step} may only wait for earlier steps; correct the list")]
    Order {
        /// The step.
        step: usize,
    },
    /// A schedule has no occurrences.
    #[error("a schedule needs one occurrence or more; set its count or leave it out")]
    Schedule,
}

impl JobSubmission {
    /// Checks the rules that the types do not enforce.
    ///
    /// # Errors
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), SubmissionError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS_PER_JOB {
            return Err(SubmissionError::StepCount);
        }
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(SubmissionError::SpecSize);
        }
        let mut units = 0;
        for (step, shape) in self.steps.iter().enumerate() {
            if shape.count == 0 || u32::from(shape.count) > MAX_UNITS_PER_STEP {
                return Err(SubmissionError::UnitCount { step });
            }
            units += u32::from(shape.count);
            if units > MAX_UNITS_PER_JOB {
                return Err(SubmissionError::TotalUnitCount);
            }
            if shape.name_bytes() > MAX_NAME_BYTES {
                return Err(SubmissionError::NameSize { step });
            }
            if shape
                .after
                .iter()
                .any(|before| usize::from(*before) >= step)
            {
                return Err(SubmissionError::Order { step });
            }
        }
        if self.schedule.is_some_and(|schedule| schedule.count == 0) {
            return Err(SubmissionError::Schedule);
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Whether some step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}

impl StepShape {
    /// Returns the size of the longest name.
    fn name_bytes(&self) -> usize {
        let label = self.label.as_ref().map(LabelName::as_str);
        let rack = self.data_rack.as_ref().map(RackName::as_str);
        let image = self.image.as_ref().map(ImageName::as_str);
        let names = [label, rack, image];
        names.into_iter().flatten().map(str::len).max().unwrap_or(0)
    }

    /// Returns the demand of a unit that is reserved on its worker. A filler unit reserves no
    /// processor time, since it only uses what others leave.
    pub const fn reserved_demand(&self) -> UnitDemand {
        let cpu_millis = if self.is_filler {
            0
        } else {
            self.demand.cpu_millis
        };
        UnitDemand {
            cpu_millis,
            ..self.demand
        }
    }

    /// Returns the number of units that start and end together: all of a gang, else one.
    pub const fn group_size(&self) -> u16 {
        if self.is_gang { self.count } else { 1 }
    }

    /// Returns the keys of the groups of one occurrence of the step.
    pub fn groups(&self, job: JobKey, occurrence: u32, step: u16) -> Vec<GroupKey> {
        let key = |index| GroupKey {
            job,
            occurrence,
            step,
            index,
        };
        if self.is_gang {
            return vec![key(None)];
        }
        (0..self.count).map(|index| key(Some(index))).collect()
    }
}
