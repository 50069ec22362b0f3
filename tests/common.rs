//! Helpers that drive a gateway through its public interface.
// Each test file uses only some of the helpers.
#![allow(dead_code, missing_docs, clippy::must_use_candidate)]

use quota_gateway::*;

/// A gateway and the current time of its events.
pub struct TestGateway {
    pub gateway: Gateway,
    pub now: f64,
}

/// Settings of a fleet of two gateways with a shared counter. Class 0 is idempotent, class 1 has an idempotency key,
/// and class 2 is not idempotent. The only plan has a quota of 2 units per second with a burst of 10 units.
pub fn settings() -> Settings {
    let class = |idempotency| Class {
        latency_objective_ms: 500.0,
        deadline_ms: 2000.0,
        idempotency,
        ..Class::default()
    };
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Zone,
        window_ms: 1500.0,
    };
    Settings {
        gateway_count: 2,
        tick_ms: 1.0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NotIdempotent),
        ],
        plans: vec![Plan {
            rate: 2.0,
            burst: 10.0,
            over_quota_cost: 1.0,
            ..Plan::default()
        }],
        counter: Some(CounterSettings { timeout_ms: 80.0 }),
        max_units: 4.0,
        settles_units: true,
        limits: Limits {
            max_attempts: 3,
            cancellation: true,
            retry_after: true,
            max_retry_after_ms: 2000.0,
            ..Limits::default()
        },
        rules: Rules {
            slow_start_min_capacity: 0.25,
            slow_start_ms: 10_000.0,
            drain_grace_ms: 1000.0,
            overload_multiple: 3.0,
            overload_window_ms: 1000.0,
        },
        ..Settings::default()
    }
}

/// An entry of the endpoint list. The endpoint has started long ago, and its hash key is its id.
pub fn endpoint_entry(id: u32, zone: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        id,
        hash_key: id.into(),
        kind: 0,
        weight: 1.0,
        zone,
        cell: 0,
        state,
        started_at: 0.0,
    }
}

impl TestGateway {
    /// A gateway without endpoints.
    pub fn without_endpoints(settings: Settings, seed: u64, now: f64) -> TestGateway {
        TestGateway {
            gateway: Gateway::new(settings, seed, now),
            now,
        }
    }

    /// A gateway with three endpoints: 1 and 2 in zone 0, 3 in zone 1.
    pub fn new(settings: Settings) -> TestGateway {
        let mut gateway = TestGateway::without_endpoints(settings, 1, 1000.0);
        let entries = [(1, 0), (2, 0), (3, 1)]
            .map(|(id, zone)| endpoint_entry(id, zone, EndpointState::Ready))
            .to_vec();
        gateway.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: entries,
        });
        gateway
    }

    /// Handles an event at the current time and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Handles a request of customer 7 that is not a retry.
    pub fn request(&mut self, id: u64, class: u32, units: f64) -> Vec<Action> {
        self.handle(Event::Request(Request {
            id,
            customer: 7,
            plan: 0,
            class,
            units,
            timeout_ms: 2000.0,
            gateway_set_size: 2.0,
            is_retry: false,
        }))
    }

    /// Handles the reply to a counter call with this key, 2 ms after the call.
    pub fn counter_reply(&mut self, key: u64, outcome: Outcome, total: f64) -> Vec<Action> {
        self.handle(Event::CounterReply {
            key,
            outcome,
            total,
            elapsed_ms: 2.0,
        })
    }

    /// Handles the end of an attempt that took 50 ms.
    pub fn attempt_ended(
        &mut self,
        id: u64,
        attempt: u8,
        endpoint: u32,
        outcome: Outcome,
        actual_units: Option<f64>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            request_answered: outcome == Outcome::Success,
            actual_units,
            elapsed_ms: 50.0,
        }))
    }
}

/// Returns the key and the amount of the first call to the shared counter, if there is one.
pub fn counter_call(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| match a {
        Action::AddToCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    })
}

/// Returns the endpoint that the first attempt is sent to, if one is sent.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::SendAttempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// Returns the Retry-After time of the first rejection in ms, if there is a rejection.
pub fn rejected(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|a| match a {
        Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
        _ => None,
    })
}

/// Returns whether a request is failed.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// A request of class 0 and of one unit that is not a retry.
pub fn request(id: u64, customer: u64) -> Request {
    Request {
        id,
        customer,
        plan: 0,
        class: 0,
        units: 1.0,
        timeout_ms: 2000.0,
        gateway_set_size: 2.0,
        is_retry: false,
    }
}

/// A shared counter whose calls always succeed. The value is the total of each key.
#[derive(Default)]
pub struct SharedCounter(std::collections::BTreeMap<u64, f64>);

impl SharedCounter {
    /// Replies to the counter calls among the actions, and to the calls that result from the replies. Returns all
    /// actions.
    pub fn answer_calls(
        &mut self,
        gateway: &mut TestGateway,
        mut actions: Vec<Action>,
    ) -> Vec<Action> {
        let mut answered = 0;
        while answered < actions.len() {
            if let Action::AddToCounter { key, amount, .. } = actions[answered] {
                let total = self.0.entry(key).or_default();
                *total += amount;
                actions.extend(gateway.counter_reply(key, Outcome::Success, *total));
            }
            answered += 1;
        }
        actions
    }
}
