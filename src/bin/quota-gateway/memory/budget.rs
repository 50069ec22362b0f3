//! Counts the memory that is kept of peers, and limits it by the memory of the machine.

use super::arrivals::Arrivals;
use super::block_pool::{BlockPool, BLOCK_BYTES};
use super::resident::ResidentMemory;
use memmap2::MmapMut;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// Share of the memory limit that peers may take, in tenths. The rest is for the program, the endpoint list and the
/// customers.
const PEER_SHARE_TENTHS: usize = 9;
/// Memory set aside for a client's connection, without the bytes of a body: its buffers, the head of its request, and
/// what is needed to serve it.
const CONNECTION_BYTES: usize = 22 * 1024;
/// Memory for the pages of the program file.
const PROGRAM_FILE_BYTES: usize = 4 << 20;
/// Memory that blocks leave free, for what connections need before bodies can be given up.
const MIN_FREE_BYTES: usize = 512 * 1024;
/// Memory that is left for the bytes of peers, however many connections are open and however low the limit is.
const MIN_BYTES: usize = 1 << 20;
/// Share of the memory limit that pipelined bytes may take, in quarters.
const READ_AHEAD_QUARTERS: usize = 3;
/// Share of the memory limit that pipelined bytes leave to bodies, as a divisor.
const BODY_RESERVE_DIVISOR: usize = 16;

/// Counts the memory of all peers.
pub struct MemoryBudget {
    limit: usize,
    connections: Cell<usize>,
    /// Bytes of all reservations.
    reserved: Cell<usize>,
    pool: RefCell<BlockPool>,
    /// `None` if only what is counted is limited.
    resident: Option<ResidentMemory>,
    /// Notified whenever memory is released.
    released: Notify,
    arrivals: Arrivals,
}

impl MemoryBudget {
    /// Creates the count for this process, whose resident memory is limited as well. `limit` is the memory limit of the
    /// machine, in bytes.
    pub fn of_process(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget::with_measurement(
            limit,
            Some(ResidentMemory::default()),
        ))
    }

    /// Creates a count that does not depend on the process.
    #[cfg(test)]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget::with_measurement(limit, None))
    }

    fn with_measurement(limit: usize, resident: Option<ResidentMemory>) -> Self {
        MemoryBudget {
            limit,
            connections: Cell::new(0),
            reserved: Cell::new(0),
            pool: RefCell::default(),
            resident,
            released: Notify::new(),
            arrivals: Arrivals::default(),
        }
    }

    /// Maximum number of pipelined bytes of all clients.
    pub fn max_read_ahead(&self) -> usize {
        (self.limit / 4 * READ_AHEAD_QUARTERS).max(MIN_BYTES)
    }

    /// True if this many more pipelined bytes may be kept, without taking the room of bodies.
    pub fn has_room_for_read_ahead(&self, bytes: usize) -> bool {
        let reserved = bytes + self.limit / BODY_RESERVE_DIVISOR;
        self.has_room(reserved) && self.resident_excess(reserved) == 0
    }

    /// Counts an open connection of a client until the guard is dropped.
    pub fn add_connection(self: &Rc<Self>) -> ConnectionMemory {
        self.connections.set(self.connections.get() + 1);
        self.enforce_limit();
        ConnectionMemory {
            budget: self.clone(),
        }
    }

    /// Creates an empty reservation.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// True if this many more bytes may be allocated.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.used_bytes() + bytes <= self.max_bytes()
    }

    /// Takes a block for a part of a body; `None` if there is no room for it.
    pub(super) fn try_take_block(self: &Rc<Self>) -> Option<PooledBlock> {
        if !self.has_room(BLOCK_BYTES) {
            return None;
        }
        let free = self.pool.borrow_mut().take_free();
        let memory = free.or_else(|| self.map_block())?;
        Some(PooledBlock {
            budget: self.clone(),
            memory: Some(memory),
            len: 0,
        })
    }

    /// Bytes in use, without those of free blocks and of connections.
    pub(super) fn used_bytes(&self) -> usize {
        self.reserved.get() + self.pool.borrow().used_bytes()
    }

    /// Returns memory that was not needed lately to the system. Called periodically.
    pub fn release_idle(&self) {
        self.pool.borrow_mut().release_idle();
    }

    /// Maps a further block, unless the process would exceed its memory limit with it.
    fn map_block(&self) -> Option<MmapMut> {
        let exceeds_limit = self.resident_excess(BLOCK_BYTES + MIN_FREE_BYTES) > 0;
        if exceeds_limit && self.used_bytes() > MIN_BYTES {
            return None;
        }
        self.pool.borrow_mut().map()
    }

    /// By how many bytes the resident memory of the process exceeds its limit with this many more.
    fn resident_excess(&self, bytes: usize) -> usize {
        let Some(resident) = &self.resident else {
            return 0;
        };
        let resident = resident.estimate(self.counted_bytes());
        (resident + bytes + PROGRAM_FILE_BYTES).saturating_sub(self.limit)
    }

    /// All counted bytes.
    fn counted_bytes(&self) -> usize {
        let connections = self.connections.get() * CONNECTION_BYTES;
        connections + self.reserved.get() + self.pool.borrow().bytes()
    }

    /// Returns free blocks to the system if more is counted than the limit allows, and then gives up bodies: something
    /// was allocated that cannot wait for room.
    fn enforce_limit(&self) {
        let free_bytes = self.pool.borrow().free_bytes();
        let counted_bytes = self.used_bytes() + free_bytes;
        let excess = counted_bytes.saturating_sub(self.max_bytes());
        let excess = excess.max(self.resident_excess(0));
        self.pool.borrow_mut().release(excess);
        if excess > free_bytes {
            self.arrivals.give_up_bytes(excess - free_bytes);
        }
    }

    /// The bodies that are arriving.
    pub(super) fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// Completes once memory was released after this call.
    pub(super) fn wait_for_release(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Maximum number of bytes beside the open connections.
    fn max_bytes(&self) -> usize {
        let connections = self.connections.get() * CONNECTION_BYTES;
        let share = self.limit / 10 * PEER_SHARE_TENTHS;
        share.saturating_sub(connections).max(MIN_BYTES)
    }
}

/// An open connection of a client, counted until it is dropped.
pub struct ConnectionMemory {
    budget: Rc<MemoryBudget>,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let connections = &self.budget.connections;
        connections.set(connections.get() - 1);
        self.budget.released.notify_waiters();
    }
}

/// Allocated bytes, counted until the reservation is dropped.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Counts more bytes if there is room for them. Returns false otherwise.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let has_room = self.budget.has_room(bytes);
        if has_room {
            self.grow(bytes);
        }
        has_room
    }

    /// Counts more bytes that are already allocated. Bodies that are arriving are given up if that exceeds the limit.
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        let reserved = &self.budget.reserved;
        reserved.set(reserved.get() + bytes);
        self.budget.enforce_limit();
    }

    /// Sets the number of counted bytes to that of an allocation that has changed.
    pub fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.grow(bytes - self.bytes);
        } else {
            self.shrink(self.bytes - bytes);
        }
    }

    /// Number of counted bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts fewer bytes.
    pub fn shrink(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.bytes -= bytes;
        let reserved = &self.budget.reserved;
        reserved.set(reserved.get() - bytes);
        self.budget.released.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// A block of the pool, until it is dropped.
pub struct PooledBlock {
    budget: Rc<MemoryBudget>,
    /// `None` once the block is dropped.
    memory: Option<MmapMut>,
    /// Number of bytes that were written to the block.
    len: usize,
}

impl PooledBlock {
    /// The bytes that were written to the block.
    pub fn bytes(&self) -> &[u8] {
        self.memory
            .as_ref()
            .map_or(&[], |memory| &memory[..self.len])
    }

    /// Appends as many of the bytes as fit into the block. Returns their number.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let Some(memory) = &mut self.memory else {
            return 0;
        };
        let count = bytes.len().min(memory.len() - self.len);
        memory[self.len..self.len + count].copy_from_slice(&bytes[..count]);
        self.len += count;
        count
    }
}

impl Drop for PooledBlock {
    fn drop(&mut self) {
        if let Some(memory) = self.memory.take() {
            self.budget.pool.borrow_mut().put_back(memory);
        }
        self.budget.released.notify_waiters();
    }
}
