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

/// Counts one open connection until it is dropped.
pub struct ConnectionPermit {
    open: OpenConnections,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.count.set(self.open.count.get() - 1);
    }
}

/// How writing a request ended.
pub enum Written {
    /// All of it is written.
    Complete,
    /// Nothing is: it was refused, with this as the attempt's outcome.
    Refused(Outcome),
}

/// A connection that is up.
pub struct Connection {
    /// Reads the responses.
    pub reader: Reader<Socket>,
    /// When it came up or last became idle.
    pub idle_since: Instant,
    _permit: ConnectionPermit,
}

impl Connection {
    /// A connection that has just come up.
    pub fn new(socket: Socket, permit: ConnectionPermit) -> Self {
        Connection {
            reader: Reader::new(socket),
            idle_since: Instant::now(),
            _permit: permit,
        }
    }

    /// Guards against sending on a connection that its endpoint closed or broke while it was idle: the request
    /// would end as a reset, which may have been executed; and against bytes that came behind a response: they would be read
    /// as the next one. The socket itself is checked, as the runtime may not have seen it yet.
    pub fn is_usable(&self) -> bool {
        !self.reader.has_unread_bytes() && self.reader.io.peek() == PeekResult::Empty
    }

    /// Writes a complete request, unless it is refused. Checks that again before each attempt to write the first
    /// byte: a write that stalls has not begun.
    pub async fn write(&self, request: &dyn OutgoingRequest) -> io::Result<Written> {
        let socket = &self.reader.io;
        let mut message = Vec::new();
        let mut written = 0;
        while written == 0 || written < message.len() {
            socket.writable().await?;
            if written == 0 {
                if let Some(preparation) = request.prepare() {
                    preparation.await;
                    // The endpoint may have closed the connection meanwhile.
                    if !self.is_usable() {
                        return Err(ErrorKind::ConnectionReset.into());
                    }
                }
                if let Some(outcome) = request.refusal() {
                    return Ok(Written::Refused(outcome));
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
        Ok(Written::Complete)
    }
}
