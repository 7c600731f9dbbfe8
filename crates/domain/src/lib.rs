//! Decisions of a *planning domain*: several availability zones whose workers one
//! planner fills with jobs of many steps. Every host of the domain accepts jobs,
//! follows the log and may become the planner. All durable state is in the log.
//!
//! Nothing here reads a clock or does input or output. [`process::host::DomainHost`]
//! takes typed events and returns typed actions, so that the daemon, the tests and
//! the simulator run the same code. Modules are grouped by the lifetime of their state:
//! the process, a version of the configuration, or a request.

pub mod keys;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
