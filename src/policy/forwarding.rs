//! Sends the attempts of requests to endpoints, and records what their outcomes show about the fleet.

use crate::api::{Action, AttemptEnd, Millis, Outcome, Request, Settings};
use crate::policy::attempt_timeout::{attempt_timeout, TimeoutInputs};
use crate::policy::final_response::EndReason;
use crate::policy::load_balancer::LoadBalancer;
use crate::policy::load_estimate::LoadEstimate;
use crate::policy::overload::{self, FleetInputs};
use crate::policy::retry::{self, AttemptDecision, AttemptInputs};
use crate::policy::retry::{RetryBudget, RetryInputs};
use crate::state::{Attempt, Context, Customers, Destination, OpenRequest};

/// Forwards requests to the fleet: holds the endpoints, the load by this gateway's attempts, and the budget
/// for retries.
pub(crate) struct Forwarder {
    pub(crate) load_balancer: LoadBalancer,
    load: LoadEstimate,
    pub(super) retry_budget: RetryBudget,
}

impl Forwarder {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        Forwarder {
            load_balancer: LoadBalancer::new(settings, now),
            load: LoadEstimate::new(now),
            retry_budget: RetryBudget::new(),
        }
    }

    /// Runs the periodic housekeeping of the load estimate and of the load balancer.
    pub(super) fn tick(&mut self, cx: &Context) {
        self.load.advance(cx.now);
        self.load_balancer.tick(cx, self.load.mean_in_flight());
    }

    /// Returns the latency of the request's class at an idle endpoint, in ms.
    pub(super) fn baseline_latency(&self, request: &Request) -> Millis {
        self.load_balancer.baseline_latency(request.class as usize)
    }

    /// Returns the expected time to the response if the request is forwarded now, in ms.
    pub(super) fn expected_latency(&mut self, cx: &Context, request: &Request) -> Millis {
        let fleet = FleetInputs {
            now: cx.now,
            ready_endpoints: self.load_balancer.ready_count(),
            gateway_count: cx.settings.gateway_count,
            baseline_latency_ms: self.baseline_latency(request),
            latency_objective_ms: cx.class(request).latency_objective_ms,
        };
        overload::expected_latency(&mut self.load, &fleet)
    }

    /// Sends the request's next attempt, either its first one or a retry.
    ///
    /// # Errors
    ///
    /// Returns the reason for which no attempt can be sent.
    pub(super) fn send_attempt(
        &mut self,
        cx: &mut Context,
        customers: &mut Customers,
        open_request: &mut OpenRequest,
    ) -> Result<(), EndReason> {
        // The endpoint is chosen before the decision. The choice draws random numbers also for an attempt
        // that is then denied, and a request without an endpoint ends with `NoEndpoint` even if its attempt
        // would be denied.
        let destination = self.load_balancer.choose(cx, open_request);
        let destination = destination.ok_or(EndReason::NoEndpoint)?;
        match retry::decide_attempt(&attempt_inputs(cx, customers, open_request)) {
            AttemptDecision::Denied(denial) => Err(EndReason::AttemptDenied(denial)),
            AttemptDecision::Allowed { start_timeout_ms } => {
                customers.attempt_started(&open_request.request, open_request.attempts.is_empty());
                self.start_attempt(cx, open_request, destination, start_timeout_ms);
                Ok(())
            }
        }
    }

    fn start_attempt(
        &mut self,
        cx: &mut Context,
        open_request: &mut OpenRequest,
        destination: Destination,
        start_timeout_ms: Millis,
    ) {
        let is_first = open_request.attempts.is_empty();
        let endpoint_in_flight =
            self.load_balancer
                .attempt_started(cx.now, destination.endpoint, is_first);
        self.load.attempt_started(cx.now);
        if is_first {
            self.retry_budget.deposit();
        }
        open_request.attempts.push(Attempt {
            endpoint: destination.endpoint,
            location: destination.location,
            started_at: cx.now,
            endpoint_in_flight,
            in_flight: true,
        });
        cx.actions.push(Action::SendAttempt {
            id: open_request.request.id,
            endpoint: destination.endpoint,
            timeout_ms: attempt_timeout(&timeout_inputs(cx, open_request)),
            start_timeout_ms,
        });
    }

    /// Records what the end of an attempt that took `latency_ms` shows about the fleet.
    pub(super) fn attempt_ended(
        &mut self,
        cx: &mut Context,
        open_request: &OpenRequest,
        end: &AttemptEnd,
        latency_ms: Millis,
    ) {
        let succeeded = end.outcome == Outcome::Success;
        self.load.attempt_ended(cx.now, succeeded);
        if matches!(end.outcome, Outcome::Success | Outcome::Timeout) {
            let objective_ms = cx.class(&open_request.request).latency_objective_ms;
            self.load.record_latency(latency_ms, objective_ms);
        }
        self.load_balancer.attempt_ended(cx, open_request, end);
    }

    /// Returns the inputs of the decision on a retry after an attempt with this outcome.
    pub(super) fn retry_inputs(
        &self,
        cx: &Context,
        open_request: &OpenRequest,
        outcome: Outcome,
    ) -> RetryInputs {
        let class = cx.class(&open_request.request);
        RetryInputs {
            now: cx.now,
            outcome,
            response_started: open_request.response_started,
            deadline: open_request.deadline,
            objective_deadline: open_request.objective_deadline,
            baseline_latency_ms: self.baseline_latency(&open_request.request),
            late_value_share: class.late_value_share,
            idempotency: class.idempotency,
            budget_has_retry: self.retry_budget.has_retry(),
        }
    }
}

fn attempt_inputs(
    cx: &Context,
    customers: &Customers,
    open_request: &OpenRequest,
) -> AttemptInputs {
    let has_ceiling = cx.plan(open_request.account()).ceiling_rate > 0.0;
    AttemptInputs {
        now: cx.now,
        deadline: open_request.deadline,
        attempts: open_request.attempts.len() as u32,
        max_attempts: cx.settings.limits.max_attempts,
        idempotency: cx.class(&open_request.request).idempotency,
        first_possible_execution_at: open_request
            .first_possible_execution
            .map(|first| first.started_at),
        is_within_ceiling: !has_ceiling || customers.is_within_ceiling(&open_request.request),
    }
}

fn timeout_inputs<'a>(cx: &Context<'a>, open_request: &OpenRequest) -> TimeoutInputs<'a> {
    TimeoutInputs {
        now: cx.now,
        deadline: open_request.deadline,
        objective_deadline: open_request.objective_deadline,
        late_value_share: cx.class(&open_request.request).late_value_share,
        prices: &cx.settings.prices,
        tick_ms: cx.settings.tick_ms,
    }
}
