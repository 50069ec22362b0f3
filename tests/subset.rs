//! Subsetting in fleets of many endpoints: how evenly the endpoints are used, how the subsets follow changes of the
//! endpoint list, and whether the rules of retries and draining hold.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

mod common;
use common::*;
use quota_gateway::*;
use std::collections::BTreeSet;

/// Number of gateways.
const GATEWAYS: u32 = 90;
/// Number of endpoints, more than a gateway uses.
const ENDPOINTS: u32 = 1024;
/// Number of zones. The endpoint with the number n is in zone n mod `ZONES`.
const ZONES: u32 = 8;

/// Returns an entry of the endpoint list whose key is distributed like a hash.
fn entry(id: u32, state: EndpointState) -> Endpoint {
    let hash_key = u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    Endpoint {
        hash_key,
        ..endpoint_entry(id, id % ZONES, state)
    }
}

/// Creates all gateways of a fleet, with endpoints from 1 to `endpoints`.
fn gateways_with(settings: &Settings, endpoints: u32) -> Vec<TestGateway> {
    (0..settings.gateway_count)
        .map(|index| gateway_at(settings, index, endpoints))
        .collect()
}

fn gateway_at(settings: &Settings, index: u32, endpoints: u32) -> TestGateway {
    let settings = Settings {
        gateway_index: index,
        ..settings.clone()
    };
    let mut gateway = TestGateway {
        gateway: Gateway::new(settings, u64::from(index) + 1, 1000.0),
        now: 1000.0,
    };
    let endpoints = (1..=endpoints)
        .map(|id| entry(id, EndpointState::Ready))
        .collect();
    gateway.handle(Event::EndpointUpdate {
        complete: true,
        endpoints,
    });
    gateway
}

fn fleet_settings() -> Settings {
    Settings {
        gateway_count: GATEWAYS,
        counter: None,
        ..settings()
    }
}

fn fleet(endpoints: u32) -> Vec<TestGateway> {
    gateways_with(&fleet_settings(), endpoints)
}

/// Creates the gateway with this index, with all endpoints.
fn one_of_fleet(index: u32) -> TestGateway {
    gateway_at(&fleet_settings(), index, ENDPOINTS)
}

fn members(gateway: &mut TestGateway) -> BTreeSet<u32> {
    gateway.gateway.subset().iter().copied().collect()
}

/// The number of gateways that have an endpoint in their subset, summarized over several endpoints.
struct GatewaysPerEndpoint {
    min: usize,
    mean: f64,
    max: usize,
}

impl GatewaysPerEndpoint {
    /// Counts over the endpoints for which `is_counted` returns true.
    fn new(gateways: &mut [TestGateway], is_counted: impl Fn(u32) -> bool) -> Self {
        let mut counts = vec![0; ENDPOINTS as usize + 2];
        for gateway in gateways {
            for id in members(gateway) {
                counts[id as usize] += 1;
            }
        }
        let counts: Vec<_> = (1..=ENDPOINTS)
            .filter(|id| is_counted(*id))
            .map(|id| counts[id as usize])
            .collect();
        GatewaysPerEndpoint {
            min: *counts.iter().min().unwrap(),
            mean: counts.iter().sum::<usize>() as f64 / counts.len() as f64,
            max: *counts.iter().max().unwrap(),
        }
    }

    fn assert_even(&self) {
        let GatewaysPerEndpoint { min, mean, max } = *self;
        assert!(
            min as f64 >= mean - 1.5 && max as f64 <= mean + 1.5,
            "endpoints are in {min} to {max} subsets, {mean} on average"
        );
    }
}

#[test]
fn endpoints_are_in_equally_many_subsets_and_each_subset_covers_all_zones() {
    let mut gateways = fleet(ENDPOINTS);
    let per_endpoint = GatewaysPerEndpoint::new(&mut gateways, |_| true);
    // If subsets were chosen by a hash of gateway and endpoint, one endpoint would be in 9 subsets and another in 37.
    per_endpoint.assert_even();
    assert!(
        per_endpoint.mean >= 16.0,
        "endpoints are in {} subsets on average",
        per_endpoint.mean
    );
    for gateway in &mut gateways {
        let members = members(gateway);
        assert!((200..=320).contains(&members.len()), "{}", members.len());
        for zone in 0..ZONES {
            let of_zone = members.iter().filter(|id| *id % ZONES == zone).count();
            assert!(
                of_zone >= 12,
                "the subset has {of_zone} members of zone {zone}"
            );
        }
    }
}

#[test]
fn a_small_fleet_is_used_completely_by_each_gateway() {
    for gateway in &mut fleet(256) {
        assert_eq!(members(gateway).len(), 256);
    }
}

/// An endpoint drains, starts or becomes ready again. If the subsets of all gateways changed, each change would cost
/// handshakes all over the fleet. Only the subsets that contain the endpoint may change, and none of their other
/// members.
#[test]
fn few_members_change_when_an_endpoint_starts_or_drains() {
    let mut gateways = fleet(ENDPOINTS);
    let before: Vec<_> = gateways.iter_mut().map(members).collect();
    let changes = [
        (7, EndpointState::Draining),
        (ENDPOINTS + 1, EndpointState::Ready),
        (7, EndpointState::Ready),
    ];
    for (id, state) in changes {
        for gateway in &mut gateways {
            gateway.handle(Event::EndpointUpdate {
                complete: false,
                endpoints: vec![entry(id, state)],
            });
        }
    }
    let mut users = 0;
    for (gateway, before) in gateways.iter_mut().zip(before) {
        let after = members(gateway);
        let difference: Vec<_> = after.symmetric_difference(&before).collect();
        assert!(
            difference.is_empty() || difference == [&(ENDPOINTS + 1)],
            "{difference:?}"
        );
        users += difference.len();
    }
    assert!(
        (15..=35).contains(&users),
        "{users} gateways use the new endpoint"
    );
}

/// Two zones are lost. With unchanged arcs, subsets would have too few members. The arcs must become longer so that the
/// endpoints of the other zones are used evenly, and return to their former length once the lost zones are listed
/// again.
#[test]
fn arcs_grow_while_zones_are_lost() {
    let mut gateways = fleet(ENDPOINTS);
    let before: Vec<_> = gateways.iter_mut().map(members).collect();
    let is_lost = |id: &u32| id % ZONES < 2;
    let set_lost_zones = |gateways: &mut Vec<TestGateway>, state| {
        let endpoints: Vec<_> = (1..=ENDPOINTS)
            .filter(is_lost)
            .map(|id| entry(id, state))
            .collect();
        for gateway in gateways {
            gateway.handle(Event::EndpointUpdate {
                complete: false,
                endpoints: endpoints.clone(),
            });
        }
    };
    set_lost_zones(&mut gateways, EndpointState::Removed);
    GatewaysPerEndpoint::new(&mut gateways, |id| !is_lost(&id)).assert_even();
    for gateway in &mut gateways {
        let members = members(gateway);
        assert!(
            members.iter().all(|id| !is_lost(id)) && members.len() >= 200,
            "{}",
            members.len()
        );
    }
    set_lost_zones(&mut gateways, EndpointState::Ready);
    assert_eq!(gateways.iter_mut().map(members).collect::<Vec<_>>(), before);
}

/// Sends requests to a gateway. Endpoints for which `is_failing` returns true refuse connections, the others succeed.
fn send_requests(
    gateway: &mut TestGateway,
    ids: std::ops::Range<u64>,
    is_failing: &dyn Fn(u32) -> bool,
) {
    for id in ids {
        gateway.now += 5.0;
        let mut actions = gateway.handle(Event::Request(request(id, id)));
        let mut attempt = 0;
        while let Some(endpoint) = sent_to(&actions) {
            let outcome = if is_failing(endpoint) {
                Outcome::ConnectFailed
            } else {
                Outcome::Success
            };
            actions = gateway.attempt_ended(id, attempt, endpoint, outcome, None);
            attempt += 1;
        }
        if id % 200 == 0 {
            gateway.handle(Event::TimerFired { token: 0 });
        }
    }
}

/// A third of a subset's members fail. The gateway must use other endpoints in addition, and the subset must become
/// smaller once all members succeed again.
#[test]
fn ejected_members_are_replaced() {
    let mut gateway = one_of_fleet(3);
    let before = members(&mut gateway);
    let is_failing = |id: u32| before.contains(&id) && id % 3 == 0;
    send_requests(&mut gateway, 1..6001, &is_failing);
    let enlarged = members(&mut gateway);
    let healthy = enlarged.iter().filter(|id| !is_failing(**id)).count();
    assert!(
        enlarged.is_superset(&before) && healthy * 100 >= before.len() * 85,
        "{healthy} healthy members, {} members before",
        before.len()
    );
    send_requests(&mut gateway, 6001..46_001, &|_| false);
    assert!(
        members(&mut gateway).len() < enlarged.len(),
        "the subset must become smaller again"
    );
}

/// Settings with a price of opening connections.
fn settings_with_handshake_price() -> Settings {
    let mut settings = fleet_settings();
    settings.prices.handshake = 0.01;
    settings.limits.idle_timeout_ms = 30_000.0;
    settings.limits.requests_per_connection = 1;
    settings
}

/// Sends 6,000 requests that arrive `gap_ms` apart, and runs the housekeeping after every `requests_per_tick` requests.
/// Returns the endpoints of the last 1,000 requests.
fn endpoints_used(gateway: &mut TestGateway, gap_ms: f64, requests_per_tick: u64) -> BTreeSet<u32> {
    let mut used = BTreeSet::new();
    for id in 1..=6000 {
        gateway.now += gap_ms;
        let endpoint = sent_to(&gateway.handle(Event::Request(request(id, id))))
            .expect("the request is forwarded");
        gateway.attempt_ended(id, 0, endpoint, Outcome::Success, None);
        if id % requests_per_tick == 0 {
            gateway.handle(Event::TimerFired { token: 0 });
        }
        if id > 5000 {
            used.insert(endpoint);
        }
    }
    used
}

/// A gateway with many requests must spread them over its members. A gateway with few requests must use few endpoints,
/// to open few connections.
#[test]
fn requests_spread_over_the_members() {
    for (gap_ms, requests_per_tick, min_used, max_used) in
        [(8.0, 100, 200, 320), (4000.0, 1, 1, 130)]
    {
        let mut gateway = gateway_at(&settings_with_handshake_price(), 5, ENDPOINTS);
        let members = members(&mut gateway);
        let used = endpoints_used(&mut gateway, gap_ms, requests_per_tick);
        assert!(used.iter().all(|id| members.contains(id)));
        assert!(
            (min_used..=max_used).contains(&used.len()),
            "{} endpoints were used by requests {gap_ms} ms apart",
            used.len()
        );
    }
}

/// A request with an idempotency key fails at an endpoint of a zone in which the subset has few members. An endpoint of
/// another zone could execute the request a second time, so the retry must stay in the zone of the first attempt.
#[test]
fn retries_with_an_idempotency_key_stay_in_the_zone() {
    let mut gateway = one_of_fleet(1);
    for id in 1..=500 {
        gateway.now += 20.0;
        let keyed = Request {
            class: 1,
            ..request(id, id)
        };
        let first =
            sent_to(&gateway.handle(Event::Request(keyed))).expect("the request is forwarded");
        if let Some(second) =
            sent_to(&gateway.attempt_ended(id, 0, first, Outcome::ErrorResponse, None))
        {
            assert_eq!(second % ZONES, first % ZONES);
            assert_ne!(second, first);
            gateway.attempt_ended(id, 1, second, Outcome::Success, None);
        }
    }
}

/// Two thirds of the endpoints drain, and some of the others reject requests. No attempt may be sent to a draining
/// endpoint, inside or outside of the subset, and many of the others must be used.
#[test]
fn draining_endpoints_get_no_attempts() {
    let mut gateway = one_of_fleet(2);
    let is_draining = |id: &u32| id % 3 != 0;
    let endpoints = (1..=ENDPOINTS)
        .filter(is_draining)
        .map(|id| entry(id, EndpointState::Draining))
        .collect();
    gateway.handle(Event::EndpointUpdate {
        complete: false,
        endpoints,
    });
    let mut used = BTreeSet::new();
    for id in 1..=3000 {
        gateway.now += 8.0;
        let endpoint = sent_to(&gateway.handle(Event::Request(request(id, id))))
            .expect("the request is forwarded");
        assert!(
            !is_draining(&endpoint),
            "an attempt was sent to endpoint {endpoint}, which is draining"
        );
        used.insert(endpoint);
        // One request in ten is rejected and retried at another endpoint.
        let outcome = if id % 10 == 0 {
            Outcome::Rejected
        } else {
            Outcome::Success
        };
        if let Some(endpoint) = sent_to(&gateway.attempt_ended(id, 0, endpoint, outcome, None)) {
            assert!(
                !is_draining(&endpoint),
                "an attempt was sent to endpoint {endpoint}, which is draining"
            );
            gateway.attempt_ended(id, 1, endpoint, Outcome::Success, None);
        }
    }
    assert!(used.len() > 150, "{} endpoints were used", used.len());
}
