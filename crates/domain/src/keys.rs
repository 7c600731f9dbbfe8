//! Identifiers and counters of a planning domain, one type each. Most are displayed with a
//! prefix that names their kind.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Length of a job identifier in hexadecimal digits.
const JOB_KEY_DIGITS: usize = 16;

/// Identifier of a job, chosen by the caller; displayed as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobKey(pub u64);

/// Error of a text that is not a job identifier.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("not a job identifier; write 16 lower-case hexadecimal digits")]
pub struct JobKeyError;

impl FromStr for JobKey {
    type Err = JobKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_KEY_DIGITS || !text.bytes().all(is_digit) {
            return Err(JobKeyError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_overflow| JobKeyError)
    }
}

impl Display for JobKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of a wave of upkeep.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WaveNumber(pub u64);

impl Display for WaveNumber {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "wave/{}", self.0)
    }
}

/// Identifies a group, the units that start and end together: a whole gang, or one unit of
/// a step that is not a gang.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence of the job; zero for a job without a schedule.
    pub occurrence: u32,
    /// Step, counted from zero.
    pub step: u16,
    /// Unit of the step, counted from zero; `None` for a gang.
    pub index: Option<u16>,
}

impl GroupKey {
    /// Returns the unit of a member. `member` counts the units of a gang from zero.
    pub fn unit(&self, member: u16) -> UnitKey {
        UnitKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index: self.index.unwrap_or(member),
        }
    }
}

/// Identifies a step of an occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence of the job; zero for a job without a schedule.
    pub occurrence: u32,
    /// Step, counted from zero.
    pub step: u16,
}

impl StepKey {
    /// Returns the step of a group.
    pub const fn of(group: &GroupKey) -> Self {
        Self {
            job: group.job,
            occurrence: group.occurrence,
            step: group.step,
        }
    }
}

impl Display for StepKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl Display for GroupKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)?;
        match self.index {
            Some(index) => write!(f, ".{index}"),
            None => write!(f, ".gang"),
        }
    }
}

/// Identifies a unit, the part of a step that one worker runs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct UnitKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence of the job; zero for a job without a schedule.
    pub occurrence: u32,
    /// Step, counted from zero.
    pub step: u16,
    /// Unit of the step, counted from zero.
    pub index: u16,
}

impl Display for UnitKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// Epoch of a planner's term as leader. Orders and records of a planner are refused once
/// those of a higher epoch have been seen.
#[derive(Clone, Copy, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct LeaderEpoch(pub u64);

impl Display for LeaderEpoch {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "epoch{}", self.0)
    }
}

// The state dump prints this form, so the type name in it stays `SeatEpoch`.
impl fmt::Debug for LeaderEpoch {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_tuple("SeatEpoch").field(&self.0).finish()
    }
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty) $prefix:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    )*};
}

number_types! {
    /// Number of a start of a group, counted from one; zero before the first. It keeps
    /// rising when the planner changes, since each start is in the log before it is sent.
    RunNumber(u32) "run";
    /// Position of a record in a stream.
    StreamOffset(u64) "offset";
    /// Incarnation of a worker: Unix milliseconds of its start.
    WorkerIncarnation(u64) "life";
    /// Milliseconds on a worker's own monotonic clock. Values of different incarnations
    /// are not comparable, and the clock may run slow; see [`CLOCK_DRIFT_PARTS`].
    WorkerClock(u64) "clock";
}

/// A worker's clock may run slow by one part in this many (2%).
pub const CLOCK_DRIFT_PARTS: u64 = 50;
