//! Handles one request, from its complete head to its response.

use super::body::{ReceivedBody, RequestBody};
use super::client::Client;
use super::forward::{add_body, forwarded_head};
use super::in_progress::RequestInProgress;
use super::request::{ParsedRequest, RequestError};
use super::response::{self, Response};
use super::Server;
use crate::driver::{FinalResponse, ForwardedRequest, IncomingRequest};
use crate::metrics::RequestEnd;
use crate::socket::WeakSocket;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use hyper::Request;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout_at;

/// Time after a request's deadline at which the handler ends the request. The decision library normally ends the
/// request by the deadline, but the library's timer may fire late, for instance after a stall of the process, and the
/// client would have to wait longer. The value has to be shorter than `DEADLINE_MARGIN` in `lifecycle::timeline`, so
/// that each request has its response before the shutdown ends the remaining ones.
const DEADLINE_GRACE: Duration = Duration::from_millis(5);

impl Server {
    /// Handles a request and returns the response.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        client: &Client,
        client_socket: WeakSocket,
    ) -> Response {
        let mut in_progress = RequestInProgress::begin(self, client);
        let (head, body) = request.into_parts();
        let mut body = RequestBody::new(
            body,
            client.request_deadline(),
            &self.lifecycle,
            client.read_gate(),
        );
        let handled = self
            .handle(head, &mut body, client_socket, &mut in_progress)
            .await;
        let (mut response, may_find_end) = match handled {
            Ok(response) => (response, true),
            Err(error) => {
                tracing::debug!(%error, "invalid request");
                in_progress.end = Some(RequestEnd::Invalid);
                (response::request_error(&error), !error.hides_end())
            }
        };
        // Further requests of the client follow the end of the body. Without it, no further request can be read.
        if !(may_find_end && discard_rest(&mut body, client).await) {
            response::ask_to_close(&mut response);
        }
        in_progress.driver_id = None;
        // hyper reads no further request after a response that asks to close.
        if self.lifecycle.is_shutting_down() && !client.may_have_pipelined_request() {
            response::ask_to_close(&mut response);
        }
        response
    }

    /// Handles a request with a valid or invalid head. The head is dropped before the body is read: it keeps the buffer
    /// allocated into which hyper has read it.
    async fn handle(
        &self,
        head: Parts,
        body: &mut RequestBody<'_>,
        client_socket: WeakSocket,
        in_progress: &mut RequestInProgress<'_>,
    ) -> Result<Response, RequestError> {
        // The remaining time counts from the arrival of the request, which may have been pipelined during an earlier
        // one.
        let received_at = in_progress.client.last_arrival();
        give_way(in_progress.client).await;
        // Guards against request smuggling. hyper reads a request with both Content-Length and Transfer-Encoding as
        // chunked and removes the length, so that a second request hidden in what the sender regards as the body would
        // be served. The protocol has no Transfer-Encoding in requests: a request with one is rejected and its
        // connection is closed.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(RequestError::TransferEncoding);
        }
        if let Some(response) = self.health_response(head.uri.path()) {
            in_progress.end = Some(RequestEnd::HealthCheck);
            return Ok(response);
        }
        let ParsedRequest { incoming, class } =
            self.parser
                .parse(&head.method, &head.uri, &head.headers, received_at)?;
        body.check(class)?;
        in_progress.claim_transaction_id(incoming.transaction_id, class)?;
        let mut forwarded = forwarded_head(class, &head.uri, &head.headers);
        drop(head);
        let received = tokio::select! {
            biased;
            received = body.read(&self.memory) => received?,
            () = in_progress.client.request_given_up() => return Err(RequestError::NoSlot),
        };
        let ReceivedBody::Complete(body) = received else {
            return Ok(refuse_incomplete(&incoming, in_progress));
        };
        add_body(class, &mut forwarded, body);
        let final_response = self
            .forward(&incoming, forwarded, client_socket, in_progress)
            .await;
        in_progress.end = Some(request_end(&final_response));
        Ok(response::final_response(final_response))
    }

    /// Passes a complete request to the driver and waits for its final response.
    async fn forward(
        &self,
        incoming: &IncomingRequest,
        forwarded: ForwardedRequest,
        client_socket: WeakSocket,
        in_progress: &mut RequestInProgress<'_>,
    ) -> FinalResponse {
        if !self.lifecycle.may_forward() {
            log_refusal(incoming);
            return FinalResponse::ShuttingDown;
        }
        let started = self
            .driver
            .start_request(incoming, forwarded, client_socket);
        in_progress.driver_id = Some(started.id);
        in_progress.client.on_request_completed();
        let response = timeout_at(started.deadline + DEADLINE_GRACE, started.response).await;
        let Ok(response) = response else {
            return self.driver.expire_request(started.id);
        };
        response.unwrap_or(FinalResponse::Failed)
    }
}

/// Reads and discards what is left of the body. Returns true if its end was reached before the request was given up.
async fn discard_rest(body: &mut RequestBody<'_>, client: &Client) -> bool {
    tokio::select! {
        biased;
        is_complete = body.discard() => is_complete,
        () = client.request_given_up() => false,
    }
}

/// Lets other tasks run before a request of a client that has sent further ones.
///
/// Guards against a client that pipelines requests which are answered at once, such as invalid ones: hyper answers many of
/// them in each turn of its task, and each step of all other requests would wait for a turn.
async fn give_way(client: &Client) {
    if client.may_have_pipelined_request() {
        yield_now().await;
    }
}

/// Returns the response to a request whose body is still incomplete when the shutdown starts to refuse requests.
fn refuse_incomplete(
    incoming: &IncomingRequest,
    in_progress: &mut RequestInProgress<'_>,
) -> Response {
    log_refusal(incoming);
    in_progress.end = Some(RequestEnd::ShuttingDown);
    response::final_response(FinalResponse::ShuttingDown)
}

fn log_refusal(incoming: &IncomingRequest) {
    let transaction_id = incoming.transaction_id;
    tracing::debug!(txn = %format_args!("{transaction_id:016x}"), "request refused: shutting down");
}

fn request_end(response: &FinalResponse) -> RequestEnd {
    match response {
        FinalResponse::Success { .. } => RequestEnd::Success,
        FinalResponse::Rejected { .. } => RequestEnd::Rejected,
        FinalResponse::Failed => RequestEnd::Failed,
        FinalResponse::ShuttingDown => RequestEnd::ShuttingDown,
    }
}
