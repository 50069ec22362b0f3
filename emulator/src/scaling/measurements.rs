//! The quantities that are measured, each for one number of endpoints.

use crate::process_memory::resident_memory_kb;
use crate::report::Distribution;
use quota_gateway::{
    Action, AttemptEnd, Class, CounterSettings, Endpoint, EndpointState, Event, Gateway,
    Idempotency, Limits, Outcome, Plan, Prices, Request, Rules, Settings,
};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// Gateways in the fleet.
const GATEWAYS: u32 = 720;
const GATEWAY_SEED: u64 = 7;
const ZONES: u32 = 8;
const CELLS: u32 = 64;
const CUSTOMERS: u64 = 500;
/// Time between two requests, in ms.
const REQUEST_INTERVAL_MS: f64 = 8.0;
/// Requests in flight: at that interval and a service time of 40 ms there are some five.
const IN_FLIGHT: usize = 5;
/// Requests after which the endpoints used are counted.
const REQUESTS_FOR_USE: u64 = 2000;
/// Gateways measured together, so that pages and the allocator's own needs are small beside them.
const ENDPOINTS_TOGETHER: u32 = 100_000;
const MIN_GATEWAYS_TOGETHER: u32 = 20;
/// Complete lists measured at least.
const MIN_LISTS: u64 = 3;

/// Median time of a request through the library, with the outcome of one before, in microseconds.
pub(super) fn request_us(endpoints: u32, rounds: u64) -> f64 {
    let mut load = Load::new(endpoints);
    median((1..=rounds).map(|id| {
        let started_at = Instant::now();
        load.request(id);
        micros_since(started_at)
    }))
}

/// Median time to take in a complete list again, in microseconds.
pub(super) fn complete_list_us(endpoints: u32, rounds: u64) -> f64 {
    let mut gateway = gateway(endpoints);
    median((0..rounds.max(MIN_LISTS)).map(|round| {
        let update = Event::EndpointUpdate {
            complete: true,
            endpoints: list(endpoints),
        };
        let started_at = Instant::now();
        gateway.handle(round as f64, update, &mut Vec::new());
        micros_since(started_at)
    }))
}

/// Median time to take in a change of one entry, in microseconds.
pub(super) fn change_us(endpoints: u32, rounds: u64) -> f64 {
    let mut gateway = gateway(endpoints);
    median((0..rounds).map(|round| {
        let state = if round % 2 == 0 {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        let changed = Endpoint {
            state,
            ..endpoint(round as u32 / 2 % endpoints)
        };
        let update = Event::EndpointUpdate {
            complete: false,
            endpoints: vec![changed],
        };
        let started_at = Instant::now();
        gateway.handle(round as f64, update, &mut Vec::new());
        micros_since(started_at)
    }))
}

/// Memory of one gateway, in KB. The gateways go to `kept`, as freed memory would be used again.
pub(super) fn memory_kb(endpoints: u32, kept: &mut Vec<Gateway>) -> f64 {
    let together = (ENDPOINTS_TOGETHER / endpoints).max(MIN_GATEWAYS_TOGETHER);
    let before = resident_memory_kb();
    kept.extend((0..together).map(|_| gateway(endpoints)));
    (resident_memory_kb() - before) / f64::from(together)
}

/// Size of a complete list in the protocol's form, in KB.
pub(super) fn list_size_kb(endpoints: u32) -> f64 {
    let endpoints: Vec<_> = (0..endpoints).map(listed_endpoint).collect();
    let list = serde_json::json!({"version": 41, "full": true, "servers": endpoints});
    list.to_string().len() as f64 / 1000.0
}

fn listed_endpoint(id: u32) -> serde_json::Value {
    let name = format!("s-{:08x}", id.wrapping_mul(0x9E37_79B9));
    let address = format!("10.1.{}.{}:9000", id >> 8, id & 255);
    serde_json::json!({
        "id": name, "addr": address, "zone": "a", "kind": "m2", "cell": id % CELLS, "state": "Ready", "weight": 1.0,
        "started_ms": 0
    })
}

/// Number of endpoints that some requests are sent to.
pub(super) fn endpoints_used(endpoints: u32) -> f64 {
    let mut load = Load::new(endpoints);
    let used: BTreeSet<u32> = (1..=REQUESTS_FOR_USE)
        .filter_map(|id| load.request(id))
        .collect();
    used.len() as f64
}

/// A gateway under an even load.
struct Load {
    gateway: Gateway,
    in_flight: VecDeque<InFlight>,
    actions: Vec<Action>,
}

struct InFlight {
    request: u64,
    endpoint: u32,
}

impl Load {
    fn new(endpoints: u32) -> Self {
        Load {
            gateway: gateway(endpoints),
            in_flight: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// A request, and the success of one before. Returns the endpoint that the request is sent to.
    fn request(&mut self, id: u64) -> Option<u32> {
        let now = id as f64 * REQUEST_INTERVAL_MS;
        self.actions.clear();
        self.gateway
            .handle(now, Event::Request(request(id)), &mut self.actions);
        let endpoint = self.actions.iter().find_map(|action| match action {
            Action::SendAttempt { endpoint, .. } => Some(*endpoint),
            _ => None,
        })?;
        self.in_flight.push_back(InFlight {
            request: id,
            endpoint,
        });
        if self.in_flight.len() > IN_FLIGHT {
            let oldest = self.in_flight.pop_front()?;
            self.gateway.handle(
                now,
                Event::AttemptEnded(success(&oldest)),
                &mut self.actions,
            );
        }
        Some(endpoint)
    }
}

fn request(id: u64) -> Request {
    Request {
        id,
        customer: id % CUSTOMERS,
        plan: 0,
        class: 0,
        units: 1.0,
        timeout_ms: 2000.0,
        gateway_set_size: 8.0,
        is_retry: false,
    }
}

fn success(ended: &InFlight) -> AttemptEnd {
    AttemptEnd {
        id: ended.request,
        attempt: 0,
        endpoint: ended.endpoint,
        outcome: Outcome::Success,
        request_answered: true,
        actual_units: None,
        elapsed_ms: REQUEST_INTERVAL_MS * IN_FLIGHT as f64,
    }
}

fn gateway(endpoints: u32) -> Gateway {
    let mut gateway = Gateway::new(settings(), GATEWAY_SEED, 0.0);
    let update = Event::EndpointUpdate {
        complete: true,
        endpoints: list(endpoints),
    };
    gateway.handle(0.0, update, &mut Vec::new());
    gateway
}

fn list(endpoints: u32) -> Vec<Endpoint> {
    (0..endpoints).map(endpoint).collect()
}

fn endpoint(id: u32) -> Endpoint {
    Endpoint {
        id,
        hash_key: id.into(),
        kind: 0,
        weight: 1.0,
        zone: id % ZONES,
        cell: id % CELLS,
        state: EndpointState::Ready,
        started_at: 0.0,
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective_ms: 500.0,
        deadline_ms: 2000.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    Settings {
        gateway_count: GATEWAYS,
        tick_ms: 1.0,
        classes: vec![class],
        plans: vec![Plan {
            rate: 0.0,
            burst: 10.0,
            ..Plan::default()
        }],
        counter: Some(CounterSettings { timeout_ms: 50.0 }),
        max_units: 4.0,
        limits: Limits {
            max_attempts: 3,
            cancellation: true,
            idle_timeout_ms: 30_000.0,
            requests_per_connection: 1,
            ..Limits::default()
        },
        prices: Prices {
            handshake: 0.01,
            ..Prices::default()
        },
        rules: Rules {
            slow_start_min_capacity: 0.16,
            slow_start_ms: 15_000.0,
            drain_grace_ms: 2000.0,
            overload_multiple: 4.0,
            overload_window_ms: 1500.0,
        },
        ..Settings::default()
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    Distribution::of(values.collect()).p50
}

fn micros_since(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * 1e6
}
