//! Tests that each serialized key is converted to the right setting, and that invalid settings are reported.

use super::{SettingProblem, WireSettings};
use crate::api::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings,
};
use serde_json::{json, Value};

/// Settings in which no two numbers are equal, so that swapped keys are noticed.
fn sample() -> Value {
    json!({
        "balancers": 5, "position": 4, "locality": 1, "zones": ["room-a", "room-b"],
        "granularity-ms": 2.0, "membership-mode": "ask",
        "categories": [
            {"aim-ms": 700.0, "give-up-ms": 2500.0, "value": 1.5, "late-worth": 0.125, "effect": "idempotency_key",
                "group": "zone", "window-ms": 4500.0},
            {"aim-ms": 800.0, "give-up-ms": 2600.0, "value": 2.5, "late-worth": 0.25, "effect": "non_idempotent"},
        ],
        "tiers-of-service": [{"refill": 3.0, "store-size": 12.0, "max-out": 6, "pays": 0.5, "extra-worth": 0.375,
            "excess-cost": 0.625, "cap-rate": 7.0, "cap-depth": 21.0, "ceiling-slack": 8.0}],
        "domain": {"may-count": true, "counter-timeout-ms": 90.0, "count-fee": 0.01, "units-top": 9, "trued-up": true},
        "limits": {"try-limit": 10, "may-duplicate": true, "cancel": false, "probing": true, "peers": true,
            "retry-after": false, "max-retry-after-ms": 1100.0, "idle-close-ms": 31000.0, "streams-per-conn": 13},
        "penalties": {"cross-zone": 0.02, "waste": 0.05, "probe": 0.03, "late-fail": 0.08, "handshake": 0.04},
        "rules": {"answer-slack-ms": 14.0, "cold-from": 0.26, "warm-up-ms": 18000.0, "drain-grace-ms": 1500.0,
            "fall-multiple": 2.75, "fall-ms": 3250.0, "ask-within-ms": 10000.0}
    })
}

fn read(settings: Value) -> WireSettings {
    serde_json::from_value(settings).unwrap()
}

/// The sample with another value at a JSON pointer. A null value removes the key.
fn changed(pointer: &str, value: Value) -> WireSettings {
    let mut settings = sample();
    let (object, key) = pointer.rsplit_once('/').unwrap();
    let object = settings
        .pointer_mut(object)
        .unwrap()
        .as_object_mut()
        .unwrap();
    if value.is_null() {
        object.remove(key);
    } else {
        object.insert(key.to_owned(), value);
    }
    read(settings)
}

#[test]
fn each_key_is_converted_to_its_setting() {
    let keyed = Class {
        latency_objective_ms: 700.0,
        deadline_ms: 2500.0,
        late_value_share: 0.125,
        idempotency: Idempotency::WithKey {
            scope: KeyScope::Zone,
            window_ms: 4500.0,
        },
    };
    let unsafe_to_retry = Class {
        latency_objective_ms: 800.0,
        deadline_ms: 2600.0,
        late_value_share: 0.25,
        idempotency: Idempotency::NotIdempotent,
    };
    let expected = Settings {
        gateway_count: 5,
        gateway_index: 4,
        zone: 1,
        tick_ms: 2.0,
        classes: vec![keyed, unsafe_to_retry],
        plans: vec![Plan {
            rate: 3.0,
            burst: 12.0,
            max_concurrency: 6,
            over_quota_value_share: 0.375,
            over_quota_cost: 0.625,
            ceiling_rate: 7.0,
            ceiling_burst: 21.0,
        }],
        counter: Some(CounterSettings { timeout_ms: 90.0 }),
        max_units: 9.0,
        settles_units: true,
        limits: Limits {
            max_attempts: 10,
            hedging: true,
            cancellation: false,
            gossip: true,
            retry_after: false,
            max_retry_after_ms: 1100.0,
            idle_timeout_ms: 31_000.0,
            requests_per_connection: 13,
            max_connections: 0,
        },
        prices: Prices {
            waste: 0.05,
            handshake: 0.04,
            late_failure: 0.08,
        },
        rules: Rules {
            slow_start_min_capacity: 0.26,
            slow_start_ms: 18_000.0,
            drain_grace_ms: 1500.0,
            overload_multiple: 2.75,
            overload_window_ms: 3250.0,
        },
        endpoints_polled: true,
    };
    assert_eq!(read(sample()).to_settings(), expected);
}

#[test]
fn the_counter_is_none_if_it_may_not_be_called() {
    let settings = changed("/domain/may-count", json!(false));
    assert_eq!(settings.to_settings().counter, None);
    assert_eq!(settings.check_complete(), Ok(()));
}

/// Paths are written with dots only for the simulator, and with the index in brackets for the configuration file.
#[test]
fn a_missing_key_that_another_key_requires_is_reported_by_its_path() {
    let missing = changed("/categories/0/window-ms", Value::Null);
    let error = missing.check_complete().unwrap_err();
    assert_eq!(error.problem, SettingProblem::MissingForKeyedClass);
    assert_eq!(error.path.dotted(), "categories.0.window-ms");
    assert_eq!(error.path.to_string(), "categories[0].window-ms");
    assert_eq!(missing.check_values(), Err(error));
}

#[test]
fn invalid_values_are_reported() {
    assert_eq!(read(sample()).check_values(), Ok(()));
    for (pointer, value, problem) in [
        (
            "/categories/1/aim-ms",
            json!(1e300),
            SettingProblem::OutOfRange,
        ),
        ("/rules/warm-up-ms", json!(-1.0), SettingProblem::OutOfRange),
        ("/categories", json!([]), SettingProblem::Empty),
        ("/position", json!(5), SettingProblem::NotBelowGatewayCount),
        ("/locality", json!(2), SettingProblem::NotAZoneIndex),
        (
            "/tiers-of-service/0/store-size",
            json!(0.0),
            SettingProblem::RateWithoutBurst,
        ),
    ] {
        let error = changed(pointer, value).check_values().unwrap_err();
        assert_eq!(error.problem, problem, "{pointer}");
    }
}
