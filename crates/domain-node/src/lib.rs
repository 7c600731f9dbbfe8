//! The event loop of a host of a planning domain. One loop on one thread owns the
//! [`DomainHost`](flamingowalk_domain::process::host::DomainHost); input and output run
//! in separate tasks, through the closures of [`ports::DomainPorts`]. This crate does not
//! depend on the protocols of the log, the workers and the callers.

pub mod boot_clock;
pub mod log_output;
pub mod log_pipe;
pub mod log_rate;
pub mod ports;
pub mod run_loop;
pub mod settings;
pub mod status_page;

pub use ports::{DomainPorts, PortFuture, ReadProgress};
pub use run_loop::{DomainHandle, start_domain};
pub use settings::DomainSettings;
