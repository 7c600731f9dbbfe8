//! Cost of recovery from the log: records and bytes per job and per configuration, the rate
//! at which a host reads a stream, the time of a start from a snapshot, and bursts of
//! records through the log appender.

pub mod record_size;
pub mod stream_run;

use std::path::Path;

use tokio::task::LocalSet;

use crate::error::MeasureError;
use crate::recovery::record_size::{config_table, job_table};
use crate::recovery::stream_run::{burst_table, catch_up_table, memory_table, snapshot_table};

/// Runs the measurements and prints their tables as Markdown.
///
/// # Errors
/// Returns a [`MeasureError`] if the examples cannot be read or a stand-in does not run.
pub fn measure(examples: &Path) -> Result<(), MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| MeasureError::Standin {
            reason: error.to_string(),
        })?;
    println!("{}", job_table());
    println!("{}", config_table(examples)?);
    println!("{}", memory_table());
    LocalSet::new().block_on(&runtime, async {
        println!("{}", catch_up_table().await?);
        println!("{}", snapshot_table().await?);
        println!("{}", burst_table().await?);
        Ok(())
    })
}
