//! One gateway's record of a customer's quota, which all gateways share.

use crate::api::{CustomerId, Millis};

/// One gateway's record of a customer's quota. The methods that keep the record up to date are in
/// `policy::shared_quota`. Usage decays as on a leaky bucket (`primitives::forward_decay`).
pub(crate) struct SharedQuota {
    /// The customer. The id determines when the customer's windows begin.
    pub(crate) customer: CustomerId,
    /// Units left as of the last refill. The level may exceed the burst until the next total is known.
    pub(crate) level: f64,
    /// Time of the last refill.
    pub(crate) refilled_at: Millis,
    /// Units that the next charge adds to the count, decayed to `unsettled_at`; negative for a refund.
    pub(crate) unsettled_units: f64,
    pub(crate) unsettled_at: Millis,
    /// Number of the window in which usage is currently counted.
    pub(crate) window: u64,
    /// Usage at all gateways according to the last total, decayed to `last_total_at`; `None` before the first total.
    pub(crate) usage_at_last_total: Option<f64>,
    /// Time of the last total, or the start of the current window if that is later. Before the first total, the time at
    /// which the record was created.
    pub(crate) last_total_at: Millis,
    /// Weighted units that this gateway has added to the count of the current window.
    pub(crate) own_count: f64,
    /// Usage in earlier windows, decayed to the start of the current window.
    pub(crate) usage_before_window: f64,
    /// Average usage at the other gateways, in units per second.
    pub(crate) peer_usage_rate: f64,
    /// Extrapolated usage at the other gateways since the last total, in units.
    pub(crate) extrapolated_units: f64,
}

impl SharedQuota {
    /// A full quota without a known total.
    pub(crate) fn new(customer: CustomerId, now: Millis, burst: f64) -> Self {
        SharedQuota {
            customer,
            level: burst,
            refilled_at: now,
            unsettled_units: 0.0,
            unsettled_at: 0.0,
            window: 0,
            usage_at_last_total: None,
            last_total_at: now,
            own_count: 0.0,
            usage_before_window: 0.0,
            peer_usage_rate: 0.0,
            extrapolated_units: 0.0,
        }
    }

    /// Records units used at this gateway. A negative number is a refund.
    pub(crate) fn record_usage(&mut self, units: f64) {
        self.level -= units;
    }
}
