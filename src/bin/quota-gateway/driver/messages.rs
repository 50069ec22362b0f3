//! The messages between the server and the driver: requests, and the final responses to them.

use crate::http::header_names::REMAINING_MS;
use crate::memory::StoredBody;
use crate::upstream::EncodedRequest;
use bytes::Bytes;
use quota_gateway::RequestId;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Bytes reserved for the `X-Remaining-Ms` line and the empty line after it.
const REMAINING_LINE_BYTES: usize = 34;

/// The fields of a client's request, checked by the server.
pub struct IncomingRequest {
    /// The client's id of the transaction; no other open request has the same id.
    pub transaction_id: u64,
    /// The customer whose quota the request uses.
    pub customer: u64,
    /// The customer's plan, an index into the plans of the settings.
    pub plan: u32,
    /// The request's class, an index into the classes of the settings.
    pub class: u32,
    /// Estimated quota units that the request uses.
    pub units: f64,
    /// Number of gateways over which this customer's requests are spread.
    pub gateway_set_size: f64,
    /// True if the client marked the request as a retry.
    pub is_retry: bool,
    /// Time from `received_at` until the client's deadline, in ms.
    pub remaining_ms: f64,
    /// Time at which the request's head had arrived. A pipelined head may have arrived long before it is handled.
    pub received_at: Instant,
}

/// A request as it is forwarded to endpoints. The header line with the remaining time is only known when an attempt is
/// sent, and is inserted between head and body.
pub struct ForwardedRequest {
    /// The request line and all other headers, without the empty line that ends the head.
    pub head: Vec<u8>,
    pub body: Rc<StoredBody>,
    /// True if the request must not be executed twice and endpoints do not deduplicate retries.
    pub at_most_once: bool,
}

impl ForwardedRequest {
    /// Encodes an attempt that propagates this remaining time, in whole milliseconds.
    pub fn encode(&self, remaining: Duration) -> EncodedRequest {
        let mut head = Vec::with_capacity(self.head.len() + REMAINING_LINE_BYTES);
        head.extend_from_slice(&self.head);
        // Writing to a Vec can't fail.
        let _ = write!(head, "{REMAINING_MS}: {}\r\n\r\n", remaining.as_millis());
        EncodedRequest {
            head,
            body: self.body.clone(),
        }
    }
}

/// A request that the driver has accepted.
pub struct StartedRequest {
    /// The gateway's id of the request.
    pub id: RequestId,
    /// Time at which the final response is due.
    pub deadline: Instant,
    /// Yields the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// The final response to a request.
pub enum FinalResponse {
    /// An endpoint served the request.
    Success {
        content_type: Option<Bytes>,
        body: StoredBody,
    },
    /// The request was rejected and the client may safely retry: it was never executed, or a second execution does no
    /// harm.
    Rejected {
        /// Time after which the client should retry, in ms; 0 for no advice.
        retry_after_ms: f64,
    },
    /// The request failed and may have been executed, and another execution could do harm.
    Failed,
    /// The process is shutting down and the request was never executed, so the client may retry at another gateway.
    ShuttingDown,
}
