//! The pool of connections to endpoints: keeps the idle connections of each endpoint and limits the open ones.

use super::connection::{Connection, OpenConnections};
use super::request::{Instance, Target};
use crate::memory::MemoryBudget;
use crate::socket::Socket;
use quota_gateway::EndpointId;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

#[cfg(test)]
mod tests;

/// Time after a response during which its connection is not reused. Guards against an endpoint that sends a second
/// response some milliseconds after the first: it would be read as the response to the next request. Once the second
/// response has arrived, `Connection::is_usable` detects it.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// Share of the endpoints' idle timeout during which an idle connection is used: after that its endpoint may be about
/// to close the connection, and a request on it could be lost.
const USABLE_IDLE_SHARE: f64 = 0.5;

/// The reason why a connection could not be established.
#[derive(Clone, Copy, Debug, Error)]
pub enum ConnectError {
    #[error("the endpoint is down, unreachable or full")]
    Endpoint,
    /// The failure says nothing about the endpoint.
    #[error("the gateway has no time or no file descriptors left")]
    Local,
}

/// The process of an endpoint, and the idle connections to it, longest idle first.
struct EndpointConnections {
    instance: Instance,
    idle: Vec<Connection>,
}

impl EndpointConnections {
    fn new(instance: Instance) -> Self {
        EndpointConnections {
            instance,
            idle: Vec::new(),
        }
    }
}

/// The idle connections and the current processes of all listed endpoints.
pub struct ConnectionPool {
    /// The listed endpoints, each with its current process and idle connections.
    endpoints: RefCell<HashMap<EndpointId, EndpointConnections>>,
    open: OpenConnections,
    max_open: usize,
    connect_timeout: Duration,
    /// Idle time after which a connection is no longer reused.
    usable_idle_time: Duration,
    /// Counts the bodies of responses.
    memory: Rc<MemoryBudget>,
}

impl ConnectionPool {
    /// Creates an empty pool with at most `max_open` connections, each established within `connect_timeout_ms`.
    /// `idle_timeout_ms` is the idle time after which endpoints close a connection; a connection that was idle for
    /// `USABLE_IDLE_SHARE` of it is not reused. The bodies of responses count in `memory`.
    pub fn new(
        max_open: usize,
        connect_timeout_ms: f64,
        idle_timeout_ms: f64,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        ConnectionPool {
            endpoints: RefCell::default(),
            open: OpenConnections::default(),
            max_open,
            connect_timeout: Duration::from_secs_f64(connect_timeout_ms / 1000.0),
            usable_idle_time: Duration::from_secs_f64(idle_timeout_ms * USABLE_IDLE_SHARE / 1000.0),
            memory,
        }
    }

    /// The process of an endpoint; `None` if the endpoint is not listed.
    pub fn instance(&self, endpoint: EndpointId) -> Option<Instance> {
        self.endpoints
            .borrow()
            .get(&endpoint)
            .map(|connections| connections.instance)
    }

    /// Sets the process of an endpoint. Idle connections to a previous one are closed.
    pub fn set_instance(&self, endpoint: EndpointId, instance: Instance) {
        let mut endpoints = self.endpoints.borrow_mut();
        let connections = endpoints
            .entry(endpoint)
            .or_insert_with(|| EndpointConnections::new(instance));
        if connections.instance.is_succeeded_by(&instance) {
            *connections = EndpointConnections::new(instance);
        }
    }

    /// The endpoints at these addresses where another endpoint has started since: their processes have gone.
    pub fn replaced_at(&self, addresses: &HashSet<SocketAddr>) -> Vec<EndpointId> {
        let endpoints = self.endpoints.borrow();
        let at_addresses = || {
            let instances = endpoints
                .iter()
                .map(|(id, connections)| (*id, connections.instance));
            instances.filter(|(_, instance)| addresses.contains(&instance.addr))
        };
        let mut last_started_ms = HashMap::new();
        for (_, instance) in at_addresses() {
            let last = last_started_ms.entry(instance.addr).or_insert(0.0);
            *last = instance.started_ms.max(*last);
        }
        at_addresses()
            .filter(|(_, instance)| instance.started_ms < last_started_ms[&instance.addr])
            .map(|(id, _)| id)
            .collect()
    }

    /// Removes an endpoint and closes its idle connections.
    pub fn remove(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().remove(&endpoint);
    }

    /// Closes idle connections that were idle for too long or broke.
    pub fn close_expired(&self) {
        for connections in self.endpoints.borrow_mut().values_mut() {
            connections
                .idle
                .retain(|connection| self.is_reusable(connection));
        }
    }

    /// Takes the most recently used connection that is usable; `None` if there is none. A connection whose last
    /// response is more recent than `REUSE_DELAY` is skipped.
    pub(super) fn take_idle(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(&endpoint)?.idle;
        let delay_has_passed =
            |connection: &Connection| connection.idle_since.elapsed() >= REUSE_DELAY;
        while let Some(index) = idle.iter().rposition(delay_has_passed) {
            let connection = idle.remove(index);
            if self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for another request. Closes it instead if its endpoint was removed, moved or started again,
    /// because it leads to another process then, or to none.
    pub(super) fn put_back(&self, target: Target, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        match endpoints.get_mut(&target.endpoint) {
            Some(connections) if connections.instance == target.instance => {
                connections.idle.push(connection);
            }
            _ => {}
        }
    }

    /// Opens a connection. If `max_open` connections are open, the one that has been idle longest is closed first.
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
        // A machine that has failed never answers a connection attempt.
        let connect_deadline = Instant::now() + self.connect_timeout;
        let socket = match timeout_at(deadline.min(connect_deadline), Socket::connect(addr)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) => return Err(connect_error(&e)),
            Err(_) if connect_deadline <= deadline => return Err(ConnectError::Endpoint),
            Err(_) => return Err(ConnectError::Local),
        };
        Ok(Connection::new(socket, permit, self.memory.clone()))
    }

    fn is_reusable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.usable_idle_time && connection.is_usable()
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
