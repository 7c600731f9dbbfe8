//! Why a measurement could not be made.

use std::io;
use std::path::PathBuf;

use flamingowalk_core::version::FolderFaults;
use thiserror::Error;

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
        faults: FolderFaults,
    },
    /// A plot could not be drawn.
    #[error("plot {path}: {reason}; check that the folder can be written")]
    Plot {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        reason: String,
    },
}
