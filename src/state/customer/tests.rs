use super::*;

fn customer(id: CustomerId, now: Millis) -> Customer {
    Customer::new(now, SharedQuota::new(id, now, 10.0), TokenBucket::new(0.0))
}

/// Clients can send requests with invented customer ids. The table must not grow without limit, and customers with work
/// in flight must not be evicted.
#[test]
fn a_full_table_evicts_the_least_recent_half_of_the_idle_customers() {
    let mut customers = Customers::default();
    for id in 0..MAX_CUSTOMERS as u64 {
        customers.get_or_insert_with(id, || customer(id, id as Millis));
    }
    customers.get_mut(0).unwrap().in_flight = 1;
    customers.get_or_insert_with(u64::MAX, || customer(u64::MAX, 1e9));
    assert!(
        customers.len() <= MAX_CUSTOMERS / 2 + 2,
        "{}",
        customers.len()
    );
    assert!(
        customers.get(0).is_some(),
        "a customer with an attempt in flight was evicted"
    );
    assert!(customers.get(1).is_none());
    assert!(customers.get(MAX_CUSTOMERS as u64 - 1).is_some());
}

#[test]
fn forget_idle_removes_only_idle_customers_that_have_expired() {
    let mut customers = Customers::default();
    for id in 0..3 {
        customers.get_or_insert_with(id, || customer(id, id as Millis));
    }
    customers.get_mut(0).unwrap().pending_calls = 1;
    customers.forget_idle(|last_seen_at| last_seen_at < 2.0);
    assert!(customers.get(0).is_some() && customers.get(1).is_none() && customers.get(2).is_some());
}
