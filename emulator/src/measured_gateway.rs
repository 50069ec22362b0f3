//! One instance of the decision library that knows a given number of endpoints, for measurements of the library alone.
//! The scaling measurements and the benchmarks share this code.

use quota_gateway::{
    Action, AttemptEnd, Class, CounterSettings, Endpoint, EndpointId, EndpointState, Event,
    Gateway, Idempotency, Limits, Outcome, Plan, Prices, Request, RequestId, Rules, Settings,
};

/// Number of gateways of the next fleet size named by the operators.
const GATEWAYS: u32 = 720;
const GATEWAY_SEED: u64 = 7;
const ZONES: u32 = 8;
/// Number of cells that the endpoints are spread over.
pub const CELLS: u32 = 64;
const CUSTOMERS: u64 = 500;

/// Creates a gateway that knows this number of ready endpoints.
#[must_use]
pub fn gateway(endpoints: u32) -> Gateway {
    let mut gateway = Gateway::new(settings(), GATEWAY_SEED, 0.0);
    gateway.handle(0.0, complete_list(endpoints), &mut Vec::new());
    gateway
}

/// The update with the complete list of this number of endpoints.
#[must_use]
pub fn complete_list(endpoints: u32) -> Event {
    Event::EndpointUpdate {
        complete: true,
        endpoints: (0..endpoints).map(endpoint).collect(),
    }
}

/// The list entry of an endpoint that is ready and past its slow start.
#[must_use]
pub fn endpoint(id: EndpointId) -> Endpoint {
    Endpoint {
        id,
        hash_key: id.into(),
        zone: id % ZONES,
        kind: 0,
        cell: id % CELLS,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0.0,
    }
}

/// A request of 1 unit whose plan has no quota.
#[must_use]
pub fn request(id: RequestId) -> Request {
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

/// The event that the request's first attempt succeeded after `elapsed_ms`.
#[must_use]
pub fn success(id: RequestId, endpoint: EndpointId, elapsed_ms: f64) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Success,
        request_answered: true,
        actual_units: None,
        elapsed_ms,
    })
}

/// The endpoint of the first attempt among the actions; `None` if no attempt is sent.
#[must_use]
pub fn first_attempt_endpoint(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::SendAttempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
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
