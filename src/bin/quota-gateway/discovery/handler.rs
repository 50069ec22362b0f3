//! The interface to the owner of the endpoint list.

use super::list::EndpointList;
use std::rc::Rc;

/// Receives what discovery reports.
pub trait EndpointListHandler {
    /// Handles the complete endpoint list, or an update to it.
    fn endpoint_list_changed(self: Rc<Self>, list: EndpointList);
    /// Discovery has reported all changes up to now.
    fn discovery_synced(&self);
}
