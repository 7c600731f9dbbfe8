//! State with the lifetime of one request: its deadline, its outcome and the rules
//! for retrying it.

pub mod deadline;
pub mod outcome;
pub mod progress;
