//! What clients send ahead of a response: a buffer for each connection, and one budget for all of them.

use bytes::BytesMut;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Number of bytes from which on no more is kept of one client: what it sends beyond is discarded (`client_stream`). That
/// is far more than the largest request, so that only a client that sends many ahead of their responses loses any.
const MAX_BYTES: usize = 1 << 20;
/// Number of bytes of all clients together from which on no more is read ahead: what follows stays in the sockets.
pub const MAX_TOTAL_BYTES: usize = 4 << 20;
/// Bytes that are read within this time of one another count as having arrived together, with the first of them.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);

/// The bytes in the buffers of all connections. Clones share one count.
#[derive(Clone, Default)]
pub struct ReadAheadBudget {
    used: Rc<Cell<usize>>,
}

impl ReadAheadBudget {
    /// Bytes in all buffers.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Counts bytes that are buffered.
    pub fn add(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.used.set(self.used.get() - bytes);
    }

    /// True if some more bytes may be buffered.
    pub fn has_room(&self) -> bool {
        self.used() < MAX_TOTAL_BYTES
    }
}

/// Bytes that arrived together.
pub struct Arrival {
    /// When the first of them was read.
    pub at: Instant,
    /// The bytes.
    pub bytes: BytesMut,
}

/// What one client has sent ahead, in order, with the times at which it arrived.
pub struct ReadAheadBuffer {
    arrivals: VecDeque<Arrival>,
    /// Bytes in all arrivals.
    len: usize,
    budget: ReadAheadBudget,
}

impl ReadAheadBuffer {
    /// An empty buffer whose bytes count towards the budget.
    pub fn new(budget: ReadAheadBudget) -> Self {
        ReadAheadBuffer {
            arrivals: VecDeque::new(),
            len: 0,
            budget,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// True if this client may send no more ahead.
    pub fn is_full(&self) -> bool {
        self.len >= MAX_BYTES
    }

    /// Adds bytes that were read now.
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

    /// Takes up to this many of the first bytes that arrived together; `None` if the buffer is empty.
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
