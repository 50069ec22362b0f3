//! The version of the endpoint list, and which updates apply to it.

use super::error::DiscoveryError;
use super::handler::EndpointListHandler;
use super::list::EndpointList;
use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Passes updates of the endpoint list on to its owner, and keeps its version.
pub struct ListUpdates {
    version: Cell<u64>,
    /// A change was missed, so that further changes don't apply: the complete list has to be fetched.
    incomplete: Cell<bool>,
    handler: Rc<dyn EndpointListHandler>,
}

impl ListUpdates {
    /// The handler already has the list of this version.
    pub fn new(version: u64, handler: Rc<dyn EndpointListHandler>) -> Self {
        ListUpdates {
            version: Cell::new(version),
            incomplete: Cell::new(false),
            handler,
        }
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// True if the complete list has to be fetched.
    pub fn is_incomplete(&self) -> bool {
        self.incomplete.get()
    }

    /// A change was missed.
    pub fn mark_incomplete(&self) {
        self.incomplete.set(true);
    }

    /// Applies a list or update from the watch.
    ///
    /// # Errors
    ///
    /// An update that is older than the list changes nothing, and the complete list has to be fetched.
    pub fn apply_watched(&self, list: EndpointList) -> Result<(), DiscoveryError> {
        if !list.complete && list.version < self.version.get() {
            self.mark_incomplete();
            return Err(DiscoveryError::StaleUpdate);
        }
        self.apply(list);
        Ok(())
    }

    /// Applies a complete list that was fetched ahead of a watch, even if the watch fails. With two calls at a time, the
    /// later one may have had its list first: an older list changes nothing, unless a change was missed.
    pub fn apply_fetched(&self, list: EndpointList) {
        if self.is_incomplete() || list.version >= self.version.get() {
            self.apply(list);
        }
    }

    /// Discovery has reported all changes up to now.
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
