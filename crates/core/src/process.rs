//! What lives for the process: planner, seat, followed records and health.

pub mod estimate;
pub mod planner;
pub mod seat;
