//! Linear regression.

use serde::Serialize;

/// Regression line of measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Change of the value per unit of the factor.
    pub slope: f64,
    /// Value at factor 0.
    pub intercept: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
}

/// Fits a line by least squares. Returns `None` if there are fewer than two distinct factor values.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = f64::from(u32::try_from(points.len()).ok()?);
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || variance_sum <= 0.0 {
        return None;
    }
    let covariance_sum: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = covariance_sum / variance_sum;
    let intercept = mean_y - slope * mean_x;
    let squared_errors: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    Some(Line { slope, intercept, residual: (squared_errors / count).sqrt(), points: points.len() })
}
