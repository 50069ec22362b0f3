//! The five rules, each kept by one gateway alone, and the failures found so far.

mod common;
use common::*;
use quota_gateway::*;

/// Settings without a counter or quota, for tests of what comes after.
fn open_settings() -> Settings {
    let mut s = settings();
    s.counter = None;
    s.plans[0].rate = 0.0;
    s
}

const LATEST: f64 = 2000.0;

#[test]
fn every_request_is_answered_by_its_deadline() {
    let mut rig = TestGateway::new(open_settings());
    let backend = sent_to(&rig.request(1, 2, 1.0)).unwrap();
    rig.now += LATEST;
    let actions = rig.attempt_ended(1, 0, backend, Outcome::Timeout, None);
    assert!(failed(&actions), "an unsafe request that may have run is failed, not refused: {actions:?}");
    let actions = rig.attempt_ended(1, 0, backend, Outcome::Success, None);
    assert!(actions.is_empty(), "nothing follows a final answer: {actions:?}");
}

#[test]
fn a_request_held_for_the_counter_is_released_when_the_counter_stays_silent() {
    let mut rig = TestGateway::new(settings());
    let actions = rig.request(1, 0, 1.0);
    let wait = actions.iter().find_map(|a| match a {
        Action::SetTimer { token, after_ms } if *token != 0 => Some((*token, *after_ms)),
        _ => None,
    });
    let (token, after_ms) = wait.expect("a bounded wait");
    assert!(after_ms <= 50.0);
    rig.now += after_ms;
    assert!(sent_to(&rig.handle(Event::TimerFired { token })).is_some());
}

#[test]
fn an_unsafe_request_goes_out_again_only_if_it_never_ran() {
    for (result, again) in
        [(Outcome::Rejected, true), (Outcome::ConnectFailed, true), (Outcome::ConnectionReset, false)]
    {
        let mut rig = TestGateway::new(open_settings());
        let backend = sent_to(&rig.request(1, 2, 1.0)).unwrap();
        let actions = rig.attempt_ended(1, 0, backend, result, None);
        assert_eq!(sent_to(&actions).is_some(), again, "{result:?}");
        assert_eq!(failed(&actions), !again, "{result:?}");
    }
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_group_and_window() {
    for (after, again) in [(10.0, true), (1600.0, false)] {
        let mut rig = TestGateway::new(open_settings());
        let first = sent_to(&rig.request(1, 1, 1.0)).unwrap();
        rig.now += after;
        let actions = rig.attempt_ended(1, 0, first, Outcome::ConnectionReset, None);
        let zone = |id| if id == 3 { 1 } else { 0 };
        assert_eq!(sent_to(&actions).map(zone), again.then_some(zone(first)));
        assert!(again || failed(&actions), "a refusal would promise too much: {actions:?}");
    }
}

#[test]
fn nothing_goes_to_a_draining_or_gone_backend() {
    let mut rig = TestGateway::new(open_settings());
    let entries =
        vec![endpoint_entry(1, 0, EndpointState::Draining), endpoint_entry(2, 0, EndpointState::Removed)];
    rig.handle(Event::EndpointUpdate { complete: false, endpoints: entries });
    for id in 1..20 {
        let backend = sent_to(&rig.request(id, 0, 1.0));
        assert!(backend.is_none() || backend == Some(3));
    }
    rig.handle(Event::EndpointUpdate { complete: true, endpoints: vec![] });
    assert!(rejected(&rig.request(99, 0, 1.0)).is_some(), "no backend is left");
}

#[test]
fn a_cold_backend_gets_no_more_than_is_surely_warm() {
    let mut rig = TestGateway::new(open_settings());
    rig.now += 60_000.0;
    let mut fresh = endpoint_entry(4, 0, EndpointState::Ready);
    fresh.started_at = rig.now;
    rig.handle(Event::EndpointUpdate { complete: false, endpoints: vec![fresh] });
    let mut to_cold = 0;
    // 100 requests a second for one second, each answered at once; a warm backend gets about 25.
    for id in 1..=100 {
        rig.now += 10.0;
        if let Some(backend) = sent_to(&rig.request(id, 0, 1.0)) {
            to_cold += usize::from(backend == 4);
            rig.attempt_ended(id, 0, backend, Outcome::Success, None);
        }
    }
    assert!(to_cold <= 9, "{to_cold} of 100 to a backend at a quarter of its capacity");
}

fn ceiling_settings() -> Settings {
    let mut s = open_settings();
    s.plans[0].ceiling_rate = 4.0;
    s.plans[0].ceiling_burst = 40.0;
    s.plans[0].ceiling_slack = 4.0;
    s
}

/// Units let through in the next seconds when far more is asked than the ceiling allows.
fn press(rig: &mut TestGateway, ids: std::ops::Range<u64>) -> f64 {
    let mut units = 0.0;
    for id in ids {
        rig.now += 10.0;
        if let Some(backend) = sent_to(&rig.request(id, 0, 2.0)) {
            units += 2.0;
            rig.attempt_ended(id, 0, backend, Outcome::Success, None);
        }
    }
    units
}

#[test]
fn a_ceiling_is_held_by_shares_and_across_a_restart() {
    let mut rig = TestGateway::new(ceiling_settings());
    rig.now += 60_000.0;
    // Half the ceiling is this gateway's, as the customer comes through two: 20 units and 2 a second.
    let before = press(&mut rig, 1..1000);
    assert!(before > 36.0 && before <= 42.0, "{before}");
    let mut after = TestGateway::new(ceiling_settings());
    let restarted = press(&mut after, 1..1000);
    assert!(restarted <= 20.0, "a gateway that starts again begins with nothing: {restarted}");
}

#[test]
fn what_others_tell_does_not_lift_the_share_of_a_ceiling() {
    let mut s = ceiling_settings();
    (s.gateway_count, s.limits.gossip) = (10, true);
    let mut rig = TestGateway::new(s);
    rig.now += 60_000.0;
    let none = [vec![2, 0], 7u64.to_le_bytes()[..5].to_vec(), vec![0; 3]].concat();
    let mut units = 0.0;
    // Between any two requests of ten seconds another gateway tells of no units of the same customer.
    for id in (1..1000).step_by(2) {
        units += press(&mut rig, id..id + 1);
        rig.now += 10.0;
        rig.handle(Event::Gossip { from: 3, body: none.clone() });
    }
    assert!(units <= 42.0, "half of 40 units and of 4 a second for 10 s: {units}");
}

#[test]
fn few_hung_attempts_do_not_lock_the_gateway() {
    // Found on quiet days: no answers, so the expected wait grew without end and all was refused; and a
    // usual time grown past the limit locked a gateway with one answer at a time.
    let mut rig = TestGateway::new(open_settings());
    for id in 1..=200 {
        let actions = rig.request(id, 0, 1.0);
        let backend = sent_to(&actions).unwrap_or_else(|| panic!("request {id} is refused: {actions:?}"));
        rig.now += 1900.0;
        let slow = AttemptEnd {
            id,
            attempt: 0,
            endpoint: backend,
            outcome: Outcome::Success,
            request_answered: true,
            actual_units: None,
            elapsed_ms: 1900.0,
            load: LoadReport::default(),
        };
        rig.handle(Event::AttemptEnded(slow));
    }
    for id in 300..305 {
        sent_to(&rig.request(id, 0, 1.0)).expect("the least work is let in");
    }
    assert!(rejected(&rig.request(305, 0, 1.0)).is_some(), "answers come late: more is refused early");
}

#[test]
fn one_attempt_that_hangs_does_not_make_a_quiet_gateway_refuse() {
    // Found at size: with two requests a second an average over time is moved most by the one that hangs.
    let mut rig = TestGateway::new(Settings { gateway_count: 200, ..open_settings() });
    for id in 1..=20 {
        let backend = sent_to(&rig.request(id, 0, 1.0)).unwrap();
        rig.now += 50.0;
        rig.attempt_ended(id, 0, backend, Outcome::Success, None);
        rig.now += 350.0;
    }
    sent_to(&rig.request(21, 0, 1.0)).unwrap();
    rig.now += 1500.0;
    assert!(sent_to(&rig.request(22, 0, 1.0)).is_some());
}

#[test]
fn a_slow_attempt_is_neither_copied_nor_withdrawn() {
    // Found at size: a backend met once in tens of seconds has answered nothing since, so all slow ones
    // looked stuck, and copies filled a pressed fleet.
    for hedging in [false, true] {
        let mut s = open_settings();
        s.limits.hedging = hedging;
        let mut rig = TestGateway::new(s);
        let actions = rig.request(1, 0, 1.0);
        for action in actions {
            if let Action::SetTimer { token, after_ms } = action {
                rig.now += after_ms;
                let after = rig.handle(Event::TimerFired { token });
                assert!(sent_to(&after).is_none());
                assert!(!after.iter().any(|a| matches!(a, Action::CancelAttempt { .. })));
            }
        }
    }
}

#[test]
fn a_backend_full_for_one_plan_still_serves_the_others() {
    // Found where backends turned one plan away: full was held against them for all, and for 200 ms only.
    let mut s = open_settings();
    s.plans.push(s.plans[0]);
    let mut rig = TestGateway::new(s);
    rig.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![endpoint_entry(3, 1, EndpointState::Removed)],
    });
    let ask = |rig: &mut TestGateway, id, plan| {
        sent_to(&rig.handle(Event::Request(Request { plan, ..request(id, id) }))).expect("sent")
    };
    let shut = ask(&mut rig, 1, 0);
    let other = sent_to(&rig.attempt_ended(1, 0, shut, Outcome::Rejected, None)).expect("tried elsewhere");
    assert_ne!(shut, other);
    rig.attempt_ended(1, 1, other, Outcome::Success, None);
    let mut seen = Vec::new();
    for id in 2..=12 {
        rig.now += 400.0;
        let backends = [0, 1].map(|plan: u32| ask(&mut rig, id * 10 + u64::from(plan), plan));
        assert_eq!(backends[0], other, "plan 0 went back");
        seen.push(backends[1]);
        for (plan, backend) in backends.into_iter().enumerate() {
            rig.attempt_ended(id * 10 + plan as u64, 0, backend, Outcome::Success, None);
        }
    }
    assert!(seen.contains(&shut), "it has room for plan 1");
}

/// What a hundred gateways of two requests a second send to each of 40 backends in 15 s; the first so many
/// start cold.
fn hundred_gateways(cold: usize) -> Vec<usize> {
    let mut to = vec![0; 41];
    for position in 0..100u32 {
        let settings = Settings { gateway_count: 100, gateway_index: position, ..open_settings() };
        let mut rig = TestGateway { gateway: Gateway::new(settings, u64::from(position), 0.0), now: 0.0 };
        let mut entries: Vec<_> =
            (1..=40).map(|id| endpoint_entry(id, id % 2, EndpointState::Ready)).collect();
        rig.handle(Event::EndpointUpdate { complete: true, endpoints: entries.clone() });
        for id in 0..50 {
            rig.now += 500.0;
            if id == 20 {
                entries[..cold].iter_mut().for_each(|e| e.started_at = rig.now);
                rig.handle(Event::EndpointUpdate { complete: false, endpoints: entries[..cold].to_vec() });
            }
            let backend = sent_to(&rig.handle(Event::Request(request(id, id)))).expect("sent");
            to[backend as usize] += usize::from(id >= 20);
            rig.attempt_ended(id, 0, backend, Outcome::Success, None);
        }
    }
    to
}

#[test]
fn many_gateways_do_not_take_the_same_backend() {
    let to = hundred_gateways(0);
    assert!(to[1..].iter().all(|n| (10..=200).contains(n)), "75 each on average: {to:?}");
}

#[test]
fn a_hundred_gateways_do_not_push_a_cold_backend_over() {
    let to = hundred_gateways(1);
    // A warm one got about 75; the cold one has a quarter of its capacity at first and all after 10 s.
    assert!(to[1] <= 90, "{} requests to the cold one: {to:?}", to[1]);
    assert!(to[1] >= 3, "it is used: {to:?}");
}

#[test]
fn a_hundred_gateways_use_what_is_surely_warm_of_many_cold_backends() {
    // Found at size: what a cold backend might be sent was left to chance among all, so that it got a part of
    // that part, and six in ten backends stood idle while the others were overrun.
    let to = hundred_gateways(24);
    let cold = to[1..=24].iter().sum::<usize>();
    // Over the 15 s the 24 have 0.75 of their capacity on average and the 16 warm ones all of theirs: they are
    // due 53% of the 3000 requests, a little less as each gateway saves up its first request to each.
    assert!((1050..=1700).contains(&cold), "{cold} to the cold ones: {to:?}");
    assert!(to[1..=24].iter().all(|n| *n <= 100), "and none is pushed over: {to:?}");
}

#[test]
fn a_hundred_gateways_keep_to_the_connections_they_have() {
    // Found at size: each request went to any of 60 backends, so one in three opened a connection, and each
    // backend was heard of once in ten seconds.
    let mut to = vec![0; 41];
    let mut opened = 0;
    for position in 0..100u32 {
        let mut settings = Settings { gateway_count: 100, gateway_index: position, ..open_settings() };
        settings.prices.handshake = 0.08;
        (settings.limits.idle_timeout_ms, settings.limits.requests_per_connection) = (30_000.0, 1);
        let mut rig = TestGateway { gateway: Gateway::new(settings, u64::from(position), 0.0), now: 0.0 };
        let entries: Vec<_> = (1..=40).map(|id| endpoint_entry(id, id % 2, EndpointState::Ready)).collect();
        rig.handle(Event::EndpointUpdate { complete: true, endpoints: entries });
        let mut known = std::collections::BTreeSet::new();
        // Two requests at a time, four a second.
        for id in (0..100).step_by(2) {
            rig.now += 500.0;
            let pair =
                [id, id + 1].map(|id| (id, sent_to(&rig.handle(Event::Request(request(id, id)))).unwrap()));
            assert_ne!(pair[0].1, pair[1].1, "a connection carries one request");
            for (id, backend) in pair {
                to[backend as usize] += 1;
                opened += usize::from(known.insert(backend));
                rig.attempt_ended(id, 0, backend, Outcome::Success, None);
            }
        }
    }
    assert!(opened <= 1000, "{opened} connections for 10000 requests");
    assert!(to[1..].iter().all(|n| (50..=600).contains(n)), "250 each on average: {to:?}");
}

#[test]
fn attempts_out_are_capped() {
    let mut s = open_settings();
    s.plans[0].max_concurrency = 2;
    let mut rig = TestGateway::new(s);
    assert!(sent_to(&rig.request(1, 0, 1.0)).is_some());
    assert!(sent_to(&rig.request(2, 0, 1.0)).is_some());
    assert!(rejected(&rig.request(3, 0, 1.0)).is_some());
}

#[test]
fn odd_events_change_nothing() {
    let mut rig = TestGateway::new(settings());
    assert!(rig.attempt_ended(9, 3, 77, Outcome::Success, Some(2.0)).is_empty());
    assert!(rig.counter_reply(12345, Outcome::Success, f64::NAN).is_empty());
    assert!(rig.handle(Event::ClientDisconnected { id: 4 }).is_empty());
    rig.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![endpoint_entry(500, 3, EndpointState::Removed)],
    });
    rig.handle(Event::TimerFired { token: u64::MAX });
    let (name, _) = counter_call(&rig.request(1, 0, 0.0)).unwrap();
    assert!(sent_to(&rig.counter_reply(name, Outcome::Success, 0.0)).is_some(), "zero units are fine");
    assert!(rejected(&rig.request(2, 9, 1.0)).is_some(), "an unknown class is refused, not a crash");
    let actions = rig.request(3, 0, f64::NAN);
    assert!(counter_call(&actions).is_none_or(|(_, amount)| amount.is_finite()));
}

#[test]
fn contradictory_settings_never_stall_a_request() {
    let cases: [fn(&mut Settings); 5] = [
        |s| (s.gateway_index, s.limits.gossip) = (50, true),
        |s| s.plans[0].burst = 1.0,
        |s| s.plans[0].rate = 0.0,
        |s| s.classes[0].latency_objective_ms = 9000.0,
        |s| s.gateway_count = 0,
    ];
    for (case, change) in cases.iter().enumerate() {
        let mut s = settings();
        change(&mut s);
        let mut rig = TestGateway::new(s);
        let mut actions = rig.request(1, 0, 3.0);
        if let Some((name, amount)) = counter_call(&actions) {
            actions.extend(rig.counter_reply(name, Outcome::Success, amount));
        }
        assert!(sent_to(&actions).is_some() || rejected(&actions).is_some(), "case {case}: {actions:?}");
    }
}

#[test]
fn a_fleet_of_one_backend_or_none_and_an_absurd_spread_are_fine() {
    for left in [1, 0] {
        let mut rig = TestGateway::new(open_settings());
        let entries = [endpoint_entry(1, 0, EndpointState::Ready)];
        rig.handle(Event::EndpointUpdate { complete: true, endpoints: entries[..left].to_vec() });
        for (id, spread) in [(1, 1e12), (2, 0.0), (3, f64::NAN)] {
            let actions = rig.handle(Event::Request(Request { gateway_set_size: spread, ..request(id, id) }));
            assert_eq!(sent_to(&actions), (left == 1).then_some(1));
            assert_eq!(rejected(&actions).is_some(), left == 0);
        }
    }
}

#[test]
fn backends_that_leave_in_waves_get_nothing_once_it_is_told() {
    let mut rig = TestGateway::new(open_settings());
    let entries: Vec<_> = (1..=9).map(|id| endpoint_entry(id, id % 2, EndpointState::Ready)).collect();
    rig.handle(Event::EndpointUpdate { complete: true, endpoints: entries });
    let mut id = 0;
    for wave in 0..4u32 {
        let gone = [wave * 2 + 1, wave * 2 + 2];
        rig.handle(Event::EndpointUpdate {
            complete: false,
            endpoints: gone.map(|id| endpoint_entry(id, id % 2, EndpointState::Draining)).into(),
        });
        for _ in 0..30 {
            id += 1;
            rig.now += 20.0;
            let backend = sent_to(&rig.request(id, 0, 1.0)).expect("others are left");
            assert!(backend > gone[1], "{backend} is leaving");
            rig.attempt_ended(id, 0, backend, Outcome::Success, None);
        }
    }
}

/// Numbers of customers can be made up, a new one with each request: they must not fill the memory, and those with
/// work out are not forgotten.
#[test]
fn made_up_customers_do_not_fill_the_memory() {
    let mut rig = TestGateway::new(settings());
    let mut shared = SharedCounter::default();
    let (name, amount) = counter_call(&rig.handle(Event::Request(request(1, 1)))).unwrap();
    let backend = sent_to(&rig.counter_reply(name, Outcome::Success, amount)).unwrap();
    for id in 2..100_000 {
        rig.now += 0.1;
        let actions = rig.handle(Event::Request(request(id, id)));
        let actions = shared.answer_calls(&mut rig, actions);
        if let Some(backend) = sent_to(&actions) {
            rig.attempt_ended(id, 0, backend, Outcome::Success, None);
        }
        assert!(rig.gateway.customer_count() <= 16_384);
    }
    assert!(rig.gateway.customer_count() > 1000, "but most are remembered");
    rig.attempt_ended(1, 0, backend, Outcome::Success, Some(4.0));
    // The three units beyond the guess ride on the customer's next charge.
    rig.now += 1000.0;
    let (_, again) = counter_call(&rig.handle(Event::Request(request(100_000, 1)))).expect("a charge");
    // Amounts grow with the window, 5.8 times in these 11 s: forgotten, it would be that alone.
    assert!(again > 12.0 * amount, "{again} after {amount}");
}
