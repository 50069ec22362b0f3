use super::*;
use crate::api::EndpointState;

const ENDPOINT: Endpoint = Endpoint {
    id: 1,
    hash_key: 1,
    zone: 0,
    kind: 0,
    cell: 0,
    state: EndpointState::Ready,
    weight: 1.0,
    started_at: 0.0,
};

fn candidate(preference: Preference, cost_ms: f64) -> Candidate<'static> {
    Candidate {
        preference,
        cost_ms,
        endpoint: &ENDPOINT,
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

fn endpoint(zone: u32, cell: u32) -> Endpoint {
    Endpoint {
        zone,
        cell,
        ..ENDPOINT
    }
}

#[test]
fn retries_with_a_key_are_limited_to_the_scope_of_the_first_possible_execution() {
    let scope = |scope| {
        let keyed = Idempotency::WithKey {
            scope,
            window_ms: 1000.0,
        };
        DeduplicationScope::new(keyed, Some(Location { zone: 1, cell: 10 }))
    };
    assert!(scope(KeyScope::All).contains(&endpoint(2, 20)));
    assert!(scope(KeyScope::Zone).contains(&endpoint(1, 20)));
    assert!(!scope(KeyScope::Zone).contains(&endpoint(2, 10)));
    assert!(scope(KeyScope::Cell).contains(&endpoint(1, 10)));
    assert!(!scope(KeyScope::Cell).contains(&endpoint(1, 20)));
    assert!(!scope(KeyScope::Cell).contains(&endpoint(2, 10)));
}

#[test]
fn any_endpoint_is_in_scope_without_a_first_possible_execution() {
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window_ms: 1000.0,
    };
    assert!(DeduplicationScope::new(keyed, None).contains(&endpoint(2, 20)));
}
