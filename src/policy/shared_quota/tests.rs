use super::*;

const LIMITS: QuotaLimits = QuotaLimits {
    rate: 2.0,
    burst: 10.0,
    max_deficit: 4.0,
};
/// A time in the middle of a window of customer 0.
const START: f64 = 25_000.0;

/// Charges units, applies the total that the counter returns, and takes the units from the level.
fn use_units(quota: &mut SharedQuota, total: &mut f64, now: f64, units: f64) {
    quota.refill(now, LIMITS, PeerUsage::AwaitTotal);
    let charge = quota.charge(now, units, LIMITS);
    *total += charge.weighted_units;
    assert!(quota.apply_total(now, charge, *total, LIMITS));
    quota.record_usage(units);
}

/// A gateway gets its first request of a customer that uses its quota at other gateways. With a full quota
/// here the customer could exceed its plan. The first total has to show the usage at the other gateways.
#[test]
fn the_first_total_shows_the_usage_at_the_peers() {
    let mut first = SharedQuota::new(0, START, LIMITS.burst);
    let mut second = SharedQuota::new(0, START, LIMITS.burst);
    let mut total = 0.0;
    use_units(&mut first, &mut total, START, 6.0);
    use_units(&mut second, &mut total, START, 1.0);
    // The capacity of the count is 1.25 times the burst.
    assert!(
        (second.level - (12.5 - 7.0)).abs() < 1e-6,
        "level {}",
        second.level
    );
}

#[test]
fn usage_at_the_peers_between_two_totals_lowers_the_level_and_updates_their_rate() {
    let mut first = SharedQuota::new(0, START, LIMITS.burst);
    let mut second = SharedQuota::new(0, START, LIMITS.burst);
    let mut total = 0.0;
    use_units(&mut first, &mut total, START, 0.0);
    use_units(&mut second, &mut total, START + 500.0, 3.0);
    use_units(&mut first, &mut total, START + 1000.0, 0.0);
    assert!(
        first.level > 8.0 && first.level < 10.0,
        "level {}",
        first.level
    );
    assert!(
        first.peer_usage_rate > 0.5,
        "usage rate of the peers: {}",
        first.peer_usage_rate
    );
}

/// The counter restarts and loses its counts, so its totals are small. Applied as they are, they would grant
/// each customer its quota again. The level has to stay.
#[test]
fn a_total_below_the_own_count_grants_nothing() {
    let mut quota = SharedQuota::new(0, START, LIMITS.burst);
    use_units(&mut quota, &mut 0.0, START, 9.0);
    let before = quota.level;
    use_units(&mut quota, &mut 0.0, START, 0.0);
    assert_eq!(quota.level, before);
}

/// A reply arrives after a new window has begun. Its total contains usage that the new count doesn't contain.
/// The level has to stay.
#[test]
fn the_total_of_an_earlier_window_changes_nothing() {
    let mut quota = SharedQuota::new(0, START, LIMITS.burst);
    let charge = quota.charge(START, 1.0, LIMITS);
    assert!(!quota.apply_total(START + MAX_WINDOW_MS, charge, 1e9, LIMITS));
    assert_eq!(quota.level, LIMITS.burst);
}

/// The counter was down, and units could not be charged. They have to reach the count with the next charge,
/// and only once.
#[test]
fn unsettled_units_decay_and_are_charged_once() {
    let mut quota = SharedQuota::new(0, START, LIMITS.burst);
    let single = quota.charge(START, 1.0, LIMITS).weighted_units;
    quota.add_unsettled_units(START, 2.0, LIMITS);
    assert!((quota.charge(START, 1.0, LIMITS).weighted_units / single - 3.0).abs() < 1e-9);
    assert!((quota.charge(START, 1.0, LIMITS).weighted_units / single - 1.0).abs() < 1e-9);
}

/// Calls to the counter are rare, and usage at the peers is extrapolated. If the peers have stopped, the
/// customer is short of quota until the next total, which has to give the quota back.
#[test]
fn extrapolated_usage_is_corrected_by_the_next_total() {
    let mut extrapolated = SharedQuota::new(0, START, LIMITS.burst);
    let mut other = SharedQuota::new(0, START, LIMITS.burst);
    let mut total = 0.0;
    use_units(&mut extrapolated, &mut total, START, 5.0);
    use_units(&mut other, &mut total, START + 500.0, 2.0);
    use_units(&mut extrapolated, &mut total, START + 1000.0, 0.0);
    let level = extrapolated.level;
    extrapolated.refill(START + 2000.0, LIMITS, PeerUsage::Extrapolate);
    assert!(
        extrapolated.level < level + LIMITS.rate,
        "the peers are assumed to continue"
    );
    // The peers have stopped.
    use_units(&mut extrapolated, &mut total, START + 2000.0, 0.0);
    assert!(
        (extrapolated.level - level - LIMITS.rate).abs() < 0.2,
        "level {} after {level}",
        extrapolated.level
    );
}
