//! The callers' side of the counter: one queue per connection, chosen by key.

use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::Instant;

/// Connections to the counter. All calls for a key use the same one, so that they stay in order. A connection that
/// hangs does not delay the calls on the others.
const CONNECTIONS: usize = 4;
/// Most calls that wait for one connection. With more, a call fails at once. It bounds, with the limit on requests of
/// `connection`, the memory that a silent counter takes.
const MAX_QUEUED_CALLS: usize = 256;

/// A call that adds an amount to the count of a key.
#[derive(Clone)]
pub struct IncrementCall {
    /// The key whose count is increased.
    pub key: u64,
    /// What is added, in units; negative to correct an earlier call.
    pub amount: f64,
    /// Time after which the counter removes a new key, in ms.
    pub ttl_ms: f64,
    /// When the call was made. Its time-out counts from here.
    pub started_at: Instant,
}

/// The sending ends of the queues.
pub struct CounterClient {
    queues: Vec<Sender<IncrementCall>>,
}

/// The receiving ends of the queues, one for each connection.
pub type CounterQueues = Vec<Receiver<IncrementCall>>;

impl CounterClient {
    /// Makes the queues, and returns both of their ends.
    pub fn new() -> (Self, CounterQueues) {
        let (queues, receivers) = (0..CONNECTIONS).map(|_| channel(MAX_QUEUED_CALLS)).unzip();
        (CounterClient { queues }, receivers)
    }

    /// Queues a call; false if its queue is full.
    #[must_use]
    pub fn call(&self, call: IncrementCall) -> bool {
        let index = (call.key ^ call.key >> 30) as usize % self.queues.len();
        self.queues[index].try_send(call).is_ok()
    }
}
