//! Buffers for pipelined bytes, which clients send before the response to their current request: one buffer for each
//! connection, and one budget for all of them.

use super::client_stream::READ_AHEAD_BYTES;
use crate::memory::{MemoryBudget, Reservation};
use bytes::Bytes;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// One client may buffer this part of what all clients may: once it has, further bytes are discarded (see
/// `client_stream`). The limit is far above the largest request, so that only a client that pipelines many requests loses
/// any.
const CLIENT_SHARE_DIVISOR: usize = 12;
/// Memory that a segment takes in addition to its bytes.
const SEGMENT_BYTES: usize = 128;
/// Time after the first read within which further bytes count as having arrived together with the first.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);

/// Counts the memory of the buffers of all connections, as a part of the memory of clients. Clones share one count.
#[derive(Clone)]
pub struct ReadAheadBudget {
    used: Rc<Cell<usize>>,
    memory: Rc<MemoryBudget>,
}

impl ReadAheadBudget {
    /// Creates the count of empty buffers.
    pub fn new(memory: &Rc<MemoryBudget>) -> Self {
        ReadAheadBudget {
            used: Rc::default(),
            memory: memory.clone(),
        }
    }

    /// Creates an empty reservation in the memory of all peers.
    pub fn reserve(&self) -> Reservation {
        self.memory.reserve()
    }

    /// True if bytes of clients may be read.
    pub fn may_read(&self) -> bool {
        self.memory.may_read()
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
        self.used() < self.memory.max_read_ahead()
            && self.memory.has_room_for_read_ahead(READ_AHEAD_BYTES)
    }
}

/// The bytes of one read.
struct Segment {
    /// Time at which the bytes count as having arrived.
    arrived_at: Instant,
    /// The bytes that were not taken yet. They keep those that were taken allocated.
    bytes: Bytes,
    /// Memory that is counted for the segment.
    allocated: usize,
}

/// Bytes that were taken out of a buffer.
pub struct TakenBytes {
    /// Time at which the bytes count as having arrived.
    pub arrived_at: Instant,
    pub bytes: Bytes,
}

/// The pipelined bytes of one client, in order and with their arrival times.
pub struct ReadAheadBuffer {
    segments: VecDeque<Segment>,
    /// Number of bytes in all segments.
    len: usize,
    budget: ReadAheadBudget,
    reservation: Reservation,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer whose bytes count towards the budget.
    pub fn new(budget: ReadAheadBudget) -> Self {
        ReadAheadBuffer {
            segments: VecDeque::new(),
            len: 0,
            reservation: budget.reserve(),
            budget,
        }
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// True if the client has reached its limit, so that no more of its bytes are buffered.
    pub fn is_full(&self) -> bool {
        self.len >= self.budget.memory.max_read_ahead() / CLIENT_SHARE_DIVISOR
    }

    /// Appends bytes that have just been read.
    pub fn push(&mut self, bytes: &[u8]) {
        let now = Instant::now();
        let last_arrival = self.segments.back().map(|segment| segment.arrived_at);
        let arrived_at = last_arrival.filter(|at| now - *at < ARRIVAL_RESOLUTION);
        let allocated = bytes.len() + SEGMENT_BYTES;
        self.segments.push_back(Segment {
            arrived_at: arrived_at.unwrap_or(now),
            bytes: Bytes::copy_from_slice(bytes),
            allocated,
        });
        self.len += bytes.len();
        self.count(allocated);
    }

    fn count(&mut self, bytes: usize) {
        self.budget.add(bytes);
        self.reservation.grow(bytes);
    }

    fn release(&mut self, bytes: usize) {
        self.budget.release(bytes);
        self.reservation.shrink(bytes);
    }

    /// Takes up to `max_bytes` from the oldest segment; `None` if the buffer is empty. The memory of a segment is released
    /// once all its bytes are taken.
    pub fn take(&mut self, max_bytes: usize) -> Option<TakenBytes> {
        let first = self.segments.front_mut()?;
        let count = first.bytes.len().min(max_bytes);
        let taken = TakenBytes {
            arrived_at: first.arrived_at,
            bytes: first.bytes.split_to(count),
        };
        if first.bytes.is_empty() {
            let released = first.allocated;
            self.segments.pop_front();
            self.release(released);
        }
        self.len -= count;
        Some(taken)
    }
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        self.budget.release(self.reservation.bytes());
    }
}
