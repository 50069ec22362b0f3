//! Counters of requests, attempts, connections and broken rules, each by its reason, in the text format of Prometheus, at
//! `/health/metrics`.
//!
//! - `family`: counters, single ones and one for each value of a label
//! - `labels`: the labels and their values

mod family;
mod labels;
#[cfg(test)]
mod tests;

pub use labels::{AttemptOutcome, AttemptRefusal, ConnectionEnd, RequestEnd, Rule};

use family::{register_counter, CounterFamily};
use prometheus::{IntCounter, Registry, TextEncoder};
use std::rc::Rc;

/// All counters. There is one instance in the process.
pub struct Metrics {
    registry: Registry,
    /// Final responses to clients.
    pub requests: CounterFamily<RequestEnd>,
    /// Attempts that ended.
    pub attempts: CounterFamily<AttemptOutcome>,
    /// Attempts that were refused right before their first byte.
    pub attempt_refusals: CounterFamily<AttemptRefusal>,
    /// Connections of clients that ended.
    pub connections_ended: CounterFamily<ConnectionEnd>,
    /// Rules broken, as found by `driver::rule_checks` and the server. Each is a fault of this program.
    pub violations: CounterFamily<Rule>,
    /// Clients' connections accepted.
    pub connections_accepted: IntCounter,
    /// Failures to accept a client's connection.
    pub accept_errors: IntCounter,
    /// Updates of the endpoint list.
    pub list_updates: IntCounter,
    /// Configurations applied at SIGHUP.
    pub reloads: IntCounter,
    /// Configurations with an error at SIGHUP; the old one stays in use.
    pub failed_reloads: IntCounter,
}

impl Metrics {
    /// All counters, at 0.
    pub fn new() -> Rc<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| register_counter(&registry, name, help);
        Rc::new(Metrics {
            requests: CounterFamily::register(&registry, "requests", "Final responses to clients"),
            attempts: CounterFamily::register(
                &registry,
                "attempts",
                "Attempts on endpoints that ended",
            ),
            attempt_refusals: CounterFamily::register(
                &registry,
                "attempt_refusals",
                "Attempts not written after all",
            ),
            connections_ended: CounterFamily::register(
                &registry,
                "client_connections_ended",
                "Connections of clients that ended",
            ),
            violations: CounterFamily::register(&registry, "rule_violations", "Rules broken"),
            connections_accepted: counter(
                "client_connections_accepted",
                "Connections of clients accepted",
            ),
            accept_errors: counter("accept_errors", "Failures to accept a client"),
            list_updates: counter("endpoint_list_updates", "Updates of the endpoint list"),
            reloads: counter("reloads", "Configurations taken over at SIGHUP"),
            failed_reloads: counter("failed_reloads", "Configurations not taken over at SIGHUP"),
            registry,
        })
    }

    /// The counters in the text format.
    pub fn encode(&self) -> String {
        // It fails only on families without a name or a value; each has both.
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
