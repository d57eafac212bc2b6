//! Least-squares lines through measured points, with their residual.

use serde::{Deserialize, Serialize};

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(clippy::min_ident_chars, reason = "the coordinates of a plane")]
pub struct Sample {
    /// The swept quantity.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// Fewest points that give a line.
const MIN_POINTS: usize = 5;

/// A line `intercept + slope * x` and how far the points lie from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Growth for each unit of `x`.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Root of the mean squared distance, with two degrees of freedom taken off.
    pub residual: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// Points that it rests on.
    pub points: usize,
}

impl Line {
    /// The line through these points; `None` if they are too few or all lie at one `x`.
    pub fn through(points: &[Sample]) -> Option<Line> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|point| (point.y - intercept - slope * point.x).powi(2)).sum();
        let variance: f64 = points.iter().map(|point| (point.y - mean_y).powi(2)).sum();
        // Values that differ by rounding alone lie on the line.
        let flat = variance <= f64::EPSILON * count * mean_y.powi(2);
        let r_squared = if flat { 1.0 } else { 1.0 - squares / variance };
        let residual = (squares / (count - 2.0)).sqrt();
        Some(Line { slope, intercept, residual, r_squared, points: points.len() })
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
