//! The rules that each gateway keeps by itself: deadlines, retries, draining, slow start and hard ceilings; and
//! regression tests of faults found so far.
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

/// Time from the arrival of a request to its deadline, in ms.
const DEADLINE_MS: f64 = 2000.0;

/// An endpoint does not respond to a non-idempotent request before its deadline, and may have executed the request.
/// After a rejection the client would send the request again. A late response must not become a second final response.
#[test]
fn a_request_that_may_have_been_executed_is_failed_once_at_its_deadline() {
    let mut gateway = TestGateway::new(settings_without_quota());
    let endpoint = sent_to(&gateway.request(1, 2, 1.0)).unwrap();
    gateway.now += DEADLINE_MS;
    let actions = gateway.attempt_ended(1, 0, endpoint, Outcome::Timeout, None);
    assert!(
        failed(&actions),
        "a request that may have been executed must be failed: {actions:?}"
    );
    let actions = gateway.attempt_ended(1, 0, endpoint, Outcome::Success, None);
    assert!(
        actions.is_empty(),
        "no action may follow the final response: {actions:?}"
    );
}

/// The shared counter does not reply. Requests that wait for the reply would miss their latency objective although the
/// endpoints are healthy. After a short wait the gateway decides by the usage that it knows.
#[test]
fn a_request_is_forwarded_if_the_counter_does_not_reply_in_time() {
    let mut gateway = TestGateway::new(settings());
    let actions = gateway.request(1, 0, 1.0);
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { token, after_ms } if *token != 0 => Some((*token, *after_ms)),
        _ => None,
    });
    let (token, after_ms) = timer.expect("a timer limits the wait");
    assert!(after_ms <= 50.0);
    gateway.now += after_ms;
    assert!(sent_to(&gateway.handle(Event::TimerFired { token })).is_some());
}

/// An attempt of a non-idempotent request ends without a success. If the connection broke, the request may have been
/// executed, and a retry could execute it twice. Only a request that no endpoint can have executed is retried.
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

/// A connection breaks during a request with an idempotency key. Endpoints of other zones don't know the key, and those
/// of the same zone forget the key after its window. A retry in another zone or after the window could execute the
/// request twice.
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
            "a request that may have been executed must be failed: {actions:?}"
        );
    }
}

/// An endpoint crashes under a request with an idempotency key, and is removed from the list while the retry is in
/// flight. If the scope of the key were forgotten together with the record of the endpoint, the next retry would go to
/// another zone or cell and execute the request again. It must stay in the scope of the first attempt, whatever happens
/// to the record of the endpoint.
#[test]
fn a_retry_stays_in_the_scope_of_its_key_after_the_first_endpoint_is_forgotten() {
    for scope in [KeyScope::Zone, KeyScope::Cell] {
        for removal in [Removal::Forgotten, Removal::RelistedElsewhere] {
            for seed in 1..=8 {
                let attempts = locations_of_three_attempts(scope, removal, seed);
                let first = attempts[0];
                for later in &attempts[1..] {
                    let is_in_scope = match scope {
                        KeyScope::Cell => (later.zone, later.cell) == (first.zone, first.cell),
                        _ => later.zone == first.zone,
                    };
                    assert!(
                        is_in_scope,
                        "{scope:?}, {removal:?}, seed {seed}: {attempts:?}"
                    );
                }
            }
        }
    }
}

/// What happens to the record of the first endpoint while the second attempt is in flight.
#[derive(Clone, Copy, Debug)]
enum Removal {
    /// The endpoint is removed from the list, and its record is forgotten.
    Forgotten,
    /// An endpoint with the same id is listed in another zone and cell.
    RelistedElsewhere,
}

#[derive(Clone, Copy, Debug)]
struct Location {
    zone: u32,
    cell: u32,
}

/// Plays a request with a key whose first two attempts break after they may have been executed. The fleet has two
/// endpoints in each of two cells of two zones. Returns where the attempts were sent.
fn locations_of_three_attempts(scope: KeyScope, removal: Removal, seed: u64) -> Vec<Location> {
    let mut settings = settings_without_quota();
    settings.classes[1].idempotency = Idempotency::WithKey {
        scope,
        window_ms: 5000.0,
    };
    settings.classes[1].latency_objective_ms = 2000.0;
    let location = |id: u32| Location {
        zone: id / 4,
        cell: id / 2 % 2,
    };
    let entry = |id: u32, state| Endpoint {
        cell: location(id).cell,
        ..endpoint_entry(id, location(id).zone, state)
    };
    let mut gateway = TestGateway::without_endpoints(settings, seed, 1000.0);
    gateway.handle(Event::EndpointUpdate {
        complete: true,
        endpoints: (0..8).map(|id| entry(id, EndpointState::Ready)).collect(),
    });
    // The record of a removed endpoint is kept for 60 s after its last success.
    gateway.now += 62_000.0;

    let first = sent_to(&gateway.request(1, 1, 1.0)).expect("the request is sent");
    let actions = gateway.attempt_ended(1, 0, first, Outcome::ConnectionReset, None);
    let second = sent_to(&actions).expect("the request is retried");
    let changed = match removal {
        Removal::Forgotten => entry(first, EndpointState::Removed),
        Removal::RelistedElsewhere => Endpoint {
            zone: 1 - location(first).zone,
            cell: 1 - location(first).cell,
            ..entry(first, EndpointState::Ready)
        },
    };
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![changed.clone()],
    });
    gateway.now += 500.0;
    gateway.handle(Event::TimerFired { token: 0 });
    let actions = gateway.attempt_ended(1, 1, second, Outcome::ConnectionReset, None);
    let third = sent_to(&actions).expect("the request is retried again");
    let last = if third == first {
        Location {
            zone: changed.zone,
            cell: changed.cell,
        }
    } else {
        location(third)
    };
    vec![location(first), location(second), last]
}

/// Endpoints drain or are removed from the list. An attempt sent to such an endpoint is lost when the endpoint exits.
/// Requests are forwarded to the other endpoints, and rejected if there is none.
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
        "a request without any endpoint must be rejected"
    );
}

/// An endpoint that has just started has no attempts in flight, so every request would be sent to it and overload it
/// before it is warm. Slow start limits the attempts to what the current capacity permits.
#[test]
fn slow_start_limits_the_attempts_to_a_cold_endpoint() {
    let mut gateway = TestGateway::new(settings_without_quota());
    gateway.now += 60_000.0;
    let mut cold = endpoint_entry(4, 0, EndpointState::Ready);
    cold.started_at = gateway.now;
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![cold],
    });
    let mut to_cold = 0;
    // 100 requests a second for one second, each answered at once. A warm endpoint gets about 25 of them.
    for id in 1..=100 {
        gateway.now += 10.0;
        if let Some(endpoint) = sent_to(&gateway.request(id, 0, 1.0)) {
            to_cold += usize::from(endpoint == 4);
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
    assert!(
        to_cold <= 9,
        "{to_cold} of 100 requests were sent to an endpoint at a quarter of its capacity"
    );
}

/// Settings with a hard ceiling of 4 units per second and a burst of 40 units.
fn ceiling_settings() -> Settings {
    let mut settings = settings_without_quota();
    settings.plans[0].ceiling_rate = 4.0;
    settings.plans[0].ceiling_burst = 40.0;
    settings
}

/// Sends a request of 2 units every 10 ms, far more than the ceiling allows, and returns the units forwarded.
fn units_forwarded_above_ceiling_rate(gateway: &mut TestGateway, ids: std::ops::Range<u64>) -> f64 {
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

/// A gateway restarts while a customer requests far more than its hard ceiling. The new process does not know which
/// units were forwarded before the restart, so the customer would exceed the ceiling if its share were full at first.
#[test]
fn each_gateway_enforces_its_share_of_a_hard_ceiling_across_a_restart() {
    let mut gateway = TestGateway::new(ceiling_settings());
    gateway.now += 60_000.0;
    // The customer's requests arrive through two gateways, so half of the ceiling is this gateway's share: 20 units,
    // and 2 units per second.
    let before = units_forwarded_above_ceiling_rate(&mut gateway, 1..1000);
    assert!(before > 36.0 && before <= 42.0, "{before}");
    let mut restarted = TestGateway::new(ceiling_settings());
    let after = units_forwarded_above_ceiling_rate(&mut restarted, 1..1000);
    assert!(
        after <= 20.0,
        "the share must be empty after a restart: {after} units were forwarded"
    );
}

/// Another gateway keeps reporting that a customer has used no units there. Gossip may be lost or wrong, so a gateway
/// that took over the other gateway's share would let the customer exceed its hard ceiling.
#[test]
fn gossip_does_not_raise_the_share_of_a_hard_ceiling() {
    let mut settings = ceiling_settings();
    settings.gateway_count = 10;
    settings.limits.gossip = true;
    let mut gateway = TestGateway::new(settings);
    gateway.now += 60_000.0;
    let no_usage = [vec![2, 0], 7u64.to_le_bytes()[..5].to_vec(), vec![0; 3]].concat();
    let mut units = 0.0;
    // Before each second request, another gateway reports that the same customer has used no units there.
    for id in (1..1000).step_by(2) {
        units += units_forwarded_above_ceiling_rate(&mut gateway, id..id + 1);
        gateway.now += 10.0;
        gateway.handle(Event::Gossip {
            from: 3,
            body: no_usage.clone(),
        });
    }
    assert!(
        units <= 42.0,
        "the share is half of 40 units, and of 4 per second for 10 s: {units} units were forwarded"
    );
}

/// With little traffic a few attempts take very long. Without responses the expected latency grew without limit, so the
/// gateway rejected every request and never noticed that the fleet responded again. A baseline latency above the limit
/// had the same effect with one response at a time. A few requests are always admitted.
#[test]
fn a_few_slow_attempts_do_not_make_the_gateway_reject_everything() {
    let mut gateway = TestGateway::new(settings_without_quota());
    for id in 1..=200 {
        let actions = gateway.request(id, 0, 1.0);
        let endpoint = sent_to(&actions)
            .unwrap_or_else(|| panic!("request {id} was not forwarded: {actions:?}"));
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
        "responses are late, so further requests must be rejected on arrival"
    );
}

/// One attempt hangs at a gateway with two requests per second. The attempt raised an average over time more than all
/// responses lowered it, so the gateway rejected requests although the fleet was idle.
#[test]
fn one_hanging_attempt_does_not_make_a_gateway_with_few_requests_reject() {
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

/// In a large fleet a gateway uses each endpoint only every tens of seconds, so it has received no other response from
/// the endpoint since a slow attempt began. Every slow attempt seemed to hang, and hedged requests overloaded the fleet
/// further.
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
                let resulting = gateway.handle(Event::TimerFired { token });
                assert!(sent_to(&resulting).is_none());
                assert!(!resulting
                    .iter()
                    .any(|action| matches!(action, Action::CancelAttempt { .. })));
            }
        }
    }
}

/// An endpoint rejects requests of one plan and serves those of other plans. Such an endpoint was avoided for all
/// plans, which wasted its capacity, and for 200 ms only, so that a gateway with few requests tried it again with each
/// request. The endpoint must be avoided for the rejected plan only, and until the gateway has had several requests.
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
        .expect("the request is forwarded")
    };
    let rejecting = forward(&mut gateway, 1, 0);
    let other = sent_to(&gateway.attempt_ended(1, 0, rejecting, Outcome::Rejected, None))
        .expect("the request is retried at another endpoint");
    assert_ne!(rejecting, other);
    gateway.attempt_ended(1, 1, other, Outcome::Success, None);
    let mut plan_1_endpoints = Vec::new();
    for id in 2..=12 {
        gateway.now += 400.0;
        let endpoints =
            [0, 1].map(|plan: u32| forward(&mut gateway, id * 10 + u64::from(plan), plan));
        assert_eq!(
            endpoints[0], other,
            "requests of plan 0 must avoid the endpoint that rejected one"
        );
        plan_1_endpoints.push(endpoints[1]);
        for (plan, endpoint) in endpoints.into_iter().enumerate() {
            gateway.attempt_ended(id * 10 + plan as u64, 0, endpoint, Outcome::Success, None);
        }
    }
    assert!(
        plan_1_endpoints.contains(&rejecting),
        "the endpoint must still be used for plan 1"
    );
}

/// Returns how many requests each of 40 endpoints, by id, is sent within 15 s by a hundred gateways with two requests
/// per second each. The endpoints with the ids up to `cold` start when the 15 s begin.
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
            let endpoint = sent_to(&gateway.handle(Event::Request(request(id, id))))
                .expect("the request is forwarded");
            requests[endpoint as usize] += usize::from(id >= 20);
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
    requests
}

/// Gateways that know equally little about the endpoints choose by the same rule. If all of them chose the same
/// endpoint, it would be overloaded while the others are idle.
#[test]
fn a_hundred_gateways_do_not_all_choose_the_same_endpoint() {
    let requests = requests_per_endpoint_of_a_hundred_gateways(0);
    assert!(
        requests[1..].iter().all(|n| (10..=200).contains(n)),
        "each endpoint gets 75 requests on average: {requests:?}"
    );
}

/// One endpoint starts in a large fleet. Each gateway sends only a few requests to the endpoint, but all gateways
/// together could overload it while it is warming up. The endpoint must get hardly more requests than a warm one, and
/// must still be used.
#[test]
fn a_hundred_gateways_do_not_overload_a_cold_endpoint() {
    let requests = requests_per_endpoint_of_a_hundred_gateways(1);
    // A warm endpoint gets about 75 requests. The cold endpoint has a quarter of its capacity at first, and all of it
    // after 10 s.
    assert!(
        requests[1] <= 90,
        "{} requests were sent to the cold endpoint: {requests:?}",
        requests[1]
    );
    assert!(
        requests[1] >= 3,
        "the cold endpoint must be used: {requests:?}"
    );
}

/// Most endpoints of a large fleet start at the same time. As they were chosen at random among all endpoints, they got
/// only a part of the requests that slow start permits: six in ten endpoints were idle while the others were
/// overloaded.
#[test]
fn a_hundred_gateways_use_the_available_capacity_of_many_cold_endpoints() {
    let requests = requests_per_endpoint_of_a_hundred_gateways(24);
    let cold = requests[1..=24].iter().sum::<usize>();
    // Over the 15 s the 24 cold endpoints have 0.75 of their capacity on average, and the 16 warm ones all of theirs.
    // The share of the cold endpoints is 53% of the 3000 requests, or a little less, as each gateway first collects the
    // tokens for a request.
    assert!(
        (1050..=1700).contains(&cold),
        "{cold} requests were sent to cold endpoints: {requests:?}"
    );
    assert!(
        requests[1..=24].iter().all(|n| *n <= 100),
        "no cold endpoint may be overloaded: {requests:?}"
    );
}

/// In a large fleet a gateway sent its requests to any of 60 endpoints. Each endpoint was used only every ten seconds,
/// and one request in three opened a connection. A gateway must prefer endpoints that it is connected to, while no
/// endpoint stays idle.
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
        let mut connected = std::collections::BTreeSet::new();
        // Two requests at the same time, four per second.
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
                opened += usize::from(connected.insert(endpoint));
                gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
            }
        }
    }
    assert!(
        opened <= 1000,
        "{opened} connections were opened for 10000 requests"
    );
    assert!(
        requests[1..].iter().all(|n| (50..=600).contains(n)),
        "each endpoint gets 250 requests on average: {requests:?}"
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
        "a request of zero units must be forwarded"
    );
    assert!(
        rejected(&gateway.request(2, 9, 1.0)).is_some(),
        "a request of an unknown class must be rejected"
    );
    let actions = gateway.request(3, 0, f64::NAN);
    assert!(counter_call(&actions).is_none_or(|(_, amount)| amount.is_finite()));
}

/// Settings contradict each other, for example by a gateway index beyond the number of gateways. The client of a
/// request that is neither forwarded nor answered would wait until its timeout.
#[test]
fn contradictory_settings_leave_no_request_without_attempt_or_response() {
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
fn one_or_no_endpoint_and_an_invalid_gateway_set_size_are_handled() {
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

/// A release drains the endpoints two at a time. Attempts sent to draining endpoints are lost when these exit, so each
/// update must take effect with the next request.
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
            let endpoint =
                sent_to(&gateway.request(id, 0, 1.0)).expect("other endpoints are ready");
            assert!(
                endpoint > draining[1],
                "an attempt was sent to endpoint {endpoint}, which is draining"
            );
            gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        }
    }
}

/// Clients can invent a new customer id with each request, until the memory is full. Idle customers must be removed in
/// time. Customers with attempts in flight are kept, as their units have not been settled yet.
#[test]
fn invented_customer_ids_do_not_fill_the_memory() {
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
        "customers that were active recently must be kept"
    );
    gateway.attempt_ended(1, 0, endpoint, Outcome::Success, Some(4.0));
    // The three units used above the estimate are settled with the customer's next charge.
    gateway.now += 1000.0;
    let (_, next_amount) = counter_call(&gateway.handle(Event::Request(request(100_000, 1))))
        .expect("the request is charged");
    // Amounts grow within the counter's window: 5.8 times in these 11 s. If the customer had been forgotten, the amount
    // would have grown by this factor only.
    assert!(next_amount > 12.0 * amount, "{next_amount} after {amount}");
}
