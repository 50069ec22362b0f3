//! Slots limit the number of client connections. Idle clients are evicted in favor of new ones.
//!
//! Guards against rejecting new clients because one client holds hundreds of connections without sending anything, or
//! because many clients keep their connections open between requests. If all slots are taken, the client that has been
//! without a request for longest is evicted.

use super::Server;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Time for which a new connection is not evicted, because its first request may be in transit.
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(20);
/// Maximum time to wait for the slot of an evicted client. A client that has sent a request in the meantime keeps its
/// slot.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);

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
    /// Acquires a slot for a new client, by eviction if necessary. Returns `None` if no slot is free and no client can
    /// be evicted.
    pub(super) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.slots.available_permits() == 0 && !self.evict_idle_client() {
                return None;
            }
            // An evicted client that has sent a request in the meantime keeps its slot; then another client is evicted.
            if let Ok(slot) = timeout(EVICTION_TIMEOUT, self.slots.clone().acquire_owned()).await {
                return slot.ok();
            }
        }
    }

    /// Evicts the client that has been without a request for longest; clients that never sent one are evicted first.
    /// Returns false if no client may be evicted.
    fn evict_idle_client(&self) -> bool {
        let clients = self.clients.borrow();
        let evictable = clients
            .values()
            .filter(|client| client.is_evictable(NEW_CLIENT_GRACE));
        let Some(oldest) = evictable.min_by_key(|client| client.eviction_order()) else {
            return false;
        };
        oldest.evict();
        true
    }
}
