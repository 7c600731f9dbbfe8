//! What lives for one request: its outcome and the rules for repeating it.

pub mod deadline;
pub mod outcome;
pub mod progress;
