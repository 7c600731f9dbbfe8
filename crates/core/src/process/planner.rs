//! The planner of one availability zone. It turns typed events into typed
//! actions and owns no input, output or clock.

pub mod action;
pub mod event;
pub mod gang;
pub mod job_entry;
pub mod job_queue;
pub mod lease;
pub mod ledger;
pub mod listing;
pub mod placement;
pub mod rebuild;
pub mod state;
pub mod worker_entry;
