//! Line plots as SVG files.

use std::ops::Range;
use std::path::Path;

use plotters::prelude::*;

use crate::error::MeasureError;

/// Width and height.
const PLOT_SIZE_PX: (u32, u32) = (640, 400);
const MARGIN_PX: u32 = 12;
/// Space for the labels of an axis.
const LABEL_AREA_PX: u32 = 48;
/// Font family and size of the title.
const FONT: (&str, u32) = ("sans-serif", 16);

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct PlotLine {
    /// Name in the legend.
    pub name: String,
    /// Points in ascending order of `x`.
    pub points: Vec<PlotPoint>,
}

/// One point of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlotPoint {
    /// Value on the horizontal axis.
    pub x: f64,
    /// Value on the vertical axis.
    pub y: f64,
}

/// A plot with named axes.
#[derive(Clone, Debug)]
pub struct LinePlot {
    /// Title.
    pub title: String,
    /// Name of the horizontal axis, with its unit.
    pub x_name: String,
    /// Name of the vertical axis, with its unit.
    pub y_name: String,
    /// Lines.
    pub lines: Vec<PlotLine>,
}

impl LinePlot {
    /// Draws the plot into an SVG file.
    ///
    /// # Errors
    ///
    /// Returns [`MeasureError::Plot`] if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), MeasureError> {
        self.draw(path).map_err(|error| MeasureError::Plot {
            path: path.to_owned(),
            reason: error.to_string(),
        })
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, FONT)
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX + MARGIN_PX)
            .build_cartesian_2d(self.range(|point| point.x), self.range(|point| point.y))?;
        chart
            .configure_mesh()
            .x_desc(&self.x_name)
            .y_desc(&self.y_name)
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let points: Vec<(f64, f64)> = line.points.iter().map(|p| (p.x, p.y)).collect();
            chart
                .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
            chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, color.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the range of an axis: from zero to 10% above the largest value of all lines.
    fn range(&self, value: impl Fn(&PlotPoint) -> f64) -> Range<f64> {
        let points = self.lines.iter().flat_map(|line| &line.points);
        let largest = points.map(value).fold(0.0, f64::max);
        0.0..(largest * 1.1).max(f64::MIN_POSITIVE)
    }
}
