//! The rules that each gateway keeps by itself: deadlines, retries, draining, slow start and hard ceilings;
//! and the faults found so far.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

mod common;
use common::*;
use quota_gateway::*;

/// Settings without a counter and without quotas.
fn settings_without_quota() -> Settings {
    let mut settings = settings();
    settings.counter = None;
    settings.plans[0].rate = 0.0;
    settings
}

/// The deadline of a request after its arrival, in ms.
const DEADLINE_MS: f64 = 2000.0;

/// An endpoint does not respond to an order before the deadline, and may have executed it. A rejection
/// would have the client place the order again, and a late response must not be a second final one. The
/// request is failed, once.
#[test]
fn a_request_that_may_have_been_executed_is_failed_once_at_its_deadline() {
    let mut gateway = TestGateway::new(settings_without_quota());
    let endpoint = sent_to(&gateway.request(1, 2, 1.0)).unwrap();
    gateway.now += DEADLINE_MS;
    let actions = gateway.attempt_ended(1, 0, endpoint, Outcome::Timeout, None);
    assert!(
        failed(&actions),
        "it may have been executed, so it is not rejected: {actions:?}"
    );
    let actions = gateway.attempt_ended(1, 0, endpoint, Outcome::Success, None);
    assert!(
        actions.is_empty(),
        "nothing follows a final answer: {actions:?}"
    );
}

/// The shared counter hangs. Requests that wait for it would miss their latency objective though the fleet
/// is well. After a short wait each is forwarded by what this gateway knows of the quota.
#[test]
fn a_request_is_forwarded_when_the_counter_does_not_answer_in_time() {
    let mut gateway = TestGateway::new(settings());
    let actions = gateway.request(1, 0, 1.0);
    let wait = actions.iter().find_map(|a| match a {
        Action::SetTimer { token, after_ms } if *token != 0 => Some((*token, *after_ms)),
        _ => None,
    });
    let (token, after_ms) = wait.expect("a timer for the wait");
    assert!(after_ms <= 50.0);
    gateway.now += after_ms;
    assert!(sent_to(&gateway.handle(Event::TimerFired { token })).is_some());
}

/// An attempt of an order ends without a response. If the connection broke, the order may have been
/// executed, and a retry would execute it twice; it is failed. A retry is sent only if the endpoint can't
/// have executed it.
#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_never_executed() {
    for (outcome, retried) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::ConnectionReset, false),
    ] {
        let mut gateway = TestGateway::new(settings_without_quota());
        let endpoint = sent_to(&gateway.request(1, 2, 1.0)).unwrap();
        let actions = gateway.attempt_ended(1, 0, endpoint, outcome, None);
        assert_eq!(sent_to(&actions).is_some(), retried, "{outcome:?}");
        assert_eq!(failed(&actions), !retried, "{outcome:?}");
    }
}

/// A connection breaks under a request with an idempotency key. Endpoints of other zones don't know the
/// key, and those of the zone forget it, so that a retry there or later would execute the request twice. A
/// retry stays in the zone and within the window; otherwise the request is failed.
#[test]
fn a_request_with_an_idempotency_key_is_retried_only_in_its_scope_and_window() {
    for (elapsed_ms, retried) in [(10.0, true), (1600.0, false)] {
        let mut gateway = TestGateway::new(settings_without_quota());
        let first = sent_to(&gateway.request(1, 1, 1.0)).unwrap();
        gateway.now += elapsed_ms;
        let actions = gateway.attempt_ended(1, 0, first, Outcome::ConnectionReset, None);
        let zone = |id| u32::from(id == 3);
        assert_eq!(sent_to(&actions).map(zone), retried.then_some(zone(first)));
        assert!(
            retried || failed(&actions),
            "it may have been executed, so it is not rejected: {actions:?}"
        );
    }
}

/// Endpoints drain or are removed from the list. An attempt that is sent to them is lost when they exit.
/// The others get the requests, and without others requests are rejected.
#[test]
fn no_attempt_goes_to_a_draining_or_removed_endpoint() {
    let mut gateway = TestGateway::new(settings_without_quota());
    let entries = vec![
        endpoint_entry(1, 0, EndpointState::Draining),
        endpoint_entry(2, 0, EndpointState::Removed),
    ];
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: entries,
    });
    for id in 1..20 {
        let endpoint = sent_to(&gateway.request(id, 0, 1.0));
        assert!(endpoint.is_none() || endpoint == Some(3));
    }
    gateway.handle(Event::EndpointUpdate {
        complete: true,
        endpoints: vec![],
    });
    assert!(
        rejected(&gateway.request(99, 0, 1.0)).is_some(),
        "no endpoint is left"
    );
}

/// An endpoint has just started and looks idle, so that each request would be sent there. It is overloaded
/// before it is warm, and fails. It gets about what its present capacity permits.
#[test]
fn slow_start_limits_the_attempts_to_a_cold_endpoint() {
    let mut gateway = TestGateway::new(settings_without_quota());
    gateway.now += 60_000.0;
    let mut fresh = endpoint_entry(4, 0, EndpointState::Ready);
    fresh.started_at = gateway.now;
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![fresh],
    });
    let mut to_cold = 0;
    // 100 requests a second for one second, each answered at once; a warm endpoint gets about 25.
    for id in 1..=100 {
        gateway.now += 10.0;
        if let Some(endpoint) = sent_to(&gateway.request(id, 0, 1.0)) {
            to_cold += usize::from(endpoint == 4);
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
    assert!(
        to_cold <= 9,
        "{to_cold} of 100 to an endpoint at a quarter of its capacity"
    );
}

fn ceiling_settings() -> Settings {
    let mut settings = settings_without_quota();
    settings.plans[0].ceiling_rate = 4.0;
    settings.plans[0].ceiling_burst = 40.0;
    settings
}

/// Units forwarded while far more are requested than the ceiling allows, a request every 10 ms.
fn units_forwarded_under_pressure(gateway: &mut TestGateway, ids: std::ops::Range<u64>) -> f64 {
    let mut units = 0.0;
    for id in ids {
        gateway.now += 10.0;
        if let Some(endpoint) = sent_to(&gateway.request(id, 0, 2.0)) {
            units += 2.0;
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
    units
}

/// A customer asks for far more than its hard ceiling, and a gateway restarts meanwhile. The new process
/// knows nothing of what was forwarded before, and a full share would exceed the ceiling. Its share starts
/// empty.
#[test]
fn each_gateway_enforces_its_share_of_a_hard_ceiling_across_a_restart() {
    let mut gateway = TestGateway::new(ceiling_settings());
    gateway.now += 60_000.0;
    // The customer comes through two gateways, so half of the ceiling is this one's: 20 units, and 2 per
    // second.
    let before = units_forwarded_under_pressure(&mut gateway, 1..1000);
    assert!(before > 36.0 && before <= 42.0, "{before}");
    let mut after = TestGateway::new(ceiling_settings());
    let restarted = units_forwarded_under_pressure(&mut after, 1..1000);
    assert!(
        restarted <= 20.0,
        "after a restart the share is empty: {restarted}"
    );
}

/// Another gateway reports again and again that a customer used nothing there. Gossip may be lost or wrong,
/// so a gateway that took over that share would let the customer exceed its hard ceiling. The share stays
/// as it is.
#[test]
fn gossip_does_not_raise_the_share_of_a_hard_ceiling() {
    let mut settings = ceiling_settings();
    settings.gateway_count = 10;
    settings.limits.gossip = true;
    let mut gateway = TestGateway::new(settings);
    gateway.now += 60_000.0;
    let no_usage = [vec![2, 0], 7u64.to_le_bytes()[..5].to_vec(), vec![0; 3]].concat();
    let mut units = 0.0;
    // Between any two requests another gateway sends that the same customer used no units there.
    for id in (1..1000).step_by(2) {
        units += units_forwarded_under_pressure(&mut gateway, id..id + 1);
        gateway.now += 10.0;
        gateway.handle(Event::Gossip {
            from: 3,
            body: no_usage.clone(),
        });
    }
    assert!(
        units <= 42.0,
        "half of 40 units, and of 4 per second for 10 s: {units}"
    );
}

/// With little traffic a few attempts take very long. Without responses the expected latency grew without
/// end, so the gateway rejected every request and never learned that the fleet responds again; a baseline
/// latency above the limit did the same with one response at a time. A few requests are always admitted.
#[test]
fn a_few_slow_attempts_do_not_make_the_gateway_reject_everything() {
    let mut gateway = TestGateway::new(settings_without_quota());
    for id in 1..=200 {
        let actions = gateway.request(id, 0, 1.0);
        let endpoint =
            sent_to(&actions).unwrap_or_else(|| panic!("request {id} is rejected: {actions:?}"));
        gateway.now += 1900.0;
        let slow = AttemptEnd {
            id,
            attempt: 0,
            endpoint,
            outcome: Outcome::Success,
            request_answered: true,
            actual_units: None,
            elapsed_ms: 1900.0,
        };
        gateway.handle(Event::AttemptEnded(slow));
    }
    for id in 300..305 {
        sent_to(&gateway.request(id, 0, 1.0)).expect("a few requests are always admitted");
    }
    assert!(
        rejected(&gateway.request(305, 0, 1.0)).is_some(),
        "responses come late, so more requests are rejected early"
    );
}

/// At two requests per second one attempt hangs. It moves an average over time more than all responses do,
/// and the gateway rejected requests though the fleet was idle. One attempt must not weigh that much.
#[test]
fn one_attempt_that_hangs_does_not_make_a_quiet_gateway_reject() {
    let mut gateway = TestGateway::new(Settings {
        gateway_count: 200,
        ..settings_without_quota()
    });
    for id in 1..=20 {
        let endpoint = sent_to(&gateway.request(id, 0, 1.0)).unwrap();
        gateway.now += 50.0;
        gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        gateway.now += 350.0;
    }
    sent_to(&gateway.request(21, 0, 1.0)).unwrap();
    gateway.now += 1500.0;
    assert!(sent_to(&gateway.request(22, 0, 1.0)).is_some());
}

/// In a large fleet a gateway uses an endpoint every tens of seconds, so no response has come from it since
/// a slow attempt began. Every slow attempt seemed to hang, and hedged requests overloaded the fleet
/// further. A slow attempt is left alone.
#[test]
fn a_slow_attempt_is_neither_hedged_nor_cancelled() {
    for hedging in [false, true] {
        let mut settings = settings_without_quota();
        settings.limits.hedging = hedging;
        let mut gateway = TestGateway::new(settings);
        let actions = gateway.request(1, 0, 1.0);
        for action in actions {
            if let Action::SetTimer { token, after_ms } = action {
                gateway.now += after_ms;
                let after = gateway.handle(Event::TimerFired { token });
                assert!(sent_to(&after).is_none());
                assert!(!after
                    .iter()
                    .any(|a| matches!(a, Action::CancelAttempt { .. })));
            }
        }
    }
}

/// Endpoints reject requests of one plan and serve the others. They were avoided for all plans, which
/// wasted their capacity, and for 200 ms only, so that a quiet gateway asked them again each time. An
/// endpoint is avoided for that plan alone, and for long enough.
#[test]
fn an_endpoint_that_rejects_one_plan_still_serves_the_others() {
    let mut settings = settings_without_quota();
    settings.plans.push(settings.plans[0]);
    let mut gateway = TestGateway::new(settings);
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![endpoint_entry(3, 1, EndpointState::Removed)],
    });
    let forward = |gateway: &mut TestGateway, id, plan| {
        sent_to(&gateway.handle(Event::Request(Request {
            plan,
            ..request(id, id)
        })))
        .expect("sent")
    };
    let rejecting = forward(&mut gateway, 1, 0);
    let other = sent_to(&gateway.attempt_ended(1, 0, rejecting, Outcome::Rejected, None))
        .expect("a retry elsewhere");
    assert_ne!(rejecting, other);
    gateway.attempt_ended(1, 1, other, Outcome::Success, None);
    let mut plan_1_endpoints = Vec::new();
    for id in 2..=12 {
        gateway.now += 400.0;
        let endpoints =
            [0, 1].map(|plan: u32| forward(&mut gateway, id * 10 + u64::from(plan), plan));
        assert_eq!(
            endpoints[0], other,
            "plan 0 avoids the endpoint that rejected it"
        );
        plan_1_endpoints.push(endpoints[1]);
        for (plan, endpoint) in endpoints.into_iter().enumerate() {
            gateway.attempt_ended(id * 10 + plan as u64, 0, endpoint, Outcome::Success, None);
        }
    }
    assert!(
        plan_1_endpoints.contains(&rejecting),
        "it has capacity for plan 1"
    );
}

/// The requests that a hundred gateways, at two requests per second each, send to each of 40 endpoints in 15
/// s. The first `cold` endpoints start when the 15 s begin.
fn requests_per_endpoint_of_a_hundred_gateways(cold: usize) -> Vec<usize> {
    let mut requests = vec![0; 41];
    for index in 0..100u32 {
        let settings = Settings {
            gateway_count: 100,
            gateway_index: index,
            ..settings_without_quota()
        };
        let mut gateway = TestGateway::without_endpoints(settings, u64::from(index), 0.0);
        let mut entries: Vec<_> = (1..=40)
            .map(|id| endpoint_entry(id, id % 2, EndpointState::Ready))
            .collect();
        gateway.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: entries.clone(),
        });
        for id in 0..50 {
            gateway.now += 500.0;
            if id == 20 {
                entries[..cold]
                    .iter_mut()
                    .for_each(|e| e.started_at = gateway.now);
                gateway.handle(Event::EndpointUpdate {
                    complete: false,
                    endpoints: entries[..cold].to_vec(),
                });
            }
            let endpoint = sent_to(&gateway.handle(Event::Request(request(id, id)))).expect("sent");
            requests[endpoint as usize] += usize::from(id >= 20);
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
    requests
}

/// Gateways that know equally little of the endpoints choose by the same rule. If all came to the same
/// endpoint, it would be overloaded while the others are idle. Their choices spread.
#[test]
fn a_hundred_gateways_do_not_all_choose_the_same_endpoint() {
    let requests = requests_per_endpoint_of_a_hundred_gateways(0);
    assert!(
        requests[1..].iter().all(|n| (10..=200).contains(n)),
        "75 each on average: {requests:?}"
    );
}

/// One endpoint starts in a large fleet. Each gateway sends it only a few requests, but all of them
/// together could overload it while it is warming up. It gets hardly more than a warm one, and is used all
/// the same.
#[test]
fn a_hundred_gateways_do_not_overload_a_cold_endpoint() {
    let requests = requests_per_endpoint_of_a_hundred_gateways(1);
    // A warm endpoint gets about 75; the cold one has a quarter of its capacity at first, and all of it after
    // 10 s.
    assert!(
        requests[1] <= 90,
        "{} requests to the cold one: {requests:?}",
        requests[1]
    );
    assert!(requests[1] >= 3, "it is used: {requests:?}");
}

/// Most endpoints of a large fleet start at once. They were chosen by chance among all, so that they got a
/// part of the part that they may be sent, and six in ten endpoints were idle while the others were
/// overloaded. They get what they may be sent.
#[test]
fn a_hundred_gateways_use_the_warm_capacity_of_many_cold_endpoints() {
    let requests = requests_per_endpoint_of_a_hundred_gateways(24);
    let cold = requests[1..=24].iter().sum::<usize>();
    // Over the 15 s the 24 have 0.75 of their capacity on average and the 16 warm ones all of theirs: their
    // part is 53% of the 3000 requests, or a little less, as each gateway first collects the tokens for a
    // request.
    assert!(
        (1050..=1700).contains(&cold),
        "{cold} to the cold ones: {requests:?}"
    );
    assert!(
        requests[1..=24].iter().all(|n| *n <= 100),
        "none is overloaded: {requests:?}"
    );
}

/// In a large fleet each request went to any of 60 endpoints. Each endpoint was used every ten seconds
/// only, and one request in three opened a connection. A gateway keeps to endpoints that it is connected
/// to, and none stays idle.
#[test]
fn a_hundred_gateways_reuse_their_connections() {
    let mut requests = vec![0; 41];
    let mut opened = 0;
    for index in 0..100u32 {
        let mut settings = Settings {
            gateway_count: 100,
            gateway_index: index,
            ..settings_without_quota()
        };
        settings.prices.handshake = 0.08;
        settings.limits.idle_timeout_ms = 30_000.0;
        settings.limits.requests_per_connection = 1;
        let mut gateway = TestGateway::without_endpoints(settings, u64::from(index), 0.0);
        let entries: Vec<_> = (1..=40)
            .map(|id| endpoint_entry(id, id % 2, EndpointState::Ready))
            .collect();
        gateway.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: entries,
        });
        let mut known = std::collections::BTreeSet::new();
        // Two requests at a time, four a second.
        for id in (0..100).step_by(2) {
            gateway.now += 500.0;
            let pair = [id, id + 1].map(|id| {
                (
                    id,
                    sent_to(&gateway.handle(Event::Request(request(id, id)))).unwrap(),
                )
            });
            assert_ne!(pair[0].1, pair[1].1, "a connection carries one request");
            for (id, endpoint) in pair {
                requests[endpoint as usize] += 1;
                opened += usize::from(known.insert(endpoint));
                gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
            }
        }
    }
    assert!(opened <= 1000, "{opened} connections for 10000 requests");
    assert!(
        requests[1..].iter().all(|n| (50..=600).contains(n)),
        "250 each on average: {requests:?}"
    );
}

#[test]
fn concurrent_attempts_of_a_customer_are_limited() {
    let mut settings = settings_without_quota();
    settings.plans[0].max_concurrency = 2;
    let mut gateway = TestGateway::new(settings);
    assert!(sent_to(&gateway.request(1, 0, 1.0)).is_some());
    assert!(sent_to(&gateway.request(2, 0, 1.0)).is_some());
    assert!(rejected(&gateway.request(3, 0, 1.0)).is_some());
}

#[test]
fn invalid_and_unknown_events_change_nothing() {
    let mut gateway = TestGateway::new(settings());
    assert!(gateway
        .attempt_ended(9, 3, 77, Outcome::Success, Some(2.0))
        .is_empty());
    assert!(gateway
        .counter_reply(12345, Outcome::Success, f64::NAN)
        .is_empty());
    assert!(gateway
        .handle(Event::ClientDisconnected { id: 4 })
        .is_empty());
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![endpoint_entry(500, 3, EndpointState::Removed)],
    });
    gateway.handle(Event::TimerFired { token: u64::MAX });
    let (key, _) = counter_call(&gateway.request(1, 0, 0.0)).unwrap();
    assert!(
        sent_to(&gateway.counter_reply(key, Outcome::Success, 0.0)).is_some(),
        "zero units are fine"
    );
    assert!(
        rejected(&gateway.request(2, 9, 1.0)).is_some(),
        "an unknown class is rejected"
    );
    let actions = gateway.request(3, 0, f64::NAN);
    assert!(counter_call(&actions).is_none_or(|(_, amount)| amount.is_finite()));
}

/// Settings contradict each other, such as an index beyond the number of gateways. A request that is
/// neither forwarded nor answered would leave its client waiting. Each request gets an attempt or a
/// response.
#[test]
fn contradictory_settings_leave_no_request_without_an_answer() {
    let cases: [fn(&mut Settings); 5] = [
        |settings| {
            settings.gateway_index = 50;
            settings.limits.gossip = true;
        },
        |settings| settings.plans[0].burst = 1.0,
        |settings| settings.plans[0].rate = 0.0,
        |settings| settings.classes[0].latency_objective_ms = 9000.0,
        |settings| settings.gateway_count = 0,
    ];
    for (case, change) in cases.iter().enumerate() {
        let mut settings = settings();
        change(&mut settings);
        let mut gateway = TestGateway::new(settings);
        let mut actions = gateway.request(1, 0, 3.0);
        if let Some((key, amount)) = counter_call(&actions) {
            actions.extend(gateway.counter_reply(key, Outcome::Success, amount));
        }
        assert!(
            sent_to(&actions).is_some() || rejected(&actions).is_some(),
            "case {case}: {actions:?}"
        );
    }
}

#[test]
fn one_endpoint_or_none_and_an_absurd_gateway_set_size_are_handled() {
    for endpoint_count in [1, 0] {
        let mut gateway = TestGateway::new(settings_without_quota());
        let entries = [endpoint_entry(1, 0, EndpointState::Ready)];
        gateway.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: entries[..endpoint_count].to_vec(),
        });
        for (id, gateway_set_size) in [(1, 1e12), (2, 0.0), (3, f64::NAN)] {
            let actions = gateway.handle(Event::Request(Request {
                gateway_set_size,
                ..request(id, id)
            }));
            assert_eq!(sent_to(&actions), (endpoint_count == 1).then_some(1));
            assert_eq!(rejected(&actions).is_some(), endpoint_count == 0);
        }
    }
}

/// A release drains the endpoints pair by pair. Attempts that are sent to those that drain are lost when
/// they exit. Each update takes effect with the next request.
#[test]
fn endpoints_that_drain_in_waves_get_no_attempts_after_the_update() {
    let mut gateway = TestGateway::new(settings_without_quota());
    let entries: Vec<_> = (1..=9)
        .map(|id| endpoint_entry(id, id % 2, EndpointState::Ready))
        .collect();
    gateway.handle(Event::EndpointUpdate {
        complete: true,
        endpoints: entries,
    });
    let mut id = 0;
    for wave in 0..4u32 {
        let draining = [wave * 2 + 1, wave * 2 + 2];
        gateway.handle(Event::EndpointUpdate {
            complete: false,
            endpoints: draining
                .map(|id| endpoint_entry(id, id % 2, EndpointState::Draining))
                .into(),
        });
        for _ in 0..30 {
            id += 1;
            gateway.now += 20.0;
            let endpoint = sent_to(&gateway.request(id, 0, 1.0)).expect("others are left");
            assert!(endpoint > draining[1], "{endpoint} is draining");
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
}

/// Clients can make up customer numbers, a new one with each request, until the memory is full. Idle
/// customers are removed in time, but customers with attempts in flight are kept, as their units are still
/// to be settled.
#[test]
fn made_up_customer_numbers_do_not_fill_the_memory() {
    let mut gateway = TestGateway::new(settings());
    let mut shared = SharedCounter::default();
    let (key, amount) = counter_call(&gateway.handle(Event::Request(request(1, 1)))).unwrap();
    let endpoint = sent_to(&gateway.counter_reply(key, Outcome::Success, amount)).unwrap();
    for id in 2..100_000 {
        gateway.now += 0.1;
        let actions = gateway.handle(Event::Request(request(id, id)));
        let actions = shared.answer_calls(&mut gateway, actions);
        if let Some(endpoint) = sent_to(&actions) {
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
        assert!(gateway.gateway.customer_count() <= 16_384);
    }
    assert!(
        gateway.gateway.customer_count() > 1000,
        "most are remembered"
    );
    gateway.attempt_ended(1, 0, endpoint, Outcome::Success, Some(4.0));
    // The three units above the estimate are settled with the customer's next charge.
    gateway.now += 1000.0;
    let (_, next_amount) =
        counter_call(&gateway.handle(Event::Request(request(100_000, 1)))).expect("a charge");
    // Amounts grow within the window, 5.8 times in these 11 s: of a forgotten customer it would be that
    // alone.
    assert!(next_amount > 12.0 * amount, "{next_amount} after {amount}");
}
