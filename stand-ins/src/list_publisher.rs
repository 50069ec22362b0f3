//! Publishes the endpoint list to discovery servers and notifies their watches.

use crate::endpoint_list::EndpointList;
use crate::service_mode::ServiceMode;
use std::cell::{Cell, RefCell};
use tokio::sync::watch;

/// Owns the endpoint list and the service mode of discovery, and notifies watches when either changes.
pub struct ListPublisher {
    list: RefCell<EndpointList>,
    mode: Cell<ServiceMode>,
    last_published: RefCell<String>,
    changed: watch::Sender<u64>,
}

impl ListPublisher {
    /// Publishes a list. Discovery is available at first.
    #[must_use]
    pub fn new(list: EndpointList) -> Self {
        let publisher = ListPublisher {
            list: RefCell::new(list),
            mode: Cell::default(),
            last_published: RefCell::default(),
            changed: watch::Sender::new(0),
        };
        publisher.publish();
        publisher
    }

    /// Changes the list. Watches are notified by the next [`publish`](Self::publish).
    pub fn edit<T>(&self, change: impl FnOnce(&mut EndpointList) -> T) -> T {
        change(&mut self.list.borrow_mut())
    }

    /// Calls `read` with the list and returns the result.
    pub fn read<T>(&self, read: impl FnOnce(&EndpointList) -> T) -> T {
        read(&self.list.borrow())
    }

    /// Notifies the watches of the current list.
    pub fn publish(&self) {
        let list = self.list.borrow();
        if self.mode.get() == ServiceMode::Available {
            self.last_published.replace(list.complete_list());
        }
        // Sending fails if no watch is open.
        let _ = self.changed.send(list.version());
    }

    /// The complete list at the last publication while discovery was available.
    #[must_use]
    pub fn last_published(&self) -> String {
        self.last_published.borrow().clone()
    }

    /// The mode in which discovery currently handles calls.
    #[must_use]
    pub fn mode(&self) -> ServiceMode {
        self.mode.get()
    }

    /// Sets how discovery handles calls, and notifies the watches.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.mode.set(mode);
        self.publish();
    }

    /// Returns a receiver that is notified of each published change of the list or the mode.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Waits until discovery is available.
    pub async fn wait_until_available(&self) {
        let mut changes = self.subscribe();
        while self.mode() != ServiceMode::Available {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
