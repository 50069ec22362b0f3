//! What is drawn lies within the protocol's bounds, and each seed draws the same again.

use super::{Conditions, MIN_DEADLINE};
use crate::judge::Class;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..400;

#[test]
fn deadlines_lie_between_a_tenth_of_a_second_and_five() {
    for seed in SEEDS {
        let conditions = Conditions::draw(seed);
        let longest = conditions.longest_deadline();
        assert!(
            (MIN_DEADLINE..Duration::from_secs(5)).contains(&longest),
            "{seed}: {longest:?}"
        );
        for class in [Class::Look, Class::Order, Class::Once] {
            assert!(
                (MIN_DEADLINE..=longest).contains(&conditions.deadline(class)),
                "{seed}: {class:?}"
            );
        }
    }
}

#[test]
fn the_kill_comes_at_the_earliest() {
    for seed in SEEDS {
        let conditions = Conditions::draw(seed);
        let counted = conditions.longest_deadline().min(Duration::from_secs(3));
        assert_eq!(
            conditions.kill_after(),
            counted + Duration::from_millis(700)
        );
    }
}

#[test]
fn a_seed_draws_the_same_again_and_some_seed_each_condition() {
    let drawn: Vec<_> = SEEDS.map(Conditions::draw).collect();
    for (seed, conditions) in SEEDS.zip(&drawn) {
        assert_eq!(conditions.to_string(), Conditions::draw(seed).to_string());
    }
    assert!(drawn.iter().any(|conditions| conditions.has_crowd));
    assert!(drawn.iter().any(|conditions| conditions.repeats_signals));
    assert!(drawn
        .iter()
        .any(|conditions| conditions.gateways_per_processor.is_some()));
    assert!(drawn
        .iter()
        .any(|conditions| conditions.hanging_percent > 0));
    assert!(drawn
        .iter()
        .any(|conditions| conditions.longest_deadline() < Duration::from_millis(200)));
    assert!(drawn
        .iter()
        .any(|conditions| conditions.longest_deadline() > Duration::from_secs(3)));
}
