//! One call to discovery: the request for a watch and the response up to its first event.
//!
//! Failures that this module guards against:
//!
//! - An overloaded discovery sends the complete list and rejects the watch behind it. If the list were dropped with the
//!   watch, draining endpoints that it names would go on getting requests. It is applied before the watch is requested.
//! - Discovery accepts the connection and never answers, as it does with calls that arrive during an outage. Each step
//!   has its time-out.

use super::error::DiscoveryError;
use super::list::{EndpointList, MAX_LIST_BYTES};
use super::policy::CallTimeouts;
use super::updates::ListUpdates;
use crate::http::{Head, Reader};
use crate::socket::Socket;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// A request for a watch on the changes after a version.
#[derive(Clone, Copy)]
pub struct WatchRequest {
    /// The address of discovery.
    pub addr: SocketAddr,
    /// Version of the current list.
    pub version: u64,
    /// Whether to fetch the complete list first, and to watch from its version.
    pub fetch_complete_list: bool,
}

impl WatchRequest {
    /// Makes the call, with the list and the watch on one connection. Returns the connection of the watch once its head
    /// has arrived; the events follow on it.
    ///
    /// # Errors
    ///
    /// Fails if the connection, the list or the head of the watch does. A list that was complete has been applied.
    pub async fn send(
        self,
        timeouts: CallTimeouts,
        updates: Rc<ListUpdates>,
    ) -> Result<Reader<Socket>, DiscoveryError> {
        let socket = timeout(timeouts.connect, Socket::connect(self.addr)).await??;
        let mut reader = Reader::new(socket);
        let mut version = self.version;
        if self.fetch_complete_list {
            let list = self.fetch_list(&mut reader, timeouts).await?;
            version = list.version;
            updates.apply_fetched(list);
        }
        self.write_request(
            &mut reader,
            &format!("/registry/instances?stream=1&index={version}"),
        )
        .await?;
        check_status(&timeout(timeouts.response, reader.read_head()).await??)?;
        Ok(reader)
    }

    async fn fetch_list(
        &self,
        reader: &mut Reader<Socket>,
        timeouts: CallTimeouts,
    ) -> Result<EndpointList, DiscoveryError> {
        self.write_request(reader, "/registry/instances").await?;
        let (head, body) =
            timeout(timeouts.response, reader.read_response(MAX_LIST_BYTES)).await??;
        check_status(&head)?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn write_request(
        &self,
        reader: &mut Reader<Socket>,
        target: &str,
    ) -> Result<(), DiscoveryError> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        reader.io.write_all(request.as_bytes()).await?;
        Ok(())
    }
}

fn check_status(head: &Head) -> Result<(), DiscoveryError> {
    match head.status {
        200 => Ok(()),
        status => Err(DiscoveryError::Status(status)),
    }
}
