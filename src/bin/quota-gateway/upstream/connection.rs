//! One connection to an endpoint.

use super::request::OutgoingRequest;
use crate::http::Reader;
use crate::socket::{PeekResult, Socket};
use quota_gateway::Outcome;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The number of open connections, over all endpoints.
#[derive(Clone, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// How many are open or being opened.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts one more until the permit is dropped.
    pub fn acquire(&self) -> ConnectionPermit {
        self.count.set(self.count.get() + 1);
        ConnectionPermit { open: self.clone() }
    }
}

/// One open connection, counted until this is dropped.
pub struct ConnectionPermit {
    open: OpenConnections,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.count.set(self.open.count.get() - 1);
    }
}

/// How writing a request ended, if the connection did not fail.
pub enum WriteResult {
    /// All of it is written.
    Complete,
    /// Nothing is: it was refused, with this as the attempt's outcome.
    Refused(Outcome),
}

/// An established connection to an endpoint.
pub struct Connection {
    /// Reads the responses.
    pub reader: Reader<Socket>,
    /// When it was established or last became idle.
    pub idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Connection {
    /// A connection that has just been established.
    pub fn new(socket: Socket, permit: ConnectionPermit) -> Self {
        Connection {
            reader: Reader::new(socket),
            idle_since: Instant::now(),
            _permit: permit,
        }
    }

    /// Whether the next request may be sent on it.
    ///
    /// Guards against two failures. An endpoint closes a connection while it is idle: a request written to it ends as a
    /// reset and may have been executed, so that it can't be retried. An endpoint sends bytes behind a response, such as
    /// a second copy: they would be read as the response to the next request, of another client. The check
    /// peeks into the system's buffer, as the runtime may not have been notified of what it holds.
    pub fn is_usable(&self) -> bool {
        !self.reader.has_unread_bytes() && self.reader.io.peek() == PeekResult::Empty
    }

    /// Writes a complete request, unless it is refused.
    ///
    /// Guards against a write that begins long after its check: a socket that takes no bytes makes it wait, and meanwhile
    /// the client may disconnect and the endpoint drain. Each try of the first byte is preceded by a check, and nothing
    /// else runs between the two. After the first byte the request is written to its end.
    pub async fn write(&self, request: &dyn OutgoingRequest) -> io::Result<WriteResult> {
        let socket = &self.reader.io;
        let mut message = Vec::new();
        let mut written = 0;
        while written == 0 || written < message.len() {
            socket.writable().await?;
            if written == 0 {
                if let Some(preparation) = request.prepare() {
                    preparation.await;
                    // Other tasks have run: the endpoint may have closed the connection.
                    if !self.is_usable() {
                        return Err(ErrorKind::ConnectionReset.into());
                    }
                }
                if let Some(outcome) = request.refusal() {
                    return Ok(WriteResult::Refused(outcome));
                }
                message = request.encode();
            }
            match socket.try_write(&message[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => written += bytes,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(WriteResult::Complete)
    }
}
