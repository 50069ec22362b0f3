//! Reuse of connections to endpoints.

use crate::api::Limits;

/// Share of the idle timeout after which an idle connection counts as closed.
const USABLE_IDLE_SHARE: f64 = 0.5;
/// Minimum average number of uses for which another connection is worth its handshake. Uses are counted over
/// the time until an idle connection counts as closed.
const MIN_CONNECTION_USES: f64 = 4.0;

/// Returns the idle time after which a connection counts as closed, in ms.
pub(super) fn usable_idle_ms(limits: &Limits) -> f64 {
    limits.idle_timeout_ms * USABLE_IDLE_SHARE
}

/// Returns whether `request_rate` requests per second are too few to use more endpoints than the `connected`
/// ones.
pub(super) fn prefers_connected(limits: &Limits, request_rate: f64, connected: usize) -> bool {
    let expected_uses = request_rate * usable_idle_ms(limits) / 1000.0;
    expected_uses < connected as f64 * MIN_CONNECTION_USES
}
