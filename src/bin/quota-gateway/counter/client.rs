//! The callers' side of the counter: one queue per connection, chosen by key.

use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::Instant;

/// Connections to the counter. All calls for a key use the same one, so that they stay in order; a connection that
/// hangs leaves the others alone.
const CONNECTIONS: usize = 4;
/// Calls that may wait for one connection, and as many again for its responses: a silent counter must not fill memory.
pub const QUEUE_CAPACITY: usize = 256;

/// A call that adds an amount to the count of a key.
#[derive(Clone)]
pub struct IncrementCall {
    pub key: u64,
    pub amount: f64,
    /// The counter forgets a new key after this time.
    pub ttl_ms: f64,
    pub started_at: Instant,
}

/// Puts calls into the queues.
pub struct CounterClient {
    queues: Vec<Sender<IncrementCall>>,
}

/// The other ends of the queues, one for each connection.
pub type CounterQueues = Vec<Receiver<IncrementCall>>;

impl CounterClient {
    pub fn new() -> (Self, CounterQueues) {
        let (queues, receivers) = (0..CONNECTIONS).map(|_| channel(QUEUE_CAPACITY)).unzip();
        (CounterClient { queues }, receivers)
    }

    /// Queues a call; false if its queue is full.
    #[must_use]
    pub fn call(&self, call: IncrementCall) -> bool {
        let index = (call.key ^ call.key >> 30) as usize % self.queues.len();
        self.queues[index].try_send(call).is_ok()
    }
}
