//! Runs one attempt of a request: takes an idle connection or opens a new one, writes the request and reads the
//! response.

use super::connection::{Connection, WriteResult};
use super::pool::{ConnectError, ConnectionPool};
use super::request::{OutgoingRequest, Target};
use crate::http::{Head, Response, ResponseBody, MAX_BODY_BYTES};
use quota_gateway::Outcome;
use tokio::time::{timeout_at, Instant};

/// The result of an attempt.
pub struct AttemptResult {
    /// Outcome in the decision library's terms.
    pub outcome: Outcome,
    /// The endpoint's response; `None` if no response was read to its end.
    pub response: Option<Response>,
}

impl AttemptResult {
    /// Creates the result of an attempt that ended without a complete response.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            response: None,
        }
    }
}

impl ConnectionPool {
    /// Sends one request and waits until `deadline` for its response. The connection is kept for reuse if the response
    /// is complete and allows reuse, or if `OutgoingRequest::check_before_write` refused the request before its first
    /// byte. Otherwise the connection is closed before this function returns. Dropping the future closes the connection
    /// as well.
    pub async fn attempt(
        &self,
        target: Target,
        deadline: Instant,
        request: &dyn OutgoingRequest,
    ) -> AttemptResult {
        let mut connection = match self.send(target, deadline, request).await {
            Ok(connection) => connection,
            Err(outcome) => return AttemptResult::without_response(outcome),
        };
        request.on_written();
        let response =
            match timeout_at(deadline, connection.reader.read_response(MAX_BODY_BYTES)).await {
                Ok(Ok(response)) => response,
                // The connection broke, or the response is malformed or too long.
                Ok(Err(_)) => return AttemptResult::without_response(Outcome::ConnectionReset),
                Err(_) => return AttemptResult::without_response(Outcome::Timeout),
            };
        // Unread bytes after the response would be taken for the response to the next request.
        if response.head.keep_alive && !connection.reader.has_unread_bytes() {
            self.put_back(target, connection);
        }
        AttemptResult {
            outcome: outcome_of(&response),
            response: Some(response),
        }
    }

    /// Writes the request, on an idle connection if one is usable. The error is the outcome of an attempt that ended
    /// before the last byte of the request was written: the endpoint can't have begun to execute the request.
    async fn send(
        &self,
        target: Target,
        deadline: Instant,
        request: &dyn OutgoingRequest,
    ) -> Result<Connection, Outcome> {
        loop {
            let reused = self.take_idle(target.endpoint);
            let is_reused = reused.is_some();
            let connection = match reused {
                Some(connection) => connection,
                None => self
                    .connect(target.instance.addr, deadline)
                    .await
                    .map_err(connect_outcome)?,
            };
            match timeout_at(deadline, connection.write(request)).await {
                Ok(Ok(WriteResult::Complete)) => return Ok(connection),
                Ok(Ok(WriteResult::Refused(outcome))) => {
                    // Nothing was written, so the connection can be reused.
                    self.put_back(target, connection);
                    return Err(outcome);
                }
                // The reused connection may have broken while idle, which says nothing about its endpoint. Another
                // connection is tried.
                Ok(Err(_)) if is_reused => {}
                // Not `ConnectionReset`, which would mean that the request may have been executed.
                Ok(Err(_)) => return Err(Outcome::ConnectFailed),
                Err(_) => return Err(Outcome::NotSent),
            }
        }
    }
}

fn connect_outcome(error: ConnectError) -> Outcome {
    match error {
        ConnectError::Endpoint => Outcome::ConnectFailed,
        ConnectError::Local => Outcome::NotSent,
    }
}

fn outcome_of(response: &Response) -> Outcome {
    match response {
        Response { head, .. } if is_rejection(head) => Outcome::Rejected,
        Response { head, body } if head.status == 200 => match body {
            ResponseBody::Complete(_) => Outcome::Success,
            // The request was executed, and its response is of no use.
            ResponseBody::LengthContradicted => Outcome::ConnectionReset,
        },
        _ => Outcome::ErrorResponse,
    }
}

/// True if the head proves that the request was never executed: only 503 or 504 together with `X-Turned-Away: 1` does.
fn is_rejection(head: &Head) -> bool {
    matches!(head.status, 503 | 504) && head.rejected
}
