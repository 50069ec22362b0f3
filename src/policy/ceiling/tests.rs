use super::*;

fn share(gateway_count: u32, gateway_set_size: f64) -> CeilingShare {
    let settings = Settings {
        gateway_count,
        ..Settings::default()
    };
    let plan = Plan {
        ceiling_rate: 12.0,
        ceiling_burst: 30.0,
        ..Plan::default()
    };
    CeilingShare::new(&settings, &plan, gateway_set_size)
}

/// A restarted gateway doesn't know what it forwarded before the restart. With a full bucket it would forward
/// the same units again and exceed the ceiling. The gateway may only forward what was refilled since its
/// start.
#[test]
fn the_bucket_of_a_restarted_gateway_holds_what_was_refilled_since_its_start() {
    let share = share(3, 3.0);
    assert!(!share.initial_bucket(0.0).has_tokens(0.1));
    let after_1_s = share.initial_bucket(1000.0);
    assert!(after_1_s.has_tokens(4.0) && !after_1_s.has_tokens(4.1));
    let after_1_min = share.initial_bucket(60_000.0);
    assert!(after_1_min.has_tokens(10.0) && !after_1_min.has_tokens(10.1));
}

#[test]
fn the_ceiling_is_shared_by_the_gateways_of_the_customer() {
    for (gateway_count, gateway_set_size, units) in [
        (6, 1.0, 30.0),
        (6, 3.0, 10.0),
        (6, f64::INFINITY, 5.0),
        (0, 3.0, 30.0),
    ] {
        let mut bucket = TokenBucket::new(0.0);
        share(gateway_count, gateway_set_size).refill(&mut bucket, 1000.0);
        assert!(
            bucket.has_tokens(units - 0.1) && !bucket.has_tokens(units + 0.1),
            "{gateway_set_size} of {gateway_count} gateways"
        );
    }
}
