//! What clients need of a run.

use crate::gateway_directory::GatewayDirectory;
use crate::rules::{ObservationLog, SharedRuleChecker};
use crate::scheduling_delay::SchedulingDelay;
use crate::settings::RunSettings;
use std::cell::Cell;
use std::rc::Rc;

/// Spreads ids over all their digits, as ids of clients are.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// What clients need of a run.
#[derive(Clone)]
pub struct ClientContext {
    /// What was set for the run.
    pub settings: RunSettings,
    /// Gets requests and their outcomes.
    pub checker: SharedRuleChecker,
    /// Gets counts.
    pub observations: Rc<ObservationLog>,
    /// Where gateways are.
    pub directory: Rc<GatewayDirectory>,
    /// How late this process runs.
    pub delay: SchedulingDelay,
    /// Ids of requests.
    pub transactions: Rc<TransactionIds>,
}

/// Makes the ids of requests.
#[derive(Default)]
pub struct TransactionIds {
    last: Cell<u64>,
}

impl TransactionIds {
    /// An id that no request had.
    pub fn next(&self) -> u64 {
        let number = self.last.get() + 1;
        self.last.set(number);
        number.wrapping_mul(ID_MULTIPLIER)
    }
}
