//! Measurements of the costs that grow with the number of endpoints, at several sizes, each with a fitted line.
//!
//! Times depend on the machine; compare them within one run only.

mod line;
mod measurements;

pub use line::{Point, ScalingLine};

use measurements::{
    change_us, complete_list_us, endpoints_used, list_size_kb, memory_kb, request_us,
};

/// Numbers of endpoints to measure at. The last is that of the next fleet size named by the operators.
const ENDPOINT_COUNTS: [u32; 4] = [50, 200, 1000, 8200];
/// Number of requests or changes measured at each size.
const ROUNDS: u64 = 2000;
/// Number of requests or changes measured at each size in a quick run.
const QUICK_ROUNDS: u64 = 200;
/// Rounds of the other measurements for each complete list measured, as a list takes much longer.
const ROUNDS_PER_LIST: u64 = 100;

/// Measures all quantities. A `quick` run takes fewer rounds.
#[must_use]
pub fn measure_all(quick: bool) -> Vec<ScalingLine> {
    let rounds = if quick { QUICK_ROUNDS } else { ROUNDS };
    // Memory is measured before anything is freed, and all gateways are kept until its last measurement: reused memory
    // would not count as growth.
    let mut kept = Vec::new();
    let memory = at_each_size(|endpoints| memory_kb(endpoints, &mut kept));
    drop(kept);
    vec![
        ScalingLine::fit("memory of the library", "KB", "endpoints", memory),
        ScalingLine::fit(
            "a request through the library, with its outcome",
            "us",
            "endpoints",
            at_each_size(|endpoints| request_us(endpoints, rounds)),
        ),
        ScalingLine::fit(
            "a complete list taken anew by the library",
            "us",
            "endpoints",
            at_each_size(|endpoints| complete_list_us(endpoints, rounds / ROUNDS_PER_LIST)),
        ),
        ScalingLine::fit(
            "a change of one entry taken by the library",
            "us",
            "endpoints",
            at_each_size(|endpoints| change_us(endpoints, rounds)),
        ),
        ScalingLine::fit(
            "a complete list on the wire",
            "KB",
            "endpoints",
            at_each_size(list_size_kb),
        ),
        ScalingLine::fit(
            "endpoints used in 2,000 requests",
            "endpoints",
            "endpoints",
            at_each_size(endpoints_used),
        ),
    ]
}

fn at_each_size(mut measure: impl FnMut(u32) -> f64) -> Vec<Point> {
    let point = |endpoints| Point {
        size: f64::from(endpoints),
        value: measure(endpoints),
    };
    ENDPOINT_COUNTS.map(point).to_vec()
}
