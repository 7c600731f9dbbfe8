//! Types that most modules of this crate use.

pub use flamingowalk_core::names::{ImageName, LabelName, MachineName, QueueName};
pub use flamingowalk_core::prelude::*;

pub use crate::keys::{
    GroupKey, JobKey, LeaderEpoch, RunNumber, StepKey, StreamOffset, UnitKey, WaveNumber,
    WorkerClock, WorkerIncarnation,
};
