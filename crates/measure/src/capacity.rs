//! Measures how processor time, memory and bytes of the real components grow with size.
//! A straight line is fitted through the points of each quantity; docs/CAPACITY.md
//! extrapolates from these slopes.

mod host_load;
mod page;
mod planner_load;
mod process_usage;
mod reference_folder;
mod slope;
mod stand_in_platform;
mod wire_bytes;

#[cfg(test)]
mod tests;

use std::path::Path;

use self::slope::SlopeFit;
use crate::error::MeasureError;

/// Measured quantity as a function of a size.
#[derive(Clone, Debug)]
pub struct MeasuredSlope {
    /// Name of the quantity.
    pub name: &'static str,
    /// Name of the size.
    pub size: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// File name of the plot.
    pub file: &'static str,
    /// Line fitted through the points.
    pub fit: SlopeFit,
}

/// Measures every slope and writes the tables with their plots into `output`.
///
/// # Errors
///
/// Returns a [`MeasureError`] if a component does not run, the resource usage of the process
/// cannot be read, or the page cannot be written.
pub fn measure(output: &Path) -> Result<(), MeasureError> {
    let mut slopes = wire_bytes::measure();
    slopes.extend(host_load::measure()?);
    slopes.extend(planner_load::measure()?);
    page::write(&slopes, output)
}
