//! The interface through which discovery reports to the owner of the endpoint list.

use super::list::EndpointList;
use std::rc::Rc;

/// Receives endpoint lists and synchronization reports from discovery.
pub trait EndpointListHandler {
    /// Handles the complete endpoint list or an update to it.
    fn endpoint_list_changed(self: Rc<Self>, list: EndpointList);
    /// Called when discovery has reported all changes up to now.
    fn discovery_synced(&self);
}
