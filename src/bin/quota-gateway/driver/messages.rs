//! What the server hands to the driver for each request, and what it gets back.

use crate::http::header_names::REMAINING_MS;
use bytes::Bytes;
use quota_gateway::RequestId;
use std::io::Write;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Bytes reserved for the `X-Remaining-Ms` line.
const REMAINING_LINE_BYTES: usize = 32;

/// The fields of a client's request, checked by the server.
pub struct IncomingRequest {
    /// The client's id of the transaction; no other open request has it.
    pub transaction_id: u64,
    /// The customer whose quota it uses.
    pub customer: u64,
    /// The customer's plan, an index into the settings.
    pub plan: u32,
    /// Its class, an index into the settings.
    pub class: u32,
    /// Units of the quota that it is estimated to use.
    pub units: f64,
    /// Number of gateways over which this customer's requests are spread.
    pub gateway_set_size: f64,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Time until the client's deadline, from `received_at` on.
    pub remaining_ms: f64,
    /// When its head was complete.
    pub received_at: Instant,
}

/// The request as endpoints get it. The line with the remaining time is only known when an attempt is sent, and goes
/// between the two parts.
pub struct ForwardedRequest {
    /// The request line and all other headers.
    pub head: Vec<u8>,
    /// The empty line that ends the head, and the body.
    pub body: Vec<u8>,
    /// It must not be executed twice, and endpoints do not deduplicate retries.
    pub at_most_once: bool,
}

impl ForwardedRequest {
    /// The bytes of an attempt that propagates this remaining time, on the wire as whole milliseconds.
    pub fn encode(&self, remaining: Duration) -> Vec<u8> {
        let mut message =
            Vec::with_capacity(self.head.len() + self.body.len() + REMAINING_LINE_BYTES);
        message.extend_from_slice(&self.head);
        // Writing to a Vec can't fail.
        let _ = write!(message, "{REMAINING_MS}: {}\r\n", remaining.as_millis());
        message.extend_from_slice(&self.body);
        message
    }
}

/// A request that the driver has accepted.
pub struct StartedRequest {
    /// The gateway's own id for it.
    pub id: RequestId,
    /// The final response is due by then.
    pub deadline: Instant,
    /// Yields the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// The final response to a request.
pub enum FinalResponse {
    /// An endpoint served it.
    Success {
        /// The endpoint's `Content-Type`.
        content_type: Option<Bytes>,
        /// The endpoint's body.
        body: Bytes,
    },
    /// It was rejected, and the client may safely retry: it was never executed, or a second execution does no harm.
    Rejected {
        /// Time after which the client should retry; 0 for no advice.
        retry_after_ms: f64,
    },
    /// It failed and may have been executed, and another execution could do harm.
    Failed,
    /// The process ends, and the request was never executed, so that the client may retry at another gateway.
    ShuttingDown,
}
