//! Slopes: the line through the points.
#![allow(missing_docs)]

use fleet_emulator::slopes::Slope;

#[test]
fn a_line_is_found_and_what_it_misses_is_told() {
    let line = Slope::fit("work", "us", "things", vec![(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
    assert!(
        (line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9 && line.miss < 1e-9,
        "{line:?}"
    );
    let bent = Slope::fit("work", "us", "things", vec![(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]);
    assert!((bent.slope).abs() < 1e-9 && (bent.miss - 2.0 / 3.0).abs() < 1e-9, "{bent:?}");
    assert!(bent.lines().contains("misses by 66.7%"), "{}", bent.lines());
}
