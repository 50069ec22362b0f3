//! The requests on one connection to the counter that have no response yet.

use super::client::IncrementCall;
use super::report::CallReporter;
use quota_gateway::Outcome;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A request without a response, which may be partly or completely written.
struct PendingRequest {
    call: IncrementCall,
    /// Position in the connection's outgoing bytes at which the request ends.
    end_offset: u64,
    /// True if the call was reported as timed out, or if the request is not the last part of its call.
    ignore_response: bool,
}

/// The requests without a response, in the order in which they were queued. Responses arrive in the same order. Each
/// call is reported exactly once: after its response, after its timeout, or when the connection closes.
#[derive(Default)]
pub struct PendingRequests {
    requests: VecDeque<PendingRequest>,
}

impl PendingRequests {
    /// Number of requests without a response.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// True if all requests have responses.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that ends at `end_offset` in the connection's outgoing bytes. The response to the last part of a
    /// call counts as the response to the call.
    pub fn push(&mut self, call: &IncrementCall, end_offset: u64, is_last_part: bool) {
        self.requests.push_back(PendingRequest {
            call: call.clone(),
            end_offset,
            ignore_response: !is_last_part,
        });
    }

    /// Removes the oldest request, to which a response has arrived, and reports the response unless it is ignored.
    pub fn report_response(&mut self, reporter: &CallReporter, outcome: Outcome, total: f64) {
        let answered = self.requests.pop_front();
        if let Some(request) = answered.filter(|request| !request.ignore_response) {
            reporter.report(&request.call, outcome, total);
        }
    }

    /// Reports the calls that have had no response for `timeout`.
    pub fn report_timeouts(&mut self, reporter: &CallReporter, timeout: Duration, now: Instant) {
        let awaited = self
            .requests
            .iter_mut()
            .filter(|request| !request.ignore_response);
        for request in awaited {
            if request.call.started_at + timeout > now {
                break;
            }
            request.ignore_response = true;
            reporter.report(&request.call, Outcome::Timeout, 0.0);
        }
    }

    /// Reports the calls that have no response when the connection closes. The amount of a completely written call may
    /// have been added; the amounts of the others were not.
    pub fn report_unanswered(&self, reporter: &CallReporter, bytes_written: u64) {
        for request in self.awaited() {
            let outcome = if request.end_offset <= bytes_written {
                Outcome::ConnectionReset
            } else {
                Outcome::ConnectFailed
            };
            reporter.report(&request.call, outcome, 0.0);
        }
    }

    /// True if any call awaits its response.
    pub fn awaits_response(&self) -> bool {
        self.awaited().next().is_some()
    }

    /// Start time of the oldest request's call, whether or not the call still awaits its response.
    pub fn oldest_started_at(&self) -> Option<Instant> {
        self.requests.front().map(|request| request.call.started_at)
    }

    /// Start time of the oldest call that awaits its response.
    pub fn oldest_awaited_started_at(&self) -> Option<Instant> {
        self.awaited().next().map(|request| request.call.started_at)
    }

    fn awaited(&self) -> impl Iterator<Item = &PendingRequest> {
        self.requests
            .iter()
            .filter(|request| !request.ignore_response)
    }
}
