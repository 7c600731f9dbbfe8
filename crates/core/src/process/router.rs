//! Routing of calls: the table of targets, the choice of a target for each attempt,
//! and the limits on concurrent calls and retries.

pub mod budget;
pub mod choice;
pub mod dispatcher;
pub mod latency;
pub mod limit;
pub mod table;
