//! Error of starting a stand-in.

use std::io;

use thiserror::Error;

/// Failure to start a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// No loopback port could be bound.
    #[error("cannot listen on 127.0.0.1: {0}; check that the loopback interface is up")]
    Listen(#[from] io::Error),
}
