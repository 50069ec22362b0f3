//! Fleets in which a gateway keeps to a part of the backends only: how even that is, what moves, and that the rules
//! hold with it.

mod common;
use common::*;
use quota_gateway::*;
use std::collections::BTreeSet;

const GATEWAYS: u32 = 90;
const BACKENDS: u32 = 1024;
const ZONES: u32 = 8;

/// Keys as a hash of names has them.
fn entry(id: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        hash_key: u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        ..endpoint_entry(id, id % ZONES, state)
    }
}

fn many(settings: &Settings, backends: u32) -> Vec<TestGateway> {
    let rig = |position| {
        let settings = Settings { gateway_index: position, ..settings.clone() };
        let mut rig =
            TestGateway { gateway: Gateway::new(settings, u64::from(position) + 1, 1000.0), now: 1000.0 };
        let entries = (1..=backends).map(|id| entry(id, EndpointState::Ready)).collect();
        rig.handle(Event::EndpointUpdate { complete: true, endpoints: entries });
        rig
    };
    (0..settings.gateway_count).map(rig).collect()
}

fn fleet(backends: u32) -> Vec<TestGateway> {
    many(&Settings { gateway_count: GATEWAYS, counter: None, ..settings() }, backends)
}

fn members(rig: &mut TestGateway) -> BTreeSet<u32> {
    rig.gateway.subset().iter().copied().collect()
}

/// Gateways that keep to each backend: least, mean and most over those from 1 to `backends` that somebody may use.
fn owners(rigs: &mut [TestGateway], of: impl Fn(u32) -> bool) -> (usize, f64, usize) {
    let mut owners = vec![0; BACKENDS as usize + 2];
    for rig in rigs {
        members(rig).iter().for_each(|id| owners[*id as usize] += 1);
    }
    let owners: Vec<_> = (1..=BACKENDS).filter(|id| of(*id)).map(|id| owners[id as usize]).collect();
    let mean = owners.iter().sum::<usize>() as f64 / owners.len() as f64;
    (*owners.iter().min().unwrap(), mean, *owners.iter().max().unwrap())
}

#[test]
fn all_backends_have_alike_many_gateways_and_all_gateways_all_zones() {
    let mut rigs = fleet(BACKENDS);
    let (least, mean, most) = owners(&mut rigs, |_| true);
    // A plain hash of gateway and backend gives one of them 9 and another 37.
    assert!(least as f64 >= mean - 1.5 && most as f64 <= mean + 1.5, "{least} to {most}, {mean} in the mean");
    assert!(mean >= 16.0, "{mean}");
    for rig in &mut rigs {
        let members = members(rig);
        assert!((200..=320).contains(&members.len()), "{}", members.len());
        for zone in 0..ZONES {
            let of_zone = members.iter().filter(|id| *id % ZONES == zone).count();
            assert!(of_zone >= 12, "{of_zone} of zone {zone}");
        }
    }
}

#[test]
fn few_backends_are_all_kept_to() {
    for rig in &mut fleet(256) {
        assert_eq!(members(rig).len(), 256);
    }
}

/// One that comes or goes concerns those alone that keep to it; none of their other members changes.
#[test]
fn few_members_move_when_a_backend_comes_or_goes() {
    let mut rigs = fleet(BACKENDS);
    let before: Vec<_> = rigs.iter_mut().map(members).collect();
    for (id, state) in
        [(7, EndpointState::Draining), (BACKENDS + 1, EndpointState::Ready), (7, EndpointState::Ready)]
    {
        for rig in &mut rigs {
            rig.handle(Event::EndpointUpdate { complete: false, endpoints: vec![entry(id, state)] });
        }
    }
    let mut owners = 0;
    for (rig, before) in rigs.iter_mut().zip(before) {
        let after = members(rig);
        let moved: Vec<_> = after.symmetric_difference(&before).collect();
        assert!(moved.is_empty() || moved == [&(BACKENDS + 1)], "{moved:?}");
        owners += moved.len();
    }
    assert!((15..=35).contains(&owners), "{owners} keep to the new one");
}

/// With two zones lost the arcs widen over the others, evenly; at their return they are as before.
#[test]
fn arcs_widen_when_zones_are_lost_and_narrow_again() {
    let mut rigs = fleet(BACKENDS);
    let before: Vec<_> = rigs.iter_mut().map(members).collect();
    let lost = |id: &u32| id % ZONES < 2;
    let change = |rigs: &mut Vec<TestGateway>, state| {
        let entries: Vec<_> = (1..=BACKENDS).filter(lost).map(|id| entry(id, state)).collect();
        rigs.iter_mut().for_each(|rig| {
            drop(rig.handle(Event::EndpointUpdate { complete: false, endpoints: entries.clone() }))
        });
    };
    change(&mut rigs, EndpointState::Removed);
    let (least, mean, most) = owners(&mut rigs, |id| !lost(&id));
    assert!(least as f64 >= mean - 1.5 && most as f64 <= mean + 1.5, "{least} to {most}, {mean} in the mean");
    for rig in &mut rigs {
        let members = members(rig);
        assert!(members.iter().all(|id| !lost(id)) && members.len() >= 200, "{}", members.len());
    }
    change(&mut rigs, EndpointState::Ready);
    assert_eq!(rigs.iter_mut().map(members).collect::<Vec<_>>(), before);
}

/// Members that are left out make room for others; once they answer again the arc is as before.
#[test]
fn members_of_no_use_are_made_up_for() {
    let mut rig = fleet(BACKENDS).remove(3);
    let before = members(&mut rig);
    let mut id = 0;
    let mut play = |rig: &mut TestGateway, bad: &dyn Fn(u32) -> bool, requests: u32| {
        for _ in 0..requests {
            (id, rig.now) = (id + 1, rig.now + 5.0);
            let mut actions = rig.handle(Event::Request(request(id, id)));
            let mut attempt = 0;
            while let Some(backend) = sent_to(&actions) {
                let result = if bad(backend) { Outcome::ConnectFailed } else { Outcome::Success };
                actions = rig.attempt_ended(id, attempt, backend, result, None);
                attempt += 1;
            }
            if id % 200 == 0 {
                rig.handle(Event::TimerFired { token: 0 });
            }
        }
    };
    let bad = |id: u32| before.contains(&id) && id % 3 == 0;
    play(&mut rig, &bad, 6000);
    let wide = members(&mut rig);
    let well = wide.iter().filter(|id| !bad(**id)).count();
    assert!(wide.is_superset(&before) && well * 100 >= before.len() * 85, "{well} of {}", before.len());
    play(&mut rig, &|_| false, 40_000);
    assert!(members(&mut rig).len() < wide.len(), "it narrows again");
}

/// The cost of a request doesn't grow with the fleet: what it looks at is told by what it sends to. A quiet gateway
/// spreads over its members, and keeps to few connections where it has few requests.
#[test]
fn requests_spread_over_the_members() {
    for (gap_ms, ticks, least, most) in [(8.0, 100, 200, 320), (4000.0, 1, 1, 130)] {
        let mut s = Settings { gateway_count: GATEWAYS, counter: None, ..settings() };
        s.prices.handshake = 0.01;
        (s.limits.idle_timeout_ms, s.limits.requests_per_connection) = (30_000.0, 1);
        let mut rig = many(&s, BACKENDS).remove(5);
        let kept = members(&mut rig);
        let mut used = std::collections::BTreeMap::<u32, u32>::new();
        for id in 1..=6000 {
            rig.now += gap_ms;
            let backend = sent_to(&rig.handle(Event::Request(request(id, id)))).expect("it is sent");
            rig.attempt_ended(id, 0, backend, Outcome::Success, None);
            if id % ticks == 0 {
                rig.handle(Event::TimerFired { token: 0 });
            }
            if id > 5000 {
                *used.entry(backend).or_default() += 1;
            }
        }
        assert!(used.keys().all(|id| kept.contains(id)));
        assert!((least..=most).contains(&used.len()), "{} used, {gap_ms} ms apart", used.len());
    }
}

/// Repeats of a keyed request stay in the zone of the first attempt, though few members lie there.
#[test]
fn keyed_repeats_find_their_group() {
    let mut rig = fleet(BACKENDS).remove(1);
    for id in 1..=500 {
        rig.now += 20.0;
        let asked = Request { class: 1, ..request(id, id) };
        let first = sent_to(&rig.handle(Event::Request(asked))).expect("it is sent");
        if let Some(second) = sent_to(&rig.attempt_ended(id, 0, first, Outcome::ErrorResponse, None)) {
            assert_eq!(second % ZONES, first % ZONES);
            assert_ne!(second, first);
            rig.attempt_ended(id, 1, second, Outcome::Success, None);
        }
    }
}

/// What drains or has gone gets nothing more, in the subset or out of it, and the others are used.
#[test]
fn nothing_goes_to_what_drains() {
    let mut rig = fleet(BACKENDS).remove(2);
    let drains = |id: &u32| id % 3 != 0;
    let entries = (1..=BACKENDS).filter(drains).map(|id| entry(id, EndpointState::Draining)).collect();
    rig.handle(Event::EndpointUpdate { complete: false, endpoints: entries });
    let mut used = BTreeSet::new();
    for id in 1..=3000 {
        rig.now += 8.0;
        let backend = sent_to(&rig.handle(Event::Request(request(id, id)))).expect("it is sent");
        assert!(!drains(&backend), "{backend} drains");
        used.insert(backend);
        // One in ten turns the request away, and it goes to another one.
        let result = if id % 10 == 0 { Outcome::Rejected } else { Outcome::Success };
        if let Some(backend) = sent_to(&rig.attempt_ended(id, 0, backend, result, None)) {
            assert!(!drains(&backend), "{backend} drains");
            rig.attempt_ended(id, 1, backend, Outcome::Success, None);
        }
    }
    assert!(used.len() > 150, "{}", used.len());
}
