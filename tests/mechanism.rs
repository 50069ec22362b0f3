//! Quotas and the shared counter: charges, settlement, waits for replies, the rate limit of calls, and gossip between
//! gateways; and the ejection of endpoints.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

mod common;
use common::*;
use quota_gateway::*;

#[test]
fn units_are_charged_before_the_request_is_forwarded() {
    let mut gateway = TestGateway::new(settings());
    let actions = gateway.request(1, 0, 3.0);
    let (key, amount) = counter_call(&actions).expect("the request is charged");
    assert!(amount > 0.0);
    assert_eq!(
        sent_to(&actions),
        None,
        "the request must wait for the counter's reply"
    );
    assert!(sent_to(&gateway.counter_reply(key, Outcome::Success, amount)).is_some());
}

#[test]
fn a_request_over_quota_is_rejected_with_retry_after_and_refunded() {
    let mut gateway = TestGateway::new(settings());
    let (key, amount) = counter_call(&gateway.request(1, 0, 3.0)).unwrap();
    let actions = gateway.counter_reply(key, Outcome::Success, amount / 3.0 * 14.0);
    let retry_after_ms = rejected(&actions)
        .expect("other gateways used 11 units, and 3 more exceed the limit of 12.5");
    assert!(
        retry_after_ms > 200.0 && retry_after_ms <= 1000.0,
        "about 1.5 units are missing, which are refilled at 2 per second: {retry_after_ms}"
    );
    // The charge of the rejected request is refunded at once while the counter is available.
    assert_eq!(counter_call(&actions), Some((key, -amount)));
    // The customer is known to be over its quota: its requests are rejected without a call until units are refilled.
    let actions = gateway.request(2, 0, 3.0);
    assert!(rejected(&actions).is_some() && counter_call(&actions).is_none());
    gateway.now += 3000.0;
    assert!(
        counter_call(&gateway.request(3, 0, 3.0)).is_some(),
        "the request must be charged once units were refilled"
    );
}

/// A gateway of a large fleet receives the first request of a customer long after the counter's window has begun. The
/// gateway assumed a full quota, so that half of the usage was over quota. A single total must show the usage at the
/// other gateways.
#[test]
fn one_total_gives_the_level_to_a_gateway_without_earlier_calls() {
    let mut shared = SharedCounter::default();
    let mut one = TestGateway::new(settings());
    let mut two = TestGateway::new(settings());
    one.now = 31_000.0;
    two.now = 31_000.0;
    for id in 1..=5 {
        let actions = one.request(id, 0, 2.0);
        assert!(
            sent_to(&shared.answer_calls(&mut one, actions)).is_some(),
            "the burst of 10 units allows 5 requests"
        );
    }
    let actions = two.request(1, 0, 3.0);
    assert!(
        rejected(&shared.answer_calls(&mut two, actions)).is_some(),
        "the other gateway has used the burst"
    );
    let mut three = TestGateway::new(settings());
    three.now = 36_000.0;
    let actions = three.request(1, 0, 3.0);
    assert!(
        sent_to(&shared.answer_calls(&mut three, actions)).is_some(),
        "10 units were refilled in 5 s"
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
        "the charge must be 1 unit, and the 2 units used above the estimate"
    );
}

/// Unsettled units of a request are charged 40 s later. Charged in full, they would take quota that has been refilled
/// in the meantime. Unsettled units must decay like any usage.
#[test]
fn unsettled_units_decay_like_any_usage() {
    let mut gateway = TestGateway::new(settings());
    let (key, first) = counter_call(&gateway.request(1, 0, 1.0)).unwrap();
    let endpoint = sent_to(&gateway.counter_reply(key, Outcome::Success, first)).unwrap();
    gateway.attempt_ended(1, 0, endpoint, Outcome::Success, Some(5.0));
    gateway.now += 40_000.0;
    let (_, with_unsettled) = counter_call(&gateway.request(2, 0, 1.0)).unwrap();
    let mut other = TestGateway::new(settings());
    other.now = gateway.now;
    let (_, without_unsettled) = counter_call(&other.request(1, 0, 1.0)).unwrap();
    assert!(
        with_unsettled < without_unsettled * 1.05,
        "usage of 40 s ago has been refilled: {with_unsettled} instead of {without_unsettled}"
    );
}

/// The counter does not reply. Without another limit a customer could use far more than its quota. The units that the
/// gateway itself has forwarded must limit the customer.
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
    assert_eq!(
        forwarded, 5,
        "the burst of 10 units allows 5 requests of 2 units"
    );
}

/// The counter has capacity for half of the fleet's calls. Gateways returned to their former rate within two calls
/// after a failure, so that one call in five was rejected. Each gateway must find its share of the counter's capacity.
#[test]
fn a_hundred_gateways_find_their_share_of_an_overloaded_counter() {
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
    // 600 requests per second, each of a different customer. The counter has capacity for 300 calls per second.
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
        let endpoint = sent_to(&actions).expect("a request within its quota is forwarded");
        gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
    }
    assert!(
        calls > 5000,
        "the gateways must use the counter's capacity: {calls} calls"
    );
    assert!(
        rejected_calls * 100 < calls * 12,
        "{rejected_calls} of {calls} calls were rejected"
    );
}

/// The counter rejects a charge, and the request is forwarded nevertheless. Its units would not be counted if the
/// customer's next charge did not include them.
#[test]
fn a_rejected_charge_is_added_to_the_next() {
    let mut gateway = TestGateway::new(settings());
    let (key, first) = counter_call(&gateway.request(1, 0, 2.0)).unwrap();
    assert!(sent_to(&gateway.counter_reply(key, Outcome::Rejected, 0.0)).is_some());
    let (_, amount) = counter_call(&gateway.request(2, 0, 1.0)).unwrap();
    assert!((amount / first - 1.5).abs() < 1e-6);
}

/// The counter restarts and counts from 0 again. A gateway that trusted the low total would grant the customer its
/// burst a second time. A total below the gateway's own usage must be recognised as wrong.
#[test]
fn a_restarted_counter_grants_no_new_quota() {
    let mut gateway = TestGateway::new(settings());
    let mut total = 0.0;
    for id in 1..=3 {
        let (key, amount) = counter_call(&gateway.request(id, 0, 3.0)).unwrap();
        total += amount;
        let endpoint = sent_to(&gateway.counter_reply(key, Outcome::Success, total)).unwrap();
        gateway.attempt_ended(id, 0, endpoint, Outcome::Success, Some(3.0));
    }
    // 9 of 10 units are used when the count starts again from 0, so 3 more exceed the quota.
    assert!(rejected(&gateway.request(4, 0, 3.0)).is_some());
    gateway.now += 1100.0;
    let (key, amount) = counter_call(&gateway.request(5, 0, 3.0)).unwrap();
    assert!(sent_to(&gateway.counter_reply(key, Outcome::Success, amount)).is_some());
    assert!(rejected(&gateway.request(6, 0, 1.0)).is_some());
}

/// Handles one request of each of a hundred customers within one second, where all counter calls have this outcome.
/// Returns the number of calls.
fn calls_in_a_second(gateway: &mut TestGateway, first_id: u64, outcome: Outcome) -> usize {
    let mut calls = 0;
    for id in first_id..first_id + 100 {
        gateway.now += 10.0;
        let actions = gateway.handle(Event::Request(request(id, id)));
        if let Some((key, amount)) = counter_call(&actions) {
            calls += 1;
            gateway.counter_reply(key, outcome, amount);
        }
    }
    calls
}

/// The counter is overloaded. Calls were limited for each customer, and each customer sent one request, so that nearly
/// all calls timed out. The gateway must limit the rate of all its calls, and raise the rate again once the counter
/// replies.
#[test]
fn an_overloaded_counter_is_called_less_often_until_it_recovers() {
    let mut gateway = TestGateway::new(settings());
    let healthy = calls_in_a_second(&mut gateway, 1, Outcome::Success);
    calls_in_a_second(&mut gateway, 1000, Outcome::Rejected);
    let overloaded = calls_in_a_second(&mut gateway, 2000, Outcome::Rejected);
    assert!(
        overloaded * 10 <= healthy,
        "{overloaded} calls while overloaded, {healthy} while healthy"
    );
    assert!(
        overloaded >= 1,
        "an overloaded counter must still be called"
    );
    for second in 3..13 {
        calls_in_a_second(&mut gateway, second * 1000, Outcome::Success);
    }
    let recovered = calls_in_a_second(&mut gateway, 20_000, Outcome::Success);
    assert!(
        recovered * 2 >= healthy,
        "{recovered} calls after the recovery, {healthy} while healthy"
    );
}

/// Creates one of two gateways, which has just found that the counter rejects all calls.
fn gateway_with_overloaded_counter(index: u32) -> TestGateway {
    let mut settings = settings();
    settings.gateway_index = index;
    settings.limits.gossip = true;
    let mut gateway = TestGateway::new(settings);
    calls_in_a_second(&mut gateway, 1000, Outcome::Rejected);
    gateway
}

/// Returns whether a request is forwarded while the counter rejects all calls.
fn forwarded_without_counter(gateway: &mut TestGateway, id: u64, units: f64) -> bool {
    let mut actions = gateway.request(id, 0, units);
    while let Some((key, _)) = counter_call(&actions) {
        let resulting = gateway.counter_reply(key, Outcome::Rejected, 0.0);
        actions.retain(|action| !matches!(action, Action::AddToCounter { .. }));
        actions.extend(resulting);
    }
    sent_to(&actions).is_some()
}

/// Fires the gateway's gossip timer and returns the message that is sent to all other gateways.
fn gossip_message(gateway: &mut TestGateway) -> Vec<u8> {
    let actions = gateway.handle(Event::TimerFired { token: 1 << 61 });
    let mut messages = actions.into_iter().filter_map(|action| match action {
        Action::Gossip { to: u32::MAX, body } => Some(body),
        _ => None,
    });
    messages
        .next()
        .expect("a gossip message is sent to all gateways")
}

/// The counter rejects all calls, so each gateway by itself would grant a customer the full quota. The gateways must
/// send each other the usage, and count the usage at the others.
#[test]
fn gateways_exchange_usage_while_the_counter_has_no_capacity() {
    let mut one = gateway_with_overloaded_counter(0);
    let mut two = gateway_with_overloaded_counter(1);
    // The message includes the usage of earlier requests.
    gossip_message(&mut one);
    assert!(
        (5000..5005).all(|id| forwarded_without_counter(&mut one, id, 2.0)),
        "the burst of 10 units allows 5 requests"
    );
    assert!(!forwarded_without_counter(&mut one, 5005, 1.0));
    let body = gossip_message(&mut one);
    assert!(body.len() <= 256);
    two.handle(Event::Gossip { from: 0, body });
    assert!(
        !forwarded_without_counter(&mut two, 5000, 1.0),
        "the other gateway has used the burst"
    );
    two.now += 1000.0;
    assert!(
        forwarded_without_counter(&mut two, 5001, 2.0),
        "2 units were refilled in 1 s"
    );
}

/// A gossip message is truncated, too long or damaged, or states an impossible sender. Counted as usage, such a message
/// would lead to rejections within the quota, or a panic. The message must be ignored.
#[test]
fn invalid_gossip_messages_are_ignored() {
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
        "no usage may be counted from an invalid message"
    );
}

/// Sends `requests` requests, one per second, and ends the first attempt of each with the result of `outcome`, which is
/// called with the ids of the request and the endpoint. Returns the endpoints of the first attempts.
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
            sent_to(&shared.answer_calls(gateway, actions)).expect("the request is forwarded");
        chosen.push(endpoint);
        gateway.attempt_ended(id, 0, endpoint, outcome(id, endpoint), None);
    }
    chosen
}

/// Requests fail at all endpoints, as after a faulty release. If every failing endpoint were ejected, none would be
/// left. Only an endpoint that fails more often than the others must be ejected.
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
        (1..=3).all(|endpoint| chosen[30..].iter().filter(|id| **id == endpoint).count() > 3),
        "{chosen:?}"
    );
    let mut gateway = TestGateway::new(settings());
    let chosen = endpoints_chosen(&mut gateway, 90, |_, endpoint| {
        if endpoint == 2 {
            Outcome::ConnectionReset
        } else {
            Outcome::Success
        }
    });
    assert!(
        chosen[45..].iter().filter(|id| **id == 2).count() < 6,
        "{chosen:?}"
    );
    assert!(
        chosen[45..].iter().filter(|id| **id == 1).count() > 10,
        "{chosen:?}"
    );
}

/// A client disconnects after its request was charged and before its first attempt was sent. The request has used no
/// units, but its customer's quota would shrink with each such request. The units must be refunded with the next
/// charge.
#[test]
fn a_request_that_ends_before_it_is_sent_is_refunded() {
    let mut shared = SharedCounter::default();
    let mut gateway = TestGateway::new(settings());
    for id in 1..=100 {
        // The requests are slow enough for the limit of calls. Only a twentieth of the requested units is refilled in
        // the meantime.
        gateway.now += 100.0;
        let actions = gateway.request(id, 0, 4.0);
        if id % 2 == 0 {
            // The client disconnects while its request waits for the counter.
            assert!(
                counter_call(&actions).is_some() && sent_to(&actions).is_none(),
                "request {id} must be charged and wait for the reply: {actions:?}"
            );
            gateway.handle(Event::ClientDisconnected { id });
            assert!(
                sent_to(&shared.answer_calls(&mut gateway, actions)).is_none(),
                "request {id} was sent after its client had disconnected"
            );
            continue;
        }
        // The attempt is dropped before its first byte is sent.
        let actions = shared.answer_calls(&mut gateway, actions);
        let endpoint = sent_to(&actions)
            .unwrap_or_else(|| panic!("request {id} was not forwarded: {actions:?}"));
        gateway.handle(Event::ClientDisconnected { id });
        gateway.attempt_ended(id, 0, endpoint, Outcome::NotSent, None);
    }
    // At the end the whole burst is available, and no more.
    let mut forwarded = 0;
    for id in 101..=110 {
        let actions = gateway.request(id, 0, 1.0);
        forwarded += usize::from(sent_to(&shared.answer_calls(&mut gateway, actions)).is_some());
    }
    assert!(
        (9..=10).contains(&forwarded),
        "{forwarded} requests of one unit were forwarded of a burst of 10"
    );
}
