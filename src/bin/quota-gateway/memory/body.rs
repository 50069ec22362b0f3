//! A body that a peer sends in pieces, in counted blocks.
//!
//! Guards against a count that differs from the memory that is held, which has two causes. A piece is a slice of the
//! buffer into which it was read, and keeps that whole buffer allocated: several KiB for a piece of a few bytes. And the
//! announced length of a body may be far above what has arrived. Pieces are therefore copied into blocks, which are
//! allocated as the pieces arrive and counted before they are allocated.

use super::arrivals::{Arrival, GivenUp, Priority};
use super::block_pool::BLOCK_BYTES;
use super::budget::{MemoryBudget, PooledBlock, Reservation};
use super::overload::Need;
use bytes::{Buf, Bytes};
use std::rc::Rc;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum length of a part of a body that is allocated on its own, in its own length.
const MAX_SHORT_BYTES: usize = 4 * 1024;
/// Memory that an allocation of its own takes beside its bytes.
const OVERHEAD_BYTES: usize = 64;

/// The reason why a piece of a body cannot be kept.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    #[error("body is longer than {max_bytes} bytes")]
    TooLong {
        /// Maximum length of the body.
        max_bytes: usize,
    },
    #[error("body was given up: the memory for the bytes of peers is used up")]
    GivenUp,
}

impl From<GivenUp> for BodyError {
    fn from(_: GivenUp) -> Self {
        BodyError::GivenUp
    }
}

/// The memory of a part of a body.
enum Part {
    /// A block of the pool.
    Pooled(PooledBlock),
    /// A short part, and its count.
    Short {
        bytes: Vec<u8>,
        _reservation: Reservation,
    },
}

impl Part {
    /// Allocates a short part; `None` if there is no room.
    fn try_short(budget: &Rc<MemoryBudget>, need: Need, capacity: usize) -> Option<Self> {
        let mut reservation = budget.reserve();
        reservation
            .try_grow(need, capacity + OVERHEAD_BYTES)
            .then(|| Part::Short {
                bytes: Vec::with_capacity(capacity),
                _reservation: reservation,
            })
    }

    /// Allocates a part for this many bytes, or for as many of them as fit into a block; `None` if there is no room.
    fn try_allocate(budget: &Rc<MemoryBudget>, need: Need, bytes: usize) -> Option<Self> {
        if bytes <= MAX_SHORT_BYTES {
            let need = match need {
                Need::Response => Need::Completion,
                other => other,
            };
            Part::try_short(budget, need, bytes)
        } else {
            budget.try_take_block(need).map(Part::Pooled)
        }
    }

    fn bytes(&self) -> &[u8] {
        match self {
            Part::Pooled(block) => block.bytes(),
            Part::Short { bytes, .. } => bytes,
        }
    }

    fn capacity(&self) -> usize {
        match self {
            Part::Pooled(_) => BLOCK_BYTES,
            Part::Short { bytes, .. } => bytes.capacity(),
        }
    }

    fn spare_bytes(&self) -> usize {
        self.capacity() - self.bytes().len()
    }

    /// Appends bytes, which must not exceed the spare ones.
    fn append(&mut self, appended: &[u8]) {
        match self {
            Part::Pooled(block) => {
                block.append(appended);
            }
            Part::Short { bytes, .. } => bytes.extend_from_slice(appended),
        }
    }

    /// Moves the bytes of a block that is mostly empty into an allocation of their own length.
    fn shortened(self, budget: &Rc<MemoryBudget>) -> Self {
        let length = self.bytes().len();
        if length > MAX_SHORT_BYTES || length == self.capacity() {
            return self;
        }
        match Part::try_short(budget, Need::Completion, length) {
            Some(mut short) => {
                short.append(self.bytes());
                short
            }
            None => self,
        }
    }
}

/// A body that is arriving. It may be given up in favor of others until it is complete.
pub struct ArrivingBody {
    arrival: Arrival,
    budget: Rc<MemoryBudget>,
    parts: Vec<Part>,
    len: usize,
    max_bytes: usize,
    announced_bytes: Option<usize>,
}

impl ArrivingBody {
    /// Creates an empty body of at most `max_bytes`. `announced_bytes` is the length that the peer has announced, if
    /// any. Allocates nothing.
    pub fn new(
        budget: &Rc<MemoryBudget>,
        priority: Priority,
        max_bytes: usize,
        announced_bytes: Option<usize>,
    ) -> Self {
        ArrivingBody {
            arrival: Arrival::begin(budget, priority, announced_bytes),
            budget: budget.clone(),
            parts: Vec::new(),
            len: 0,
            max_bytes,
            announced_bytes,
        }
    }

    /// Waits until the body is given up in favor of others.
    pub async fn given_up(&self) {
        self.arrival.given_up().await;
    }

    /// Allocates memory for the next piece, once there is room for it, unless the body is complete or has spare memory.
    /// Called before the piece is read, so that a body that waits for room keeps no read buffer.
    ///
    /// # Errors
    ///
    /// Fails if the body is given up.
    pub async fn make_room(&mut self) -> Result<(), GivenUp> {
        if self.spare_bytes() == 0 && self.expected_bytes() > 0 {
            self.allocate_part(0).await?;
        }
        Ok(())
    }

    /// Appends the next piece of the body. Bytes are taken out of the piece as they are appended, so that the future may
    /// be dropped and the call repeated.
    ///
    /// # Errors
    ///
    /// Fails if the body becomes longer than the maximum, or if it is given up.
    pub async fn push(&mut self, piece: &mut Bytes) -> Result<(), BodyError> {
        let max_bytes = self.max_bytes;
        if self.len + piece.len() > max_bytes {
            return Err(BodyError::TooLong { max_bytes });
        }
        self.arrival.on_piece();
        while !piece.is_empty() {
            if self.spare_bytes() == 0 {
                self.allocate_part(piece.len()).await?;
            }
            self.append(piece);
        }
        Ok(())
    }

    /// The complete body. It can no longer be given up.
    pub fn finish(mut self) -> StoredBody {
        let last = self.parts.pop();
        let last = last.filter(|last| !last.bytes().is_empty());
        self.parts
            .extend(last.map(|last| last.shortened(&self.budget)));
        StoredBody {
            parts: self.parts,
            len: self.len,
        }
    }

    /// Number of bytes that fit into the last part.
    fn spare_bytes(&self) -> usize {
        self.parts.last().map_or(0, Part::spare_bytes)
    }

    /// Number of bytes that have been announced and not received, or that may be received without an announced length.
    fn expected_bytes(&self) -> usize {
        let announced = self.announced_bytes.unwrap_or(self.max_bytes);
        announced.min(self.max_bytes).saturating_sub(self.len)
    }

    /// Allocates a part for the expected bytes, and for at least one of `min_bytes`, as a peer may send more than it has
    /// announced.
    async fn allocate_part(&mut self, min_bytes: usize) -> Result<(), GivenUp> {
        let bytes = self.expected_bytes().max(min_bytes);
        let budget = &self.budget;
        let allocated = self
            .arrival
            .allocate(|need| Part::try_allocate(budget, need, bytes))
            .await?;
        self.parts.push(allocated);
        let held = self.parts.iter().map(Part::capacity).sum();
        self.arrival.set_bytes(held);
        Ok(())
    }

    /// Moves bytes from the piece into the last part, as far as they fit.
    fn append(&mut self, piece: &mut Bytes) {
        if let Some(last) = self.parts.last_mut() {
            let count = piece.len().min(last.spare_bytes());
            last.append(&piece.split_to(count));
            self.len += count;
        }
    }
}

/// A complete body, counted until it is dropped. Empty by default.
#[derive(Default)]
pub struct StoredBody {
    parts: Vec<Part>,
    len: usize,
}

impl StoredBody {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The bytes in order, in non-empty slices.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(Part::bytes)
    }

    /// The bytes in one allocation.
    pub fn to_vec(&self) -> Vec<u8> {
        self.slices().collect::<Vec<_>>().concat()
    }

    /// The bytes in order. Each chunk is counted until it is dropped.
    pub fn into_chunks(self) -> impl Iterator<Item = Chunk> {
        self.parts.into_iter().map(|part| Chunk {
            memory: ChunkMemory::Counted(part),
            position: 0,
        })
    }
}

#[cfg(test)]
impl From<&str> for StoredBody {
    /// Keeps a short text in a budget of its own.
    fn from(text: &str) -> Self {
        let budget = MemoryBudget::new(usize::MAX);
        let mut part =
            Part::try_short(&budget, Need::Response, text.len()).expect("the budget has room");
        part.append(text.as_bytes());
        StoredBody {
            len: text.len(),
            parts: vec![part],
        }
    }
}

/// A part of a body that is being written.
pub struct Chunk {
    memory: ChunkMemory,
    /// Number of bytes that were written.
    position: usize,
}

enum ChunkMemory {
    Counted(Part),
    /// Text of this process.
    Text(Bytes),
}

impl Chunk {
    /// Creates a chunk that is not counted, for text of this process.
    pub fn from_text(text: Bytes) -> Self {
        Chunk {
            memory: ChunkMemory::Text(text),
            position: 0,
        }
    }
}

impl Buf for Chunk {
    fn remaining(&self) -> usize {
        self.chunk().len()
    }

    fn chunk(&self) -> &[u8] {
        let bytes = match &self.memory {
            ChunkMemory::Counted(part) => part.bytes(),
            ChunkMemory::Text(bytes) => bytes,
        };
        &bytes[self.position..]
    }

    fn advance(&mut self, count: usize) {
        self.position += count;
    }
}
