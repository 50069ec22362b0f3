//! Measurements of the single quantities, each for one number of endpoints.

use crate::measured_gateway::{
    complete_list, endpoint, first_attempt_endpoint, gateway, request, success, CELLS,
};
use crate::process_memory::resident_memory_kb;
use crate::report::Distribution;
use quota_gateway::{Action, Endpoint, EndpointState, Event, Gateway};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// Time between two requests on the clock that the library is given, in ms.
const REQUEST_INTERVAL_MS: f64 = 8.0;
/// Number of requests in flight: about as many as a service time of 40 ms gives at that interval.
const IN_FLIGHT: usize = 5;
/// Elapsed time that is reported for a request, in ms.
const SERVICE_MS: f64 = REQUEST_INTERVAL_MS * IN_FLIGHT as f64;
/// Number of requests after which the endpoints used are counted.
const REQUESTS_FOR_ENDPOINTS_USED: u64 = 2000;
/// Endpoints of all gateways that share a measurement of memory. Many gateways are measured together, so that the size
/// of pages and the overhead of the allocator are small in comparison.
const TOTAL_ENDPOINTS: u32 = 100_000;
/// Minimum number of gateways that share a measurement of memory.
const MIN_GATEWAYS: u32 = 20;
/// Minimum number of complete lists measured.
const MIN_LISTS: u64 = 3;

/// Median time in which the library handles a request and the success of an earlier one, in microseconds.
pub(super) fn request_us(endpoints: u32, rounds: u64) -> f64 {
    let mut load = Load::new(endpoints);
    median((1..=rounds).map(|id| {
        let started_at = Instant::now();
        load.request(id);
        micros_since(started_at)
    }))
}

/// Median time in which the library applies a complete list that it already has, in microseconds.
pub(super) fn complete_list_us(endpoints: u32, rounds: u64) -> f64 {
    let mut gateway = gateway(endpoints);
    median((0..rounds.max(MIN_LISTS)).map(|round| {
        let update = complete_list(endpoints);
        let started_at = Instant::now();
        gateway.handle(round as f64, update, &mut Vec::new());
        micros_since(started_at)
    }))
}

/// Median time in which the library applies a change of one entry, in microseconds.
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

/// Resident memory of one gateway, in KB. The gateways are moved to `kept`, as freed memory would be reused by the next
/// measurement.
pub(super) fn memory_kb(endpoints: u32, kept: &mut Vec<Gateway>) -> f64 {
    let gateway_count = (TOTAL_ENDPOINTS / endpoints).max(MIN_GATEWAYS);
    let before = resident_memory_kb();
    kept.extend((0..gateway_count).map(|_| gateway(endpoints)));
    (resident_memory_kb() - before) / f64::from(gateway_count)
}

/// Size of a complete list in the JSON form of the discovery protocol, in KB.
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

/// Number of different endpoints that `REQUESTS_FOR_ENDPOINTS_USED` requests are sent to.
pub(super) fn endpoints_used(endpoints: u32) -> f64 {
    let mut load = Load::new(endpoints);
    let used: BTreeSet<u32> = (1..=REQUESTS_FOR_ENDPOINTS_USED)
        .filter_map(|id| load.request(id))
        .collect();
    used.len() as f64
}

/// A gateway with a constant request rate and service time.
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

    /// Makes a request, and reports the success of the oldest one if more than `IN_FLIGHT` are open. Returns the
    /// endpoint that the new request is sent to; `None` if the gateway does not forward it.
    fn request(&mut self, id: u64) -> Option<u32> {
        let now = id as f64 * REQUEST_INTERVAL_MS;
        self.actions.clear();
        self.gateway
            .handle(now, Event::Request(request(id)), &mut self.actions);
        let endpoint = first_attempt_endpoint(&self.actions)?;
        self.in_flight.push_back(InFlight {
            request: id,
            endpoint,
        });
        if self.in_flight.len() > IN_FLIGHT {
            let oldest = self.in_flight.pop_front()?;
            self.gateway.handle(
                now,
                success(oldest.request, oldest.endpoint, SERVICE_MS),
                &mut self.actions,
            );
        }
        Some(endpoint)
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    Distribution::of(values.collect()).p50
}

fn micros_since(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * 1e6
}
