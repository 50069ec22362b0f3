//! The loopback addresses of a run.

use std::net::{Ipv4Addr, SocketAddr};

/// Returns port 0, which binds an unused port, of a loopback address that depends on the id of this process, so that no
/// other running soak test uses the address. Gateways may still send requests to the former port of a stopped endpoint,
/// so only the same run may reuse this port.
pub fn any_port() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high % 0x7f + 1, middle, low), 0))
}
