//! How a verb can fail, and the exit code of each way.

use std::process::ExitCode;

use flamingowalk_node::connection::http_client::ExchangeError;
use thiserror::Error;

/// Exit code when the request was refused or failed.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code when the command line itself is wrong.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when nothing answered, or the outcome is not known.
pub const EXIT_UNKNOWN: u8 = 3;

/// Why a verb failed.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum CommandError {
    /// The request was refused or failed for good.
    #[error("{0}")]
    Refused(String),
    /// Nothing answered, or the outcome is not known.
    #[error("{0}")]
    Unknown(String),
}

impl CommandError {
    /// Exit code of the fault.
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

/// The fault for an answer with an error status; 504 leaves the outcome open.
pub fn status_error(status: u16, body: String) -> CommandError {
    const GATEWAY_TIMEOUT: u16 = 504;
    if status == GATEWAY_TIMEOUT {
        CommandError::Unknown(body)
    } else {
        CommandError::Refused(body)
    }
}
