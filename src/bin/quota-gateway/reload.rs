//! Reloads the configuration on SIGHUP: the addresses of discovery and of the counter may change, anything else needs a
//! restart.

use crate::config::{self, Config};
use crate::metrics::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// The addresses that a reload changes. Their users subscribe to them.
pub struct ReloadableAddresses {
    pub discovery: watch::Sender<SocketAddr>,
    /// Absent if the settings have no counter.
    pub counter: Option<watch::Sender<SocketAddr>>,
    metrics: Rc<Metrics>,
}

impl ReloadableAddresses {
    pub fn new(discovery: SocketAddr, counter: Option<SocketAddr>, metrics: Rc<Metrics>) -> Self {
        ReloadableAddresses {
            discovery: watch::Sender::new(discovery),
            counter: counter.map(watch::Sender::new),
            metrics,
        }
    }

    /// Reads the configuration again. A file with an error changes nothing.
    pub async fn reload(&self) {
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

    /// Publishes the addresses. Subscribers reconnect even if an address is the same, as another server may have it now.
    fn update(&self, config: &Config) {
        let _ = self.discovery.send(config.discovery);
        if let (Some(sender), Some(addr)) = (&self.counter, config.counter) {
            let _ = sender.send(addr);
        }
    }
}
