//! The registry of open requests and their attempts. Only the registry holds the channels for final responses.

use super::enforcement::{enforce_before_start, AttemptLimits, AttemptToStart, StartRefusal};
use super::messages::FinalResponse;
use super::registered_request::{
    AttemptTimes, EndpointResponse, FinishedAttempt, NewRequest, RegisteredRequest, RequestRecord,
    StartedAttempt,
};
use crate::socket::WeakSocket;
use crate::upstream::Instance;
use quota_gateway::{Outcome, RequestId};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// An attempt that was refused before it started.
#[derive(Clone, Copy)]
pub struct UnsentAttempt {
    /// Position of the attempt among the request's attempts, from 0.
    pub number: usize,
    pub reason: StartRefusal,
}

/// The open requests: those without a final response, and those with an attempt in flight.
pub struct RequestRegistry {
    open: HashMap<RequestId, RegisteredRequest>,
    next_id: RequestId,
    limits: AttemptLimits,
    max_units: f64,
}

impl RequestRegistry {
    /// Creates an empty registry. Ids are assigned in order from `first_id`. Units that an endpoint reports for one
    /// request are ignored above `max_units`.
    pub fn new(first_id: RequestId, limits: AttemptLimits, max_units: f64) -> Self {
        RequestRegistry {
            open: HashMap::new(),
            next_id: first_id,
            limits,
            max_units,
        }
    }

    /// Adds a request and returns its id. Its final response is sent to `response_sender`.
    pub fn insert(
        &mut self,
        request: NewRequest,
        response_sender: oneshot::Sender<FinalResponse>,
    ) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.open
            .insert(id, RegisteredRequest::new(request, response_sender));
        id
    }

    /// The ids of all requests without a final response.
    pub fn unanswered(&self) -> Vec<RequestId> {
        self.open
            .iter()
            .filter(|(_, request)| !request.is_closed())
            .map(|(id, _)| *id)
            .collect()
    }

    /// True unless it is certain that no endpoint has executed the request.
    pub fn may_have_executed(&self, id: RequestId) -> bool {
        self.open
            .get(&id)
            .is_none_or(RegisteredRequest::may_have_executed)
    }

    /// The state of the request that the rules on sending depend on; `None` if the request is no longer open.
    pub fn record(&self, id: RequestId) -> Option<RequestRecord> {
        self.open.get(&id).map(RegisteredRequest::record)
    }

    /// The socket of the client's connection; `None` if the request is no longer open.
    pub fn client_socket(&self, id: RequestId) -> Option<WeakSocket> {
        Some(self.open.get(&id)?.client_socket.clone())
    }

    /// True if the request has its final response, its client has disconnected, or it is no longer in the registry.
    pub fn is_closed(&self, id: RequestId) -> bool {
        self.open.get(&id).is_none_or(RegisteredRequest::is_closed)
    }

    /// Gives a request its final response, unless it already has one, and cancels its attempts that are not yet
    /// written.
    pub fn respond(&mut self, id: RequestId, response: FinalResponse) {
        if let Some(request) = self.open.get_mut(&id) {
            request.respond(response);
            self.remove_if_finished(id);
        }
    }

    /// Registers a request's next attempt. The error says why `enforcement` refused the attempt. A refused attempt
    /// still takes a number.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        instance: Option<Instance>,
        timeout: Duration,
        start_timeout: Duration,
    ) -> Result<StartedAttempt, UnsentAttempt> {
        let Some(request) = self.open.get_mut(&id) else {
            return Err(UnsentAttempt {
                number: 0,
                reason: StartRefusal::RequestClosed,
            });
        };
        let number = request.attempt_count();
        let now = Instant::now();
        let deadline = request.deadline.min(now + timeout);
        let attempt = AttemptToStart {
            request_closed: request.is_closed(),
            earlier_attempts: number,
            attempt_in_flight: request.has_attempt_in_flight(),
            time_left: deadline.saturating_duration_since(now),
            instance,
        };
        match enforce_before_start(&self.limits, &attempt) {
            Ok(instance) => {
                let times = AttemptTimes {
                    started_at: now,
                    deadline,
                    start_deadline: now + start_timeout,
                };
                Ok(request.add_attempt(instance, times))
            }
            Err(reason) => {
                request.add_unsent_attempt();
                Err(UnsentAttempt { number, reason })
            }
        }
    }

    /// Cancels an attempt. The attempt's task closes the connection, then reports the end; the attempt counts as in
    /// flight until then.
    pub fn cancel_attempt(&mut self, id: RequestId, number: usize) {
        if let Some(request) = self.open.get_mut(&id) {
            request.cancel_attempt(number);
        }
    }

    /// Records the end of an attempt. Returns `None` if its request is no longer open.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        number: usize,
        outcome: Outcome,
        response: Option<EndpointResponse>,
    ) -> Option<FinishedAttempt> {
        let request = self.open.get_mut(&id)?;
        let finished = request.finish_attempt(number, outcome, response, self.max_units);
        self.remove_if_finished(id);
        Some(finished)
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.open.get(&id) else {
            return;
        };
        if request.is_closed() && !request.has_attempt_in_flight() {
            self.open.remove(&id);
        }
    }
}
