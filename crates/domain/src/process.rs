//! What lives as long as the process.

pub mod action;
pub mod event;
pub mod front_desk;
pub mod host;
pub mod job_book;
pub mod machine;
pub mod planner;
pub mod record;
pub mod seat;
pub mod stream;
pub mod stream_follower;
pub mod worker_report;
