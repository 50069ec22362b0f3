//! The memory for what peers send, limited by the memory of the machine.
//!
//! Guards against peers that together make the process exceed its memory limit, for which the platform kills it. The
//! limit counts allocations, not the bytes in them, and it counts them whoever has sent the bytes: clients or endpoints.
//! A body can only be kept in an [`ArrivingBody`], which allocates nothing that is not counted.
//!
//! - `budget`: counts the allocations of all peers
//! - `arrivals`: the bodies that are arriving, and the choice of the one that is given up if there is no room
//! - `block_pool`: blocks of one length for the bytes of bodies
//! - `resident`: measures the resident memory of the process
//! - `overload`: the thresholds below the limit at which memory is denied or released
//! - `body`: a body in counted blocks, while it arrives and afterwards

mod arrivals;
mod block_pool;
mod body;
mod budget;
mod overload;
mod resident;

pub use arrivals::Priority;
pub use body::{ArrivingBody, BodyError, Chunk, StoredBody};
pub use budget::{ConnectionMemory, ExpectedMemory, MemoryBudget, Reservation};
