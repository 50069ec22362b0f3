//! The endpoint list as discovery publishes it, and whether discovery is available.

use crate::endpoint_list::EndpointList;
use crate::service_mode::ServiceMode;
use std::cell::{Cell, RefCell};
use tokio::sync::watch;

/// Owns the list and wakes the watches when it or the mode of discovery changes.
pub struct ListPublisher {
    list: RefCell<EndpointList>,
    mode: Cell<ServiceMode>,
    last_published: RefCell<String>,
    changed: watch::Sender<u64>,
}

impl ListPublisher {
    /// Publishes a list, by a discovery that is available.
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

    /// Changes the list. Watches learn of it at the next [`publish`](Self::publish).
    pub fn edit<T>(&self, change: impl FnOnce(&mut EndpointList) -> T) -> T {
        change(&mut self.list.borrow_mut())
    }

    /// Reads the list.
    pub fn read<T>(&self, read: impl FnOnce(&EndpointList) -> T) -> T {
        read(&self.list.borrow())
    }

    /// Wakes the watches for the list as it is now.
    pub fn publish(&self) {
        let list = self.list.borrow();
        if self.mode.get() == ServiceMode::Available {
            self.last_published.replace(list.complete_list());
        }
        // Without any watch there is nobody to wake.
        let _ = self.changed.send(list.version());
    }

    /// The complete list as it was when it was last published while discovery was available.
    #[must_use]
    pub fn last_published(&self) -> String {
        self.last_published.borrow().clone()
    }

    /// How discovery treats calls at present.
    #[must_use]
    pub fn mode(&self) -> ServiceMode {
        self.mode.get()
    }

    /// Sets how discovery treats calls, and publishes.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.mode.set(mode);
        self.publish();
    }

    /// Wakes for each change of the list and of the mode.
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
