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

/// A connection is not used again for this long after a response. Guards against an endpoint that sends a second
/// response some milliseconds after the first: it would be read as the response to the next request. Once it has
/// arrived, `Connection::is_usable` sees it.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// An idle connection is used for this share of the idle time-out of endpoints: after that its endpoint may be about to
/// close it, and a request on it could be lost.
const USABLE_IDLE_SHARE: f64 = 0.5;

/// Why a connection could not be established.
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

/// All connections to endpoints, and their present addresses.
pub struct ConnectionPool {
    /// The listed endpoints, each with its present address.
    endpoints: RefCell<HashMap<EndpointId, EndpointConnections>>,
    open: OpenConnections,
    max_open: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// At most `max_open` connections, each established within `connect_ms`. `idle_ms` is the idle time after which
    /// endpoints close a connection; one that was idle for `USABLE_IDLE_SHARE` of it is not used again.
    pub fn new(max_open: usize, connect_ms: f64, idle_ms: f64) -> Self {
        ConnectionPool {
            endpoints: RefCell::default(),
            open: OpenConnections::default(),
            max_open,
            connect_timeout: Duration::from_secs_f64(connect_ms / 1000.0),
            idle_timeout: Duration::from_secs_f64(idle_ms * USABLE_IDLE_SHARE / 1000.0),
        }
    }

    /// The address of an endpoint; none if it is not listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints
            .borrow()
            .get(&endpoint)
            .map(|connections| connections.addr)
    }

    /// Sets the address of an endpoint. Its idle connections to another address are closed.
    pub fn set_address(&self, endpoint: EndpointId, addr: SocketAddr) {
        let mut endpoints = self.endpoints.borrow_mut();
        let connections = endpoints
            .entry(endpoint)
            .or_insert_with(|| EndpointConnections::new(addr));
        if connections.addr != addr {
            *connections = EndpointConnections::new(addr);
        }
    }

    /// Removes an endpoint and closes its idle connections.
    pub fn remove(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().remove(&endpoint);
    }

    /// Closes connections that were idle for too long, or broke.
    pub fn close_expired(&self) {
        for connections in self.endpoints.borrow_mut().values_mut() {
            connections
                .idle
                .retain(|connection| self.is_reusable(connection));
        }
    }

    /// The connection used last that is usable; none if there is none. One whose last response is younger than
    /// `REUSE_DELAY` is passed over.
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

    /// Keeps a connection for another request, or closes it if its endpoint was removed or moved: its address may be
    /// another endpoint's by now.
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
        // A machine that has failed never answers a connect.
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
