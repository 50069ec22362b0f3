//! Conversion of the serialized settings to the library's own.

use super::model::{
    WireClass, WireEndpointListMode, WireIdempotency, WireKeyScope, WireLimits, WirePlan,
    WirePrices, WireQuota, WireRules, WireSettings,
};
use crate::api::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings,
};

impl WireSettings {
    /// Converts to the library's settings. `limits.max_connections` is left at 0, as it depends on the machine.
    #[must_use]
    pub fn to_settings(&self) -> Settings {
        Settings {
            gateway_count: self.gateway_count,
            gateway_index: self.gateway_index,
            zone: self.zone,
            tick_ms: self.tick_ms,
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            counter: counter(&self.quota),
            max_units: self.quota.max_units,
            settles_units: self.quota.settles_units,
            limits: limits(&self.limits),
            prices: prices(&self.prices),
            rules: rules(&self.rules),
            endpoints_polled: self.endpoint_list_mode == WireEndpointListMode::Polled,
        }
    }
}

fn class(wire: &WireClass) -> Class {
    Class {
        latency_objective_ms: wire.latency_objective_ms,
        deadline_ms: wire.deadline_ms,
        late_value_share: wire.late_value_share,
        idempotency: idempotency(wire),
    }
}

fn idempotency(wire: &WireClass) -> Idempotency {
    match wire.idempotency {
        WireIdempotency::Idempotent => Idempotency::Idempotent,
        WireIdempotency::WithKey => Idempotency::WithKey {
            scope: key_scope(wire.key_scope),
            window_ms: wire.key_window_ms.unwrap_or(0.0),
        },
        WireIdempotency::NotIdempotent => Idempotency::NotIdempotent,
    }
}

/// Converts the scope. A missing scope, which `check_complete` reports, becomes the narrowest one.
fn key_scope(wire: Option<WireKeyScope>) -> KeyScope {
    match wire {
        Some(WireKeyScope::All) => KeyScope::All,
        Some(WireKeyScope::Zone) => KeyScope::Zone,
        Some(WireKeyScope::Cell) | None => KeyScope::Cell,
    }
}

fn plan(wire: &WirePlan) -> Plan {
    Plan {
        rate: wire.rate,
        burst: wire.burst,
        max_concurrency: wire.max_concurrency,
        over_quota_value_share: wire.over_quota_value_share,
        over_quota_cost: wire.over_quota_cost,
        ceiling_rate: wire.ceiling_rate,
        ceiling_burst: wire.ceiling_burst,
    }
}

fn counter(wire: &WireQuota) -> Option<CounterSettings> {
    let timeout_ms = wire.counter_timeout_ms.filter(|_| wire.counter_allowed)?;
    Some(CounterSettings { timeout_ms })
}

fn limits(wire: &WireLimits) -> Limits {
    Limits {
        max_attempts: wire.max_attempts,
        hedging: wire.hedging,
        cancellation: wire.cancellation,
        gossip: wire.gossip,
        retry_after: wire.retry_after,
        max_retry_after_ms: wire.max_retry_after_ms,
        idle_timeout_ms: wire.idle_timeout_ms,
        requests_per_connection: wire.requests_per_connection,
        max_connections: 0,
    }
}

fn prices(wire: &WirePrices) -> Prices {
    Prices {
        waste: wire.waste,
        handshake: wire.handshake,
        late_failure: wire.late_failure,
    }
}

fn rules(wire: &WireRules) -> Rules {
    Rules {
        slow_start_min_capacity: wire.slow_start_min_capacity,
        slow_start_ms: wire.slow_start_ms,
        drain_grace_ms: wire.drain_grace_ms,
        overload_multiple: wire.overload_multiple,
        overload_window_ms: wire.overload_window_ms,
    }
}
