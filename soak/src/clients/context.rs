//! The state of a run that clients share.

use crate::gateway_directory::GatewayDirectory;
use crate::rules::{ObservationLog, SharedRuleChecker};
use crate::scheduling_delay::SchedulingDelay;
use crate::settings::RunSettings;
use std::cell::Cell;
use std::rc::Rc;

/// Multiplier that spreads consecutive numbers over all digits of an id, as the ids of real clients are spread.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The state of a run that clients share.
#[derive(Clone)]
pub struct ClientContext {
    /// The settings of the run.
    pub settings: RunSettings,
    /// Checks the requests that clients send and their outcomes.
    pub checker: SharedRuleChecker,
    /// Collects the counters of clients.
    pub observations: Rc<ObservationLog>,
    /// The addresses and states of the gateways.
    pub directory: Rc<GatewayDirectory>,
    /// The scheduling delay of this process.
    pub delay: SchedulingDelay,
    /// Generates the ids of requests.
    pub transactions: Rc<TransactionIds>,
}

/// Generates the ids of requests.
#[derive(Default)]
pub struct TransactionIds {
    last: Cell<u64>,
}

impl TransactionIds {
    /// Returns an id that no earlier request has.
    pub fn next(&self) -> u64 {
        let number = self.last.get() + 1;
        self.last.set(number);
        number.wrapping_mul(ID_MULTIPLIER)
    }
}
