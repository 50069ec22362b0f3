use super::*;

fn candidate(preference: Preference, cost_ms: f64) -> Candidate {
    Candidate {
        preference,
        cost_ms,
        endpoint: 1,
        location: location(0, 0),
    }
}

#[test]
fn a_preferred_candidate_is_better_at_any_cost() {
    let preferred = candidate(Preference::Preferred, 100.0);
    let last_resort = candidate(Preference::LastResort, 1.0);
    assert!(preferred.is_better_than(last_resort));
    assert!(!last_resort.is_better_than(preferred));
}

#[test]
fn the_lower_cost_is_better_at_equal_preference() {
    for preference in [Preference::Preferred, Preference::LastResort] {
        let cheap = candidate(preference, 1.0);
        assert!(cheap.is_better_than(candidate(preference, 2.0)));
        assert!(!cheap.is_better_than(cheap));
    }
}

fn location(zone: u32, cell: u32) -> Location {
    Location { zone, cell }
}

#[test]
fn retries_with_a_key_are_limited_to_the_scope_of_the_first_possible_execution() {
    let scope = |scope| {
        let keyed = Idempotency::WithKey {
            scope,
            window_ms: 1000.0,
        };
        DeduplicationScope::new(keyed, Some(location(1, 10)))
    };
    assert!(scope(KeyScope::All).contains(location(2, 20)));
    assert!(scope(KeyScope::Zone).contains(location(1, 20)));
    assert!(!scope(KeyScope::Zone).contains(location(2, 10)));
    assert!(scope(KeyScope::Cell).contains(location(1, 10)));
    assert!(!scope(KeyScope::Cell).contains(location(1, 20)));
    assert!(!scope(KeyScope::Cell).contains(location(2, 10)));
}

#[test]
fn any_endpoint_is_in_scope_without_a_first_possible_execution() {
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window_ms: 1000.0,
    };
    assert!(DeduplicationScope::new(keyed, None).contains(location(2, 20)));
}
