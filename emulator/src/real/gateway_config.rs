//! Configuration of the gateways of a run.

use super::stand_ins::StandIns;
use serde_json::{json, Value};

/// Version of the list in the gateways' configuration. The agent has a newer one.
const KNOWN_VERSION: u32 = 7;
/// Random seed of the first gateway; those of the other gateways follow it.
const FIRST_SEED: u64 = 0x8c1f_30d2;

/// Configuration of one gateway. The list in it has a single endpoint; the gateway gets the complete list from its
/// agent.
pub(super) fn gateway_config(index: u32, gateways: u32, stand_ins: &StandIns) -> Value {
    json!({
        "name": format!("n{index}"),
        "listen": "127.0.0.1:0",
        "discovery": stand_ins.discovery.address(),
        "counter": stand_ins.counter_address,
        "seed": format!("{:x}", FIRST_SEED + u64::from(index)),
        "known": known_list(stand_ins),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(index, gateways),
    })
}

fn known_list(stand_ins: &StandIns) -> Value {
    let entries: Vec<_> = stand_ins.first_entry.iter().collect();
    json!({"version": KNOWN_VERSION, "full": true, "servers": entries})
}

fn settings(index: u32, gateways: u32) -> Value {
    json!({
        "balancers": gateways,
        "position": index,
        "locality": 0,
        "zones": ["z0", "z1"],
        "kinds": ["m"],
        "granularity-ms": 1.0,
        "membership-mode": "push",
        "categories": [{
            "name": "look", "aim-ms": 750.0, "give-up-ms": 2500.0, "value": 1.0, "late-worth": 0.0,
            "effect": "read_like"
        }],
        "tiers-of-service": [{
            "name": "plus", "refill": 1000.0, "store-size": 2000.0, "max-out": 0, "pays": 1.0,
            "extra-worth": 0.0, "excess-cost": 0.5, "cap-rate": 0.0, "cap-depth": 0.0, "ceiling-slack": 0.0
        }],
        "domain": {
            "may-count": true, "counter-timeout-ms": 50.0, "count-fee": 0.01, "units-top": 4, "trued-up": true,
            "peer-intake": 0.0
        },
        "limits": {
            "try-limit": 3, "may-duplicate": false, "cancel": true, "probing": false, "peers": false,
            "retry-after": true, "max-retry-after-ms": 500.0, "connect-timeout-ms": 250.0,
            "idle-close-ms": 30000.0, "streams-per-conn": 1
        },
        "penalties": {
            "cross-zone": 0.013, "waste": 0.16, "probe": 0.0, "late-fail": 0.05, "handshake": 0.01
        },
        "rules": {
            "answer-slack-ms": 16.0, "cold-from": 0.16, "warm-up-ms": 15000.0, "drain-grace-ms": 2000.0,
            "fall-multiple": 4.0, "fall-ms": 1500.0, "ask-within-ms": 10000.0
        }
    })
}
