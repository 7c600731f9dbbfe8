//! State that lives as long as the process: planner, leader election, followed
//! records and health of targets.

pub mod admission;
pub mod config_history;
pub mod config_table;
pub mod election;
pub mod estimate;
pub mod health;
pub mod job_table;
pub mod log_appender;
pub mod log_follower;
pub mod planner;
pub mod record;
pub mod retry_backoff;
pub mod router;
pub mod snapshot;
