//! Library settings of the emulated gateways, derived from the experiment.

use super::model::{ClassModel, Experiment, IdempotencyModel, PlanModel};
use quota_gateway::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings,
};

/// Shortest time between two calls of the library.
const TICK_MS: f64 = 1.0;
/// Maximum units of one request. Clients declare 1 or 2, and the actual units are less than 1.3 times as many.
const MAX_UNITS: f64 = 4.0;
const OVER_QUOTA_COST: f64 = 0.5;
const MAX_RETRY_AFTER_MS: f64 = 2000.0;

impl Experiment {
    /// Settings shared by all gateways. The index and zone of each gateway are set separately.
    #[must_use]
    pub fn settings(&self) -> Settings {
        Settings {
            gateway_count: self.gateways.count,
            tick_ms: TICK_MS,
            classes: self.classes.iter().map(|class| self.class(class)).collect(),
            plans: self.plans.iter().map(plan).collect(),
            counter: self.counter_settings(),
            max_units: MAX_UNITS,
            settles_units: true,
            limits: self.limits(),
            prices: Prices {
                handshake: self.rules.handshake_price,
                ..Prices::default()
            },
            rules: self.gateway_rules(),
            ..Settings::default()
        }
    }

    fn class(&self, model: &ClassModel) -> Class {
        Class {
            latency_objective_ms: model.latency_objective_ms,
            deadline_ms: model.deadline_ms,
            idempotency: self.idempotency(model.idempotency),
            ..Class::default()
        }
    }

    fn idempotency(&self, model: IdempotencyModel) -> Idempotency {
        let window_ms = self.rules.idempotency_window_ms;
        match model {
            IdempotencyModel::Idempotent => Idempotency::Idempotent,
            IdempotencyModel::KeyPerZone => Idempotency::WithKey {
                scope: KeyScope::Zone,
                window_ms,
            },
            IdempotencyModel::KeyEverywhere => Idempotency::WithKey {
                scope: KeyScope::All,
                window_ms,
            },
            IdempotencyModel::NotIdempotent => Idempotency::NotIdempotent,
        }
    }

    fn counter_settings(&self) -> Option<CounterSettings> {
        let counter = self.counter.as_ref()?;
        Some(CounterSettings {
            timeout_ms: counter.timeout_ms,
        })
    }

    fn limits(&self) -> Limits {
        Limits {
            max_attempts: self.rules.max_attempts,
            cancellation: true,
            retry_after: true,
            max_retry_after_ms: MAX_RETRY_AFTER_MS,
            idle_timeout_ms: self.rules.idle_timeout_ms,
            requests_per_connection: 1,
            max_connections: self.gateways.max_connections,
            ..Limits::default()
        }
    }

    fn gateway_rules(&self) -> Rules {
        Rules {
            slow_start_min_capacity: self.rules.slow_start_min_capacity,
            slow_start_ms: self.rules.slow_start_ms,
            drain_grace_ms: self.rules.drain_grace_ms,
            overload_multiple: self.rules.overload_multiple,
            overload_window_ms: self.rules.overload_window_ms,
        }
    }
}

fn plan(model: &PlanModel) -> Plan {
    Plan {
        rate: model.rate,
        burst: model.burst,
        over_quota_cost: OVER_QUOTA_COST,
        ..Plan::default()
    }
}
