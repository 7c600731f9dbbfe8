//! What lives for the process: planner, seat, followed records and health.

pub mod admission;
pub mod estimate;
pub mod health;
pub mod planner;
pub mod router;
pub mod seat;
