//! Tests of parsing calls to the counter and of the totals per key.

use super::{CounterCall, CounterTotals};

#[test]
fn a_call_needs_an_amount() {
    let call = CounterCall::parse("/count/a?expire_ms=900&by=0.5").expect("a call");
    assert_eq!((call.key.as_str(), call.amount), ("/count/a", 0.5));
    for target in ["/count/a", "/count/a?expire_ms=9", "/count/a?by=many"] {
        assert_eq!(CounterCall::parse(target), None, "{target}");
    }
}

#[test]
fn each_key_has_a_total_of_its_own() {
    let mut totals = CounterTotals::default();
    let mut add = |target| totals.add(&CounterCall::parse(target).expect("a call"));
    assert_eq!(add("/count/a?by=1.25"), "1.250");
    assert_eq!(add("/count/b?by=2"), "2.000");
    assert_eq!(add("/count/a?by=-0.25"), "1.000");
}
