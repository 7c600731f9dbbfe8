//! What recovery from the log costs: records and bytes of jobs and
//! configurations, the rate at which a host catches up, a start from a snapshot,
//! and bursts of records through the appender.

pub mod record_size;
pub mod stream_run;

use std::path::Path;

use tokio::task::LocalSet;

use crate::error::MeasureError;
use crate::recovery::record_size::{config_table, job_table};
use crate::recovery::stream_run::{burst_table, catch_up_table, memory_table, snapshot_table};

/// Measures and prints a page in Markdown.
///
/// # Errors
/// A [`MeasureError`] when the examples cannot be read or a stand-in does not run.
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
