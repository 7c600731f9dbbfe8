//! Errors of the measurements.

use std::io;
use std::path::PathBuf;

use flamingowalk_core::version::FolderErrors;
use thiserror::Error;

use crate::calls::CallMeasureError;

/// Reason why a measurement failed.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A file or folder could not be read or written.
    #[error("{path}: {source}; run from the root of the repository")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An example folder does not pass the check.
    #[error("example folder {path}: {errors}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Errors that the check found.
        errors: FolderErrors,
    },
    /// An entry host did not start, or did not reach the state to be measured.
    #[error("entry host: {reason}; run again on a less busy machine")]
    Host {
        /// Description of the error.
        reason: String,
    },
    /// A stand-in did not start, or a stream did not finish a run.
    #[error("stand-in: {reason}; run again on a less busy machine")]
    Standin {
        /// Description of the error.
        reason: String,
    },
    /// The measurement of calls failed.
    #[error(transparent)]
    Calls(#[from] CallMeasureError),
    /// A plot could not be drawn.
    #[error("plot {path}: {reason}; check that the folder can be written")]
    Plot {
        /// The file.
        path: PathBuf,
        /// Description of the error.
        reason: String,
    },
}
