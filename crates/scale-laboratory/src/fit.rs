//! Least-squares lines through measured points, with their residual.

use serde::{Deserialize, Serialize};

/// Measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(clippy::min_ident_chars, reason = "the coordinates of a plane")]
pub struct Sample {
    /// Value of the swept quantity.
    pub x: f64,
    /// Value of the metric.
    pub y: f64,
}

/// Fewest points that a line is fitted to.
const MIN_POINTS: usize = 5;

/// Least-squares line `intercept + slope * x` with its goodness of fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Growth per unit of `x`.
    pub slope: f64,
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Residual standard error: root of the sum of squared residuals over two fewer than `points`.
    pub residual: f64,
    /// Coefficient of determination: share of the variance that the line explains.
    pub r_squared: f64,
    /// Number of fitted points.
    pub points: usize,
}

impl Line {
    /// Returns the line through the points, or `None` if they are fewer than five or all have the same `x`.
    pub fn through(points: &[Sample]) -> Option<Line> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let x_squares: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if x_squares == 0.0 {
            return None;
        }
        let slope =
            points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum::<f64>() / x_squares;
        let intercept = mean_y - slope * mean_x;
        let residual_squares: f64 =
            points.iter().map(|point| (point.y - intercept - slope * point.x).powi(2)).sum();
        let y_squares: f64 = points.iter().map(|point| (point.y - mean_y).powi(2)).sum();
        // Values that differ only by rounding lie on the line.
        let is_constant = y_squares <= f64::EPSILON * count * mean_y.powi(2);
        let r_squared = if is_constant { 1.0 } else { 1.0 - residual_squares / y_squares };
        let residual = (residual_squares / (count - 2.0)).sqrt();
        Some(Line { slope, intercept, residual, r_squared, points: points.len() })
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
