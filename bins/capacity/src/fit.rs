//! Least-squares lines.

use serde::Serialize;

/// A line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Change of the value for one unit of the factor.
    pub slope: f64,
    /// Value of the line where the factor is 0.
    pub intercept: f64,
    /// Root mean square of the differences between points and line.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
}

/// Returns the line with the least squared differences, or nothing if the points lie at fewer than two places.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = f64::from(u32::try_from(points.len()).ok()?);
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = common / spread;
    let intercept = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    Some(Line { slope, intercept, residual: (squares / count).sqrt(), points: points.len() })
}
