//! The requests on one connection to the counter that have no response yet.

use super::client::IncrementCall;
use super::report::CallReporter;
use quota_gateway::Outcome;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A request that is queued or written.
struct PendingRequest {
    call: IncrementCall,
    /// Position in the connection's outgoing bytes at which the request ends.
    end_offset: u64,
    /// The call was reported as timed out, or this request adds only a part of its amount that is not the last.
    ignore_response: bool,
}

/// The requests without a response, in the order in which they were queued. Responses come in the same order. Each call
/// is reported once: by its response, by its time-out, or when the connection closes.
#[derive(Default)]
pub struct PendingRequests {
    requests: VecDeque<PendingRequest>,
}

impl PendingRequests {
    /// Number of requests without a response.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// True if no request is without a response.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that ends at this position in the connection's outgoing bytes. The response to the last part of a
    /// call is that of the call.
    pub fn push(&mut self, call: &IncrementCall, end_offset: u64, is_last_part: bool) {
        self.requests.push_back(PendingRequest {
            call: call.clone(),
            end_offset,
            ignore_response: !is_last_part,
        });
    }

    /// Reports the response to the oldest request.
    pub fn report_response(&mut self, reporter: &CallReporter, outcome: Outcome, total: f64) {
        let answered = self.requests.pop_front();
        if let Some(request) = answered.filter(|request| !request.ignore_response) {
            reporter.report(&request.call, outcome, total);
        }
    }

    /// Reports the calls that have had no response for this time.
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

    /// Reports the calls that have no response as the connection closes: one that was written completely may have been
    /// added, the others were not.
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

    /// True if a call awaits its response.
    pub fn awaits_response(&self) -> bool {
        self.awaited().next().is_some()
    }

    /// When the oldest request's call was started, whether or not the call still awaits its response.
    pub fn oldest_started_at(&self) -> Option<Instant> {
        self.requests.front().map(|request| request.call.started_at)
    }

    /// When the oldest call that awaits its response was started.
    pub fn oldest_awaited_started_at(&self) -> Option<Instant> {
        self.awaited().next().map(|request| request.call.started_at)
    }

    fn awaited(&self) -> impl Iterator<Item = &PendingRequest> {
        self.requests
            .iter()
            .filter(|request| !request.ignore_response)
    }
}
