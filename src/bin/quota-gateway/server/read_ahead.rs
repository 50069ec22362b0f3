//! Buffers for pipelined bytes, which clients send before the response to their current request: one buffer for each
//! connection, and one budget for all of them.

use bytes::BytesMut;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Once this many bytes of one client are buffered, further bytes are discarded (see `client_stream`). The limit is
/// far above the largest request, so that only a client that pipelines many requests loses any.
const MAX_BYTES: usize = 1 << 20;
/// Once this many bytes of all clients are buffered, no more bytes are read ahead; further bytes stay in the sockets.
pub const MAX_TOTAL_BYTES: usize = 4 << 20;
/// Time after the first read within which further bytes count as having arrived together with the first.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);

/// Counts the bytes in the buffers of all connections. Clones share one count.
#[derive(Clone, Default)]
pub struct ReadAheadBudget {
    used: Rc<Cell<usize>>,
}

impl ReadAheadBudget {
    /// Number of bytes in all buffers.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Adds newly buffered bytes to the count.
    pub fn add(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }

    /// True if more bytes may be buffered.
    pub fn has_room(&self) -> bool {
        self.used() < MAX_TOTAL_BYTES
    }
}

/// Bytes that count as having arrived together.
pub struct Arrival {
    /// Time at which the first of the bytes was read.
    pub at: Instant,
    /// The bytes that were read from that time on.
    pub bytes: BytesMut,
}

/// The pipelined bytes of one client, in order and with their arrival times.
pub struct ReadAheadBuffer {
    arrivals: VecDeque<Arrival>,
    /// Number of bytes in all arrivals.
    len: usize,
    budget: ReadAheadBudget,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer whose bytes count towards the budget.
    pub fn new(budget: ReadAheadBudget) -> Self {
        ReadAheadBuffer {
            arrivals: VecDeque::new(),
            len: 0,
            budget,
        }
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// True if the client has reached its limit, so that no more of its bytes are buffered.
    pub fn is_full(&self) -> bool {
        self.len >= MAX_BYTES
    }

    /// Appends bytes that have just been read.
    pub fn push(&mut self, bytes: &[u8]) {
        let now = Instant::now();
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < ARRIVAL_RESOLUTION => last.bytes.extend_from_slice(bytes),
            _ => self.arrivals.push_back(Arrival {
                at: now,
                bytes: BytesMut::from(bytes),
            }),
        }
        self.len += bytes.len();
        self.budget.add(bytes.len());
    }

    /// Takes up to `max_bytes` from the oldest arrival; `None` if the buffer is empty.
    pub fn take(&mut self, max_bytes: usize) -> Option<Arrival> {
        let first = self.arrivals.front_mut()?;
        let count = first.bytes.len().min(max_bytes);
        let taken = Arrival {
            at: first.at,
            bytes: first.bytes.split_to(count),
        };
        if first.bytes.is_empty() {
            self.arrivals.pop_front();
        }
        self.len -= count;
        self.budget.release(count);
        Some(taken)
    }
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        self.budget.release(self.len);
    }
}
