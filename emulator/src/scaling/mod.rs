//! What grows with the size of the fleet, measured at several sizes, with a straight line through it.
//!
//! Times are of the machine that measures: compare them within one run only.

mod line;
mod measurements;

pub use line::{Point, ScalingLine};

use measurements::{
    change_us, complete_list_us, endpoints_used, list_size_kb, memory_kb, request_us,
};

/// Numbers of endpoints to measure at; the last is the size that the operators name as the next one.
const ENDPOINT_COUNTS: [u32; 4] = [50, 200, 1000, 8200];
/// Requests or changes measured at each size, and the fewer of a quick look.
const ROUNDS: u64 = 2000;
const QUICK_ROUNDS: u64 = 200;
/// A complete list takes so long that one is measured for this many rounds of the others.
const ROUNDS_PER_LIST: u64 = 100;

/// Measures every quantity; `quick` takes fewer rounds.
#[must_use]
pub fn measure_all(quick: bool) -> Vec<ScalingLine> {
    let rounds = if quick { QUICK_ROUNDS } else { ROUNDS };
    // Memory comes first and all of it is kept, as freed memory is used again and would not show.
    let mut kept = Vec::new();
    let memory = over_sizes(|endpoints| memory_kb(endpoints, &mut kept));
    drop(kept);
    vec![
        ScalingLine::fit("memory of the library", "KB", "endpoints", memory),
        ScalingLine::fit(
            "a request through the library, with its outcome",
            "us",
            "endpoints",
            over_sizes(|endpoints| request_us(endpoints, rounds)),
        ),
        ScalingLine::fit(
            "a complete list taken anew by the library",
            "us",
            "endpoints",
            over_sizes(|endpoints| complete_list_us(endpoints, rounds / ROUNDS_PER_LIST)),
        ),
        ScalingLine::fit(
            "a change of one entry taken by the library",
            "us",
            "endpoints",
            over_sizes(|endpoints| change_us(endpoints, rounds)),
        ),
        ScalingLine::fit(
            "a complete list on the wire",
            "KB",
            "endpoints",
            over_sizes(list_size_kb),
        ),
        ScalingLine::fit(
            "endpoints used in 2,000 requests",
            "endpoints",
            "endpoints",
            over_sizes(endpoints_used),
        ),
    ]
}

fn over_sizes(mut measure: impl FnMut(u32) -> f64) -> Vec<Point> {
    let point = |endpoints| Point {
        size: f64::from(endpoints),
        value: measure(endpoints),
    };
    ENDPOINT_COUNTS.map(point).to_vec()
}
