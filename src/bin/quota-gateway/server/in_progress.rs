//! The state of one request from its complete head until its response is made.

use super::client::Client;
use super::request::{ClassRoute, RequestError};
use super::Server;
use crate::metrics::RequestEnd;
use quota_gateway::RequestId;

/// A request without a response. If the value is dropped before the response is made, the client has disconnected, and
/// the driver cancels the request.
pub struct RequestInProgress<'a> {
    server: &'a Server,
    /// The client that sent the request.
    pub client: &'a Client,
    transaction: Option<ClaimedTransaction>,
    /// Id of the request at the driver, while its final response is outstanding.
    pub driver_id: Option<RequestId>,
    /// The result for metrics; `None` until the response is made.
    pub end: Option<RequestEnd>,
}

/// The transaction id of a request.
#[derive(Clone, Copy)]
struct ClaimedTransaction {
    id: u64,
    /// True if the request may be sent again under this id, whatever has become of it.
    may_repeat: bool,
}

impl<'a> RequestInProgress<'a> {
    /// Creates the state of a request whose head is complete, and records the head in the client's state.
    pub fn begin(server: &'a Server, client: &'a Client) -> Self {
        client.on_head_completed();
        RequestInProgress {
            server,
            client,
            transaction: None,
            driver_id: None,
            end: None,
        }
    }

    /// Claims the request's transaction id. An open request with the same id is not affected.
    ///
    /// # Errors
    ///
    /// Fails with `DuplicateTransaction` if a request with this id is open or must not be sent again.
    pub fn claim_transaction_id(
        &mut self,
        id: u64,
        class: &ClassRoute,
    ) -> Result<(), RequestError> {
        self.server.transactions.borrow_mut().claim(id)?;
        self.transaction = Some(ClaimedTransaction {
            id,
            may_repeat: class.may_repeat,
        });
        Ok(())
    }

    /// True unless it is certain that no endpoint has executed the request. `end` is the result of the request.
    fn may_have_executed(&self, end: RequestEnd) -> bool {
        match end {
            RequestEnd::Success | RequestEnd::Failed => true,
            RequestEnd::Disconnected => self
                .driver_id
                .is_some_and(|id| self.server.driver.may_have_executed(id)),
            RequestEnd::Rejected
            | RequestEnd::ShuttingDown
            | RequestEnd::Invalid
            | RequestEnd::HealthCheck => false,
        }
    }
}

impl Drop for RequestInProgress<'_> {
    fn drop(&mut self) {
        // Except for the response that is yet to be written, the client's connection is idle again.
        self.client.on_request_ended();
        // A request without a result was dropped because its connection ended.
        let end = self.end.unwrap_or(RequestEnd::Disconnected);
        self.server.driver.metrics().requests.increment(end);
        if let Some(transaction) = self.transaction {
            let mut transactions = self.server.transactions.borrow_mut();
            if !transaction.may_repeat && self.may_have_executed(end) {
                transactions.remember(transaction.id);
            } else {
                transactions.release(transaction.id);
            }
        }
        // The driver still has the request open, but its response is no longer needed.
        if let Some(id) = self.driver_id {
            self.server.driver.cancel_request(id);
        }
    }
}
