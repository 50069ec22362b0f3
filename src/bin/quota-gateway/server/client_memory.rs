//! The memory for bytes that clients have sent, limited by the memory of the machine.
//!
//! Guards against clients that together make the process exceed its memory limit, for which the platform kills it: each
//! one may hold a body of 64 KiB and pipelined requests, and there are hundreds of them. Whatever keeps bytes of a client
//! counts them here for as long as it keeps them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// Share of the memory limit that clients may take, in tenths. The rest is for the program, the endpoints and the
/// customers.
const CLIENT_SHARE_TENTHS: usize = 9;
/// Memory set aside for a connection, without the bytes of a body: its buffers, the head of its request, and what is
/// needed to serve it.
const CONNECTION_BYTES: usize = 22 * 1024;
/// Memory that is left for the bytes of clients, however many connections are open and however low the limit is.
const MIN_BYTES: usize = 1 << 20;
/// Share of the memory limit that pipelined bytes may take.
const READ_AHEAD_DIVISOR: usize = 4;

/// Counts the memory of all clients. The counters are atomic because the bytes of a request may be shared; the process
/// has one thread that changes them.
pub struct ClientMemory {
    limit: usize,
    connections: AtomicUsize,
    bytes: AtomicUsize,
}

impl ClientMemory {
    /// Creates the count for a process with this memory limit, in bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(ClientMemory {
            limit,
            connections: AtomicUsize::new(0),
            bytes: AtomicUsize::new(0),
        })
    }

    /// Maximum number of pipelined bytes of all clients.
    pub fn max_read_ahead(&self) -> usize {
        (self.limit / READ_AHEAD_DIVISOR).max(MIN_BYTES)
    }

    /// Counts an open connection until the guard is dropped.
    pub fn add_connection(self: &Arc<Self>) -> ConnectionMemory {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionMemory {
            memory: self.clone(),
        }
    }

    /// Creates an empty reservation.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// True if this many more bytes may be kept.
    pub fn has_room(&self, bytes: usize) -> bool {
        let connections = self.connections.load(Ordering::Relaxed) * CONNECTION_BYTES;
        let share = self.limit / 10 * CLIENT_SHARE_TENTHS;
        let max = share.saturating_sub(connections).max(MIN_BYTES);
        self.bytes.load(Ordering::Relaxed) + bytes <= max
    }
}

/// An open connection, counted until it is dropped.
pub struct ConnectionMemory {
    memory: Arc<ClientMemory>,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.memory.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes of one client, counted until they are dropped.
pub struct Reservation {
    memory: Arc<ClientMemory>,
    bytes: usize,
}

impl Reservation {
    /// Counts more bytes if there is room for them. Returns false otherwise.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let has_room = self.memory.has_room(bytes);
        if has_room {
            self.grow(bytes);
        }
        has_room
    }

    /// Counts more bytes that are already kept.
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.memory.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts fewer bytes.
    pub fn shrink(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.memory.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
