//! Passes input to the decision library as events: requests, ends of attempts, counter replies, gossip messages and
//! endpoint lists.

use super::attempts::{AttemptReport, AttemptReportHandler};
use super::messages::{ForwardedRequest, IncomingRequest, StartedRequest};
use super::registered_request::NewRequest;
use super::{Driver, FinalResponse};
use crate::counter::CounterReplyHandler;
use crate::discovery::list::EndpointList;
use crate::discovery::EndpointListHandler;
use crate::gossip::GossipHandler;
use crate::socket::WeakSocket;
use quota_gateway::{AttemptEnd, Event, Outcome, Request, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time before the client's deadline at which a final response is due, in ms: the network needs this time for the
/// request and the response.
const RESPONSE_MARGIN_MS: f64 = 10.0;

/// The deadline of a request's final response.
struct RequestTimes {
    deadline: Instant,
    /// Time from now until the deadline, in ms.
    timeout_ms: f64,
}

impl Driver {
    /// Registers a request and passes it to the library. The receiver in the result yields the request's final
    /// response.
    pub fn start_request(
        self: &Rc<Self>,
        incoming: &IncomingRequest,
        forwarded: ForwardedRequest,
        client_socket: WeakSocket,
    ) -> StartedRequest {
        let (response_sender, response) = oneshot::channel();
        let RequestTimes {
            deadline,
            timeout_ms,
        } = self.request_times(incoming);
        let request = NewRequest {
            transaction_id: incoming.transaction_id,
            forwarded,
            deadline,
            client_deadline: incoming.received_at
                + Duration::from_secs_f64(incoming.remaining_ms / 1000.0),
            client_socket,
        };
        let id = self.registry.borrow_mut().insert(request, response_sender);
        tracing::debug!(
            txn = %format_args!("{:016x}", incoming.transaction_id),
            request_id = id,
            timeout_ms,
            "request received"
        );
        self.dispatch(Event::Request(Request {
            id,
            customer: incoming.customer,
            plan: incoming.plan,
            class: incoming.class,
            units: incoming.units,
            timeout_ms,
            gateway_set_size: incoming.gateway_set_size,
            is_retry: incoming.is_retry,
        }));
        StartedRequest {
            id,
            deadline,
            response,
        }
    }

    /// Computes the deadline of a request's final response, limited by the client's deadline and by the shutdown.
    fn request_times(&self, incoming: &IncomingRequest) -> RequestTimes {
        let elapsed_ms = incoming.received_at.elapsed().as_secs_f64() * 1000.0;
        let timeout_ms = (incoming.remaining_ms - elapsed_ms - RESPONSE_MARGIN_MS).max(0.0);
        let now = Instant::now();
        let deadline = self
            .lifecycle
            .limit_deadline(now + Duration::from_secs_f64(timeout_ms / 1000.0));
        let time_left = deadline.saturating_duration_since(now);
        RequestTimes {
            deadline,
            timeout_ms: timeout_ms.min(time_left.as_secs_f64() * 1000.0),
        }
    }

    /// True unless it is certain that no endpoint has executed the request.
    pub fn may_have_executed(&self, id: RequestId) -> bool {
        self.registry.borrow().may_have_executed(id)
    }

    /// Ends a request whose client no longer waits for a response. Nothing more is sent for it. The registry records a
    /// final response that reaches no one, because the server no longer reads it.
    pub fn cancel_request(self: &Rc<Self>, id: RequestId) {
        if self.registry.borrow().is_closed(id) {
            return;
        }
        self.close_request(id, FinalResponse::Failed);
    }

    /// Ends a request whose deadline has passed. Returns the response that the server has to send to the client,
    /// because the server no longer reads the receiver from `start_request`.
    pub fn expire_request(self: &Rc<Self>, id: RequestId) -> FinalResponse {
        let may_have_executed = self.may_have_executed(id);
        self.cancel_request(id);
        let rejected = FinalResponse::Rejected {
            retry_after_ms: 0.0,
        };
        failed_if_executed(may_have_executed, rejected)
    }

    /// Gives all open requests their final response, when the process begins to refuse requests.
    pub fn end_open_requests(self: &Rc<Self>) {
        let ids = self.registry.borrow().unanswered();
        for id in ids {
            let may_have_executed = self.may_have_executed(id);
            tracing::debug!(
                request_id = id,
                may_have_executed,
                "request ended by shutdown"
            );
            let response = failed_if_executed(may_have_executed, FinalResponse::ShuttingDown);
            self.close_request(id, response);
        }
    }

    /// Gives an open request its final response, and notifies the library. The library has one event for a disconnect,
    /// a passed deadline and the shutdown: in each case the request is over, and attempts in flight only settle their
    /// units.
    fn close_request(self: &Rc<Self>, id: RequestId, response: FinalResponse) {
        self.registry.borrow_mut().respond(id, response);
        self.dispatch(Event::ClientDisconnected { id });
    }
}

/// The final response to a request that ends unserved. The response is `Failed` if an endpoint may have executed the
/// request, as a retry could execute it twice; otherwise it is `unexecuted`, which permits a retry.
fn failed_if_executed(may_have_executed: bool, unexecuted: FinalResponse) -> FinalResponse {
    if may_have_executed {
        FinalResponse::Failed
    } else {
        unexecuted
    }
}

impl AttemptReportHandler for Driver {
    fn attempt_ended(self: Rc<Self>, report: AttemptReport) {
        self.metrics.attempts.increment(report.outcome.into());
        tracing::debug!(
            request_id = report.request,
            attempt = report.number,
            endpoint = report.endpoint,
            outcome = ?report.outcome,
            elapsed_ms = report.elapsed_ms,
            "attempt ended"
        );
        let finished = self.registry.borrow_mut().finish_attempt(
            report.request,
            report.number,
            report.outcome,
            report.response,
        );
        let Some(finished) = finished else { return };
        self.dispatch(Event::AttemptEnded(AttemptEnd {
            id: report.request,
            attempt: report.number as u8,
            endpoint: report.endpoint,
            outcome: report.outcome,
            request_answered: finished.request_closed,
            actual_units: finished.actual_units,
            elapsed_ms: report.elapsed_ms,
        }));
    }
}

impl CounterReplyHandler for Driver {
    fn counter_reply(self: Rc<Self>, key: u64, outcome: Outcome, total: f64, elapsed_ms: f64) {
        self.dispatch(Event::CounterReply {
            key,
            outcome,
            total,
            elapsed_ms,
        });
    }
}

impl GossipHandler for Driver {
    fn gossip_received(self: Rc<Self>, from: u32, body: Vec<u8>) {
        self.dispatch(Event::Gossip { from, body });
    }
}

impl EndpointListHandler for Driver {
    fn endpoint_list_changed(self: Rc<Self>, list: EndpointList) {
        if list.endpoints.invalid > 0 {
            self.invalid_entry_warning
                .warn("discovery", "an entry of the list is invalid and ignored");
        }
        let complete = list.complete;
        self.metrics.list_updates.inc();
        tracing::debug!(
            version = list.version,
            complete,
            entries = list.endpoints.valid.len(),
            "endpoint list updated"
        );
        let endpoints = self
            .endpoints
            .borrow_mut()
            .update(list, &self.pool, self.clock.now_ms());
        self.dispatch(Event::EndpointUpdate {
            complete,
            endpoints,
        });
    }

    fn discovery_synced(&self) {
        self.discovery_synced.set(true);
        self.endpoints.borrow_mut().mark_synced();
    }
}
