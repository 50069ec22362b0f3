//! Open requests: those without a final response, and those with attempts in flight.

use crate::api::{AttemptEnd, EndpointId, Millis, Outcome, Request, RequestId, Settings};
use crate::state::{Account, Location};
use std::collections::BTreeMap;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Location of the endpoint when the attempt was sent.
    pub(crate) location: Location,
    pub(crate) started_at: Millis,
    /// Number of this gateway's attempts in flight at the endpoint when the attempt was sent, including the attempt.
    pub(crate) endpoint_in_flight: f64,
    /// Whether the attempt has not ended yet.
    pub(crate) in_flight: bool,
}

/// Reason why a request is invalid and cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InvalidRequest {
    /// The settings have no class with the request's index.
    UnknownClass,
    /// The settings have no plan with the request's index.
    UnknownPlan,
    /// The client no longer waits for a response.
    NoTimeLeft,
}

/// The first attempt of a request to end with an outcome after which it may have been executed. Retries that rely on an
/// idempotency key must stay in the zone or cell to which this attempt was sent, and within a window after its start.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    pub(crate) started_at: Millis,
    pub(crate) location: Location,
}

/// A request that has no final response yet or has attempts in flight.
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Time at which the client gives up.
    pub(crate) deadline: Millis,
    /// Time from the request's arrival to its latency objective or to its client's timeout, whichever is shorter.
    pub(crate) latency_budget_ms: Millis,
    /// Time at which the latency budget ends. A response after this time misses the latency objective.
    pub(crate) objective_deadline: Millis,
    /// Whether the request waits for the counter's reply.
    pub(crate) awaiting_counter: bool,
    /// Whether the units, which are taken from the quota when the request is forwarded, have not been settled or
    /// refunded yet.
    pub(crate) settlement_due: bool,
    /// Whether an attempt has ended with another outcome than [`Outcome::NotSent`], that is, after it was sent.
    pub(crate) has_ended_sent_attempt: bool,
    /// Whether the final response was given, or the client has disconnected.
    pub(crate) closed: bool,
    /// Whether part of a response was passed on to the client.
    pub(crate) response_started: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) first_possible_execution: Option<PossibleExecution>,
}

impl OpenRequest {
    /// Opens a request that has just arrived. Units or a timeout that are negative or not finite count as 0.
    ///
    /// # Errors
    ///
    /// The request's class or plan is unknown, or no time is left.
    pub(crate) fn new(
        mut request: Request,
        settings: &Settings,
        now: Millis,
    ) -> Result<Self, InvalidRequest> {
        request.units = finite_or_zero(request.units);
        request.timeout_ms = finite_or_zero(request.timeout_ms);
        let class = settings.classes.get(request.class as usize);
        let class = class.ok_or(InvalidRequest::UnknownClass)?;
        if settings.plans.len() <= request.plan as usize {
            return Err(InvalidRequest::UnknownPlan);
        }
        if request.timeout_ms <= 0.0 {
            return Err(InvalidRequest::NoTimeLeft);
        }
        let latency_budget_ms = class.latency_objective_ms.min(request.timeout_ms);
        Ok(OpenRequest {
            latency_budget_ms,
            objective_deadline: now + latency_budget_ms,
            deadline: now + request.timeout_ms,
            request,
            awaiting_counter: false,
            settlement_due: true,
            has_ended_sent_attempt: false,
            closed: false,
            response_started: false,
            attempts: Vec::new(),
            first_possible_execution: None,
        })
    }

    /// The account that the request is charged to.
    pub(crate) fn account(&self) -> Account {
        Account::of(&self.request)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The numbers of the attempts in flight, in the order of sending.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = u8> + '_ {
        let numbered = (0..=u8::MAX).zip(&self.attempts);
        numbered
            .filter(|(_, attempt)| attempt.in_flight)
            .map(|(number, _)| number)
    }

    /// Whether the request is closed and all its attempts have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.closed && !self.has_attempt_in_flight()
    }

    /// Whether no attempt was sent: every attempt so far has ended with [`Outcome::NotSent`].
    pub(crate) fn was_never_sent(&self) -> bool {
        !self.has_ended_sent_attempt && !self.has_attempt_in_flight()
    }

    /// Whether an endpoint may have executed the request.
    ///
    /// Every attempt in flight counts, as the library doesn't know which attempts have been written to a connection.
    /// The program knows, and counts only those: `RequestRegistry::may_have_executed`.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.first_possible_execution.is_some() || self.has_attempt_in_flight()
    }

    /// Records the end of an attempt and returns the attempt, or `None` if it is unknown or has ended before.
    pub(crate) fn end_attempt(&mut self, end: &AttemptEnd) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(usize::from(end.attempt))?;
        if !std::mem::take(&mut attempt.in_flight) {
            return None;
        }
        if !end.outcome.never_executed() && self.first_possible_execution.is_none() {
            let first = PossibleExecution {
                started_at: attempt.started_at,
                location: attempt.location,
            };
            self.first_possible_execution = Some(first);
        }
        if end.outcome != Outcome::NotSent {
            self.has_ended_sent_attempt = true;
        }
        Some(attempt)
    }
}

/// The open requests by id.
#[derive(Default)]
pub(crate) struct OpenRequests(BTreeMap<RequestId, OpenRequest>);

impl OpenRequests {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    /// Adds a request, unless it has already ended.
    pub(crate) fn insert(&mut self, open_request: OpenRequest) {
        if !open_request.has_ended() {
            self.0.insert(open_request.request.id, open_request);
        }
    }

    /// Applies `change` to a request, if it is open, and removes the request if it has ended after that.
    pub(crate) fn update(&mut self, id: RequestId, change: impl FnOnce(&mut OpenRequest)) {
        let Some(open_request) = self.0.get_mut(&id) else {
            return;
        };
        change(open_request);
        if open_request.has_ended() {
            self.0.remove(&id);
        }
    }
}

fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
