//! Counters of requests, attempts, connections and broken rules, labelled with their reasons or outcomes. They are
//! served in the text format of Prometheus at `/health/metrics`.
//!
//! - `family`: single counters, and families with one counter for each value of a label
//! - `labels`: the labels and their values

mod family;
mod labels;
#[cfg(test)]
mod tests;

pub use labels::{AttemptOutcome, AttemptRefusal, ConnectionEnd, RequestEnd, Rule};

use family::{register_counter, CounterFamily};
use prometheus::{IntCounter, Registry, TextEncoder};
use std::rc::Rc;

/// All counters. The process has one instance.
pub struct Metrics {
    registry: Registry,
    /// Final responses to clients.
    pub requests: CounterFamily<RequestEnd>,
    /// Attempts that ended.
    pub attempts: CounterFamily<AttemptOutcome>,
    /// Attempts that were refused right before their first byte.
    pub attempt_refusals: CounterFamily<AttemptRefusal>,
    /// Client connections that ended.
    pub connections_ended: CounterFamily<ConnectionEnd>,
    /// Broken rules, as found by `driver::rule_checks` and the server. Each is a fault of this program.
    pub violations: CounterFamily<Rule>,
    /// Client connections that were accepted.
    pub connections_accepted: IntCounter,
    /// Failures to accept a client connection.
    pub accept_errors: IntCounter,
    /// Updates of the endpoint list that were applied.
    pub list_updates: IntCounter,
    /// Reloads on SIGHUP that succeeded.
    pub reloads: IntCounter,
    /// Reloads on SIGHUP that failed; the running configuration stays in use.
    pub failed_reloads: IntCounter,
}

impl Metrics {
    /// Creates and registers all counters, at 0.
    pub fn new() -> Rc<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| register_counter(&registry, name, help);
        Rc::new(Metrics {
            requests: CounterFamily::register(&registry, "requests", "Final responses to clients"),
            attempts: CounterFamily::register(
                &registry,
                "attempts",
                "Attempts at endpoints that ended",
            ),
            attempt_refusals: CounterFamily::register(
                &registry,
                "attempt_refusals",
                "Attempts refused right before they were written",
            ),
            connections_ended: CounterFamily::register(
                &registry,
                "client_connections_ended",
                "Client connections that ended",
            ),
            violations: CounterFamily::register(
                &registry,
                "rule_violations",
                "Rules of the protocol that were broken",
            ),
            connections_accepted: counter(
                "client_connections_accepted",
                "Client connections that were accepted",
            ),
            accept_errors: counter("accept_errors", "Failures to accept a client connection"),
            list_updates: counter(
                "endpoint_list_updates",
                "Updates of the endpoint list that were applied",
            ),
            reloads: counter("reloads", "Configuration reloads on SIGHUP that succeeded"),
            failed_reloads: counter(
                "failed_reloads",
                "Configuration reloads on SIGHUP that failed",
            ),
            registry,
        })
    }

    /// Encodes the counters in the text format.
    pub fn encode(&self) -> String {
        // Encoding fails only on families without a name or a value; all families here have both.
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
