//! Converts the settings of the file into those of the decision library.

use super::file::{
    WireClass, WireDomain, WireEffect, WireKeyScope, WireLimits, WireMembershipMode, WirePenalties,
    WirePlan, WireRules, WireSettings,
};
use quota_gateway::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings,
};

/// The library's settings. `limits.max_connections` stays 0: it depends on the machine.
pub fn library_settings(wire: &WireSettings) -> Settings {
    Settings {
        gateway_count: wire.balancers,
        gateway_index: wire.position,
        zone: wire.locality,
        tick_ms: wire.granularity_ms,
        classes: wire.categories.iter().map(class).collect(),
        plans: wire.tiers_of_service.iter().map(plan).collect(),
        counter: counter(&wire.domain),
        max_units: wire.domain.units_top,
        settles_units: wire.domain.trued_up,
        limits: limits(&wire.limits),
        prices: prices(&wire.penalties),
        rules: rules(&wire.rules),
        endpoints_polled: wire.membership_mode == WireMembershipMode::Ask,
    }
}

fn class(wire: &WireClass) -> Class {
    Class {
        latency_objective_ms: wire.aim_ms,
        deadline_ms: wire.give_up_ms,
        late_weight: wire.late_worth,
        idempotency: idempotency(wire),
    }
}

fn idempotency(wire: &WireClass) -> Idempotency {
    match wire.effect {
        WireEffect::ReadLike => Idempotency::Idempotent,
        WireEffect::IdempotencyKey => Idempotency::WithKey {
            scope: key_scope(wire.group),
            window_ms: wire.window_ms.unwrap_or(0.0),
        },
        WireEffect::NonIdempotent => Idempotency::NotIdempotent,
    }
}

fn key_scope(wire: Option<WireKeyScope>) -> KeyScope {
    match wire {
        Some(WireKeyScope::All) => KeyScope::All,
        Some(WireKeyScope::Zone) => KeyScope::Zone,
        Some(WireKeyScope::Cell) | None => KeyScope::Cell,
    }
}

fn plan(wire: &WirePlan) -> Plan {
    Plan {
        rate: wire.refill,
        burst: wire.store_size,
        max_concurrency: wire.max_out,
        over_quota_weight: wire.extra_worth,
        over_quota_cost: wire.excess_cost,
        ceiling_rate: wire.cap_rate,
        ceiling_burst: wire.cap_depth,
    }
}

fn counter(wire: &WireDomain) -> Option<CounterSettings> {
    if !wire.may_count {
        return None;
    }
    Some(CounterSettings {
        timeout_ms: wire.counter_timeout_ms,
    })
}

fn limits(wire: &WireLimits) -> Limits {
    Limits {
        max_attempts: wire.try_limit,
        hedging: wire.may_duplicate,
        cancellation: wire.cancel,
        gossip: wire.peers,
        retry_after: wire.retry_after,
        max_retry_after_ms: wire.max_retry_after_ms,
        idle_timeout_ms: wire.idle_close_ms,
        requests_per_connection: wire.streams_per_conn,
        max_connections: 0,
    }
}

fn prices(wire: &WirePenalties) -> Prices {
    Prices {
        waste: wire.waste,
        handshake: wire.handshake,
        late_failure: wire.late_fail,
    }
}

fn rules(wire: &WireRules) -> Rules {
    Rules {
        slow_start_min_capacity: wire.cold_from,
        slow_start_ms: wire.warm_up_ms,
        drain_grace_ms: wire.drain_grace_ms,
        overload_multiple: wire.fall_multiple,
        overload_window_ms: wire.fall_ms,
    }
}
