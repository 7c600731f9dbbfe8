//! Small stand-ins of the platform over HTTP on loopback ports that the system
//! picks: the log, the host list and workers, each with fault switches. Tests
//! and trials use them; dropping a stand-in ends it and all its connections.

mod error;
mod fault;
mod hosts;
mod log;
mod reply;
mod server;
mod traffic;
mod worker;

pub use error::StandinError;
pub use fault::FaultSwitches;
pub use hosts::HostsStandin;
pub use log::LogStandin;
pub use traffic::TrafficCount;
pub use worker::{RunTime, TaskTest, WorkerOptions, WorkerStandin, WorkerState};
