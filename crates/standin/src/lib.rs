//! In-process stand-ins of the platform for tests and trial runs: the log, the host list
//! and workers. Each is an HTTP server on a loopback port chosen by the operating system,
//! with fault injection. Dropping a stand-in stops it and closes all its connections.

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
pub use worker::{RunTime, TaskPredicate, WorkerOptions, WorkerStandin, WorkerState};
