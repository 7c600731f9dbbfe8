//! Routing of calls: which targets there are, which of them is chosen for a call,
//! and how many repetitions the traffic may carry.

pub mod budget;
pub mod choice;
pub mod dispatcher;
pub mod latency;
pub mod limit;
pub mod table;
