//! The slots that bound the number of connections, and the eviction of idle clients for new ones.
//!
//! Failure: a client opens hundreds of connections and sends nothing, or many clients keep theirs open between requests,
//! and new clients are rejected. With all slots taken, the client that has been longest without a request is evicted.

use super::Server;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// A new connection is not evicted for this long: its request may be on the way.
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(20);
/// Longest wait for an evicted client's slot. A client that has sent a request meanwhile keeps it.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);

/// The slots for clients' connections.
pub struct ClientSlots {
    semaphore: Arc<Semaphore>,
    total: u32,
}

impl ClientSlots {
    /// This many slots, all free.
    pub fn new(total: u32) -> Self {
        ClientSlots {
            semaphore: Arc::new(Semaphore::new(total as usize)),
            total,
        }
    }

    /// The semaphore, with a permit for each slot.
    pub fn semaphore(&self) -> Arc<Semaphore> {
        self.semaphore.clone()
    }

    /// Returns when the last connection has closed.
    pub async fn all_free(&self) {
        let _ = self.semaphore.acquire_many(self.total).await;
    }
}

impl Server {
    /// A slot for one more client; `None` if all clients have requests open or are new.
    pub(super) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.slots.available_permits() == 0 && !self.evict_idle_client() {
                return None;
            }
            // An evicted client that has sent a request keeps its slot: then another one is evicted.
            if let Ok(slot) = timeout(EVICTION_TIMEOUT, self.slots.clone().acquire_owned()).await {
                return slot.ok();
            }
        }
    }

    /// Evicts the client that has been longest without a request, those that never sent one first. False if no client
    /// may be evicted.
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
