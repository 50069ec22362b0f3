//! Tests the names and values of the metrics.

use super::family::Label;
use super::{AttemptOutcome, AttemptRefusal, ConnectionEnd, Metrics, RequestEnd, Rule};

fn assert_indexes_match_order<L: Label + PartialEq + std::fmt::Debug>() {
    for (index, value) in L::ALL.iter().enumerate() {
        assert_eq!(value.index(), index, "{value:?}");
    }
}

#[test]
fn each_value_of_a_label_has_a_counter_of_its_own() {
    assert_indexes_match_order::<RequestEnd>();
    assert_indexes_match_order::<AttemptOutcome>();
    assert_indexes_match_order::<AttemptRefusal>();
    assert_indexes_match_order::<ConnectionEnd>();
    assert_indexes_match_order::<Rule>();
}

#[test]
fn all_metrics_are_encoded_with_their_names_and_labels() {
    let metrics = Metrics::new();
    metrics.violations.increment(Rule::UnsafeRetry);
    metrics.reloads.inc();
    let text = metrics.encode();
    for line in [
        "gateway_rule_violations_total{rule=\"repeat\"} 1",
        "gateway_rule_violations_total{rule=\"slow_start\"} 0",
        "gateway_requests_total{outcome=\"success\"} 0",
        "gateway_attempts_total{outcome=\"not_sent\"} 0",
        "gateway_attempt_refusals_total{reason=\"endpoint_moved\"} 0",
        "gateway_client_connections_ended_total{reason=\"evicted\"} 0",
        "gateway_client_connections_accepted_total 0",
        "gateway_accept_errors_total 0",
        "gateway_endpoint_list_updates_total 0",
        "gateway_reloads_total 1",
        "gateway_failed_reloads_total 0",
    ] {
        assert!(
            text.lines().any(|encoded| encoded == line),
            "{line}\n{text}"
        );
    }
}
