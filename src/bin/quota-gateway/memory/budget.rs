//! Counts the memory that is kept of peers, and limits it by the memory of the machine.
//!
//! The count is a forecast: it sets memory aside for what connections will need. The resident memory, which is measured,
//! decides (`overload`).

use super::arrivals::Arrivals;
use super::block_pool::{BlockPool, BLOCK_BYTES};
use super::overload::{Need, OverloadThresholds};
use super::resident::ResidentMonitor;
use crate::rate_limited_warning::RateLimitedWarning;
use memmap2::MmapMut;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

mod guards;

pub use guards::{ConnectionMemory, ExpectedMemory, PooledBlock, Reservation};

#[cfg(test)]
mod tests;

/// Share of the memory limit that peers may take, in tenths. The rest is for the program, the endpoint list and the
/// customers.
const PEER_SHARE_TENTHS: usize = 9;
/// Memory set aside for a client's connection, without the bytes of a body: its buffers, the head of its request, and
/// what is needed to serve it.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Memory that is left for the bytes of peers, however many connections are open and however low the limit is.
const MIN_BYTES: usize = 1 << 20;
/// Share of the memory limit that pipelined bytes may take, in quarters.
const READ_AHEAD_QUARTERS: usize = 3;
/// Share of the memory limit that pipelined bytes leave to bodies, as a divisor.
const BODY_RESERVE_DIVISOR: usize = 32;

/// Maximum time for which work that cannot wait waits for room.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(100);
/// Time after which room is looked for again.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Memory that a connection takes before anything has arrived on it, in bytes.
const CONNECTION_STATE_BYTES: usize = 3 * 1024;

/// Counts the memory of all peers.
pub struct MemoryBudget {
    limit: usize,
    crowd_connections: usize,
    thresholds: OverloadThresholds,
    connections: Cell<usize>,
    /// What the open connections have not allocated yet, in bytes.
    expected: Cell<usize>,
    /// Bytes of all reservations.
    reserved: Cell<usize>,
    pool: RefCell<BlockPool>,
    /// `None` if only what is counted is limited.
    resident: Option<ResidentMonitor>,
    /// Notified whenever memory is released.
    released: Notify,
    arrivals: Arrivals,
    warning: RateLimitedWarning,
}

impl MemoryBudget {
    /// Creates the count for this process, whose resident memory is limited as well. `limit` is the memory limit of the
    /// machine, in bytes. With at least `crowd_connections` of clients the process counts as crowded.
    pub fn of_process(limit: usize, crowd_connections: usize) -> Rc<Self> {
        let budget = MemoryBudget::with_monitor(limit, ResidentMonitor::open());
        Rc::new(MemoryBudget {
            crowd_connections,
            ..budget
        })
    }

    /// Creates a count that does not depend on the process.
    #[cfg(test)]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget::with_monitor(limit, None))
    }

    fn with_monitor(limit: usize, resident: Option<ResidentMonitor>) -> Self {
        MemoryBudget {
            limit,
            crowd_connections: 0,
            thresholds: OverloadThresholds::new(limit),
            connections: Cell::new(0),
            expected: Cell::new(0),
            reserved: Cell::new(0),
            pool: RefCell::default(),
            resident,
            released: Notify::new(),
            arrivals: Arrivals::default(),
            warning: RateLimitedWarning::default(),
        }
    }

    /// Maximum number of pipelined bytes of all clients.
    pub fn max_read_ahead(&self) -> usize {
        (self.limit / 4 * READ_AHEAD_QUARTERS).max(MIN_BYTES)
    }

    /// True if this many more pipelined bytes may be kept, without taking the room of bodies.
    pub fn has_room_for_read_ahead(&self, bytes: usize) -> bool {
        self.has_room(Need::RequestBody, bytes + self.limit / BODY_RESERVE_DIVISOR)
    }

    /// True if bytes of clients may be read, for which buffers are allocated. There is always something else then that
    /// will release memory.
    pub fn may_read(&self) -> bool {
        self.used_bytes() <= MIN_BYTES || self.fits_resident(Need::Reading, 0)
    }

    /// True if another connection of a client may be accepted beside those that are open. If not, there is something that
    /// will release memory.
    pub fn may_accept(&self) -> bool {
        self.used_bytes() <= MIN_BYTES || self.fits_resident(Need::Accepting, 0)
    }

    /// Makes room for work that cannot wait and allocates this many bytes, such as parsing a list: bodies that are
    /// arriving are given up. Returns once there is room, or after a short time.
    pub async fn make_room(&self, bytes: usize) {
        let give_up_at = Instant::now() + MAX_ROOM_WAIT;
        let max = self.thresholds.max_resident(Need::Reading);
        while let Some(resident) = &self.resident {
            let excess = (resident.recent_bytes() + bytes).saturating_sub(max);
            if excess == 0 || Instant::now() >= give_up_at {
                return;
            }
            let released = self.wait_for_release();
            self.release_free_blocks(excess);
            self.arrivals.give_up_bytes(excess);
            let _ = timeout(ROOM_RETRY_INTERVAL, released).await;
        }
    }

    /// Counts an open connection of a client until the guard is dropped.
    pub fn add_connection(self: &Rc<Self>) -> ConnectionMemory {
        self.connections.set(self.connections.get() + 1);
        self.record_allocated(CONNECTION_STATE_BYTES);
        let connection = ConnectionMemory::new(self);
        connection.expect(ExpectedMemory::WholeRequest);
        self.enforce_limit();
        connection
    }

    /// Creates an empty reservation.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation::empty(self)
    }

    /// True if this many more bytes may be allocated for a need: both what is counted and what is resident leave room.
    pub fn has_room(&self, need: Need, bytes: usize) -> bool {
        let is_within_count = self.used_bytes() + bytes <= self.max_bytes();
        let is_least = self.used_bytes() + bytes <= MIN_BYTES;
        is_within_count && (is_least || self.fits_resident(need, bytes))
    }

    /// Takes a block for a part of a body; `None` if there is no room for it.
    pub(super) fn try_take_block(self: &Rc<Self>, need: Need) -> Option<PooledBlock> {
        let has_free = self.pool.borrow().free_bytes() > 0;
        // A free block is resident already.
        let growth = if has_free { 0 } else { BLOCK_BYTES };
        if self.used_bytes() + BLOCK_BYTES > self.max_bytes() || !self.has_room(need, growth) {
            return None;
        }
        let free = self.pool.borrow_mut().take_free();
        let memory = free.or_else(|| self.map_block())?;
        Some(PooledBlock::new(self, memory))
    }

    /// True if there are more connections than ordinary clients open.
    pub(super) fn is_crowded(&self) -> bool {
        self.connections.get() >= self.crowd_connections
    }

    /// Bytes in use, without those of free blocks and of connections.
    pub(super) fn used_bytes(&self) -> usize {
        self.reserved.get() + self.pool.borrow().used_bytes()
    }

    /// Returns memory that was not needed lately to the system. Called periodically.
    pub fn release_idle(&self) {
        self.pool.borrow_mut().release_idle();
    }

    fn map_block(&self) -> Option<MmapMut> {
        let block = self.pool.borrow_mut().map()?;
        self.record_allocated(BLOCK_BYTES);
        Some(block)
    }

    fn record_allocated(&self, bytes: usize) {
        if let Some(resident) = &self.resident {
            resident.record_allocated(bytes);
        }
    }

    /// True if the resident memory stays below the threshold of a need with this many more bytes.
    fn fits_resident(&self, need: Need, bytes: usize) -> bool {
        let Some(resident) = &self.resident else {
            return true;
        };
        let expected = match need {
            Need::RequestBody => self.expected.get(),
            Need::Response | Need::Accepting | Need::Reading | Need::Completion => 0,
        };
        let max = self
            .thresholds
            .max_resident(need)
            .saturating_sub(bytes + expected);
        let fits = resident.bytes() <= max || resident.recent_bytes() <= max;
        if !fits && matches!(need, Need::Accepting | Need::Reading) {
            let (bytes, limit) = (resident.bytes(), self.limit);
            self.warning.warn(
                "clients wait for memory",
                format_args!("{bytes} bytes of {limit} are resident"),
            );
        }
        fits
    }

    /// By how many bytes the resident memory exceeds a threshold.
    fn resident_excess(&self, max: usize) -> usize {
        let resident = self.resident.as_ref();
        resident.map_or(0, |resident| resident.bytes().saturating_sub(max))
    }

    /// Returns free blocks to the system if more is counted or resident than the limit allows, and then gives up bodies:
    /// something was allocated that cannot wait for room.
    fn enforce_limit(&self) {
        let free_bytes = self.pool.borrow().free_bytes();
        let counted_bytes = self.used_bytes() + free_bytes;
        let counted_excess = counted_bytes.saturating_sub(self.max_bytes());
        let thresholds = self.thresholds;
        let excess = self.resident_excess(thresholds.max_resident_with_free_blocks());
        self.release_free_blocks(counted_excess.max(excess));
        let excess = self.resident_excess(thresholds.max_resident_with_all_bodies());
        let excess = excess.max(counted_excess.saturating_sub(free_bytes));
        if excess > 0 {
            self.arrivals.give_up_bytes(excess);
        }
    }

    /// Returns free blocks of at least this many bytes to the system, or all of them.
    fn release_free_blocks(&self, bytes: usize) {
        let released = self.pool.borrow_mut().release(bytes);
        if let Some(resident) = &self.resident {
            resident.record_released(released);
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
