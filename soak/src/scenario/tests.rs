//! Drawn scenarios are within the bounds of the protocol, and each seed always draws the same scenario.

use super::{Scenario, MIN_DEADLINE};
use crate::request_class::RequestClass;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..400;

#[test]
fn deadlines_are_between_a_tenth_of_a_second_and_five() {
    for seed in SEEDS {
        let scenario = Scenario::draw(seed);
        let longest = scenario.longest_deadline();
        assert!(
            (MIN_DEADLINE..Duration::from_secs(5)).contains(&longest),
            "{seed}: {longest:?}"
        );
        for class in [
            RequestClass::Idempotent,
            RequestClass::WithKey,
            RequestClass::AtMostOnce,
        ] {
            assert!(
                (MIN_DEADLINE..=longest).contains(&scenario.deadline(class)),
                "{seed}: {class:?}"
            );
        }
    }
}

#[test]
fn sigkill_is_sent_at_the_earliest_permitted_time() {
    for seed in SEEDS {
        let scenario = Scenario::draw(seed);
        let counted = scenario.longest_deadline().min(Duration::from_secs(3));
        assert_eq!(scenario.kill_after(), counted + Duration::from_millis(700));
    }
}

/// A failure is reported with its seed, and the test command uses these seeds for the scenarios that they draw. A
/// change of the draws or of their order would silently turn them into other scenarios.
#[test]
fn the_seeds_of_the_test_command_draw_the_same_scenarios_as_before() {
    for (seed, drawn) in [
        (
            13,
            "deadlines 997.25ms, 566.87ms, 929.25ms; 30% hang; idle clients; signals in series",
        ),
        (
            14,
            "deadlines 103.65ms, 100.00ms, 100.00ms; 30% hang; signals in series",
        ),
        (
            21,
            "deadlines 2.27s, 883.85ms, 1.42s; 30% hang; signals in series",
        ),
        (
            23,
            "deadlines 2.06s, 1.42s, 1.45s; 0% hang; 8 gateways to a processor",
        ),
    ] {
        assert_eq!(Scenario::draw(seed).to_string(), drawn, "seed {seed}");
    }
}

#[test]
fn draws_are_reproducible_and_cover_all_conditions() {
    let drawn: Vec<_> = SEEDS.map(Scenario::draw).collect();
    for (seed, scenario) in SEEDS.zip(&drawn) {
        assert_eq!(scenario.to_string(), Scenario::draw(seed).to_string());
    }
    assert!(drawn.iter().any(|scenario| scenario.has_idle_clients));
    assert!(drawn.iter().any(|scenario| scenario.repeats_signals));
    assert!(drawn
        .iter()
        .any(|scenario| scenario.gateways_per_processor.is_some()));
    assert!(drawn.iter().any(|scenario| scenario.hanging_percent > 0));
    assert!(drawn
        .iter()
        .any(|scenario| scenario.longest_deadline() < Duration::from_millis(200)));
    assert!(drawn
        .iter()
        .any(|scenario| scenario.longest_deadline() > Duration::from_secs(3)));
}
