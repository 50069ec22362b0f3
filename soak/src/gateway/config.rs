//! The configuration of a gateway.

use crate::request_class::RequestClass;
use crate::rules::LIMITS;
use crate::scenario::Scenario;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// The latency objective of a class with a long deadline.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1500);
/// The latency objective is at most this share of the class's deadline.
const LATENCY_OBJECTIVE_SHARE: f64 = 0.75;

/// The addresses in a gateway's configuration.
#[derive(Clone, Copy)]
pub struct Addresses {
    /// The address that the gateway listens on.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the shared counter.
    pub counter: SocketAddr,
}

/// The settings that all gateways of a run have in common.
#[derive(Clone, Copy)]
pub struct CommonConfig {
    /// Number of gateways in the run.
    pub gateways: usize,
    /// Gateways poll a shared service for the endpoint list. Otherwise an agent pushes the list.
    pub is_polled: bool,
    /// The scenario, which sets the deadlines and the limit of sockets.
    pub scenario: Scenario,
}

/// Returns the configuration of the gateway `index`. `known` is the endpoint list that the gateway starts with, or null
/// for a reload.
pub fn gateway_config(
    index: usize,
    common_config: CommonConfig,
    addresses: &Addresses,
    known: &Value,
    seed: u64,
) -> Value {
    json!({
        "name": format!("n{index}"),
        "listen": addresses.listen,
        "discovery": addresses.discovery,
        "counter": addresses.counter,
        "seed": format!("{seed:x}"),
        "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": common_config.scenario.sockets()},
        "settings": settings(index, common_config),
    })
}

fn class_config(name: &str, effect: &str, deadline: Duration) -> Value {
    let objective = LATENCY_OBJECTIVE.min(deadline.mul_f64(LATENCY_OBJECTIVE_SHARE));
    json!({
        "name": name, "aim-ms": millis(objective), "give-up-ms": millis(deadline), "value": 1.0, "late-worth": 0.2,
        "effect": effect, "group": "all", "window-ms": millis(LIMITS.key_window)
    })
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn settings(index: usize, common_config: CommonConfig) -> Value {
    json!({
        "balancers": common_config.gateways,
        "position": index,
        "locality": index % 2,
        "zones": ["room-a", "room-b"],
        "kinds": ["std"],
        "granularity-ms": 2.0,
        "membership-mode": if common_config.is_polled { "ask" } else { "push" },
        "categories": [
            class_config("look", "read_like", common_config.scenario.deadline(RequestClass::Idempotent)),
            class_config("order", "idempotency_key", common_config.scenario.deadline(RequestClass::WithKey)),
            class_config("once", "non_idempotent", common_config.scenario.deadline(RequestClass::AtMostOnce))
        ],
        "tiers-of-service": [{
            "name": "plus", "refill": 2000.0, "store-size": 4000.0, "max-out": 0, "pays": 1.0, "extra-worth": 0.0,
            "excess-cost": 0.5, "cap-rate": 0.0, "cap-depth": 0.0, "ceiling-slack": 0.0
        }],
        "domain": {
            "may-count": true, "counter-timeout-ms": 50.0, "count-fee": 0.01, "units-top": 4, "trued-up": true,
            "peer-intake": 0.0
        },
        "limits": {
            "try-limit": 4, "may-duplicate": false, "cancel": true, "probing": false, "peers": false,
            "retry-after": true, "max-retry-after-ms": 500.0, "connect-timeout-ms": 250.0, "idle-close-ms": 8000.0,
            "streams-per-conn": 1
        },
        "penalties": {"cross-zone": 0.013, "waste": 0.16, "probe": 0.0, "late-fail": 0.05, "handshake": 0.01},
        "rules": {
            "answer-slack-ms": 16.0, "cold-from": LIMITS.initial_share, "warm-up-ms": millis(LIMITS.warm_up),
            "drain-grace-ms": millis(LIMITS.drain_grace), "fall-multiple": LIMITS.overload_multiple,
            "fall-ms": millis(LIMITS.overload_window), "ask-within-ms": 10000.0
        }
    })
}
