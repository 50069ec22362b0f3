//! The record of one request while its response is being made.

use super::client::Client;
use super::request::RequestError;
use super::Server;
use crate::metrics::RequestEnd;
use quota_gateway::RequestId;

/// A request whose response is not made yet. If it is dropped before, its client has disconnected, and the driver
/// cancels the request.
pub struct RequestInProgress<'a> {
    server: &'a Server,
    /// The client that sent it.
    pub client: &'a Client,
    transaction_id: Option<u64>,
    /// Its id at the driver, while the driver owes a final response.
    pub driver_id: Option<RequestId>,
    /// How it ended; `None` until its response is made.
    pub end: Option<RequestEnd>,
}

impl<'a> RequestInProgress<'a> {
    /// Begins a request whose head is complete, and notifies its client's state of that.
    pub fn begin(server: &'a Server, client: &'a Client) -> Self {
        client.request_started();
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
    /// Failure: a client sends a request again before it has a response, and both copies are executed. The second copy is
    /// rejected, and the open one is not touched.
    ///
    /// # Errors
    ///
    /// `DuplicateTransaction` if a request with this id is open.
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
        // The client's connection is idle again, but for the response that is yet to be written.
        self.client.request_ended();
        // Without a response the request was dropped by a connection that ended.
        let end = self.end.unwrap_or(RequestEnd::Disconnected);
        self.server.driver.metrics().requests.increment(end);
        // From here on a retry with the same id is a new request.
        if let Some(transaction_id) = self.transaction_id {
            self.server
                .open_transactions
                .borrow_mut()
                .remove(&transaction_id);
        }
        // The driver still holds it open: nobody waits for it any more.
        if let Some(id) = self.driver_id {
            self.server.driver.cancel_request(id);
        }
    }
}
