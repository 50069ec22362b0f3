use super::*;

/// As the quotas of customers are rebuilt.
pub(crate) const PARAMETERS: SharedBucketParameters = SharedBucketParameters {
    decay_bursts: 1.25,
    window_decays: 20.0,
    min_window_ms: 100.0,
    max_window_ms: 50_000.0,
    lost_count_share: 0.99,
    remote_rate_ms: 2000.0,
    projection_ms: 10_000.0,
};
const LIMITS: BucketLimits = BucketLimits {
    rate: 2.0,
    burst: 10.0,
    max_deficit: 4.0,
};
/// A time in the middle of a window of the key 0.
const START: f64 = 25_000.0;

/// Uses tokens and adds them to the count; the total is applied.
fn use_tokens(bucket: &mut SharedBucket, total: &mut f64, now: f64, tokens: f64) {
    bucket.refill(now, LIMITS, RemoteUsage::Ignored);
    let charge = bucket.charge(now, tokens, LIMITS);
    *total += charge.amount;
    assert!(bucket.apply_total(now, charge, *total, LIMITS));
    bucket.take(tokens);
}

#[test]
fn a_party_learns_from_one_total_what_the_others_used() {
    let mut first = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let mut second = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let mut total = 0.0;
    use_tokens(&mut first, &mut total, START, 6.0);
    use_tokens(&mut second, &mut total, START, 1.0);
    // The limit of the count is 1.25 times the burst.
    assert!(
        (second.level() - (12.5 - 7.0)).abs() < 1e-6,
        "{}",
        second.level()
    );
}

#[test]
fn usage_by_the_others_between_two_totals_lowers_the_level_and_gives_their_rate() {
    let mut first = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let mut second = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let mut total = 0.0;
    use_tokens(&mut first, &mut total, START, 0.0);
    use_tokens(&mut second, &mut total, START + 500.0, 3.0);
    use_tokens(&mut first, &mut total, START + 1000.0, 0.0);
    assert!(
        first.level() > 8.0 && first.level() < 10.0,
        "{}",
        first.level()
    );
    assert!(first.remote_rate() > 0.5, "{}", first.remote_rate());
}

#[test]
fn a_total_below_the_own_contribution_grants_nothing() {
    let mut bucket = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    use_tokens(&mut bucket, &mut 0.0, START, 9.0);
    let before = bucket.level();
    use_tokens(&mut bucket, &mut 0.0, START, 0.0);
    assert_eq!(bucket.level(), before);
}

#[test]
fn the_total_of_an_earlier_window_changes_nothing() {
    let mut bucket = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let charge = bucket.charge(START, 1.0, LIMITS);
    assert!(!bucket.apply_total(START + PARAMETERS.max_window_ms, charge, 1e9, LIMITS));
    assert_eq!(bucket.level(), LIMITS.burst);
}

#[test]
fn unsettled_tokens_decay_and_are_charged_once() {
    let mut bucket = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let single = bucket.charge(START, 1.0, LIMITS).amount;
    bucket.settle_later(START, 2.0, LIMITS);
    assert!((bucket.charge(START, 1.0, LIMITS).amount / single - 3.0).abs() < 1e-9);
    assert!((bucket.charge(START, 1.0, LIMITS).amount / single - 1.0).abs() < 1e-9);
}

#[test]
fn projected_usage_is_corrected_by_the_next_total() {
    let mut projected = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let mut other = SharedBucket::new(&PARAMETERS, 0, START, LIMITS.burst);
    let mut total = 0.0;
    use_tokens(&mut projected, &mut total, START, 5.0);
    use_tokens(&mut other, &mut total, START + 500.0, 2.0);
    use_tokens(&mut projected, &mut total, START + 1000.0, 0.0);
    let level = projected.level();
    projected.refill(START + 2000.0, LIMITS, RemoteUsage::Projected);
    assert!(
        projected.level() < level + LIMITS.rate,
        "the others are taken to go on"
    );
    // They did not.
    use_tokens(&mut projected, &mut total, START + 2000.0, 0.0);
    assert!(
        (projected.level() - level - LIMITS.rate).abs() < 0.2,
        "{} {level}",
        projected.level()
    );
}
