use super::*;

/// Guards against clamping an amount above the counter's maximum: the rest would never be counted, and the customer
/// could exceed its quota. The amount is split into parts that add up to it.
#[test]
fn a_large_amount_is_split_into_parts_that_add_up_to_it() {
    for (amount, number) in [(0.0, 1), (3e7, 1), (-3e7, 1), (2.5e9, 3), (-2.5e9, 3)] {
        let parts = split_amount(amount);
        assert_eq!((parts.iter().sum::<f64>(), parts.len()), (amount, number));
        assert!(parts.iter().all(|part| part.abs() <= MAX_AMOUNT));
    }
}

/// Guards against responses without a number, from the counter or from another program at its address. Taken for a
/// total, the body would cause wrong rejections or admissions. The call ends with an error.
#[test]
fn only_a_finite_number_is_a_total() {
    let success = CounterResponse {
        outcome: Outcome::Success,
        total: 2.0,
    };
    assert_eq!(decode(200, b"20000000.000"), success);
    for body in [&b"many"[..], b"", b"inf", b"\xff\xfe"] {
        assert_eq!(decode(200, body).outcome, Outcome::ErrorResponse);
    }
    assert_eq!(decode(503, b"").outcome, Outcome::Rejected);
    assert_eq!(decode(302, b"2").outcome, Outcome::ErrorResponse);
}
