//! A straight line through measured points.

use serde::{Deserialize, Serialize};

/// Points and the line through them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Sizes and what was measured at each.
    pub points: Vec<(f64, f64)>,
    /// Value at size 0.
    pub intercept: f64,
    /// Value for each unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value. A curve shows
    /// as a large residue.
    pub residue: f64,
}

impl Line {
    /// Fits the line by least squares.
    #[must_use]
    pub fn fit(points: Vec<(f64, f64)>) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let off = |(x, y): &(f64, f64)| (y - (intercept + slope * x)).abs();
        let residue = points.iter().map(off).fold(0.0, f64::max) / largest;
        Self { points, intercept, slope, residue }
    }

    /// Returns the line's value at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
