//! State that lives as long as the process: admission and routing of calls, health of
//! targets, planner, leader election, and the records read from and written to the log.

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
