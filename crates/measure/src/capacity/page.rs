//! Markdown table and plots of the measured slopes.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use super::MeasuredSlope;
use crate::error::MeasureError;
use crate::plot::{LinePlot, PlotLine, PlotPoint};

const PAGE: &str = "CAPACITY-SLOPES.md";
const INTRODUCTION: &str = "\
# Slopes behind the capacity page

Made by `cargo run --release --bin flamingowalk-measure -- capacity`. Each row is one
quantity at several sizes with a straight line through the points by least squares;
*residual* is the largest distance of a point from the line, as a share of the
largest value. Processor time is that of the measured thread, from the kernel's
accounting; memory is resident size; bytes are counted at the sockets of the
stand-ins, or as serialised.

";

/// Writes the table and one plot per slope.
pub(super) fn write(slopes: &[MeasuredSlope], output: &Path) -> Result<(), MeasureError> {
    let file_error = |path: &Path, source| MeasureError::File {
        path: path.to_owned(),
        source,
    };
    fs::create_dir_all(output).map_err(|source| file_error(output, source))?;
    let mut page = String::from(INTRODUCTION);
    page += "| quantity | size | points | at zero | per unit | unit | residual |\n";
    page += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for slope in slopes {
        page += &row(slope);
    }
    page += "\n";
    for slope in slopes {
        let file = format!("capacity-{}.svg", slope.file);
        plot(slope).write(&output.join(&file))?;
        writeln!(page, "![{} by {}]({file})", slope.name, slope.size).expect("text takes any line");
    }
    let path = output.join(PAGE);
    fs::write(&path, page).map_err(|source| file_error(&path, source))
}

fn row(slope: &MeasuredSlope) -> String {
    let fit = &slope.fit;
    let points = fit
        .points
        .iter()
        .map(|point| format!("{}: {}", point.x, number(point.y)));
    let points: Vec<String> = points.collect();
    format!(
        "| {} | {} | {} | {} | {} | {} | {:.1}% |\n",
        slope.name,
        slope.size,
        points.join(", "),
        number(fit.base),
        number(fit.slope),
        slope.unit,
        fit.residual * 100.0
    )
}

/// Formats a number: no decimals from 100, two from 1, otherwise four.
fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn plot(slope: &MeasuredSlope) -> LinePlot {
    let fit = &slope.fit;
    let ends = [fit.points.first(), fit.points.last()]
        .into_iter()
        .flatten();
    let line = ends.map(|end| PlotPoint {
        x: end.x,
        y: fit.at(end.x),
    });
    LinePlot {
        title: slope.name.into(),
        x_name: slope.size.into(),
        y_name: slope.unit.into(),
        lines: vec![
            PlotLine {
                name: "measured".into(),
                points: fit.points.clone(),
            },
            PlotLine {
                name: "fit".into(),
                points: line.collect(),
            },
        ],
    }
}
