//! The gateways and endpoints that faults stop and start again.

use crate::endpoint::RunningEndpoint;
use crate::error::SoakError;
use crate::gateway::{Addresses, Gateway, Launcher};
use stand_ins::discovery::Discovery;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The processes and stand-ins of a run that faults replace.
pub struct Processes {
    /// Starts gateways.
    pub launcher: Rc<Launcher>,
    /// The running gateways by number. A gateway that is being restarted isn't included.
    pub gateways: RefCell<HashMap<usize, Gateway>>,
    /// The running endpoints by number. An endpoint that is being replaced isn't included.
    pub endpoints: RefCell<HashMap<usize, RunningEndpoint>>,
    /// The current instance of discovery.
    pub discovery: RefCell<Option<Discovery>>,
}

impl Processes {
    /// The numbers of the running gateways. They are sorted because the order of the map isn't deterministic.
    pub fn running_gateways(&self) -> Vec<usize> {
        let mut running: Vec<_> = self.gateways.borrow().keys().copied().collect();
        running.sort_unstable();
        running
    }

    /// Starts a gateway again. If discovery moves while the gateway starts, the gateway is reloaded with the new
    /// address.
    pub async fn start_again(
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
