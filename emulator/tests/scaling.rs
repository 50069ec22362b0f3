//! Linear regression over measured points.
#![allow(missing_docs)]

use fleet_emulator::scaling::{Point, ScalingLine};

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values
        .iter()
        .map(|(size, value)| Point {
            size: *size,
            value: *value,
        })
        .collect()
}

#[test]
fn a_line_is_fitted_and_its_largest_error_is_reported() {
    let line = ScalingLine::fit(
        "time",
        "us",
        "items",
        points(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]),
    );
    assert!(
        (line.slope - 2.0).abs() < 1e-9
            && (line.intercept - 3.0).abs() < 1e-9
            && line.max_error < 1e-9,
        "{line:?}"
    );
    let not_linear = ScalingLine::fit(
        "time",
        "us",
        "items",
        points(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]),
    );
    assert!(
        (not_linear.slope).abs() < 1e-9 && (not_linear.max_error - 2.0 / 3.0).abs() < 1e-9,
        "{not_linear:?}"
    );
    assert!(
        not_linear
            .to_string()
            .contains("largest error 66.7% of the largest value"),
        "{not_linear}"
    );
}
