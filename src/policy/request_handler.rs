//! The life cycle of a request, from its arrival to its end, event by event.
//!
//! For each event the handler gathers the inputs of a decision, calls the module that makes it, and carries
//! the decision out: charges, timers, attempts and responses. It also settles the customer's units according
//! to the decision.

use crate::api::{Action, AttemptEnd, Millis, Outcome, Request, Settings};
use crate::policy::admission::{self, Admission, CustomerInputs, LoadInputs};
use crate::policy::final_response::{self, EndReason, ResponseInputs, UnservedResponse};
use crate::policy::forwarding::Forwarder;
use crate::policy::quota::QuotaLedger;
use crate::policy::retry::{self, RetryDecision};
use crate::state::{Context, Customers, OpenRequest, Timer};

/// Handles the events of requests, by means of the customers' quotas and the forwarder to the fleet.
pub(crate) struct RequestHandler {
    pub(crate) quota: QuotaLedger,
    pub(crate) forwarder: Forwarder,
}

impl RequestHandler {
    pub(crate) fn new(settings: &Settings, now: Millis) -> Self {
        RequestHandler {
            quota: QuotaLedger::new(now),
            forwarder: Forwarder::new(settings, now),
        }
    }

    /// Runs the periodic housekeeping of the forwarder and of the quotas.
    pub(crate) fn tick(&mut self, cx: &Context) {
        self.forwarder.tick(cx);
        self.quota.forget_idle(cx.now, cx.settings);
    }

    /// Handles the arrival of a request. Returns the open request, or none if the request is invalid and was
    /// rejected at once.
    pub(crate) fn request_arrived(
        &mut self,
        cx: &mut Context,
        request: Request,
    ) -> Option<OpenRequest> {
        let id = request.id;
        let mut open_request = match OpenRequest::new(request, cx.settings, cx.now) {
            Ok(open_request) => open_request,
            Err(reason) => {
                cx.actions
                    .push(UnservedResponse::invalid(reason).action(id));
                return None;
            }
        };
        let baseline_ms = self.forwarder.baseline_latency(&open_request.request);
        let customer = customer_inputs(cx, &mut self.quota, &open_request, baseline_ms);
        let expected_ms = self.forwarder.expected_latency(cx, &open_request.request);
        let load = load_inputs(cx, &open_request, expected_ms);
        let admission = admission::decide_on_arrival(&customer, &load);
        if admission.is_over_limit() {
            // An over-limit request is not charged, so no reply to a charge would report that quota is
            // available again.
            self.quota.query_total(cx, &open_request);
        }
        self.apply_admission(cx, &mut open_request, admission);
        Some(open_request)
    }

    /// Handles the end of the call to the counter that was made for the request.
    pub(crate) fn counter_replied(&mut self, cx: &mut Context, open_request: &mut OpenRequest) {
        // The charge of an over-quota request would keep available quota from the other gateways. The
        // charge is refunded now if the limiter permits the call, and with the customer's next charge
        // otherwise.
        if open_request.awaiting_counter
            && self.decide_after_wait(cx, open_request) != Admission::Forward
        {
            self.quota.charge_unsettled_units(cx, open_request);
        }
    }

    /// Handles the expiry of the request's wait for the counter: the usage known to this gateway decides.
    pub(crate) fn counter_wait_expired(
        &mut self,
        cx: &mut Context,
        open_request: &mut OpenRequest,
    ) {
        if open_request.awaiting_counter {
            self.decide_after_wait(cx, open_request);
        }
    }

    /// Decides on a request that has waited for the counter, and carries the decision out.
    fn decide_after_wait(&mut self, cx: &mut Context, open_request: &mut OpenRequest) -> Admission {
        self.quota.customers.release_units(open_request);
        let available_units = self.quota.available_units_after_wait(cx, open_request);
        let admission =
            admission::decide_after_wait(open_request.request.units, available_units, || {
                let expected_ms = self.forwarder.expected_latency(cx, &open_request.request);
                load_inputs(cx, open_request, expected_ms)
            });
        if admission.is_over_limit() {
            let refund = -open_request.request.units;
            self.quota
                .add_unsettled_units(cx, open_request.account(), refund);
        }
        self.apply_admission(cx, open_request, admission);
        admission
    }

    fn apply_admission(
        &mut self,
        cx: &mut Context,
        open_request: &mut OpenRequest,
        admission: Admission,
    ) {
        match admission {
            Admission::Charge => self.charge(cx, open_request),
            Admission::Forward => self.forward_within_quota(cx, open_request),
            Admission::ForwardOverLimit(_) => {
                // The request was not charged, or its charge is refunded already: nothing is left to settle.
                open_request.settlement_due = false;
                self.forward(cx, open_request);
            }
            Admission::Reject(reason) => {
                self.end_unserved(cx, open_request, EndReason::Rejected(reason));
            }
        }
    }

    /// Charges the request at the counter, and forwards it at once if there is no reply to wait for.
    fn charge(&mut self, cx: &mut Context, open_request: &mut OpenRequest) {
        let awaits_reply = self.quota.charge(cx, open_request);
        if !awaits_reply {
            return self.forward_within_quota(cx, open_request);
        }
        self.quota.customers.reserve_units(open_request);
        let max_wait_ms = self.quota.max_wait_ms(open_request);
        cx.set_timer(Timer::CounterWait(open_request.request.id), max_wait_ms);
    }

    fn forward_within_quota(&mut self, cx: &mut Context, open_request: &mut OpenRequest) {
        let units = open_request.request.units;
        self.quota.record_usage(cx, open_request.account(), units);
        self.forward(cx, open_request);
    }

    /// Sends the request's next attempt, or ends the request if none can be sent.
    fn forward(&mut self, cx: &mut Context, open_request: &mut OpenRequest) {
        let customers = &mut self.quota.customers;
        if let Err(reason) = self.forwarder.send_attempt(cx, customers, open_request) {
            if open_request.attempts.is_empty() {
                refund(cx, &mut self.quota, open_request);
            }
            self.end_unserved(cx, open_request, reason);
        }
    }

    /// Handles the end of an attempt: settles the request's units, and retries the request unless it has its
    /// response.
    pub(crate) fn attempt_ended(
        &mut self,
        cx: &mut Context,
        open_request: &mut OpenRequest,
        end: &AttemptEnd,
    ) {
        let Some(attempt) = open_request.end_attempt(end) else {
            return;
        };
        // The latency from the decision to send until this event. The load estimate for admission includes
        // the time that actions and events spend in the host; endpoints are judged by the host's own
        // `elapsed_ms`, which excludes that time.
        let latency_ms = cx.now - attempt.started_at;
        settle_attempt(cx, &mut self.quota, open_request, end.actual_units);
        self.forwarder
            .attempt_ended(cx, open_request, end, latency_ms);
        if end.request_answered || open_request.closed {
            close(cx, &mut self.quota.customers, open_request);
        } else if !open_request.has_attempt_in_flight() {
            self.retry_or_end(cx, open_request, end.outcome);
        }
    }

    fn retry_or_end(&mut self, cx: &mut Context, open_request: &mut OpenRequest, outcome: Outcome) {
        let inputs = self.forwarder.retry_inputs(cx, open_request, outcome);
        match retry::decide_retry(&inputs) {
            RetryDecision::Allowed { uses_budget } => {
                // The retry is withdrawn from the budget even if no endpoint is available or
                // `retry::decide_attempt` denies the attempt below.
                if uses_budget {
                    self.forwarder.retry_budget.withdraw();
                }
                self.forward(cx, open_request);
            }
            RetryDecision::Denied(denial) => {
                self.end_unserved(cx, open_request, EndReason::RetryDenied(denial));
            }
        }
    }

    /// Handles the disconnection of the client. If the request was waiting for the counter, its charge is
    /// refunded with the customer's next charge.
    pub(crate) fn client_disconnected(&mut self, cx: &mut Context, open_request: &mut OpenRequest) {
        if open_request.awaiting_counter {
            let refund = -open_request.request.units;
            self.quota
                .add_unsettled_units(cx, open_request.account(), refund);
        }
        close(cx, &mut self.quota.customers, open_request);
    }

    /// Ends a request that no endpoint has served.
    fn end_unserved(
        &mut self,
        cx: &mut Context,
        open_request: &mut OpenRequest,
        reason: EndReason,
    ) {
        let class = cx.class(&open_request.request);
        let response = final_response::decide_response(&ResponseInputs {
            reason,
            idempotency: class.idempotency,
            may_have_executed: open_request.may_have_executed(),
            quota_retry_after_ms: self.quota.retry_after(cx, open_request),
            baseline_latency_ms: self.forwarder.baseline_latency(&open_request.request),
            latency_objective_ms: class.latency_objective_ms,
            limits: &cx.settings.limits,
        });
        cx.actions.push(response.action(open_request.request.id));
        close(cx, &mut self.quota.customers, open_request);
    }
}

/// Returns the customer's usage and limits, given that an attempt takes `baseline_ms`. Records the arrival of
/// the request in the ledger.
fn customer_inputs(
    cx: &Context,
    quota: &mut QuotaLedger,
    open_request: &OpenRequest,
    baseline_ms: Millis,
) -> CustomerInputs {
    let plan = cx.plan(open_request.account());
    // The order of the two calls matters: the first one updates the customer and the mean units, which the
    // concurrent attempts are computed from.
    let available_units = quota.observe_request(cx, open_request);
    let concurrent_attempts = quota.concurrent_attempts(open_request, baseline_ms);
    CustomerInputs {
        has_quota: plan.rate > 0.0,
        units: open_request.request.units,
        available_units,
        concurrent_attempts,
        max_concurrency: plan.max_concurrency,
    }
}

/// Returns the expected latency of the request and the values that it is compared to.
fn load_inputs(
    cx: &Context,
    open_request: &OpenRequest,
    expected_latency_ms: Millis,
) -> LoadInputs {
    let plan = cx.plan(open_request.account());
    LoadInputs {
        expected_latency_ms,
        latency_objective_ms: cx.class(&open_request.request).latency_objective_ms,
        latency_budget_ms: open_request.latency_budget_ms,
        over_quota_value_share: plan.over_quota_value_share,
        over_quota_cost: plan.over_quota_cost,
    }
}

/// Records that one of the customer's attempts is no longer in flight, and settles the request's units: the
/// difference to the actual units if they are known, or all units if no attempt was ever sent. Only an
/// attempt that ended with `Outcome::NotSent` counts as not sent.
fn settle_attempt(
    cx: &mut Context,
    quota: &mut QuotaLedger,
    open_request: &mut OpenRequest,
    actual_units: Option<f64>,
) {
    quota.customers.attempt_ended(&open_request.request);
    match actual_units.filter(|units| units.is_finite()) {
        Some(units) if cx.settings.settles_units && open_request.settlement_due => {
            open_request.settlement_due = false;
            quota.settle(
                cx,
                open_request.account(),
                units - open_request.request.units,
            );
        }
        _ if open_request.was_never_sent() => refund(cx, quota, open_request),
        _ => {}
    }
}

/// Refunds the units of a request that was never sent, unless they are settled already.
fn refund(cx: &mut Context, quota: &mut QuotaLedger, open_request: &mut OpenRequest) {
    if std::mem::take(&mut open_request.settlement_due) {
        quota.settle(cx, open_request.account(), -open_request.request.units);
    }
}

/// Closes a request that has its response or no longer needs one. Releases the units that are reserved while
/// the request waits for the counter, and cancels its attempts in flight if cancellation is permitted.
fn close(cx: &mut Context, customers: &mut Customers, open_request: &mut OpenRequest) {
    customers.release_units(open_request);
    if !std::mem::replace(&mut open_request.closed, true) && cx.settings.limits.cancellation {
        let cancel = |attempt| Action::CancelAttempt {
            id: open_request.request.id,
            attempt,
        };
        cx.actions
            .extend(open_request.attempts_in_flight().map(cancel));
    }
}
