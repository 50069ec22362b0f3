//! The reuse of connections to endpoints.

use crate::api::Limits;

/// A connection counts as closed once it was idle for this share of the idle time-out.
const USABLE_IDLE_SHARE: f64 = 0.5;
/// Least number of uses, on average, for which a further connection is worth its handshake. Uses are
/// counted over the time until an idle connection counts as closed.
const MIN_CONNECTION_USES: f64 = 4.0;

/// Idle time after which a connection counts as closed, in ms.
pub(super) fn usable_idle_ms(limits: &Limits) -> f64 {
    limits.idle_timeout_ms * USABLE_IDLE_SHARE
}

/// Whether `request_rate` requests per second are too few to use more endpoints than those `connected`
/// already.
pub(super) fn keeps_to_connected(limits: &Limits, request_rate: f64, connected: usize) -> bool {
    let uses = request_rate * usable_idle_ms(limits) / 1000.0;
    uses < connected as f64 * MIN_CONNECTION_USES
}
