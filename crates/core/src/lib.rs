//! Scheduling decisions without input, output or clock. Time and randomness are
//! arguments, so tests, the measurements and the model's conformance check drive
//! the same code as the daemons. Modules are laid out by life span.

pub mod clock;
pub mod connection;
pub mod names;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
