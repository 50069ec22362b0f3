//! Quotas and the shared counter: charges, settlement, waiting, the pace of calls, and gossip between
//! gateways.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

mod common;
use common::*;
use quota_gateway::*;

#[test]
fn units_are_charged_before_the_request_is_forwarded() {
    let mut gateway = TestGateway::new(settings());
    let actions = gateway.request(1, 0, 3.0);
    let (key, amount) = counter_call(&actions).expect("a charge");
    assert!(amount > 0.0);
    assert_eq!(sent_to(&actions), None, "it waits for the counter");
    assert!(sent_to(&gateway.counter_reply(key, Outcome::Success, amount)).is_some());
}

#[test]
fn a_request_over_quota_is_rejected_with_retry_after_and_refunded() {
    let mut gateway = TestGateway::new(settings());
    let (key, amount) = counter_call(&gateway.request(1, 0, 3.0)).unwrap();
    let actions = gateway.counter_reply(key, Outcome::Success, amount / 3.0 * 14.0);
    let retry_after_ms =
        rejected(&actions).expect("others used 11 units; the limit of the count is 12.5");
    assert!(
        retry_after_ms > 200.0 && retry_after_ms <= 1000.0,
        "about 1.5 units are missing, at 2 per second: {retry_after_ms}"
    );
    // The charge of the rejected request is taken back at once while the counter is well.
    assert_eq!(counter_call(&actions), Some((key, -amount)));
    // The customer is known to be over its quota: rejected without a call until units are refilled.
    let actions = gateway.request(2, 0, 3.0);
    assert!(rejected(&actions).is_some() && counter_call(&actions).is_none());
    gateway.now += 3000.0;
    assert!(
        counter_call(&gateway.request(3, 0, 3.0)).is_some(),
        "units were refilled"
    );
}

/// A gateway of a large fleet first hears of a customer long after the counter's window began. It took the
/// quota for full, so that half of the usage was over quota. One total has to show what the others have
/// used.
#[test]
fn one_total_gives_the_level_to_a_gateway_that_never_called_before() {
    let mut shared = SharedCounter::default();
    let mut one = TestGateway::new(settings());
    let mut two = TestGateway::new(settings());
    one.now = 31_000.0;
    two.now = 31_000.0;
    for id in 1..=5 {
        let actions = one.request(id, 0, 2.0);
        assert!(
            sent_to(&shared.answer_calls(&mut one, actions)).is_some(),
            "10 units are left"
        );
    }
    let actions = two.request(1, 0, 3.0);
    assert!(
        rejected(&shared.answer_calls(&mut two, actions)).is_some(),
        "the other gateway used them"
    );
    let mut three = TestGateway::new(settings());
    three.now = 36_000.0;
    let actions = three.request(1, 0, 3.0);
    assert!(
        sent_to(&shared.answer_calls(&mut three, actions)).is_some(),
        "10 were refilled since"
    );
}

#[test]
fn actual_units_are_settled_with_the_next_charge() {
    let mut gateway = TestGateway::new(settings());
    let (key, first) = counter_call(&gateway.request(1, 0, 3.0)).unwrap();
    let endpoint = sent_to(&gateway.counter_reply(key, Outcome::Success, first)).unwrap();
    gateway.attempt_ended(1, 0, endpoint, Outcome::Success, Some(5.0));
    let (_, amount) = counter_call(&gateway.request(2, 0, 1.0)).unwrap();
    assert!(
        (amount / first - 1.0).abs() < 1e-6,
        "1 unit, and the 2 above the estimate"
    );
}

/// A request of long ago left unsettled units. Charged in full with the customer's next request they would
/// take quota that has been refilled since. They decay like any usage.
#[test]
fn unsettled_units_decay_like_any_usage() {
    let mut gateway = TestGateway::new(settings());
    let (key, first) = counter_call(&gateway.request(1, 0, 1.0)).unwrap();
    let endpoint = sent_to(&gateway.counter_reply(key, Outcome::Success, first)).unwrap();
    gateway.attempt_ended(1, 0, endpoint, Outcome::Success, Some(5.0));
    gateway.now += 40_000.0;
    let (_, with_unsettled) = counter_call(&gateway.request(2, 0, 1.0)).unwrap();
    let mut fresh = TestGateway::new(settings());
    fresh.now = gateway.now;
    let (_, without) = counter_call(&fresh.request(1, 0, 1.0)).unwrap();
    assert!(
        with_unsettled < without * 1.05,
        "usage of 40 s ago has been refilled: {with_unsettled} {without}"
    );
}

/// The counter doesn't reply at all. Requests must not wait for it, and without any limit a customer could
/// use far more than its quota. What this gateway itself has forwarded limits the customer.
#[test]
fn without_a_counter_reply_the_gateways_own_usage_limits_requests() {
    let mut gateway = TestGateway::new(settings());
    let mut forwarded = 0;
    for id in 1..=10 {
        let mut actions = gateway.request(id, 0, 2.0);
        actions.extend(gateway.handle(Event::TimerFired {
            token: (1 << 60) | id,
        }));
        forwarded += usize::from(sent_to(&actions).is_some());
    }
    assert_eq!(forwarded, 5, "10 units, 2 for each request");
}

/// The counter has capacity for half of the fleet's calls. Gateways recovered within two calls of a
/// failure, and one call in five was rejected. Each gateway finds the rate that is its part.
#[test]
fn a_hundred_gateways_find_their_part_of_an_overloaded_counter() {
    let mut gateways: Vec<_> = (0..100u32)
        .map(|index| {
            let settings = Settings {
                gateway_count: 100,
                gateway_index: index,
                ..settings()
            };
            let mut gateway = TestGateway::without_endpoints(settings, u64::from(index), 0.0);
            gateway.handle(Event::EndpointUpdate {
                complete: true,
                endpoints: vec![endpoint_entry(1, 0, EndpointState::Ready)],
            });
            gateway
        })
        .collect();
    // 600 requests per second, each of another customer; the counter has capacity for 300 calls per second.
    let mut capacity = 0.0f64;
    let mut calls = 0;
    let mut rejected_calls = 0;
    let mut rng = fastrand::Rng::with_seed(1);
    for id in 0..18_000u64 {
        let now = id as f64 / 0.6;
        capacity = (capacity + 0.5).min(10.0);
        let gateway = &mut gateways[rng.usize(..100)];
        gateway.now = now;
        let mut actions = gateway.handle(Event::Request(request(id, id)));
        if let Some((key, amount)) = counter_call(&actions) {
            let full = capacity < 1.0;
            capacity -= if full { 0.0 } else { 1.0 };
            calls += usize::from(id > 6000);
            rejected_calls += usize::from(full && id > 6000);
            let result = if full {
                Outcome::Rejected
            } else {
                Outcome::Success
            };
            actions.extend(gateway.counter_reply(key, result, amount));
        }
        let endpoint = sent_to(&actions).expect("every request is within its quota");
        gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
    }
    assert!(calls > 5000, "they use its capacity: {calls}");
    assert!(
        rejected_calls * 100 < calls * 12,
        "{rejected_calls} of {calls} calls were rejected"
    );
}

/// The counter rejects a charge, and the request is forwarded without it. Its units would never be counted.
/// The customer's next charge carries them.
#[test]
fn a_rejected_charge_is_added_to_the_next() {
    let mut gateway = TestGateway::new(settings());
    let (key, first) = counter_call(&gateway.request(1, 0, 2.0)).unwrap();
    assert!(sent_to(&gateway.counter_reply(key, Outcome::Rejected, 0.0)).is_some());
    let (_, amount) = counter_call(&gateway.request(2, 0, 1.0)).unwrap();
    assert!((amount / first - 1.5).abs() < 1e-6);
}

/// The counter restarts and counts from 0 again. A gateway that believed the low total would grant the
/// customer its burst a second time. A total below the gateway's own usage is known to be wrong.
#[test]
fn a_counter_that_lost_its_count_grants_no_new_quota() {
    let mut gateway = TestGateway::new(settings());
    let mut total = 0.0;
    for id in 1..=3 {
        let (key, amount) = counter_call(&gateway.request(id, 0, 3.0)).unwrap();
        total += amount;
        let endpoint = sent_to(&gateway.counter_reply(key, Outcome::Success, total)).unwrap();
        gateway.attempt_ended(id, 0, endpoint, Outcome::Success, Some(3.0));
    }
    // 9 of 10 units are used when the count starts again from 0: 3 more do not fit.
    assert!(rejected(&gateway.request(4, 0, 3.0)).is_some());
    gateway.now += 1100.0;
    let (key, amount) = counter_call(&gateway.request(5, 0, 3.0)).unwrap();
    assert!(sent_to(&gateway.counter_reply(key, Outcome::Success, amount)).is_some());
    assert!(rejected(&gateway.request(6, 0, 1.0)).is_some());
}

/// The number of calls for a hundred customers' requests in one second, where all calls have this outcome.
fn calls_in_a_second(gateway: &mut TestGateway, first: u64, outcome: Outcome) -> usize {
    let mut calls = 0;
    for id in first..first + 100 {
        gateway.now += 10.0;
        let actions = gateway.handle(Event::Request(request(id, id)));
        if let Some((key, amount)) = counter_call(&actions) {
            calls += 1;
            gateway.counter_reply(key, outcome, amount);
        }
    }
    calls
}

/// The counter is overloaded. Calls were limited per customer, and each customer came once, so that nearly
/// all calls timed out. Calls are limited as a whole, and rise again when the counter replies.
#[test]
fn an_overloaded_counter_is_called_less_often_and_trusted_again() {
    let mut gateway = TestGateway::new(settings());
    let healthy = calls_in_a_second(&mut gateway, 1, Outcome::Success);
    calls_in_a_second(&mut gateway, 1000, Outcome::Rejected);
    let overloaded = calls_in_a_second(&mut gateway, 2000, Outcome::Rejected);
    assert!(
        overloaded * 10 <= healthy,
        "{overloaded} calls of {healthy}"
    );
    assert!(overloaded >= 1, "it is still called");
    for second in 3..13 {
        calls_in_a_second(&mut gateway, second * 1000, Outcome::Success);
    }
    let recovered = calls_in_a_second(&mut gateway, 20_000, Outcome::Success);
    assert!(recovered * 2 >= healthy, "{recovered} calls of {healthy}");
}

/// One of two gateways, whose counter has no capacity.
fn gateway_with_overloaded_counter(index: u32) -> TestGateway {
    let mut settings = settings();
    settings.gateway_index = index;
    settings.limits.gossip = true;
    let mut gateway = TestGateway::new(settings);
    calls_in_a_second(&mut gateway, 1000, Outcome::Rejected);
    gateway
}

/// Whether a request is forwarded where the counter rejects all calls.
fn forwarded_without_counter(gateway: &mut TestGateway, id: u64, units: f64) -> bool {
    let mut actions = gateway.request(id, 0, units);
    while let Some((key, _)) = counter_call(&actions) {
        let further = gateway.counter_reply(key, Outcome::Rejected, 0.0);
        actions.retain(|a| !matches!(a, Action::AddToCounter { .. }));
        actions.extend(further);
    }
    sent_to(&actions).is_some()
}

/// The message that the gateway sends to all others when its timer fires.
fn gossip_message(gateway: &mut TestGateway) -> Vec<u8> {
    let actions = gateway.handle(Event::TimerFired { token: 1 << 61 });
    let mut messages = actions.into_iter().filter_map(|action| match action {
        Action::Gossip { to: u32::MAX, body } => Some(body),
        _ => None,
    });
    messages.next().expect("a message for all gateways")
}

/// The counter rejects all calls. Each gateway would grant a customer its full quota by itself. The
/// gateways send each other their usage, and count what the others used.
#[test]
fn gateways_exchange_usage_while_the_counter_has_no_capacity() {
    let mut one = gateway_with_overloaded_counter(0);
    let mut two = gateway_with_overloaded_counter(1);
    // The usage so far is sent, too.
    gossip_message(&mut one);
    assert!(
        (5000..5005).all(|id| forwarded_without_counter(&mut one, id, 2.0)),
        "10 units are left"
    );
    assert!(!forwarded_without_counter(&mut one, 5005, 1.0));
    let body = gossip_message(&mut one);
    assert!(body.len() <= 256);
    two.handle(Event::Gossip { from: 0, body });
    assert!(
        !forwarded_without_counter(&mut two, 5000, 1.0),
        "the other gateway used them"
    );
    two.now += 1000.0;
    assert!(
        forwarded_without_counter(&mut two, 5001, 2.0),
        "2 were refilled since"
    );
}

/// A message from another gateway is cut short, too long or damaged, or comes from a sender that can't be.
/// Taken for usage it would reject requests within the quota, or end the process. It is ignored.
#[test]
fn lost_or_invalid_gossip_messages_let_requests_through() {
    let mut one = gateway_with_overloaded_counter(0);
    gossip_message(&mut one);
    assert!((5000..5005).all(|id| forwarded_without_counter(&mut one, id, 2.0)));
    let body = gossip_message(&mut one);
    let mut two = gateway_with_overloaded_counter(1);
    let changed = |at: usize, to: u8| {
        let mut body = body.clone();
        body[at] = to;
        body
    };
    for body in [
        vec![],
        body[..7].to_vec(),
        [body.clone(), vec![0; 400]].concat(),
        changed(0, 9),
        changed(7, 200),
    ] {
        assert!(two.handle(Event::Gossip { from: 0, body }).is_empty());
    }
    for from in [1, 2] {
        two.handle(Event::Gossip {
            from,
            body: body.clone(),
        });
    }
    assert!(
        forwarded_without_counter(&mut two, 5000, 3.0),
        "no usage was taken from them"
    );
}

/// The endpoints of the first attempts of `requests` requests, one per second, which end as `outcome` says.
fn endpoints_chosen(
    gateway: &mut TestGateway,
    requests: u64,
    outcome: impl Fn(u64, u32) -> Outcome,
) -> Vec<u32> {
    let mut shared = SharedCounter::default();
    let mut chosen = Vec::new();
    for id in 1..=requests {
        gateway.now += 1000.0;
        let actions = gateway.request(id, 2, 1.0);
        let endpoint =
            sent_to(&shared.answer_calls(gateway, actions)).expect("the fleet is still used");
        chosen.push(endpoint);
        gateway.attempt_ended(id, 0, endpoint, outcome(id, endpoint), None);
    }
    chosen
}

/// Responses fail all over the fleet, as with a bad release. Ejecting every endpoint that fails would leave
/// none. Only an endpoint that fails more often than the others is ejected.
#[test]
fn only_an_endpoint_that_fails_more_than_the_others_is_ejected() {
    let mut gateway = TestGateway::new(settings());
    let chosen = endpoints_chosen(&mut gateway, 60, |id, _| {
        if id % 3 == 0 {
            Outcome::ConnectionReset
        } else {
            Outcome::Success
        }
    });
    assert!(
        (1..=3).all(|b| chosen[30..].iter().filter(|a| **a == b).count() > 3),
        "{chosen:?}"
    );
    let mut gateway = TestGateway::new(settings());
    let chosen = endpoints_chosen(&mut gateway, 90, |_, b| {
        if b == 2 {
            Outcome::ConnectionReset
        } else {
            Outcome::Success
        }
    });
    assert!(
        chosen[45..].iter().filter(|a| **a == 2).count() < 6,
        "{chosen:?}"
    );
    assert!(
        chosen[45..].iter().filter(|a| **a == 1).count() > 10,
        "{chosen:?}"
    );
}

/// A client disconnects between the charge of its request and the first attempt. The request used nothing,
/// but its customer would pay for it, again and again. Its units are refunded with the next charge.
#[test]
fn a_request_that_ends_before_it_is_sent_is_refunded() {
    let mut shared = SharedCounter::default();
    let mut gateway = TestGateway::new(settings());
    for id in 1..=100 {
        // Slow enough for the limit of calls; a twentieth of the requested units is refilled by time alone.
        gateway.now += 100.0;
        let actions = gateway.request(id, 0, 4.0);
        if id % 2 == 0 {
            // The client disconnects while its request waits for the counter.
            assert!(
                counter_call(&actions).is_some() && sent_to(&actions).is_none(),
                "{id}: {actions:?}"
            );
            gateway.handle(Event::ClientDisconnected { id });
            assert!(
                sent_to(&shared.answer_calls(&mut gateway, actions)).is_none(),
                "{id} is sent without a client"
            );
            continue;
        }
        // The attempt is dropped before its first byte is sent.
        let actions = shared.answer_calls(&mut gateway, actions);
        let endpoint = sent_to(&actions).unwrap_or_else(|| panic!("{id}: {actions:?}"));
        gateway.handle(Event::ClientDisconnected { id });
        gateway.attempt_ended(id, 0, endpoint, Outcome::NotSent, None);
    }
    // At the end the whole burst is left, and no more.
    let mut served = 0;
    for id in 101..=110 {
        let actions = gateway.request(id, 0, 1.0);
        served += usize::from(sent_to(&shared.answer_calls(&mut gateway, actions)).is_some());
    }
    assert!((9..=10).contains(&served), "{served} of a burst of 10");
}
