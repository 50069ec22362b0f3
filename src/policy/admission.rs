//! Whether a request is admitted: its customer's quota comes first, then the load of the fleet.
//!
//! The ordinary way: a request's estimated units are added to the customer's shared count before it is
//! forwarded. Over the quota it is rejected at once. A counter that fails lets requests through.

use crate::policy::forwarding::Forwarder;
use crate::state::{Context, OpenRequest, Timer};

/// A request is rejected early if its expected latency passes this share of its latency objective.
const MAX_EXPECTED_SHARE: f64 = 0.4;
/// A request over its quota is forwarded, where that pays, below this share of the objective.
const MAX_EXPECTED_SHARE_OVER_QUOTA: f64 = 0.35;

/// A request has come in: it is forwarded, rejected, or waits for the counter.
pub(crate) fn admit(cx: &mut Context, forwarder: &mut Forwarder, open: &mut OpenRequest) {
    let plan = cx.plan(open.account());
    let baseline_ms = forwarder.load_balancer.baseline_latency(open.request.class as usize);
    let over_quota = forwarder.quota.available_units(cx, open) < open.request.units;
    let in_flight = forwarder.quota.concurrent_attempts(open, baseline_ms);
    let over_concurrency = plan.max_concurrency > 0 && in_flight >= f64::from(plan.max_concurrency);
    if plan.rate > 0.0 && over_quota || over_concurrency {
        forwarder.quota.query_total(cx, open);
        return reject_over_quota(cx, forwarder, open);
    }
    if forwarder.expected_latency(cx, open) > MAX_EXPECTED_SHARE * open.objective_ms.max(0.0) {
        return forwarder.finish(cx, open, baseline_ms);
    }
    if !forwarder.quota.charge(cx, open) {
        return forwarder.forward_within_quota(cx, open);
    }
    forwarder.quota.customers.reserve(open);
    cx.set_timer(Timer::CounterWait(open.request.id), forwarder.quota.max_wait(open));
}

/// The call to the counter that was made for the request has ended.
pub(crate) fn counter_replied(cx: &mut Context, forwarder: &mut Forwarder, open: &mut OpenRequest) {
    // The charge of a rejected request would keep the other gateways from quota that is there. While the
    // counter is well it is taken back at once, otherwise with the next charge.
    if open.awaiting_counter && !decide_after_wait(cx, forwarder, open) {
        forwarder.quota.settle_now(cx, open);
    }
}

/// The request has waited for the counter for as long as it may: this gateway's own usage must do.
pub(crate) fn counter_wait_expired(cx: &mut Context, forwarder: &mut Forwarder, open: &mut OpenRequest) {
    if open.awaiting_counter {
        decide_after_wait(cx, forwarder, open);
    }
}

/// Decides on a request that waited for the counter. Returns whether it was within the quota.
fn decide_after_wait(cx: &mut Context, forwarder: &mut Forwarder, open: &mut OpenRequest) -> bool {
    forwarder.quota.customers.release(open);
    let within_quota = forwarder.quota.counted_units(cx, open) >= open.request.units;
    if within_quota {
        forwarder.forward_within_quota(cx, open);
    } else {
        forwarder.quota.settle_later(cx, open.account(), -open.request.units);
        reject_over_quota(cx, forwarder, open);
    }
    within_quota
}

/// Rejects a request over its quota, unless it earns more than it costs and the fleet has capacity.
fn reject_over_quota(cx: &mut Context, forwarder: &mut Forwarder, open: &mut OpenRequest) {
    let expected_ms = forwarder.expected_latency(cx, open);
    let max_expected_ms = MAX_EXPECTED_SHARE_OVER_QUOTA * cx.class(&open.request).latency_objective_ms;
    let plan = cx.plan(open.account());
    if plan.over_quota_weight > plan.over_quota_cost && expected_ms < max_expected_ms {
        // Nothing is charged for it, so nothing is settled later.
        open.within_quota = false;
        return forwarder.forward(cx, open);
    }
    let retry_after_ms = forwarder.quota.retry_after(cx, open);
    forwarder.finish(cx, open, retry_after_ms);
}
