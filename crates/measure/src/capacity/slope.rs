//! Straight line fitted to measured points by least squares.

use crate::plot::PlotPoint;

/// Fitted line with its points and residual.
#[derive(Clone, Debug, PartialEq)]
pub struct SlopeFit {
    /// The measured points.
    pub points: Vec<PlotPoint>,
    /// Value at size zero.
    pub base: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl SlopeFit {
    /// Fits a line to at least two points of different sizes.
    pub fn of(points: Vec<PlotPoint>) -> Self {
        debug_assert!(points.len() >= 2, "a line needs two points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|point| point.y.abs()).fold(0.0, f64::max);
        let worst = points
            .iter()
            .map(|point| (point.y - base - slope * point.x).abs())
            .fold(0.0, f64::max);
        let residual = if largest > 0.0 { worst / largest } else { 0.0 };
        Self {
            points,
            base,
            slope,
            residual,
        }
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
