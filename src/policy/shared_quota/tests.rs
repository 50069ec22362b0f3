use super::*;

const LIMITS: QuotaLimits = QuotaLimits {
    rate: 2.0,
    burst: 10.0,
    max_deficit: 4.0,
};
/// A time in the middle of a window of the customer 0.
const START: f64 = 25_000.0;

/// Uses units and adds them to the count; the total is applied.
fn use_units(quota: &mut SharedQuota, total: &mut f64, now: f64, units: f64) {
    quota.refill(now, LIMITS, PeerUsage::AwaitTotal);
    let charge = quota.charge(now, units, LIMITS);
    *total += charge.weighted_units;
    assert!(quota.apply_total(now, charge, *total, LIMITS));
    quota.take(units);
}

/// A gateway sees a customer for the first time, while the customer uses its quota at other gateways. A full quota here
/// would let it exceed its plan: the first total has to show what the others used.
#[test]
fn a_gateway_learns_from_one_total_what_the_others_used() {
    let mut first = SharedQuota::new(0, START, LIMITS.burst);
    let mut second = SharedQuota::new(0, START, LIMITS.burst);
    let mut total = 0.0;
    use_units(&mut first, &mut total, START, 6.0);
    use_units(&mut second, &mut total, START, 1.0);
    // The limit of the count is 1.25 times the burst.
    assert!(
        (second.level - (12.5 - 7.0)).abs() < 1e-6,
        "{}",
        second.level
    );
}

#[test]
fn usage_by_the_others_between_two_totals_lowers_the_level_and_gives_their_rate() {
    let mut first = SharedQuota::new(0, START, LIMITS.burst);
    let mut second = SharedQuota::new(0, START, LIMITS.burst);
    let mut total = 0.0;
    use_units(&mut first, &mut total, START, 0.0);
    use_units(&mut second, &mut total, START + 500.0, 3.0);
    use_units(&mut first, &mut total, START + 1000.0, 0.0);
    assert!(first.level > 8.0 && first.level < 10.0, "{}", first.level);
    assert!(first.peer_rate > 0.5, "{}", first.peer_rate);
}

/// The counter restarts and has lost its counts, so that its totals are small. Taken as they are, they would grant
/// each customer its quota again: the level has to stay.
#[test]
fn a_total_below_the_own_contribution_grants_nothing() {
    let mut quota = SharedQuota::new(0, START, LIMITS.burst);
    use_units(&mut quota, &mut 0.0, START, 9.0);
    let before = quota.level;
    use_units(&mut quota, &mut 0.0, START, 0.0);
    assert_eq!(quota.level, before);
}

/// A reply is late, and a new window has begun meanwhile. Its total holds usage that the new count doesn't: the level
/// has to stay.
#[test]
fn the_total_of_an_earlier_window_changes_nothing() {
    let mut quota = SharedQuota::new(0, START, LIMITS.burst);
    let charge = quota.charge(START, 1.0, LIMITS);
    assert!(!quota.apply_total(START + MAX_WINDOW_MS, charge, 1e9, LIMITS));
    assert_eq!(quota.level, LIMITS.burst);
}

/// The counter was down, and units could not be charged. They have to reach the count with the next charge, once.
#[test]
fn unsettled_units_decay_and_are_charged_once() {
    let mut quota = SharedQuota::new(0, START, LIMITS.burst);
    let single = quota.charge(START, 1.0, LIMITS).weighted_units;
    quota.settle_later(START, 2.0, LIMITS);
    assert!((quota.charge(START, 1.0, LIMITS).weighted_units / single - 3.0).abs() < 1e-9);
    assert!((quota.charge(START, 1.0, LIMITS).weighted_units / single - 1.0).abs() < 1e-9);
}

/// Calls to the counter are few, and the usage at the peers is extrapolated. If they stopped meanwhile, the customer
/// would be short of quota: the next total has to give it back.
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
    // They stopped.
    use_units(&mut extrapolated, &mut total, START + 2000.0, 0.0);
    assert!(
        (extrapolated.level - level - LIMITS.rate).abs() < 0.2,
        "{} {level}",
        extrapolated.level
    );
}
