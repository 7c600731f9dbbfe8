//! State with the lifetime of one connection to a target.

pub mod liveness;
