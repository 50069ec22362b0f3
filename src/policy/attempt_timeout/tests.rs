use super::*;

const NOW: Millis = 10_000.0;
const REMAINING_MS: Millis = 2000.0;

/// Prices at which a late failure costs more than wasted work.
const EARLY_TIMEOUT_PAYS: Prices = Prices {
    waste: 0.1,
    handshake: 0.0,
    late_failure: 0.2,
};

fn inputs() -> TimeoutInputs<'static> {
    TimeoutInputs {
        now: NOW,
        deadline: NOW + REMAINING_MS,
        objective_deadline: NOW + 500.0,
        late_value_share: 0.0,
        prices: &EARLY_TIMEOUT_PAYS,
        tick_ms: 3.0,
    }
}

#[test]
fn an_attempt_times_out_before_its_objective_if_a_late_failure_costs_more_than_waste() {
    assert_eq!(attempt_timeout(&inputs()), 500.0 - 4.0 - 2.0 * 3.0);
}

#[test]
fn an_attempt_may_take_until_the_deadline_if_an_early_timeout_saves_nothing() {
    let late_response_has_value = TimeoutInputs {
        late_value_share: 0.5,
        ..inputs()
    };
    let waste_costs_as_much = TimeoutInputs {
        prices: &Prices {
            waste: 0.2,
            ..EARLY_TIMEOUT_PAYS
        },
        ..inputs()
    };
    for inputs in [late_response_has_value, waste_costs_as_much] {
        assert_eq!(attempt_timeout(&inputs), REMAINING_MS);
    }
}

#[test]
fn an_attempt_past_its_objective_has_the_shortest_timeout_but_none_past_the_deadline() {
    let past_objective = TimeoutInputs {
        objective_deadline: NOW - 1.0,
        ..inputs()
    };
    assert_eq!(attempt_timeout(&past_objective), MIN_EARLY_TIMEOUT_MS);
    let near_deadline = TimeoutInputs {
        deadline: NOW + 0.5,
        ..past_objective
    };
    assert_eq!(attempt_timeout(&near_deadline), 0.5);
}
