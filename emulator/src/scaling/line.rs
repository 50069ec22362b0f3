//! A straight line through measured points.

use serde::Serialize;
use std::fmt::{Display, Formatter};

/// A quantity measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The quantity.
    pub value: f64,
}

/// One quantity at several sizes, and the line through them.
#[derive(Clone, Debug, Serialize)]
pub struct ScalingLine {
    /// What was measured.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What the sizes count.
    pub per: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
    /// Units for one more.
    pub slope: f64,
    /// Units at size 0.
    pub intercept: f64,
    /// How far the line misses the points at most, as a share of the largest value.
    pub max_error: f64,
}

impl ScalingLine {
    /// The line with the least squares.
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
        let variance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let covariance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        let largest = points
            .iter()
            .map(|point| point.value.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let error = |point: &Point| (point.value - intercept - slope * point.size).abs();
        let max_error = points.iter().map(error).fold(0.0, f64::max) / largest;
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
            "  slope {:.6} for each of the {}, intercept {:.4}, the fit misses by {:.1}% of the largest",
            self.slope,
            self.per,
            self.intercept,
            self.max_error * 100.0
        )
    }
}
