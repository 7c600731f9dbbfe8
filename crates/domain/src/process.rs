//! State that lives as long as the process, and the events and actions that drive it.

pub mod action;
pub mod election;
pub mod event;
pub mod host;
pub mod job_table;
pub mod machine;
pub mod planner;
pub mod record;
pub mod request_handler;
pub mod stream;
pub mod stream_follower;
pub mod worker_report;
