//! Guards for memory that is counted: it counts until its guard is dropped.

use super::super::block_pool::BLOCK_BYTES;
use super::super::overload::Need;
use super::MemoryBudget;
use memmap2::MmapMut;
use std::cell::Cell;
use std::rc::Rc;

/// What a connection has not allocated yet and will need for its next request, by how far the request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedMemory {
    /// No part of the request has arrived: a read buffer and the state of the request are missing.
    WholeRequest,
    /// The head is complete: what is needed to serve the request is missing.
    Service,
    /// Nothing more is needed.
    Nothing,
}

impl ExpectedMemory {
    fn bytes(self) -> usize {
        match self {
            ExpectedMemory::WholeRequest => 14 * 1024,
            ExpectedMemory::Service => 5 * 1024,
            ExpectedMemory::Nothing => 0,
        }
    }
}

/// An open connection of a client, counted until it is dropped.
pub struct ConnectionMemory {
    budget: Rc<MemoryBudget>,
    expected: Cell<ExpectedMemory>,
}

impl ConnectionMemory {
    pub(super) fn new(budget: &Rc<MemoryBudget>) -> Self {
        ConnectionMemory {
            budget: budget.clone(),
            expected: Cell::new(ExpectedMemory::Nothing),
        }
    }

    /// Sets what the connection will need. What it needs less than before was allocated.
    pub fn expect(&self, expected: ExpectedMemory) {
        let before = self.expected.replace(expected).bytes();
        let total = &self.budget.expected;
        total.set(total.get() + expected.bytes() - before);
        let allocated = before.saturating_sub(expected.bytes());
        self.budget.record_allocated(allocated);
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let expected = &self.budget.expected;
        expected.set(expected.get() - self.expected.get().bytes());
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
    pub(super) fn empty(budget: &Rc<MemoryBudget>) -> Self {
        Reservation {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Counts more bytes if there is room for them for a need. Returns false otherwise.
    #[must_use]
    pub fn try_grow(&mut self, need: Need, bytes: usize) -> bool {
        let has_room = self.budget.has_room(need, bytes);
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
        self.budget.record_allocated(bytes);
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
    /// Wraps memory that the pool counts as used.
    pub(super) fn new(budget: &Rc<MemoryBudget>, memory: MmapMut) -> Self {
        PooledBlock {
            budget: budget.clone(),
            memory: Some(memory),
            len: 0,
        }
    }

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
            let thresholds = self.budget.thresholds;
            let max = thresholds.max_resident_with_free_blocks();
            let excess = self.budget.resident_excess(max);
            self.budget.release_free_blocks(excess.min(BLOCK_BYTES));
        }
        self.budget.released.notify_waiters();
    }
}
