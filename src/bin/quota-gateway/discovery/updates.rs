//! Tracks the version of the endpoint list and decides which updates apply to it.

use super::error::DiscoveryError;
use super::handler::EndpointListHandler;
use super::list::EndpointList;
use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Passes updates to the owner of the endpoint list and tracks the list's version.
pub struct ListUpdates {
    version: Cell<u64>,
    /// True if a change was missed. The complete list then has to be fetched before further changes can apply.
    incomplete: Cell<bool>,
    handler: Rc<dyn EndpointListHandler>,
}

impl ListUpdates {
    /// Starts with the version of the list that the handler already has.
    pub fn new(version: u64, handler: Rc<dyn EndpointListHandler>) -> Self {
        ListUpdates {
            version: Cell::new(version),
            incomplete: Cell::new(false),
            handler,
        }
    }

    /// The version of the list in use.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// True if the complete list has to be fetched.
    pub fn is_incomplete(&self) -> bool {
        self.incomplete.get()
    }

    /// Records that a change was missed.
    pub fn mark_incomplete(&self) {
        self.incomplete.set(true);
    }

    /// Applies a complete list or an update from the watch.
    ///
    /// # Errors
    ///
    /// Fails on an update that is older than the current list. Such an update changes nothing, and the complete list
    /// has to be fetched.
    pub fn apply_watched(&self, list: EndpointList) -> Result<(), DiscoveryError> {
        if !list.complete && list.version < self.version.get() {
            self.mark_incomplete();
            return Err(DiscoveryError::StaleUpdate);
        }
        self.apply(list);
        Ok(())
    }

    /// Applies a complete list that was fetched before the watch was requested, even if the watch fails afterwards.
    /// With two calls in flight, the later call may receive its list first: a list older than the current one is
    /// ignored, unless a change was missed.
    pub fn apply_fetched(&self, list: EndpointList) {
        if self.is_incomplete() || list.version >= self.version.get() {
            self.apply(list);
        }
    }

    /// Tells the handler that discovery has reported all changes up to now.
    pub fn synced(&self) {
        self.handler.discovery_synced();
    }

    fn apply(&self, list: EndpointList) {
        self.version.set(list.version);
        self.incomplete.set(false);
        self.handler.clone().endpoint_list_changed(list);
        self.synced();
    }
}
