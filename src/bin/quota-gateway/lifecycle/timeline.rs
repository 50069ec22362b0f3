//! When each phase of the shutdown begins. All times derive from one: the earliest moment of SIGKILL, counted from the
//! moment at which the program notices SIGTERM.
//!
//! Two delays are not part of the plan: SIGTERM that is noticed late (`signals`, up to 0.1 s if the wake-up was lost),
//! and the last read after a stall that took the closing time (`LAST_READ_TIME` in `shutdown`, up to 10 ms). Both
//! are covered by the time that is planned for a stall, so far as a stall does not need it.

use quota_gateway::Settings;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The part of the longest request deadline that the termination grace period covers: a longer one counts as this.
const GRACE_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// The part of the termination grace period beyond the longest request deadline.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Time planned for one stall of the process, at any point of the shutdown. With it the process ends before SIGKILL,
/// unless one of the delays that the plan leaves out (see the module) is added to a stall of this length.
const MAX_STALL: Duration = Duration::from_millis(150);
/// From the last check of the connections until the process has exited: tasks are dropped and the log is flushed.
const EXIT_TIME: Duration = Duration::from_millis(70);
/// The last responses are written and the connections closed within this time.
pub const CLOSING_TIME: Duration = Duration::from_millis(80);
/// The library gives open requests their final response this long before the driver ends those that remain. It has to
/// be longer than `DEADLINE_GRACE` of `server::handler`, after which the handler ends a request by itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// A request is forwarded only if at least this much time is left to it: with less, it would most likely be cut off
/// after its execution has begun.
const MIN_FORWARDING_TIME: Duration = Duration::from_millis(40);
/// Connections are accepted for at least this long after SIGTERM: the load balancer in front may still make new ones for
/// up to 0.4 s. The soak's load balancer does so for 0.3 s (`LOAD_BALANCER_DELAY` in `soak/src/gateway_directory.rs`).
const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(420);
/// Connections are accepted for this long if the timeline has room for it: the load balancer in front may be slow.
const PREFERRED_ACCEPTING_TIME: Duration = Duration::from_millis(600);
/// The process drains for at least this long after SIGTERM. Then it may exit while idle clients are connected: those that
/// connected in time have sent their first request.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Longest deadline that is taken from the settings, in ms. A `Duration` can't hold every number of the settings: the
/// conversion of a larger one would panic.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// The longest time that a client waits, over all classes of the settings.
pub fn longest_deadline(settings: &Settings) -> Duration {
    let longest_ms = settings
        .classes
        .iter()
        .map(|class| class.deadline_ms)
        .fold(0.0, f64::max);
    Duration::from_secs_f64(longest_ms.clamp(0.0, MAX_DEADLINE_MS) / 1000.0)
}

/// The moments of one shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// No new connections are accepted from then on.
    pub no_new_connections_at: Instant,
    /// No attempt is sent from then on, neither a first one nor a retry.
    pub last_forwarding_at: Instant,
    /// Each forwarded request has to have its response by then. No later deadline is propagated to endpoints.
    pub request_deadline: Instant,
    /// Open requests are ended then, later ones are refused, and all connections close.
    pub refusing_at: Instant,
    /// From then on the process exits once no request is open, though idle connections remain.
    pub idle_exit_from: Instant,
}

impl Timeline {
    /// The shutdown of a process that got SIGTERM at this moment, with this longest request deadline. SIGKILL comes once
    /// the termination grace period is over: the longest deadline, capped, and a margin.
    pub fn new(terminated_at: Instant, longest_deadline: Duration) -> Self {
        let termination_grace = longest_deadline.min(GRACE_DEADLINE_CAP) + GRACE_MARGIN;
        let refuse_after = termination_grace.saturating_sub(MAX_STALL + EXIT_TIME + CLOSING_TIME);
        let refuse_after = refuse_after.max(MIN_ACCEPTING_TIME);
        let deadline_after = refuse_after.saturating_sub(DEADLINE_MARGIN);
        let last_forwarding_after = deadline_after.saturating_sub(MIN_FORWARDING_TIME);
        let accept_for = last_forwarding_after.clamp(MIN_ACCEPTING_TIME, PREFERRED_ACCEPTING_TIME);
        Timeline {
            no_new_connections_at: terminated_at + accept_for,
            last_forwarding_at: terminated_at + last_forwarding_after,
            request_deadline: terminated_at + deadline_after,
            refusing_at: terminated_at + refuse_after,
            idle_exit_from: terminated_at + MIN_DRAIN_TIME.min(refuse_after),
        }
    }
}
