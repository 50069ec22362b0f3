//! Faults of gateways, which are restarted, killed, stalled or reloaded.

use super::injector::Injector;
use super::system_calls::draw_call_faults;
use crate::clients::{start_shutdown_clients, ClientContext, LEAD_TIME};
use crate::error::SoakError;
use crate::gateway::{Addresses, Gateway, ShutdownPlan, STALL_DURATION};
use crate::loopback::any_port;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stand_ins::discovery::{Discovery, FirstUpdate};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Discovery at its previous address closes its connections this long after the gateways got the new address.
const PREVIOUS_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// A configuration that ends too early.
const TRUNCATED_CONFIG: &str = "{\"name\": \"n0\", ";

impl Injector {
    /// Ends some gateways by SIGKILL if `kills` is true, or by SIGTERM otherwise, and starts them again.
    pub async fn restart(mut self, kills: bool) {
        let mut restarts = JoinSet::new();
        for index in self.draw_gateways() {
            let processes = &self.context.processes;
            let Some(gateway) = processes.gateways.borrow_mut().remove(&index) else {
                continue;
            };
            let call_faults = draw_call_faults(&mut self.rng);
            let mut rng = crate::seeded_rng(self.rng.random(), "shutdown", 0);
            let context = self.context.clone();
            restarts.spawn_local(async move {
                let addresses = if kills {
                    gateway.kill().await
                } else {
                    shut_down(&context.clients, gateway, &mut rng).await
                };
                let processes = &context.processes;
                processes.start_again(index, addresses, call_faults).await
            });
        }
        while let Some(ended) = restarts.join_next().await {
            self.context.report_failure(ended);
        }
    }

    /// Suspends some gateways for `STALL_DURATION`.
    pub async fn stall(mut self) {
        let mut stalls = JoinSet::new();
        for index in self.draw_gateways() {
            let gateways = self.context.processes.gateways.borrow();
            if let Some(gateway) = gateways.get(&index) {
                stalls.spawn_local(gateway.stall(STALL_DURATION));
            }
        }
        while stalls.join_next().await.is_some() {}
    }

    /// Moves discovery to a new address, and reloads all running gateways with this address.
    pub async fn reload(self) -> Result<(), SoakError> {
        let processes = &self.context.processes;
        let listener = TcpListener::bind(any_port()).await?;
        let publisher = self.context.publisher.clone();
        let new = Discovery::start(listener, publisher, FirstUpdate::Changes)?;
        let address = new.address();
        let previous = processes.discovery.borrow_mut().replace(new);
        for index in processes.running_gateways() {
            let mut gateways = processes.gateways.borrow_mut();
            let Some(gateway) = gateways.get_mut(&index) else {
                continue;
            };
            let mut addresses = gateway.addresses();
            addresses.discovery = address;
            gateway.reload(addresses)?;
        }
        if let Some(previous) = previous {
            previous.shut_down(PREVIOUS_CLOSE_DELAY).await;
        }
        Ok(())
    }

    /// Reloads some gateways with an invalid configuration.
    pub fn reload_invalid(mut self) -> Result<(), SoakError> {
        for index in self.draw_gateways() {
            if let Some(gateway) = self.context.processes.gateways.borrow().get(&index) {
                gateway.reload_invalid(TRUNCATED_CONFIG)?;
            }
        }
        Ok(())
    }
}

/// Shuts a gateway down by SIGTERM while shutdown clients send requests to it. Returns the addresses for the next
/// process.
pub async fn shut_down(
    context: &ClientContext,
    gateway: Gateway,
    rng: &mut ChaCha8Rng,
) -> Addresses {
    let mut clients = start_shutdown_clients(context, gateway.index(), rng);
    let scenario = context.settings.scenario;
    let plan = ShutdownPlan::draw(rng, scenario.kill_after(), scenario.repeats_signals);
    sleep(LEAD_TIME).await;
    let addresses = gateway.terminate(plan).await;
    while clients.join_next().await.is_some() {}
    addresses
}
