//! The interface for callers of the counter: one queue per connection, chosen by key.

use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::Instant;

/// Number of connections to the counter. All calls for a key use the same connection, so that they stay in order. A
/// connection that hangs does not delay the calls on the others.
const CONNECTIONS: usize = 4;
/// Maximum number of calls in one queue; further calls fail at once. Together with `MAX_PENDING_REQUESTS` in
/// `connection`, the limit bounds the memory that calls to an unresponsive counter use.
const MAX_QUEUED_CALLS: usize = 256;

/// A call that adds an amount to the count of a key.
#[derive(Clone)]
pub struct IncrementCall {
    /// The key whose count is increased.
    pub key: u64,
    /// The amount that is added, in units; negative to correct an earlier call.
    pub amount: f64,
    /// Time after which the counter removes a new key, in ms.
    pub ttl_ms: f64,
    /// Time at which the call was made, from which its timeout counts.
    pub started_at: Instant,
}

/// The sending ends of the queues.
pub struct CounterClient {
    queues: Vec<Sender<IncrementCall>>,
}

/// The receiving ends of the queues, one for each connection.
pub type CounterQueues = Vec<Receiver<IncrementCall>>;

impl CounterClient {
    /// Creates the queues and returns both of their ends.
    pub fn new() -> (Self, CounterQueues) {
        let (queues, receivers) = (0..CONNECTIONS).map(|_| channel(MAX_QUEUED_CALLS)).unzip();
        (CounterClient { queues }, receivers)
    }

    /// Queues a call. Returns false if its queue is full or its task has ended.
    #[must_use]
    pub fn call(&self, call: IncrementCall) -> bool {
        let index = (call.key ^ call.key >> 30) as usize % self.queues.len();
        self.queues[index].try_send(call).is_ok()
    }
}
