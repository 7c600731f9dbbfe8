//! The planner of one availability zone. It turns typed events into typed
//! actions and owns no input, output or clock.

pub mod action;
pub mod event;
