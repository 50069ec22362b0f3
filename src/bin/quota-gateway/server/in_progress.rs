//! The state of one request from its complete head until its response is made.

use super::client::Client;
use super::request::RequestError;
use super::Server;
use crate::metrics::RequestEnd;
use quota_gateway::RequestId;

/// A request without a response. If the value is dropped before the response is made, the client has disconnected, and
/// the driver cancels the request.
pub struct RequestInProgress<'a> {
    server: &'a Server,
    /// The client that sent the request.
    pub client: &'a Client,
    transaction_id: Option<u64>,
    /// Id of the request at the driver, while its final response is outstanding.
    pub driver_id: Option<RequestId>,
    /// The result for metrics; `None` until the response is made.
    pub end: Option<RequestEnd>,
}

impl<'a> RequestInProgress<'a> {
    /// Creates the state of a request whose head is complete, and records the head in the client's state.
    pub fn begin(server: &'a Server, client: &'a Client) -> Self {
        client.head_completed();
        RequestInProgress {
            server,
            client,
            transaction_id: None,
            driver_id: None,
            end: None,
        }
    }

    /// Registers the request's transaction id until the response is made.
    ///
    /// Guards against executing both copies of a request that a client sends again before it has a response. The second
    /// copy is rejected, and the open one is not affected.
    ///
    /// # Errors
    ///
    /// Fails with `DuplicateTransaction` if a request with this id is open.
    pub fn claim_transaction_id(&mut self, transaction_id: u64) -> Result<(), RequestError> {
        if !self
            .server
            .open_transactions
            .borrow_mut()
            .insert(transaction_id)
        {
            return Err(RequestError::DuplicateTransaction);
        }
        self.transaction_id = Some(transaction_id);
        Ok(())
    }
}

impl Drop for RequestInProgress<'_> {
    fn drop(&mut self) {
        // Except for the response that is yet to be written, the client's connection is idle again.
        self.client.request_ended();
        // A request without a result was dropped because its connection ended.
        let end = self.end.unwrap_or(RequestEnd::Disconnected);
        self.server.driver.metrics().requests.increment(end);
        // From now on, a retry with the same id is a new request.
        if let Some(transaction_id) = self.transaction_id {
            self.server
                .open_transactions
                .borrow_mut()
                .remove(&transaction_id);
        }
        // The driver still has the request open, but its response is no longer needed.
        if let Some(id) = self.driver_id {
            self.server.driver.cancel_request(id);
        }
    }
}
