//! Tests of a whole planning domain on a virtual clock.

mod advice;
mod attempts;
mod claims;
mod configuration;
mod dry_run;
mod evacuation;
mod explain;
mod faults;
mod leases;
mod load;
mod numbers;
mod overload;
mod policy;
mod reclaim_search;
mod recorded_runs;
mod reread;
mod search;
mod sharing;
mod shrunk_pool;
mod size;
mod speeds;
mod support;
mod upkeep;
