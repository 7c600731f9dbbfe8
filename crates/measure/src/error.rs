//! Why a measurement could not be made.

use std::io;
use std::path::PathBuf;

use flamingowalk_core::version::FolderErrors;
use thiserror::Error;

use crate::calls::CallMeasureError;

/// Failure of a measurement.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A file or folder could not be read or written.
    #[error("{path}: {source}; run from the root of the repository")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// An example folder has faults.
    #[error("example folder {path}: {faults}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Its faults.
        faults: FolderErrors,
    },
    /// An entry host could not be measured.
    #[error("entry host: {reason}; run again on a less busy machine")]
    Host {
        /// What went wrong.
        reason: String,
    },
    /// A stand-in or a stream did not run as it should.
    #[error("stand-in: {reason}; run again on a less busy machine")]
    Standin {
        /// What went wrong.
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
        /// What went wrong.
        reason: String,
    },
}
