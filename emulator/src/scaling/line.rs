//! Linear regression over measured points, by the method of least squares: shows how a quantity grows with a size.

use serde::Serialize;
use std::fmt::{Display, Formatter};

/// Value of a quantity, measured at one size (such as a number of endpoints).
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size at which the quantity was measured.
    pub size: f64,
    /// Measured value, in [`ScalingLine::unit`].
    pub value: f64,
}

/// A quantity measured at several sizes, and the straight line fitted to the points.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingLine {
    /// Name of the measured quantity.
    pub quantity: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Name of the things that a size counts, in the plural.
    pub per: &'static str,
    /// Points that the line is fitted to.
    pub points: Vec<Point>,
    /// Increase of the fitted value when the size grows by 1.
    pub slope: f64,
    /// Fitted value at size 0.
    pub intercept: f64,
    /// Largest difference between a measured value and the fitted value at its size, as a share of the largest
    /// absolute measured value.
    pub max_error: f64,
}

impl ScalingLine {
    /// Fits a line to the points, of which there must be at least one. The slope is 0 if all sizes are equal.
    #[must_use]
    pub fn fit(
        quantity: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<Point>,
    ) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let sum_of_squares: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = if sum_of_squares > 0.0 {
            sum_of_products / sum_of_squares
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        // At least `MIN_POSITIVE`, so that the error is not divided by 0 if all values are 0.
        let largest_value = points
            .iter()
            .map(|point| point.value.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let error = |point: &Point| (point.value - intercept - slope * point.size).abs();
        let max_error = points.iter().map(error).fold(0.0, f64::max) / largest_value;
        ScalingLine {
            quantity,
            unit,
            per,
            points,
            slope,
            intercept,
            max_error,
        }
    }
}

impl Display for ScalingLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let points: Vec<_> = self
            .points
            .iter()
            .map(|point| format!("{:.4} at {:.0}", point.value, point.size))
            .collect();
        writeln!(f, "{}, {}: {}", self.quantity, self.unit, points.join(", "))?;
        writeln!(
            f,
            "  slope {:.6} for each of the {}, intercept {:.4}, largest error {:.1}% of the largest value",
            self.slope,
            self.per,
            self.intercept,
            self.max_error * 100.0
        )
    }
}
