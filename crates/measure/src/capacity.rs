//! Measures the slopes behind docs/CAPACITY.md: processor time, memory and bytes of
//! the real pieces at several sizes, with a straight line through each.

mod host_load;
mod page;
mod planner_load;
mod process_use;
mod reference_folder;
mod slope;
mod stand_in_platform;
mod wire_bytes;

#[cfg(test)]
mod tests;

use std::path::Path;

use self::slope::SlopeFit;
use crate::error::MeasureError;

/// A measured quantity against a size.
#[derive(Clone, Debug)]
pub struct MeasuredSlope {
    /// What was measured.
    pub name: &'static str,
    /// Name of the size.
    pub size: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// File name of the plot.
    pub file: &'static str,
    /// The line through the points.
    pub fit: SlopeFit,
}

/// Measures every slope and writes the tables with their plots into `output`.
///
/// # Errors
///
/// When the process's accounting cannot be read or the page cannot be written.
pub fn measure(output: &Path) -> Result<(), MeasureError> {
    let mut slopes = wire_bytes::measure();
    slopes.extend(host_load::measure()?);
    slopes.extend(planner_load::measure()?);
    page::write(&slopes, output)
}
