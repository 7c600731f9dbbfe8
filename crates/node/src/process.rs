//! What lives for the process.

pub mod call_port;
pub mod host_clock;
