//! Types that nearly every module uses.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::clock::{MonotonicTime, WallTime};
pub use crate::names::{
    ClassName, CustomerName, HostName, JobId, LeaseId, RackName, RecordId, RegionName, ServiceName,
    WorkerName, ZoneName,
};
