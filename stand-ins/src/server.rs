//! Accepts connections and serves each one in its own task, all on one thread.

use crate::connection::Connection;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle, JoinSet};

/// The tasks that serve open connections.
type ConnectionTasks = Rc<RefCell<JoinSet<()>>>;

/// Handle of a running server. A server that still accepts connections goes on running when its handle is dropped. Once
/// the server has stopped accepting, dropping the handle closes the open connections.
pub struct Server {
    address: SocketAddr,
    accept_task: AbortHandle,
    connections: ConnectionTasks,
}

impl Server {
    /// Starts to serve a listener. `serve` returns the task of a connection; an error ends only that task.
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
        let accept_task = spawn_local(accept(listener, connections.clone(), serve));
        Ok(Server {
            address,
            accept_task: accept_task.abort_handle(),
            connections,
        })
    }

    /// The address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener. Open connections are served until the handle is dropped.
    pub fn stop_accepting(&self) {
        self.accept_task.abort();
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
        // A `JoinSet` keeps finished tasks until they are joined.
        while connections.try_join_next().is_some() {}
        connections.spawn_local(async move {
            // Broken connections are expected: tests inject them.
            let _ = serving.await;
        });
    }
}
