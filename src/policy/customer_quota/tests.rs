use super::*;
use crate::primitives::token_bucket::TokenBucket;
use crate::state::SharedQuota;

const PLAN: Plan = Plan {
    rate: 2.0,
    burst: 10.0,
    max_concurrency: 0,
    over_quota_value_share: 0.0,
    over_quota_cost: 0.0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
};
/// A time in the middle of a window of customer 0.
const NOW: Millis = 25_000.0;

fn limits() -> QuotaLimits {
    QuotaLimits::new(&Settings::default(), &PLAN)
}

fn customer() -> Customer {
    let quota = SharedQuota::new(0, NOW, PLAN.burst);
    Customer::new(NOW, quota, TokenBucket::new(0.0))
}

/// Returns the unsettled units that the next charge carries after the reply to a charge of 4 units had this
/// result.
fn unsettled_after(result: ChargeResult) -> f64 {
    let mut customer = customer();
    let charge = customer.quota.charge(NOW, 4.0, limits());
    customer.apply_result(NOW, charge, result, limits(), false);
    customer.quota.unsettled_units
}

/// The connection to the counter can't be opened, and a charge is lost. Its units have to be charged later,
/// or the customer could use them again at other gateways.
#[test]
fn a_charge_that_was_not_counted_is_settled_later() {
    assert_eq!(unsettled_after(ChargeResult::NotCounted), 4.0);
}

/// A call to the counter times out, and its charge may have been counted. If the units were charged again,
/// they could count twice, and the customer would lose quota that it hasn't used.
#[test]
fn a_charge_that_may_have_been_counted_is_not_charged_again() {
    assert_eq!(unsettled_after(ChargeResult::MayHaveCounted), 0.0);
    assert_eq!(unsettled_after(ChargeResult::Counted { total: 1.0 }), 0.0);
}

/// The counter is short of capacity. Its totals lack the units that could not be charged and would grant them
/// again, so the gossip level must not follow the totals.
#[test]
fn totals_correct_the_gossip_level_only_while_no_usage_is_exchanged() {
    for gossip_active in [false, true] {
        let mut customer = customer();
        customer.gossip_level = 3.0;
        let charge = customer.quota.charge(NOW, 0.0, limits());
        let result = ChargeResult::Counted { total: 0.0 };
        customer.apply_result(NOW, charge, result, limits(), gossip_active);
        let expected = if gossip_active { 3.0 } else { PLAN.burst };
        assert_eq!(customer.gossip_level, expected);
        assert_eq!(customer.available_units_after_wait(gossip_active), expected);
    }
}

#[test]
fn units_of_requests_that_wait_for_the_counter_are_reserved() {
    let mut customer = customer();
    customer.reserved_units = 4.0;
    assert_eq!(customer.available_units(PLAN.burst, false), 6.0);
    assert_eq!(customer.available_units_after_wait(false), 10.0);
}

#[test]
fn retry_after_is_half_of_the_time_in_which_missing_units_are_refilled() {
    assert_eq!(retry_after_ms(&PLAN, 5.0, 1.0), 1000.0);
    assert_eq!(retry_after_ms(&PLAN, 5.0, 6.0), 0.0);
    assert_eq!(
        retry_after_ms(&PLAN, 500.0, 0.0),
        2500.0,
        "at most the burst"
    );
}

#[test]
fn a_customer_is_remembered_until_its_usage_has_decayed() {
    let settings = |plan| Settings {
        plans: vec![plan],
        ..Settings::default()
    };
    // The time constant is 1.25 times burst divided by rate.
    assert_eq!(idle_timeout_ms(&settings(PLAN)), 3.0 * 6250.0);
    assert_eq!(idle_timeout_ms(&settings(Plan::default())), MIN_IDLE_MS);
    let with_ceiling = Plan {
        ceiling_rate: 1.0,
        ceiling_burst: 60.0,
        ..PLAN
    };
    assert_eq!(idle_timeout_ms(&settings(with_ceiling)), 60_000.0);
}
