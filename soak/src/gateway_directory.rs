//! The states of the gateways, as a load balancer that distributes connections among them knows them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The load balancer sends new clients to a gateway for this long after SIGTERM. The gateway allows for up to 0.4 s
/// (`MIN_ACCEPTING_TIME` in `src/bin/quota-gateway/lifecycle/timeline.rs`).
pub const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);

/// The state of one gateway.
#[derive(Clone, Copy)]
pub struct GatewayState {
    /// The address that the gateway listens on.
    pub address: SocketAddr,
    /// True while the load balancer sends clients to the gateway.
    pub is_admitted: bool,
    /// The number of processes of the gateway that were started so far.
    pub generation: u32,
    /// The last generation that was ended by SIGKILL without SIGTERM.
    pub killed_generation: Option<u32>,
    /// The time at which SIGTERM was sent to the current generation, if it was sent.
    pub terminated_at: Option<Instant>,
}

/// The states of all gateways, by number.
#[derive(Default)]
pub struct GatewayDirectory {
    gateways: RefCell<Vec<GatewayState>>,
}

impl GatewayDirectory {
    /// Adds a gateway whose first process hasn't been started yet.
    pub fn add(&self, address: SocketAddr) {
        self.gateways.borrow_mut().push(GatewayState {
            address,
            is_admitted: false,
            generation: 0,
            killed_generation: None,
            terminated_at: None,
        });
    }

    /// The number of gateways.
    pub fn count(&self) -> usize {
        self.gateways.borrow().len()
    }

    /// The state of the gateway `index`.
    pub fn state(&self, index: usize) -> GatewayState {
        self.gateways.borrow()[index]
    }

    /// The numbers and states of the gateways that the load balancer sends clients to.
    pub fn admitted(&self) -> Vec<(usize, GatewayState)> {
        let gateways = self.gateways.borrow();
        let numbered = gateways.iter().copied().enumerate();
        numbered.filter(|(_, state)| state.is_admitted).collect()
    }

    /// Records that a new process is about to start. Returns its generation.
    pub fn begin_generation(&self, index: usize) -> u32 {
        let mut gateways = self.gateways.borrow_mut();
        let state = &mut gateways[index];
        state.generation += 1;
        state.terminated_at = None;
        state.generation
    }

    /// Lets the load balancer send clients to the gateway.
    pub fn admit(&self, index: usize) {
        self.gateways.borrow_mut()[index].is_admitted = true;
    }

    /// Stops the load balancer from sending clients to the gateway.
    pub fn withdraw(&self, index: usize) {
        self.gateways.borrow_mut()[index].is_admitted = false;
    }

    /// Records that SIGTERM is sent to the current process.
    pub fn record_termination(&self, index: usize, at: Instant) {
        self.gateways.borrow_mut()[index].terminated_at = Some(at);
    }

    /// Records that SIGKILL is sent to the current process without SIGTERM.
    pub fn record_kill(&self, index: usize) {
        let mut gateways = self.gateways.borrow_mut();
        let state = &mut gateways[index];
        state.killed_generation = Some(state.generation);
    }
}
