//! The reuse of connections to endpoints.

use crate::api::Limits;

/// A connection counts as closed when it was unused for this share of the idle time-out.
const USABLE_IDLE_SHARE: f64 = 0.5;
/// A new connection pays if it is used this often, on average, before it counts as closed.
const MIN_CONNECTION_USES: f64 = 4.0;

pub(super) fn usable_idle_ms(limits: &Limits) -> f64 {
    limits.idle_timeout_ms * USABLE_IDLE_SHARE
}

/// Whether requests are too few to use more than these connected endpoints.
pub(super) fn keeps_to_connected(limits: &Limits, request_rate: f64, connected: usize) -> bool {
    let uses = request_rate * limits.idle_timeout_ms * USABLE_IDLE_SHARE / 1000.0;
    uses < connected as f64 * MIN_CONNECTION_USES
}
