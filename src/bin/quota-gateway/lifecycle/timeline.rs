//! When each phase of the shutdown begins. All times derive from one: the earliest moment of SIGKILL.

use quota_gateway::Settings;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// SIGKILL follows SIGTERM no sooner than after the longest request deadline, capped at this ...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// ... plus this.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The process may stall once for this long, at any point.
const MAX_STALL: Duration = Duration::from_millis(150);
/// From the last look at the connections until the process has gone: tasks are dropped and the log is flushed.
const EXIT_TIME: Duration = Duration::from_millis(70);
/// The last responses are written and the connections closed within this time.
pub const CLOSING_TIME: Duration = Duration::from_millis(80);
/// The decision library ends its requests this long before the rest are ended from outside.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// A request is forwarded only if at least this much time is left to it: with less, it would most likely be cut off
/// after its execution has begun.
const MIN_FORWARDING_TIME: Duration = Duration::from_millis(40);
/// After SIGTERM new connections keep coming for up to 0.4 s.
const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(420);
/// Where there is time, new connections are accepted for longer: the load balancer in front may be slow to notice.
const PREFERRED_ACCEPTING_TIME: Duration = Duration::from_millis(600);
/// From this time after SIGTERM only clients with an open request are waited for: others that connected in time have
/// long sent their requests.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Guards the conversion of a deadline into a `Duration`.
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

/// The moments of one shutdown, in their order.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// No new connections are accepted from then on.
    pub no_new_connections_at: Instant,
    /// No request is forwarded from then on, first or again.
    pub last_forwarding_at: Instant,
    /// Each forwarded request has to have its response by then; endpoints are told no more time.
    pub request_deadline: Instant,
    /// What is open then is ended, what comes later is refused, and all connections close.
    pub refusing_at: Instant,
    /// The shutdown may end as soon as this if no request is open.
    pub quiet_from: Instant,
}

impl Timeline {
    /// The shutdown of a process that got SIGTERM at this moment, with this longest request deadline.
    pub fn new(terminated_at: Instant, longest_deadline: Duration) -> Self {
        let kill_after = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
        let refuse_after = kill_after.saturating_sub(MAX_STALL + EXIT_TIME + CLOSING_TIME);
        let refuse_after = refuse_after.max(MIN_ACCEPTING_TIME);
        let deadline_after = refuse_after.saturating_sub(DEADLINE_MARGIN);
        let last_forwarding_after = deadline_after.saturating_sub(MIN_FORWARDING_TIME);
        let accept_for = last_forwarding_after.clamp(MIN_ACCEPTING_TIME, PREFERRED_ACCEPTING_TIME);
        Timeline {
            no_new_connections_at: terminated_at + accept_for,
            last_forwarding_at: terminated_at + last_forwarding_after,
            request_deadline: terminated_at + deadline_after,
            refusing_at: terminated_at + refuse_after,
            quiet_from: terminated_at + QUIET_TIME.min(refuse_after),
        }
    }
}
