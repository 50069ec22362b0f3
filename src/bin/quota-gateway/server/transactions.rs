//! The transaction ids of requests that must not be forwarded again.
//!
//! Guards against executing a request twice that a client sends again under the same id: while the first one is open, or
//! after it may have been executed, also if its client has left without a response. Ids are unique, so a client that
//! follows the protocol never sends one again after that.

use super::request::RequestError;
use std::collections::{HashSet, VecDeque};

#[cfg(test)]
mod tests;

/// Maximum number of ids that are remembered after their requests have ended. The oldest one is forgotten first.
const MAX_REMEMBERED: usize = 16_384;

/// The ids of open requests, and of the last ones that may have been executed.
#[derive(Default)]
pub struct Transactions {
    open: HashSet<u64>,
    executed: HashSet<u64>,
    /// The ids in `executed`, oldest first.
    executed_order: VecDeque<u64>,
}

impl Transactions {
    /// Claims the id of a request until the request has ended.
    ///
    /// # Errors
    ///
    /// Fails with `DuplicateTransaction` if a request with this id is open or may have been executed.
    pub fn claim(&mut self, id: u64) -> Result<(), RequestError> {
        if self.executed.contains(&id) || !self.open.insert(id) {
            return Err(RequestError::DuplicateTransaction);
        }
        Ok(())
    }

    /// Records the end of a request that may be sent again under its id.
    pub fn release(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Records the end of a request that must not be sent again.
    pub fn remember(&mut self, id: u64) {
        self.release(id);
        if !self.executed.insert(id) {
            return;
        }
        self.executed_order.push_back(id);
        if self.executed_order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.executed_order.pop_front() {
                self.executed.remove(&oldest);
            }
        }
    }

    /// The ids of all open requests.
    pub fn open(&self) -> Vec<u64> {
        self.open.iter().copied().collect()
    }
}
