//! The time at which each phase of the shutdown begins. All times derive from the earliest time of SIGKILL, counted
//! from the time at which the program notices SIGTERM.
//!
//! Two delays are not part of the plan: SIGTERM may be noticed late (`signals`, up to 0.1 s if the wake-up was lost),
//! and there may be a last read after a stall that used up the closing time (`LAST_READ_TIME` in `shutdown`, up to 10
//! ms). The time planned for a stall covers both, as far as a stall does not use it.

use quota_gateway::Settings;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Upper bound of the request deadline that the termination grace period covers: a longer deadline counts as this.
const GRACE_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// Time by which the termination grace period exceeds the longest request deadline.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Time planned for one stall of the process, at any point of the shutdown. With this margin the process ends before
/// SIGKILL, unless one of the delays that the plan leaves out (see the head of this module) is added to a stall of this
/// length.
const MAX_STALL: Duration = Duration::from_millis(150);
/// Time from the last check of the connections until the process has exited: tasks are dropped and the log is flushed.
const EXIT_TIME: Duration = Duration::from_millis(70);
/// Time within which the last responses are written and the connections closed.
pub const CLOSING_TIME: Duration = Duration::from_millis(80);
/// Time between the final response that the library gives open requests and the end of the remaining requests by the
/// driver. It must be longer than `DEADLINE_GRACE` of `server::handler`, after which the handler ends a request itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Minimum time that must be left to a request for it to be forwarded: with less, the request would most likely be cut
/// off after its execution has begun.
const MIN_FORWARDING_TIME: Duration = Duration::from_millis(40);
/// Minimum time after SIGTERM during which connections are accepted: the load balancer in front may still open new ones
/// for up to 0.4 s. The soak test's load balancer does so for 0.3 s (`LOAD_BALANCER_DELAY` in
/// `soak/src/gateway_directory.rs`).
const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(420);
/// Time during which connections are accepted if the timeline has room for it: the load balancer in front may be slow.
const PREFERRED_ACCEPTING_TIME: Duration = Duration::from_millis(600);
/// Minimum time after SIGTERM during which the process drains. After that the process may exit while idle clients are
/// connected: clients that connected in time have sent their first request.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Upper bound of the deadlines in the settings, in ms. A `Duration` can't hold every number that the settings may
/// contain: the conversion of a larger one would panic.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// Returns the longest time that a client waits, over all classes of the settings.
pub fn longest_deadline(settings: &Settings) -> Duration {
    let longest_ms = settings
        .classes
        .iter()
        .map(|class| class.deadline_ms)
        .fold(0.0, f64::max);
    Duration::from_secs_f64(longest_ms.clamp(0.0, MAX_DEADLINE_MS) / 1000.0)
}

/// The planned times of one shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// Time from which no new connections are accepted.
    pub no_new_connections_at: Instant,
    /// Time from which no attempt is sent, neither a first one nor a retry.
    pub last_forwarding_at: Instant,
    /// Time by which each forwarded request must have its response. No later deadline is propagated to endpoints.
    pub request_deadline: Instant,
    /// Time at which open requests are ended. Later requests are refused, and all connections close.
    pub refusing_at: Instant,
    /// Time from which the process exits once no request is open, even if idle connections remain.
    pub idle_exit_from: Instant,
}

impl Timeline {
    /// Plans the shutdown of a process that noticed SIGTERM at `terminated_at`. SIGKILL follows at the end of the
    /// termination grace period, which is the longest deadline, capped, plus a margin.
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
