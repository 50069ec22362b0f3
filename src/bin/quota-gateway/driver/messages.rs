//! What the server hands the driver for each request, and what it gets back.

use bytes::Bytes;
use quota_gateway::RequestId;
use std::io::Write;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Room for the `X-Remaining-Ms` line.
const REMAINING_LINE_BYTES: usize = 32;

/// What a client's request says of itself, checked by the server.
pub struct IncomingRequest {
    /// The client's id of the transaction; no other open request has it.
    pub transaction_id: u64,
    /// The customer whose quota it takes from.
    pub customer: u64,
    /// The customer's plan, an index into the settings.
    pub plan: u32,
    /// Its class, an index into the settings.
    pub class: u32,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways that this customer's requests come through.
    pub gateway_set_size: f64,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Time that the client still waits, counted from `received_at`.
    pub remaining_ms: f64,
    /// When its head had come.
    pub received_at: Instant,
}

/// The request as endpoints get it. The remaining time is only known when it is sent and goes between both parts.
pub struct ForwardedRequest {
    /// The request line and all other headers.
    pub head: Vec<u8>,
    /// The empty line that ends the head, and the body.
    pub body: Vec<u8>,
    /// It must not be executed twice, and endpoints do not deduplicate retries.
    pub at_most_once: bool,
}

impl ForwardedRequest {
    /// The bytes to be written.
    pub fn encode(&self, remaining: Duration) -> Vec<u8> {
        let mut message =
            Vec::with_capacity(self.head.len() + self.body.len() + REMAINING_LINE_BYTES);
        message.extend_from_slice(&self.head);
        // Writing to a Vec can't fail.
        let _ = write!(message, "X-Remaining-Ms: {}\r\n", remaining.as_millis());
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
    /// It was rejected and was never executed: a retry is harmless.
    Rejected {
        /// When the client should come back; 0 for no advice.
        retry_after_ms: f64,
    },
    /// It failed and may have been executed.
    Failed,
    /// The process ends, and the request was never executed: a retry elsewhere is harmless.
    ShuttingDown,
}
