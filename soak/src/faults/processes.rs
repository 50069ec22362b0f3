//! The gateways and endpoints that faults end and start again.

use crate::endpoint::RunningEndpoint;
use crate::error::SoakError;
use crate::gateway::{Addresses, Gateway, Launcher};
use stand_ins::discovery::Discovery;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The processes of a run, and what starts gateways.
pub struct Processes {
    /// How to start gateways.
    pub launcher: Rc<Launcher>,
    /// The gateways; one that is being restarted is not there.
    pub gateways: RefCell<HashMap<usize, Gateway>>,
    /// The endpoints that are not being replaced.
    pub endpoints: RefCell<HashMap<usize, RunningEndpoint>>,
    /// The present discovery.
    pub discovery: RefCell<Option<Discovery>>,
}

impl Processes {
    /// The numbers of the gateways that run, in their order, which the map does not keep.
    pub fn running_gateways(&self) -> Vec<usize> {
        let mut running: Vec<_> = self.gateways.borrow().keys().copied().collect();
        running.sort_unstable();
        running
    }

    /// Starts a gateway again. Discovery may move while it starts; the gateway is notified of that by a reload.
    pub async fn restart(
        &self,
        index: usize,
        mut addresses: Addresses,
        call_faults: Option<String>,
    ) -> Result<(), SoakError> {
        addresses.discovery = self.discovery_address().unwrap_or(addresses.discovery);
        let mut gateway = Gateway::start(&self.launcher, index, addresses, call_faults)?;
        gateway.wait_until_ready().await;
        let moved_to = self
            .discovery_address()
            .filter(|address| *address != addresses.discovery);
        if let Some(discovery) = moved_to {
            addresses.discovery = discovery;
            gateway.reload(addresses)?;
        }
        self.gateways.borrow_mut().insert(index, gateway);
        Ok(())
    }

    fn discovery_address(&self) -> Option<SocketAddr> {
        self.discovery.borrow().as_ref().map(Discovery::address)
    }
}
