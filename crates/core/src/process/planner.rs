//! The planner of one availability zone: a deterministic state machine that turns
//! typed events into typed actions. It does no input or output and reads no clock.

pub mod action;
mod admission;
pub mod event;
pub mod failure;
mod fairness;
pub mod gang;
pub mod guarantee;
pub mod holdings;
pub mod home_zone;
pub mod job_entry;
pub mod job_queue;
pub mod lease;
pub mod ledger;
pub mod listing;
mod overrun;
pub mod placement;
mod placement_search;
pub mod rebuild;
mod reclaim;
mod reservation;
mod schedule;
pub mod state;
pub mod verifier;
pub mod worker_entry;
