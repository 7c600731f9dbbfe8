//! Scheduling decisions without I/O or clocks. Time and randomness are arguments, so
//! tests, measurements and the conformance check of the model run the same code as the
//! daemons. Modules are grouped by the lifetime of their state: `version` (of the
//! configuration), `process`, `connection` and `request`.

pub mod clock;
pub mod connection;
pub mod names;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
