//! Reloads the configuration on SIGHUP. Only the addresses of discovery and of the counter can change; any other change
//! needs a restart.

use crate::config::{self, Config};
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// The addresses that a reload can change. The tasks that use an address subscribe to it.
pub struct ReloadableAddresses {
    pub discovery: watch::Sender<SocketAddr>,
    /// Address of the counter; `None` if the settings have no counter.
    pub counter: Option<watch::Sender<SocketAddr>>,
    metrics: Rc<Metrics>,
    memory: Rc<MemoryBudget>,
}

impl ReloadableAddresses {
    pub fn new(
        discovery: SocketAddr,
        counter: Option<SocketAddr>,
        metrics: &Rc<Metrics>,
        memory: &Rc<MemoryBudget>,
    ) -> Self {
        ReloadableAddresses {
            discovery: watch::Sender::new(discovery),
            counter: counter.map(watch::Sender::new),
            metrics: metrics.clone(),
            memory: memory.clone(),
        }
    }

    /// Reads the configuration again and applies its addresses. An invalid file changes nothing.
    pub async fn reload(&self) {
        self.memory.make_room(config::loading_bytes()).await;
        match config::load().await {
            Ok(config) => {
                self.update(&config);
                self.metrics.reloads.inc();
                tracing::info!("SIGHUP: configuration reloaded");
            }
            Err(error) => {
                self.metrics.failed_reloads.inc();
                tracing::warn!(
                    "SIGHUP: reload failed, the running configuration stays in use: {error}"
                );
            }
        }
    }

    /// Publishes the addresses. Subscribers reconnect even if an address is unchanged, as another server may use that
    /// address now.
    fn update(&self, config: &Config) {
        let _ = self.discovery.send(config.discovery);
        if let (Some(sender), Some(addr)) = (&self.counter, config.counter) {
            let _ = sender.send(addr);
        }
    }
}
