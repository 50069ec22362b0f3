//! What the gateway knows of one customer.

use crate::api::Millis;

/// One customer as this gateway sees it.
#[derive(Default)]
pub(crate) struct Customer {
    /// Units in the customer's store, rebuilt from the totals and this gateway's own grants.
    pub(crate) level: f64,
    pub(crate) updated_at: Millis,
    /// Units in the store by what gateways tell each other; what is beyond it takes nothing.
    pub(crate) gossip_level: f64,
    /// Units settled or refused that ride on the next charge.
    pub(crate) unsettled_units: f64,
    pub(crate) unsettled_at: Millis,
    /// The window counted in, the use last seen, faded to then, and what this gateway added to the count.
    pub(crate) window: u64,
    pub(crate) last_total: Option<f64>,
    pub(crate) last_total_at: Millis,
    pub(crate) local_contribution: f64,
    /// What the last window's count had come to when this one began.
    pub(crate) carried_over: f64,
    /// Units of requests that wait for the counter, and calls out.
    pub(crate) reserved_units: f64,
    pub(crate) pending_calls: u32,
    pub(crate) last_call_at: Millis,
    /// The other gateways' use, units a second, and what of it was taken off the store unseen.
    pub(crate) remote_rate: f64,
    pub(crate) projected_units: f64,
    pub(crate) in_flight: u32,
    pub(crate) ceiling: f64,
    pub(crate) last_seen_at: Millis,
}

impl Customer {
    /// Whether nothing of the customer is under way here.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending_calls == 0 && self.in_flight == 0 && self.reserved_units <= 0.0
    }
}
