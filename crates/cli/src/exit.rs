//! Errors of the commands and their exit codes.

use std::process::ExitCode;

use flamingowalk_node::connection::http_client::ExchangeError;
use thiserror::Error;

/// Exit code if the request was refused or failed.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if the command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if there was no response or the outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 3;

/// Error of a command.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CommandError {
    /// The request was refused or has failed.
    #[error("{0}")]
    Refused(String),
    /// There was no response, or the outcome is unknown.
    #[error("{0}")]
    Unknown(String),
}

impl CommandError {
    /// Returns the exit code of the error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused(_) => ExitCode::from(EXIT_REFUSED),
            Self::Unknown(_) => ExitCode::from(EXIT_UNKNOWN),
        }
    }
}

impl From<ExchangeError> for CommandError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::Status { status, body, .. } => status_error(status.as_u16(), body),
            other => Self::Unknown(other.to_string()),
        }
    }
}

/// Returns the error for a response with an error status. Status 504 leaves the
/// outcome unknown.
pub fn status_error(status: u16, body: String) -> CommandError {
    const GATEWAY_TIMEOUT: u16 = 504;
    if status == GATEWAY_TIMEOUT {
        CommandError::Unknown(body)
    } else {
        CommandError::Refused(body)
    }
}
