//! Accepts connections and serves each in a task of its own, on one thread.

use crate::connection::Connection;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle, JoinSet};

/// The tasks of a server's connections.
type ConnectionTasks = Rc<RefCell<JoinSet<()>>>;

/// A running server. It runs on when this handle is dropped, unless it has stopped accepting: then the open connections
/// are closed with the handle.
pub struct Server {
    address: SocketAddr,
    accepting: AbortHandle,
    connections: ConnectionTasks,
}

impl Server {
    /// Starts to serve a listener; `serve` makes the task of each connection. A connection that fails ends its task only.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn start<S, F>(listener: TcpListener, serve: S) -> io::Result<Self>
    where
        S: FnMut(Connection) -> F + 'static,
        F: Future<Output = io::Result<()>> + 'static,
    {
        let address = listener.local_addr()?;
        let connections = ConnectionTasks::default();
        let accepting = spawn_local(accept(listener, connections.clone(), serve));
        Ok(Server {
            address,
            accepting: accepting.abort_handle(),
            connections,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener. Open connections are served until the handle is dropped.
    pub fn stop_accepting(&self) {
        self.accepting.abort();
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        self.stop_accepting();
        self.connections.borrow_mut().abort_all();
    }
}

async fn accept<S, F>(listener: TcpListener, connections: ConnectionTasks, mut serve: S)
where
    S: FnMut(Connection) -> F,
    F: Future<Output = io::Result<()>> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let serving = serve(Connection::new(stream));
        let mut connections = connections.borrow_mut();
        // The set keeps tasks that have ended until they are joined.
        while connections.try_join_next().is_some() {}
        connections.spawn_local(async move {
            // Connections break as part of the test.
            let _ = serving.await;
        });
    }
}
