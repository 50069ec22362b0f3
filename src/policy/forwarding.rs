//! What becomes of an admitted request: its attempts, retries, and its final answer.

use crate::api::{Action, AttemptEnd, EndpointId, Millis, Outcome, Settings};
use crate::policy::attempt_timeout::{attempt_timeout, TimeoutInputs};
use crate::policy::final_response::{self, EndReason, ResponseInputs};
use crate::policy::load_balancer::LoadBalancer;
use crate::policy::load_estimate::LoadEstimate;
use crate::policy::overload::{self, FleetInputs};
use crate::policy::quota::QuotaLedger;
use crate::policy::retry::{self, AttemptDecision, AttemptInputs};
use crate::policy::retry::{RetryBudget, RetryDecision, RetryInputs};
use crate::state::{Attempt, Context, OpenRequest};

/// Forwards admitted requests to endpoints and sees each through to its final answer.
pub(crate) struct Forwarder {
    pub(crate) quota: QuotaLedger,
    pub(crate) load_balancer: LoadBalancer,
    load: LoadEstimate,
    retry_budget: RetryBudget,
}

impl Forwarder {
    pub(crate) fn new(settings: &Settings, now: Millis) -> Self {
        Forwarder {
            quota: QuotaLedger::new(now),
            load_balancer: LoadBalancer::new(settings, now),
            load: LoadEstimate::new(now),
            retry_budget: RetryBudget::new(),
        }
    }

    /// Periodic housekeeping.
    pub(crate) fn tick(&mut self, cx: &Context) {
        self.load.advance(cx.now);
        self.load_balancer.tick(cx, self.load.mean_in_flight());
        self.quota.forget_idle(cx.now, cx.settings);
    }

    /// Expected time to the response of the request if it is admitted now, in ms.
    pub(super) fn expected_latency(&mut self, cx: &Context, open: &OpenRequest) -> Millis {
        let fleet = FleetInputs {
            now: cx.now,
            ready_endpoints: self.load_balancer.ready_count(),
            gateway_count: cx.settings.gateway_count,
            baseline_latency_ms: self
                .load_balancer
                .baseline_latency(open.request.class as usize),
            latency_objective_ms: cx.class(&open.request).latency_objective_ms,
        };
        overload::expected_latency(&mut self.load, &fleet)
    }

    /// Forwards a request within its quota.
    pub(crate) fn forward_within_quota(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        self.quota
            .record_usage(cx, open.account(), open.request.units);
        self.forward(cx, open);
    }

    /// Sends the request's next attempt, if it may have one and an endpoint is there for it.
    pub(crate) fn forward(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        let endpoint = self.load_balancer.choose(cx, open);
        let decision = retry::decide_attempt(&self.attempt_inputs(cx, open));
        let reason = match (endpoint, decision) {
            (Some(endpoint), AttemptDecision::Allowed { start_timeout_ms }) => {
                return self.start_attempt(cx, open, endpoint, start_timeout_ms);
            }
            (Some(_), AttemptDecision::Denied(denial)) => EndReason::AttemptDenied(denial),
            (None, _) => EndReason::NoEndpoint,
        };
        if open.attempts.is_empty() {
            self.refund(cx, open);
        }
        self.finish(cx, open, reason);
    }

    fn attempt_inputs(&self, cx: &Context, open: &OpenRequest) -> AttemptInputs {
        let has_ceiling = cx.plan(open.account()).ceiling_rate > 0.0;
        AttemptInputs {
            now: cx.now,
            deadline: open.deadline,
            attempts: open.attempts.len() as u32,
            max_attempts: cx.settings.limits.max_attempts,
            idempotency: cx.class(&open.request).idempotency,
            first_execution_at: open.first_execution.map(|first| first.started_at),
            fits_ceiling: !has_ceiling || self.quota.customers.fits_ceiling(&open.request),
        }
    }

    fn start_attempt(
        &mut self,
        cx: &mut Context,
        open: &mut OpenRequest,
        endpoint: EndpointId,
        start_timeout_ms: Millis,
    ) {
        let first = open.attempts.is_empty();
        let endpoint_in_flight = self.load_balancer.attempt_started(cx.now, endpoint, first);
        self.quota.customers.attempt_started(&open.request, first);
        open.attempts.push(Attempt {
            endpoint,
            started_at: cx.now,
            endpoint_in_flight,
            in_flight: true,
        });
        let timeout_ms = attempt_timeout(&timeout_inputs(cx, open));
        cx.actions.push(Action::SendAttempt {
            id: open.request.id,
            endpoint,
            timeout_ms,
            start_timeout_ms,
        });
        self.load.attempt_started(cx.now);
        if first {
            self.retry_budget.deposit();
        }
    }

    /// An attempt has ended: its request is settled, and retried unless it has its answer.
    pub(crate) fn attempt_ended(
        &mut self,
        cx: &mut Context,
        open: &mut OpenRequest,
        ended: &AttemptEnd,
    ) {
        let Some(attempt) = open.end_attempt(ended) else {
            return;
        };
        let latency_ms = cx.now - attempt.started_at;
        self.settle_attempt(cx, open, ended.actual_units);
        self.load
            .attempt_ended(cx.now, ended.outcome == Outcome::Success);
        if matches!(ended.outcome, Outcome::Success | Outcome::Timeout) {
            self.load
                .record_latency(latency_ms, cx.class(&open.request).latency_objective_ms);
        }
        self.load_balancer.attempt_ended(cx, open, ended);
        if ended.request_answered || open.closed {
            self.close(cx, open);
        } else if !open.has_attempt_in_flight() {
            self.retry_or_finish(cx, open, ended.outcome);
        }
    }

    /// Settles the request's units: the difference to the actual ones, or all of them if it was never sent.
    fn settle_attempt(
        &mut self,
        cx: &mut Context,
        open: &mut OpenRequest,
        actual_units: Option<f64>,
    ) {
        self.quota.customers.attempt_ended(&open.request);
        match actual_units.filter(|units| units.is_finite()) {
            Some(units) if cx.settings.settles_units && open.within_quota => {
                open.within_quota = false;
                self.quota
                    .settle(cx, open.account(), units - open.request.units);
            }
            _ if open.was_never_sent() => self.refund(cx, open),
            _ => {}
        }
    }

    /// The request was never sent, so it used nothing.
    fn refund(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        if std::mem::take(&mut open.within_quota) {
            self.quota.settle(cx, open.account(), -open.request.units);
        }
    }

    fn retry_or_finish(&mut self, cx: &mut Context, open: &mut OpenRequest, outcome: Outcome) {
        match retry::decide_retry(&self.retry_inputs(cx, open, outcome)) {
            RetryDecision::Denied(denial) => {
                self.finish(cx, open, EndReason::RetryDenied(denial));
            }
            RetryDecision::Allowed { uses_budget } => {
                if uses_budget {
                    self.retry_budget.withdraw();
                }
                self.forward(cx, open);
            }
        }
    }

    fn retry_inputs(&self, cx: &Context, open: &OpenRequest, outcome: Outcome) -> RetryInputs {
        let class = cx.class(&open.request);
        RetryInputs {
            now: cx.now,
            outcome,
            response_started: open.streaming,
            deadline: open.deadline,
            objective_deadline: open.objective_deadline,
            baseline_latency_ms: self
                .load_balancer
                .baseline_latency(open.request.class as usize),
            late_weight: class.late_weight,
            idempotency: class.idempotency,
            budget_has_retry: self.retry_budget.has_retry(),
        }
    }

    /// Ends a request that no endpoint has served.
    pub(super) fn finish(&mut self, cx: &mut Context, open: &mut OpenRequest, reason: EndReason) {
        let class = cx.class(&open.request);
        let response = final_response::decide_response(&ResponseInputs {
            reason,
            idempotency: class.idempotency,
            may_have_executed: open.first_execution.is_some() || open.has_attempt_in_flight(),
            quota_retry_after_ms: self.quota.retry_after(cx, open),
            baseline_latency_ms: self
                .load_balancer
                .baseline_latency(open.request.class as usize),
            latency_objective_ms: class.latency_objective_ms,
            limits: &cx.settings.limits,
        });
        cx.actions.push(response.action(open.request.id));
        self.close(cx, open);
    }

    /// The client has left. What its request was charged while it waited is refunded with the next charge.
    pub(crate) fn client_disconnected(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        if open.awaiting_counter {
            self.quota
                .settle_later(cx, open.account(), -open.request.units);
        }
        self.close(cx, open);
    }

    /// The request has its answer or needs none any more: no attempt follows.
    fn close(&mut self, cx: &mut Context, open: &mut OpenRequest) {
        self.quota.customers.release(open);
        if !std::mem::replace(&mut open.closed, true) && cx.settings.limits.cancellation {
            let cancel = |attempt| Action::CancelAttempt {
                id: open.request.id,
                attempt,
            };
            cx.actions.extend(open.attempts_in_flight().map(cancel));
        }
    }
}

fn timeout_inputs<'a>(cx: &Context<'a>, open: &OpenRequest) -> TimeoutInputs<'a> {
    TimeoutInputs {
        now: cx.now,
        deadline: open.deadline,
        objective_deadline: open.objective_deadline,
        late_weight: cx.class(&open.request).late_weight,
        prices: &cx.settings.prices,
        tick_ms: cx.settings.tick_ms,
    }
}
