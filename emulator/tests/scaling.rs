//! The straight line through measured points.
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
        "work",
        "us",
        "things",
        points(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]),
    );
    assert!(
        (line.slope - 2.0).abs() < 1e-9
            && (line.intercept - 3.0).abs() < 1e-9
            && line.max_error < 1e-9,
        "{line:?}"
    );
    let bent = ScalingLine::fit(
        "work",
        "us",
        "things",
        points(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]),
    );
    assert!(
        (bent.slope).abs() < 1e-9 && (bent.max_error - 2.0 / 3.0).abs() < 1e-9,
        "{bent:?}"
    );
    assert!(bent.to_string().contains("misses by 66.7%"), "{bent}");
}
