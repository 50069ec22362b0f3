//! Whether a request is admitted: the limits of its customer come first, then the load of the fleet.
//!
//! A request within its customer's quota is charged at the shared counter before it is forwarded. If it has
//! to wait for the reply, there is a second decision after the wait. A request over a limit is rejected at
//! once, unless it is worth more than it costs and the fleet has capacity for it.
//!
//! The functions only decide; `policy::request_handler` gathers their inputs and carries their decisions out.

use crate::api::Millis;

/// A request is rejected if its expected latency is above this share of the time that it has: up to its
/// latency objective or its client's time-out, whichever is first.
const MAX_EXPECTED_SHARE: f64 = 0.4;
/// A request over a limit is forwarded, where that pays, only if its expected latency is below this share of
/// the latency objective of its class.
const MAX_EXPECTED_SHARE_OVER_LIMIT: f64 = 0.35;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It is charged at the shared counter. It waits for the reply, or is forwarded at once where there is
    /// none to wait for.
    Charge,
    /// It is forwarded within its quota.
    Forward,
    /// It is forwarded though its customer is over this limit. Its units stay out of the customer's count:
    /// they are not charged, or what was charged before the wait is refunded.
    ForwardOverLimit(Limit),
    /// It is rejected.
    Reject(RejectReason),
}

/// A limit of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Limit {
    /// The units that it may use.
    Quota,
    /// Its attempts in flight.
    Concurrency,
}

/// Why a request is rejected when it arrives or has waited for the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// Its customer is over this limit.
    OverLimit(Limit),
    /// Its expected latency is too long.
    Overloaded,
}

impl Admission {
    /// Whether the customer is over a limit.
    pub(super) fn is_over_limit(self) -> bool {
        matches!(
            self,
            Admission::ForwardOverLimit(_) | Admission::Reject(RejectReason::OverLimit(_))
        )
    }
}

/// What a customer uses, and may use.
pub(super) struct CustomerInputs {
    /// The customer's plan has a quota.
    pub(super) has_quota: bool,
    /// Units that the request takes.
    pub(super) units: f64,
    /// Units left of the quota.
    pub(super) available_units: f64,
    /// Attempts in flight at all gateways.
    pub(super) concurrent_attempts: f64,
    /// Most attempts in flight; 0 for no limit.
    pub(super) max_concurrency: u32,
}

/// The load of the fleet, and what the request is worth. Spans are in ms.
pub(super) struct LoadInputs {
    /// Time to the response if the request is forwarded now.
    pub(super) expected_latency_ms: Millis,
    /// Latency objective of the request's class.
    pub(super) latency_objective_ms: Millis,
    /// Time from the request's arrival to its latency objective or its client's time-out, whichever is first.
    pub(super) latency_budget_ms: Millis,
    /// Share of its value that a request served over a limit has.
    pub(super) over_quota_weight: f64,
    /// Share of its value that a request forwarded over a limit costs.
    pub(super) over_quota_cost: f64,
}

/// Decides on a request that has just arrived.
pub(super) fn decide_on_arrival(customer: &CustomerInputs, load: &LoadInputs) -> Admission {
    if let Some(limit) = exceeded_limit(customer) {
        return decide_over_limit(limit, load);
    }
    if load.expected_latency_ms > MAX_EXPECTED_SHARE * load.latency_budget_ms.max(0.0) {
        return Admission::Reject(RejectReason::Overloaded);
    }
    Admission::Charge
}

/// Decides on a request that has waited for the counter, until the reply or for as long as it may. The load
/// is asked only if the customer is over its quota.
pub(super) fn decide_after_wait(
    units: f64,
    counted_units: f64,
    load: impl FnOnce() -> LoadInputs,
) -> Admission {
    if counted_units >= units {
        return Admission::Forward;
    }
    decide_over_limit(Limit::Quota, &load())
}

/// The limit that the customer would exceed with the request, if any.
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
    let pays = load.over_quota_weight > load.over_quota_cost;
    let max_expected_ms = MAX_EXPECTED_SHARE_OVER_LIMIT * load.latency_objective_ms;
    if pays && load.expected_latency_ms < max_expected_ms {
        Admission::ForwardOverLimit(limit)
    } else {
        Admission::Reject(RejectReason::OverLimit(limit))
    }
}

#[cfg(test)]
mod tests;
