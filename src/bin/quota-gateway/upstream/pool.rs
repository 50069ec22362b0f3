//! All connections to endpoints: the idle ones by endpoint, and a bound on the open ones.

use super::connection::{Connection, OpenConnections};
use super::request::Target;
use crate::socket::Socket;
use quota_gateway::EndpointId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

#[cfg(test)]
mod tests;

/// A connection is not used again for this long after a response: a second response may come some milliseconds
/// late, and would be taken for the next request's. Where few gateways bear all requests, each millisecond more
/// costs more connections.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// Why a connection did not come up.
#[derive(Clone, Copy, Debug, Error)]
pub enum ConnectError {
    #[error("the endpoint is down, unreachable or full")]
    Endpoint,
    /// Says nothing about the endpoint.
    #[error("no time or no descriptors left here")]
    Local,
}

/// The idle connections to one endpoint, longest idle first.
struct EndpointConnections {
    addr: SocketAddr,
    idle: Vec<Connection>,
}

impl EndpointConnections {
    fn new(addr: SocketAddr) -> Self {
        EndpointConnections {
            addr,
            idle: Vec::new(),
        }
    }
}

/// All connections to endpoints.
pub struct ConnectionPool {
    /// The listed endpoints, each with its present address.
    endpoints: RefCell<HashMap<EndpointId, EndpointConnections>>,
    open: OpenConnections,
    max_open: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// At most `max_open` connections, each opened within `connect_ms`. One that was idle for half of `idle_ms` is
    /// not used again: its endpoint may be closing it.
    pub fn new(max_open: usize, connect_ms: f64, idle_ms: f64) -> Self {
        ConnectionPool {
            endpoints: RefCell::default(),
            open: OpenConnections::default(),
            max_open,
            connect_timeout: Duration::from_secs_f64(connect_ms / 1000.0),
            idle_timeout: Duration::from_secs_f64(idle_ms / 2000.0),
        }
    }

    /// Where an endpoint is, if it is listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints
            .borrow()
            .get(&endpoint)
            .map(|connections| connections.addr)
    }

    /// An endpoint is listed at this address. Its idle connections to another one are closed.
    pub fn set_address(&self, endpoint: EndpointId, addr: SocketAddr) {
        let mut endpoints = self.endpoints.borrow_mut();
        let connections = endpoints
            .entry(endpoint)
            .or_insert_with(|| EndpointConnections::new(addr));
        if connections.addr != addr {
            *connections = EndpointConnections::new(addr);
        }
    }

    /// Closes the idle connections to an endpoint that is gone.
    pub fn remove(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().remove(&endpoint);
    }

    /// Closes what has been idle for too long or broke meanwhile.
    pub fn close_expired(&self) {
        for connections in self.endpoints.borrow_mut().values_mut() {
            connections
                .idle
                .retain(|connection| self.is_reusable(connection));
        }
    }

    /// The connection used last, as it is the warmest, if one is usable. One whose response has just come waits
    /// first: what its endpoint sent behind that may not have arrived yet.
    pub(super) fn take_idle(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(&endpoint)?.idle;
        let has_waited = |connection: &Connection| connection.idle_since.elapsed() >= REUSE_DELAY;
        while let Some(index) = idle.iter().rposition(has_waited) {
            let connection = idle.remove(index);
            if self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for another request. An endpoint that was removed or moved meanwhile may have left its
    /// address to another one.
    pub(super) fn put_back(&self, target: Target, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        match endpoints.get_mut(&target.endpoint) {
            Some(connections) if connections.addr == target.addr => {
                connections.idle.push(connection);
            }
            _ => {}
        }
    }

    /// Opens a connection. With too many open, the one longest idle is closed for it.
    pub(super) async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, ConnectError> {
        if self.open.count() >= self.max_open {
            self.close_longest_idle();
        }
        if self.open.count() >= self.max_open {
            return Err(ConnectError::Local);
        }
        let permit = self.open.acquire();
        // A vanished machine never answers a connect: it is given up after the settings' time.
        let connect_deadline = Instant::now() + self.connect_timeout;
        let socket = match timeout_at(deadline.min(connect_deadline), Socket::connect(addr)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) => return Err(connect_error(&e)),
            Err(_) if connect_deadline <= deadline => return Err(ConnectError::Endpoint),
            Err(_) => return Err(ConnectError::Local),
        };
        Ok(Connection::new(socket, permit))
    }

    fn is_reusable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.idle_timeout && connection.is_usable()
    }

    fn close_longest_idle(&self) {
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = endpoints
            .values_mut()
            .map(|connections| &mut connections.idle);
        let longest_idle = idle
            .filter(|idle| !idle.is_empty())
            .min_by_key(|idle| idle[0].idle_since);
        if let Some(idle) = longest_idle {
            idle.remove(0);
        }
    }
}

fn connect_error(error: &io::Error) -> ConnectError {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::ConnectionReset
        | ErrorKind::ConnectionAborted
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable
        | ErrorKind::TimedOut => ConnectError::Endpoint,
        _ => ConnectError::Local,
    }
}
