//! Blocks for the bytes of bodies, outside the heap.
//!
//! Guards against a heap that is larger than what is counted. Bodies of any length come and go between the small
//! allocations of connections, which take parts of the holes that bodies leave: the next body then finds no hole that is
//! large enough, and the heap is never returned to the system. Blocks are mapped from the system and returned to it, and a
//! free block fits any body.

use memmap2::{MmapMut, MmapOptions};

#[cfg(test)]
mod tests;

/// Capacity of a block.
pub const BLOCK_BYTES: usize = 8 * 1024;
/// Number of free blocks that are kept when nothing else needs their memory.
const MAX_IDLE_BLOCKS: usize = 64;

/// The free blocks, and the number of those in use.
#[derive(Default)]
pub struct BlockPool {
    free: Vec<MmapMut>,
    used: usize,
}

impl BlockPool {
    /// Memory of all blocks.
    #[cfg(test)]
    pub fn bytes(&self) -> usize {
        self.used_bytes() + self.free_bytes()
    }

    /// Memory of the free blocks.
    pub fn free_bytes(&self) -> usize {
        self.free.len() * BLOCK_BYTES
    }

    /// Memory of the blocks in use.
    pub fn used_bytes(&self) -> usize {
        self.used * BLOCK_BYTES
    }

    /// Takes a free block; `None` if there is none.
    pub fn take_free(&mut self) -> Option<MmapMut> {
        let block = self.free.pop()?;
        self.used += 1;
        Some(block)
    }

    /// Maps a further block; `None` if the system has no memory. Its pages are resident at once: otherwise the resident
    /// memory would grow later, when bytes are written to it.
    pub fn map(&mut self) -> Option<MmapMut> {
        let block = MmapOptions::new()
            .len(BLOCK_BYTES)
            .populate()
            .map_anon()
            .ok()?;
        self.used += 1;
        Some(block)
    }

    /// Puts back a block that was in use.
    pub fn put_back(&mut self, block: MmapMut) {
        self.used -= 1;
        self.free.push(block);
    }

    /// Returns free blocks to the system until this many bytes are released or none is left. Returns the number of bytes
    /// that were released.
    pub fn release(&mut self, bytes: usize) -> usize {
        let count = bytes.div_ceil(BLOCK_BYTES).min(self.free.len());
        self.free.truncate(self.free.len() - count);
        count * BLOCK_BYTES
    }

    /// Returns free blocks to the system, except for a few.
    pub fn release_idle(&mut self) {
        self.free.truncate(MAX_IDLE_BLOCKS);
    }
}
