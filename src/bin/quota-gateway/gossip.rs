//! Exchanges gossip with other gateways: short messages in UDP datagrams, which may be lost.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// The recipient index that means all other gateways.
const ALL_GATEWAYS: u32 = u32::MAX;

/// Receives messages from other gateways.
pub trait GossipHandler {
    /// Handles a message from the gateway with this index.
    fn gossip_received(self: Rc<Self>, from: u32, body: Vec<u8>);
}

/// The socket for gossip and the addresses of the gateways.
pub struct GossipSocket {
    socket: UdpSocket,
    /// The addresses of all gateways, by their index.
    peers: Vec<SocketAddr>,
    /// The address for messages to all other gateways; without it such messages are dropped.
    broadcast: Option<SocketAddr>,
}

impl GossipSocket {
    /// Binds the socket to `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        Ok(GossipSocket {
            socket,
            peers,
            broadcast,
        })
    }

    /// Sends a message to the gateway with index `to`, or to all others if `to` is `u32::MAX`. A message that is too
    /// long, or that the system does not accept immediately, is dropped.
    pub fn send(&self, to: u32, body: &[u8]) {
        if body.len() > MAX_MESSAGE_BYTES {
            return;
        }
        if let Some(addr) = self.address(to) {
            let _ = self.socket.try_send_to(body, addr);
        }
    }

    fn address(&self, to: u32) -> Option<SocketAddr> {
        match to {
            ALL_GATEWAYS => self.broadcast,
            index => self.peers.get(index as usize).copied(),
        }
    }

    fn index(&self, addr: SocketAddr) -> Option<usize> {
        self.peers.iter().position(|peer| *peer == addr)
    }
}

/// Receives messages for as long as the program runs, and drops those above the rate limit.
pub async fn run(
    socket: Rc<GossipSocket>,
    max_messages_per_second: f64,
    handler: Rc<dyn GossipHandler>,
) {
    // The system truncates a datagram to the buffer. One byte more than the maximum length reveals longer messages.
    let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
    let mut limiter = RateLimiter::new(max_messages_per_second);
    loop {
        let Ok((length, addr)) = socket.socket.recv_from(&mut buffer).await else {
            continue;
        };
        // Messages from unknown addresses and messages that are too long do not count towards the rate limit, so that
        // they do not cause messages of the gateways to be dropped.
        let Some(from) = socket.index(addr) else {
            continue;
        };
        if length > MAX_MESSAGE_BYTES {
            continue;
        }
        if limiter.admit() {
            handler
                .clone()
                .gossip_received(from as u32, buffer[..length].to_vec());
        }
    }
}

/// A token bucket with a burst of one second's messages.
struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    fn new(per_second: f64) -> Self {
        RateLimiter {
            per_second,
            tokens: per_second,
            refilled_at: Instant::now(),
        }
    }

    fn admit(&mut self) -> bool {
        let refill = self.refilled_at.elapsed().as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.refilled_at = Instant::now();
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
