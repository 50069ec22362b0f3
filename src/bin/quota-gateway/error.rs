//! Errors of the start.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the program can't start; logged as one line.
#[derive(Debug, Error)]
pub enum StartupError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Runtime(io::Error),
    #[error("signal handlers: {0}")]
    SignalHandler(io::Error),
    #[error("listen {addr}: {source}")]
    Listen { addr: SocketAddr, source: io::Error },
    #[error("peer_listen {addr}: {source}")]
    GossipListen { addr: SocketAddr, source: io::Error },
    #[error("{0}")]
    LocalAddress(io::Error),
}
