//! Where the sockets of a run are.

use std::net::{Ipv4Addr, SocketAddr};

/// An unused port of an address on loopback that other runs don't use: a port that an endpoint has given up may be
/// taken again while gateways still know it, and has to belong to the same run.
pub fn any_port() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high % 0x7f + 1, middle, low), 0))
}
