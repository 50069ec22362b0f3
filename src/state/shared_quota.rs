//! What one gateway remembers of a customer's quota, which all gateways share.

use crate::api::{CustomerId, Millis};

/// A customer's quota as one gateway sees it. The rules that keep it up to date are in `policy::shared_quota`;
/// decayed units are those of a leaky bucket (`primitives::forward_decay`).
pub(crate) struct SharedQuota {
    /// Places the customer's windows.
    pub(crate) customer: CustomerId,
    /// Units left, as of the last refill. It may be above the burst until the next total.
    pub(crate) level: f64,
    pub(crate) refilled_at: Millis,
    /// Units, or refunds if negative, that the next charge adds to the count, decayed to `unsettled_at`.
    pub(crate) unsettled_units: f64,
    pub(crate) unsettled_at: Millis,
    /// Number of the window in which usage is counted now.
    pub(crate) window: u64,
    /// The usage at all gateways by the last total, decayed to `last_total_at`; none before the first total.
    pub(crate) last_usage: Option<f64>,
    pub(crate) last_total_at: Millis,
    /// What this gateway has added to the count of this window, weighted.
    pub(crate) own_count: f64,
    /// The usage in earlier windows, decayed to the start of this one.
    pub(crate) usage_before_window: f64,
    /// Usage at the other gateways, in units per second, averaged.
    pub(crate) peer_rate: f64,
    /// Units that the other gateways were extrapolated to have used since the last total.
    pub(crate) extrapolated_units: f64,
}

impl SharedQuota {
    /// A full quota of which no total is known.
    pub(crate) fn new(customer: CustomerId, now: Millis, burst: f64) -> Self {
        SharedQuota {
            customer,
            level: burst,
            refilled_at: now,
            unsettled_units: 0.0,
            unsettled_at: 0.0,
            window: 0,
            last_usage: None,
            last_total_at: now,
            own_count: 0.0,
            usage_before_window: 0.0,
            peer_rate: 0.0,
            extrapolated_units: 0.0,
        }
    }

    /// This gateway has used units, or was refunded if negative.
    pub(crate) fn take(&mut self, units: f64) {
        self.level -= units;
    }
}
