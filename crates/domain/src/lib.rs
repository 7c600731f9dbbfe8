//! Decisions of a *planning domain*: several availability zones whose workers one
//! planner fills with jobs of many steps. Every host of the domain accepts jobs,
//! follows the log and may become the planner; what must last is in the log alone.
//!
//! Nothing here reads a clock or does input or output. [`process::host::DomainHost`]
//! takes typed events and returns typed actions, so that the daemon, the tests and
//! the simulated days drive the same code. Modules are laid out by life span.

pub mod keys;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
