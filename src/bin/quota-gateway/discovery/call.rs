//! One call to discovery: fetches the complete list if necessary, requests a watch and reads the head of its response.
//!
//! This module guards against two failures:
//!
//! - An overloaded discovery service sends the complete list and rejects the watch request that follows. If the list
//!   were discarded with the watch, endpoints that the list marks as draining would still receive requests. The list is
//!   therefore applied before the watch is requested.
//! - Discovery accepts a connection and never responds, as happens to calls that arrive during an outage. Each step has
//!   a timeout.

use super::error::DiscoveryError;
use super::list::{parsed_bytes, EndpointList, MAX_LIST_BYTES};
use super::policy::CallTimeouts;
use super::updates::ListUpdates;
use crate::http::{Head, Reader, Response, ResponseBody};
use crate::memory::{MemoryBudget, Priority};
use crate::socket::Socket;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// A request for a watch that reports the changes after a given version.
#[derive(Clone, Copy)]
pub struct WatchRequest {
    /// The address of discovery.
    pub addr: SocketAddr,
    /// Version of the list in use; the watch reports the changes after it.
    pub version: u64,
    /// Whether to fetch the complete list first and to watch from the version of that list instead.
    pub fetch_complete_list: bool,
}

impl WatchRequest {
    /// Requests the list and the watch on one connection. Returns that connection once the head of the watch's response
    /// has been read; the events follow on it.
    ///
    /// # Errors
    ///
    /// Fails if connecting, fetching the list or opening the watch fails. A list that was fetched stays applied even if
    /// the watch fails.
    pub async fn send(
        self,
        timeouts: CallTimeouts,
        updates: Rc<ListUpdates>,
        memory: Rc<MemoryBudget>,
    ) -> Result<Reader<Socket>, DiscoveryError> {
        let socket = timeout(timeouts.connect, Socket::connect(self.addr)).await??;
        let mut reader = Reader::new(socket, memory, Priority::Essential);
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
        let Response { head, body } =
            timeout(timeouts.response, reader.read_response(MAX_LIST_BYTES)).await??;
        check_status(&head)?;
        match body {
            ResponseBody::Complete(body) => {
                reader.memory().make_room(parsed_bytes(body.len())).await;
                Ok(serde_json::from_slice(&body.to_vec())?)
            }
            ResponseBody::LengthContradicted => Err(DiscoveryError::LengthContradicted),
        }
    }

    async fn write_request(
        &self,
        reader: &mut Reader<Socket>,
        target: &str,
    ) -> Result<(), DiscoveryError> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        reader.io_mut().write_all(request.as_bytes()).await?;
        Ok(())
    }
}

fn check_status(head: &Head) -> Result<(), DiscoveryError> {
    match head.status {
        200 => Ok(()),
        status => Err(DiscoveryError::Status(status)),
    }
}
