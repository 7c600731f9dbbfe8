//! The planner of one availability zone. It turns typed events into typed
//! actions and owns no input, output or clock.

pub mod action;
mod admission;
mod drain;
pub mod event;
pub mod failure;
mod fairness;
pub mod gang;
pub mod guarantee;
pub mod home_zone;
pub mod job_entry;
pub mod job_queue;
pub mod lease;
pub mod ledger;
pub mod listing;
mod overrun;
pub mod placement;
pub mod rebuild;
mod reclaim;
mod room;
mod schedule;
pub mod state;
pub mod tenure;
pub mod verifier;
pub mod worker_entry;
