//! Errors at startup.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why the program can't start. Logged as one line.
#[derive(Debug, Error)]
pub enum StartupError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot set up the signal handlers: {0}")]
    SignalHandler(io::Error),
    #[error("cannot listen for clients on {addr} (listen): {source}")]
    Listen { addr: SocketAddr, source: io::Error },
    #[error("cannot receive gossip on {addr} (peer_listen): {source}")]
    GossipListen { addr: SocketAddr, source: io::Error },
    #[error("cannot read the address of the listening socket: {0}")]
    LocalAddress(io::Error),
}
