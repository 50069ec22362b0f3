//! Slots limit the number of client connections. Connections whose clients lose little by it are closed in favor of new
//! ones.
//!
//! Guards against rejecting new clients because one client holds hundreds of connections without sending anything,
//! because many clients keep their connections open between requests, or because many stop in the middle of a request.
//! `client::eviction` decides which connection is closed. A few slots are kept free, so that a new connection need not
//! wait for one.

use super::Server;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, Instant};

/// Maximum time to wait for the slot of an evicted client. A client that has sent a request in the meantime keeps its
/// slot.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum time that a new connection waits for a slot: after it, a request that was incomplete when all slots were taken
/// can be given up.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(350);
/// Number of slots that are kept free for the next connections, if clients can be evicted.
const SPARE_SLOTS: usize = 16;
/// Maximum number of clients that are evicted for one new connection: more than one, so that spare slots come back.
const MAX_EVICTIONS_PER_CONNECTION: usize = 2;

/// The slots for client connections.
pub struct ClientSlots {
    semaphore: Arc<Semaphore>,
    total: u32,
}

impl ClientSlots {
    /// Creates `total` free slots.
    pub fn new(total: u32) -> Self {
        ClientSlots {
            semaphore: Arc::new(Semaphore::new(total as usize)),
            total,
        }
    }

    /// The semaphore that holds one permit for each free slot.
    pub fn semaphore(&self) -> Arc<Semaphore> {
        self.semaphore.clone()
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_all_free(&self) {
        let _ = self.semaphore.acquire_many(self.total).await;
    }
}

impl Server {
    /// Acquires a slot for a new client, by eviction if necessary. Returns `None` if no slot is free and no client can be
    /// evicted, or becomes evictable in time.
    pub(super) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        self.evict_for_spare_slots();
        let give_up_at = Instant::now() + MAX_SLOT_WAIT;
        self.wait_for_memory(give_up_at).await;
        loop {
            let may_come_free = self.slots.available_permits() > 0 || self.evict_client();
            if !may_come_free && (Instant::now() >= give_up_at || !self.may_wait_for_slot()) {
                return None;
            }
            // An evicted client that has sent a request in the meantime keeps its slot; then another client is evicted.
            if let Ok(slot) = timeout(EVICTION_TIMEOUT, self.slots.clone().acquire_owned()).await {
                return slot.ok();
            }
        }
    }

    /// Waits for memory for a further connection, or closes another one in its favor.
    async fn wait_for_memory(&self, give_up_at: Instant) {
        while !self.memory.may_accept()
            && !self.evict_client()
            && !self.lifecycle.is_shutting_down()
            && Instant::now() < give_up_at
        {
            sleep(EVICTION_TIMEOUT).await;
        }
    }

    /// True if a client without a complete request may become evictable. During the shutdown no connection waits, because
    /// the listener's queue has to be emptied in time.
    fn may_wait_for_slot(&self) -> bool {
        let clients = self.clients.borrow();
        !self.lifecycle.is_shutting_down()
            && clients
                .values()
                .any(|client| client.has_incomplete_request())
    }

    /// True if a new connection gets a slot at once.
    pub(super) fn has_free_slot(&self) -> bool {
        self.slots.available_permits() > 0 && self.memory.may_accept()
    }

    /// Evicts clients if few slots are free.
    fn evict_for_spare_slots(&self) {
        for _ in 0..MAX_EVICTIONS_PER_CONNECTION {
            if self.slots.available_permits() >= SPARE_SLOTS || !self.evict_client() {
                return;
            }
        }
    }

    /// Evicts the client that loses least by it, or gives up its incomplete request, after which its connection closes.
    /// Returns false if no client may be evicted.
    fn evict_client(&self) -> bool {
        let clients = self.clients.borrow();
        let candidates = clients.values().filter_map(|client| {
            let candidate = client.eviction_candidate()?;
            Some((candidate, client))
        });
        let Some((candidate, client)) = candidates.min_by_key(|(candidate, _)| *candidate) else {
            return false;
        };
        if candidate.has_incomplete_request() {
            self.slot_warning
                .warn("incomplete request given up", "all slots are taken");
            client.give_up_request();
        } else {
            client.evict();
        }
        true
    }
}
