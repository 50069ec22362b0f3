//! Requests that have no final response yet or have attempts in flight.

use crate::api::{AttemptEnd, EndpointId, Millis, Outcome, Request, RequestId, Settings};
use crate::state::Account;
use std::collections::BTreeMap;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) started_at: Millis,
    /// This gateway's attempts in flight at the endpoint when it was sent, this one included.
    pub(crate) endpoint_in_flight: f64,
    /// It has not ended yet.
    pub(crate) in_flight: bool,
}

/// Why a request can't be served at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InvalidRequest {
    /// The settings have no class with its index.
    UnknownClass,
    /// The settings have no plan with its index.
    UnknownPlan,
    /// Its client no longer waits.
    NoTimeLeft,
}

/// Of the attempts of a request that may have been executed, the first one to end. Retries that rely on an
/// idempotency key are bound to its endpoint's zone or cell, and to a time after its start.
#[derive(Clone, Copy)]
pub(crate) struct FirstExecution {
    pub(crate) started_at: Millis,
    pub(crate) endpoint: EndpointId,
}

/// A request that has no final response yet, or has attempts in flight.
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// When its client gives up.
    pub(crate) deadline: Millis,
    /// Time from its arrival to its latency objective or its client's time-out, whichever is first.
    pub(crate) latency_budget_ms: Millis,
    /// A response after this misses the latency objective.
    pub(crate) objective_deadline: Millis,
    /// It waits for the counter's reply.
    pub(crate) awaiting_counter: bool,
    /// Its units are taken from the quota when it is forwarded, and have not been settled or refunded.
    pub(crate) settlement_due: bool,
    /// An attempt with another outcome than [`Outcome::NotSent`] has ended.
    pub(crate) has_ended_sent_attempt: bool,
    /// It has its final response, or its client has disconnected.
    pub(crate) closed: bool,
    /// Part of a response has been passed on to the client.
    pub(crate) response_started: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) first_execution: Option<FirstExecution>,
}

impl OpenRequest {
    /// A request that has just arrived. Units and times that are negative or not finite count as 0.
    ///
    /// # Errors
    ///
    /// Why it can't be served.
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
            first_execution: None,
        })
    }

    /// The account that the request is charged to.
    pub(crate) fn account(&self) -> Account {
        Account::of(&self.request)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The numbers of the attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = u8> + '_ {
        let numbered = (0..=u8::MAX).zip(&self.attempts);
        numbered
            .filter(|(_, attempt)| attempt.in_flight)
            .map(|(number, _)| number)
    }

    /// Whether nothing more is to be sent, responded or awaited.
    pub(crate) fn has_ended(&self) -> bool {
        self.closed && !self.has_attempt_in_flight()
    }

    /// Whether no attempt of it was sent or may still be.
    pub(crate) fn was_never_sent(&self) -> bool {
        !self.has_ended_sent_attempt && !self.has_attempt_in_flight()
    }

    /// Whether an endpoint may have executed it. Any attempt in flight counts, as the library doesn't know which of
    /// them are written yet. The program does, and counts only those: `RequestRegistry::may_have_executed`.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.first_execution.is_some() || self.has_attempt_in_flight()
    }

    /// Records the end of an attempt, and returns the attempt; none if it is unknown or had ended before.
    pub(crate) fn end_attempt(&mut self, ended: &AttemptEnd) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(usize::from(ended.attempt))?;
        if !std::mem::take(&mut attempt.in_flight) {
            return None;
        }
        if !ended.outcome.never_executed() && self.first_execution.is_none() {
            let first = FirstExecution {
                started_at: attempt.started_at,
                endpoint: attempt.endpoint,
            };
            self.first_execution = Some(first);
        }
        if ended.outcome != Outcome::NotSent {
            self.has_ended_sent_attempt = true;
        }
        Some(attempt)
    }
}

/// The requests that have not ended, by id.
#[derive(Default)]
pub(crate) struct OpenRequests(BTreeMap<RequestId, OpenRequest>);

impl OpenRequests {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    /// Adds a request, unless it has ended at once.
    pub(crate) fn insert(&mut self, open: OpenRequest) {
        if !open.has_ended() {
            self.0.insert(open.request.id, open);
        }
    }

    /// Changes a request, if it is there, and removes it once it has ended.
    pub(crate) fn update(&mut self, id: RequestId, change: impl FnOnce(&mut OpenRequest)) {
        let Some(open) = self.0.get_mut(&id) else {
            return;
        };
        change(open);
        if open.has_ended() {
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
