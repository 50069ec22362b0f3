//! Admission control: the limits of the customer are checked first, then the load of the fleet.
//!
//! A request within its customer's quota is charged at the shared counter before it is forwarded. If the
//! request has to wait for the counter's reply, a second decision follows the wait. A request over a limit is
//! rejected at once, unless serving it is worth more than it costs and the fleet has capacity for it.
//!
//! The functions here only decide. `policy::request_handler` gathers their inputs and carries their decisions
//! out.

use crate::api::Millis;

/// Largest expected latency at which a request is admitted, as a share of its latency budget: the time to its
/// latency objective or to its client's timeout, whichever is shorter.
const MAX_EXPECTED_LATENCY_SHARE: f64 = 0.4;
/// Expected latency below which a request over a limit may be forwarded, as a share of the latency objective
/// of its class.
const MAX_EXPECTED_LATENCY_SHARE_OVER_LIMIT: f64 = 0.35;

/// The decision on the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The request is charged at the shared counter. It then waits for the reply, or is forwarded at once if
    /// there is no reply to wait for.
    Charge,
    /// The request is forwarded within its customer's quota.
    Forward,
    /// The request is forwarded although its customer is over this limit. Its units stay out of the
    /// customer's count: they are not charged, or the charge made before the wait is refunded.
    ForwardOverLimit(Limit),
    /// The request is rejected.
    Reject(RejectReason),
}

/// A limit of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Limit {
    /// The units that the customer may use.
    Quota,
    /// The number of the customer's attempts in flight.
    Concurrency,
}

/// Reason for which a request is rejected on arrival or after its wait for the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// The customer is over this limit.
    OverLimit(Limit),
    /// The expected latency of the request is too long.
    Overloaded,
}

impl Admission {
    /// Returns whether the customer is over a limit.
    pub(super) fn is_over_limit(self) -> bool {
        matches!(
            self,
            Admission::ForwardOverLimit(_) | Admission::Reject(RejectReason::OverLimit(_))
        )
    }
}

/// The usage and the limits of a customer.
pub(super) struct CustomerInputs {
    /// True if the customer's plan has a quota.
    pub(super) has_quota: bool,
    /// Units that the request states.
    pub(super) units: f64,
    /// Units left of the quota.
    pub(super) available_units: f64,
    /// The customer's attempts in flight at all gateways.
    pub(super) concurrent_attempts: f64,
    /// Maximum number of the customer's attempts in flight; 0 for no limit.
    pub(super) max_concurrency: u32,
}

/// The load of the fleet and the value of the request. Durations are in ms.
pub(super) struct LoadInputs {
    /// Expected time to the response if the request is forwarded now.
    pub(super) expected_latency_ms: Millis,
    /// Latency objective of the request's class.
    pub(super) latency_objective_ms: Millis,
    /// Time from the request's arrival to its latency objective or its client's timeout, whichever is
    /// shorter.
    pub(super) latency_budget_ms: Millis,
    /// Share of its value that a request keeps when it is served over a limit.
    pub(super) over_quota_value_share: f64,
    /// Cost of forwarding a request over a limit, as a share of the request's value.
    pub(super) over_quota_cost: f64,
}

/// Decides on a request that has just arrived.
pub(super) fn decide_on_arrival(customer: &CustomerInputs, load: &LoadInputs) -> Admission {
    if let Some(limit) = exceeded_limit(customer) {
        return decide_over_limit(limit, load);
    }
    if load.expected_latency_ms > MAX_EXPECTED_LATENCY_SHARE * load.latency_budget_ms.max(0.0) {
        return Admission::Reject(RejectReason::Overloaded);
    }
    Admission::Charge
}

/// Decides on a request that has waited for the counter's reply or until the end of its wait. `load` is
/// called only if the customer is over its quota.
pub(super) fn decide_after_wait(
    units: f64,
    available_units: f64,
    load: impl FnOnce() -> LoadInputs,
) -> Admission {
    if available_units >= units {
        return Admission::Forward;
    }
    decide_over_limit(Limit::Quota, &load())
}

/// Returns the limit that the customer would exceed with the request, if any.
fn exceeded_limit(customer: &CustomerInputs) -> Option<Limit> {
    if customer.has_quota && customer.available_units < customer.units {
        return Some(Limit::Quota);
    }
    let max_concurrency = f64::from(customer.max_concurrency);
    if customer.max_concurrency > 0 && customer.concurrent_attempts >= max_concurrency {
        return Some(Limit::Concurrency);
    }
    None
}

/// Decides on a request over a limit.
fn decide_over_limit(limit: Limit, load: &LoadInputs) -> Admission {
    let is_worthwhile = load.over_quota_value_share > load.over_quota_cost;
    let max_expected_ms = MAX_EXPECTED_LATENCY_SHARE_OVER_LIMIT * load.latency_objective_ms;
    if is_worthwhile && load.expected_latency_ms < max_expected_ms {
        Admission::ForwardOverLimit(limit)
    } else {
        Admission::Reject(RejectReason::OverLimit(limit))
    }
}

#[cfg(test)]
mod tests;
