//! What clients know of the gateways: the view of a load balancer that spreads connections over them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The load balancer sends a gateway new clients for this long after SIGTERM. The program expects them for up to 0.4 s
/// (`MIN_ACCEPTING_TIME` in `src/bin/quota-gateway/lifecycle/timeline.rs`).
pub const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);

/// The state of one gateway.
#[derive(Clone, Copy)]
pub struct GatewayState {
    /// Where it listens.
    pub address: SocketAddr,
    /// True once the load balancer sends it clients.
    pub is_admitted: bool,
    /// Counts its processes.
    pub generation: u32,
    /// The last generation that was killed outright.
    pub killed_generation: Option<u32>,
    /// When SIGTERM was sent to this generation, if it was.
    pub terminated_at: Option<Instant>,
}

/// All gateways, by number.
#[derive(Default)]
pub struct GatewayDirectory {
    gateways: RefCell<Vec<GatewayState>>,
}

impl GatewayDirectory {
    /// Adds a gateway of which no process has been started yet.
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

    /// The state of one gateway.
    pub fn state(&self, index: usize) -> GatewayState {
        self.gateways.borrow()[index]
    }

    /// The gateways that get new clients, with their numbers.
    pub fn admitted(&self) -> Vec<(usize, GatewayState)> {
        let gateways = self.gateways.borrow();
        let numbered = gateways.iter().copied().enumerate();
        numbered.filter(|(_, state)| state.is_admitted).collect()
    }

    /// A new process is about to start. Returns its generation.
    pub fn begin_generation(&self, index: usize) -> u32 {
        let mut gateways = self.gateways.borrow_mut();
        let state = &mut gateways[index];
        state.generation += 1;
        state.terminated_at = None;
        state.generation
    }

    /// The load balancer sends the gateway clients.
    pub fn admit(&self, index: usize) {
        self.gateways.borrow_mut()[index].is_admitted = true;
    }

    /// The load balancer sends the gateway no more clients.
    pub fn withdraw(&self, index: usize) {
        self.gateways.borrow_mut()[index].is_admitted = false;
    }

    /// SIGTERM is sent to the present process.
    pub fn record_termination(&self, index: usize, at: Instant) {
        self.gateways.borrow_mut()[index].terminated_at = Some(at);
    }

    /// The present process is killed outright.
    pub fn record_kill(&self, index: usize) {
        let mut gateways = self.gateways.borrow_mut();
        let state = &mut gateways[index];
        state.killed_generation = Some(state.generation);
    }
}
