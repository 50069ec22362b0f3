//! Whether a request is admitted: its customer's quota comes first, then the load of the fleet.
//!
//! The ordinary way: a request's estimated units are added to the customer's shared count before it is
//! forwarded. Over the quota it is rejected at once. A counter that fails lets requests through.

use crate::api::Request;
use crate::policy::final_response::{EndReason, UnservedResponse};
use crate::policy::forwarding::Forwarder;
use crate::state::{Context, OpenRequest, Timer};

/// A request is rejected early if its expected latency passes this share of its latency objective.
const MAX_EXPECTED_SHARE: f64 = 0.4;
/// A request over its quota is forwarded, where that pays, below this share of the objective.
const MAX_EXPECTED_SHARE_OVER_QUOTA: f64 = 0.35;

impl Forwarder {
    /// A request has come in. One with an unknown class or plan, or no time left, is rejected at once.
    pub(crate) fn request_arrived(
        &mut self,
        cx: &mut Context,
        request: Request,
    ) -> Option<OpenRequest> {
        let id = request.id;
        let Some(mut open) = OpenRequest::new(request, cx.settings, cx.now) else {
            let response = UnservedResponse::to_invalid_request();
            cx.actions.push(response.action(id));
            return None;
        };
        self.admit(cx, &mut open);
        Some(open)
    }

    /// Forwards the request, rejects it, or has it wait for the counter.
    fn admit(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        let plan = cx.plan(open.account());
        let baseline_ms = self
            .load_balancer
            .baseline_latency(open.request.class as usize);
        let over_quota = self.quota.available_units(cx, open) < open.request.units;
        let in_flight = self.quota.concurrent_attempts(open, baseline_ms);
        let over_concurrency =
            plan.max_concurrency > 0 && in_flight >= f64::from(plan.max_concurrency);
        if plan.rate > 0.0 && over_quota || over_concurrency {
            self.quota.query_total(cx, open);
            return self.reject_over_quota(cx, open);
        }
        if self.expected_latency(cx, open) > MAX_EXPECTED_SHARE * open.objective_ms.max(0.0) {
            return self.finish(cx, open, EndReason::Overloaded);
        }
        if !self.quota.charge(cx, open) {
            return self.forward_within_quota(cx, open);
        }
        self.quota.customers.reserve(open);
        cx.set_timer(
            Timer::CounterWait(open.request.id),
            self.quota.max_wait(open),
        );
    }

    /// The call to the counter that was made for the request has ended.
    pub(crate) fn counter_replied(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        // The charge of a rejected request would keep the other gateways from quota that is there. While the
        // counter is well it is taken back at once, otherwise with the next charge.
        if open.awaiting_counter && !self.decide_after_wait(cx, open) {
            self.quota.settle_now(cx, open);
        }
    }

    /// The request has waited for the counter for as long as it may: this gateway's own usage must do.
    pub(crate) fn counter_wait_expired(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        if open.awaiting_counter {
            self.decide_after_wait(cx, open);
        }
    }

    /// Decides on a request that waited for the counter. Returns whether it was within the quota.
    fn decide_after_wait(&mut self, cx: &mut Context, open: &mut OpenRequest) -> bool {
        self.quota.customers.release(open);
        let within_quota = self.quota.counted_units(cx, open) >= open.request.units;
        if within_quota {
            self.forward_within_quota(cx, open);
        } else {
            self.quota
                .settle_later(cx, open.account(), -open.request.units);
            self.reject_over_quota(cx, open);
        }
        within_quota
    }

    /// Rejects a request over its quota, unless it earns more than it costs and the fleet has capacity.
    fn reject_over_quota(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        let expected_ms = self.expected_latency(cx, open);
        let max_expected_ms =
            MAX_EXPECTED_SHARE_OVER_QUOTA * cx.class(&open.request).latency_objective_ms;
        let plan = cx.plan(open.account());
        if plan.over_quota_weight > plan.over_quota_cost && expected_ms < max_expected_ms {
            // Nothing is charged for it, so nothing is settled later.
            open.within_quota = false;
            return self.forward(cx, open);
        }
        self.finish(cx, open, EndReason::OverLimit);
    }
}
