//! The event loop of an entry host and its connections.

pub mod border;
pub mod connection;
pub mod process;
pub mod request;
