//! The external formats.

pub mod caller;
