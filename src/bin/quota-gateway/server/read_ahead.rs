//! Buffers for pipelined bytes, which clients send before the response to their current request: one buffer for each
//! connection, and one budget for all of them.

use super::client_memory::{ClientMemory, Reservation};
use super::client_stream::READ_AHEAD_BYTES;
use bytes::BytesMut;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// One client may buffer this part of what all clients may: once it has, further bytes are discarded (see
/// `client_stream`). The limit is far above the largest request, so that only a client that pipelines many requests loses
/// any.
const CLIENT_SHARE_DIVISOR: usize = 4;
/// Memory that an arrival takes in addition to its bytes.
const ARRIVAL_BYTES: usize = 128;
/// Time after the first read within which further bytes count as having arrived together with the first.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);

/// Counts the memory of the buffers of all connections, as a part of the memory of clients. Clones share one count.
#[derive(Clone)]
pub struct ReadAheadBudget {
    used: Rc<Cell<usize>>,
    memory: Arc<ClientMemory>,
}

impl ReadAheadBudget {
    /// Creates the count of empty buffers.
    pub fn new(memory: &Arc<ClientMemory>) -> Self {
        ReadAheadBudget {
            used: Rc::default(),
            memory: memory.clone(),
        }
    }

    /// Memory of all buffers, in bytes.
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

    /// True if more bytes may be buffered. Once there is no room, no more bytes are read ahead; they stay in the sockets.
    pub fn has_room(&self) -> bool {
        self.used() < self.memory.max_read_ahead() && self.memory.has_room(READ_AHEAD_BYTES)
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
    reservation: Reservation,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer whose bytes count towards the budget.
    pub fn new(budget: ReadAheadBudget) -> Self {
        ReadAheadBuffer {
            arrivals: VecDeque::new(),
            len: 0,
            reservation: budget.memory.reserve(),
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
        self.len >= self.budget.memory.max_read_ahead() / CLIENT_SHARE_DIVISOR
    }

    /// Appends bytes that have just been read.
    pub fn push(&mut self, bytes: &[u8]) {
        let now = Instant::now();
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < ARRIVAL_RESOLUTION => last.bytes.extend_from_slice(bytes),
            _ => {
                self.arrivals.push_back(Arrival {
                    at: now,
                    bytes: BytesMut::from(bytes),
                });
                self.count(ARRIVAL_BYTES);
            }
        }
        self.len += bytes.len();
        self.count(bytes.len());
    }

    fn count(&mut self, bytes: usize) {
        self.budget.add(bytes);
        self.reservation.grow(bytes);
    }

    fn release(&mut self, bytes: usize) {
        self.budget.release(bytes);
        self.reservation.shrink(bytes);
    }

    /// Takes up to `max_bytes` from the oldest arrival; `None` if the buffer is empty.
    pub fn take(&mut self, max_bytes: usize) -> Option<Arrival> {
        let first = self.arrivals.front_mut()?;
        let count = first.bytes.len().min(max_bytes);
        let taken = Arrival {
            at: first.at,
            bytes: first.bytes.split_to(count),
        };
        let mut released = count;
        if first.bytes.is_empty() {
            self.arrivals.pop_front();
            released += ARRIVAL_BYTES;
        }
        self.len -= count;
        self.release(released);
        Some(taken)
    }
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        self.budget
            .release(self.len + self.arrivals.len() * ARRIVAL_BYTES);
    }
}
