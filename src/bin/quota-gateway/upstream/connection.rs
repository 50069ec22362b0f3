//! A connection to an endpoint.

use super::request::{EncodedRequest, OutgoingRequest};
use crate::http::Reader;
use crate::memory::{MemoryBudget, Priority};
use crate::socket::{PeekResult, Socket};
use quota_gateway::Outcome;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Counts the open connections to all endpoints.
#[derive(Clone, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// Number of connections that are open or being opened.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts one more connection until the permit is dropped.
    pub fn acquire(&self) -> ConnectionPermit {
        self.count.set(self.count.get() + 1);
        ConnectionPermit { open: self.clone() }
    }
}

/// An open connection, counted until the permit is dropped.
pub struct ConnectionPermit {
    open: OpenConnections,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.count.set(self.open.count.get() - 1);
    }
}

/// The result of writing a request, if the connection did not fail.
pub enum WriteResult {
    /// The whole request is written.
    Complete,
    /// Nothing is written: the request was refused, and this is the outcome of the attempt.
    Refused(Outcome),
}

/// An established connection to an endpoint.
pub struct Connection {
    /// Reads responses, and owns the socket.
    pub reader: Reader<Socket>,
    /// Time at which the connection was established or last became idle.
    pub idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Creates a connection from a socket that has just been connected. The bodies of responses count in `memory`.
    pub fn new(socket: Socket, permit: ConnectionPermit, memory: Rc<MemoryBudget>) -> Self {
        Connection {
            reader: Reader::new(socket, memory, Priority::Response),
            idle_since: Instant::now(),
            _permit: permit,
        }
    }

    /// True if the next request may be sent on this connection.
    ///
    /// Guards against two failures. First, an endpoint closes a connection while it is idle: a request written to it
    /// ends as a reset and may have been executed, so it can't be retried. Second, an endpoint sends bytes after a
    /// response, such as a second copy: they would be read as the response to the next request, from another client.
    /// The check peeks into the system's buffer, because the runtime may not yet have been notified of data in it.
    pub fn is_usable(&self) -> bool {
        !self.reader.has_unread_bytes() && self.reader.io().peek() == PeekResult::Empty
    }

    /// Writes a complete request, unless it is refused.
    ///
    /// Guards against a write that begins long after its check: if the socket accepts no bytes, the write has to wait,
    /// and the client may disconnect or the endpoint drain during the wait. A check precedes each try to write the
    /// first byte, and nothing else runs between the two. After the first byte the request is written to its end.
    pub async fn write(&self, request: &dyn OutgoingRequest) -> io::Result<WriteResult> {
        let socket = self.reader.io();
        let mut message = EncodedRequest::default();
        let mut written = 0;
        while written == 0 || written < message.len() {
            socket.writable().await?;
            if written == 0 {
                if let Some(preparation) = request.prepare() {
                    preparation.await;
                    // Other tasks have run, so the endpoint may have closed the connection.
                    if !self.is_usable() {
                        return Err(ErrorKind::ConnectionReset.into());
                    }
                }
                if let Some(outcome) = request.check_before_write() {
                    return Ok(WriteResult::Refused(outcome));
                }
                message = request.encode();
            }
            match socket.try_write_vectored(&message.remaining(written)) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => written += bytes,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(WriteResult::Complete)
    }
}
