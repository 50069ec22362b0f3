//! Timeouts and retry times of the calls to discovery.

use super::schedule::{Backoff, CallSchedule};
use quota_gateway::Settings;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
pub mod tests;

/// Time after which the protocol counts the gateway as notified of a change at a reachable discovery service, even if
/// calls failed before.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// Part of [`PROPAGATION_LIMIT`] that is reserved for the response. An overloaded discovery service rejects calls that
/// have waited longer in its queue.
pub const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(2);
/// Maximum number of unanswered calls in flight. An older call is kept when the next one starts: a discovery service
/// that handles calls in order also handles abandoned ones, so with short timeouts alone it would only do useless work.
pub const MAX_CONCURRENT_CALLS: usize = 2;
/// Timeout for connecting to a shared service, and the upper bound of the timeout of a call to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call to the agent, as a share of the drain grace, during which a draining endpoint may still receive
/// requests. A call that was written while discovery was down may never be answered, and the next call has to finish
/// within the drain grace as well.
const AGENT_CALL_SHARE_OF_DRAIN_GRACE: f64 = 0.2;
/// Delay between two calls to the agent. It is short because the agent responds from its memory.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay before a watch on a shared service is reopened. The delay is random because a restart of
/// the service ends the watches of all gateways at once.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(2);
/// Upper bound of the drain grace from which timeouts are derived.
const MAX_DRAIN_GRACE_MS: f64 = 60_000.0;

/// The timeouts of one call.
#[derive(Clone, Copy)]
pub struct CallTimeouts {
    /// Timeout for connecting.
    pub connect: Duration,
    /// Timeout for the complete list, and again for the head of the watch's response.
    pub response: Duration,
}

/// The kind of discovery that the gateway calls.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// An agent on this machine, which no other gateway calls.
    LocalAgent,
    /// A service that all gateways call.
    SharedService,
}

/// The timing of calls to discovery: their timeouts, the delays between them and the backoff.
pub struct WatchPolicy {
    source: Source,
    timeouts: CallTimeouts,
    /// Longest time from the start of an unanswered call to the start of the next.
    max_call_interval: Duration,
    call_schedule: CallSchedule,
    invalid_response_backoff: Backoff,
    rng: fastrand::Rng,
}

impl WatchPolicy {
    /// Creates the policy for these settings. Each gateway needs a different seed.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        // The program opens a watch in both cases. The setting selects the source: gateways with polled endpoints call
        // the shared service, all others an agent on their machine.
        let source = if settings.endpoints_polled {
            Source::SharedService
        } else {
            Source::LocalAgent
        };
        let agent_timeout = agent_call_timeout(settings.rules.drain_grace_ms);
        let service_interval = PROPAGATION_LIMIT.saturating_sub(RESPONSE_ALLOWANCE);
        let timeouts = match source {
            Source::LocalAgent => CallTimeouts {
                connect: agent_timeout,
                response: agent_timeout,
            },
            Source::SharedService => CallTimeouts {
                connect: CONNECT_TIMEOUT,
                response: service_interval * MAX_CONCURRENT_CALLS as u32,
            },
        };
        WatchPolicy {
            source,
            timeouts,
            max_call_interval: match source {
                Source::LocalAgent => agent_timeout + AGENT_RETRY_DELAY,
                Source::SharedService => service_interval,
            },
            call_schedule: CallSchedule::new(settings.gateway_count, service_interval, seed),
            invalid_response_backoff: Backoff::new(
                AGENT_RETRY_DELAY,
                service_interval,
                seed.rotate_left(16),
            ),
            rng: fastrand::Rng::with_seed(seed.rotate_left(32)),
        }
    }

    /// The timeouts of each call.
    pub fn timeouts(&self) -> CallTimeouts {
        self.timeouts
    }

    /// Time from the start of an unanswered call to the start of the next one. `is_only_call` is true if no other call
    /// is in flight.
    #[must_use]
    pub fn unanswered_interval(&mut self, is_only_call: bool) -> Duration {
        match self.source {
            Source::LocalAgent => self.max_call_interval,
            Source::SharedService => self.call_schedule.unanswered_interval(is_only_call),
        }
    }

    /// The time of the next call after one that has just failed. Invalid responses cause a backoff, because the next
    /// response is likely to be invalid as well.
    #[must_use]
    pub fn next_call_after_failure(
        &mut self,
        started_at: Instant,
        invalid_response: bool,
    ) -> Instant {
        let now = Instant::now();
        let delay = match self.source {
            Source::LocalAgent => AGENT_RETRY_DELAY,
            Source::SharedService => self.call_schedule.delay_after_failure(now - started_at),
        };
        now + self.with_backoff_if(invalid_response, delay)
    }

    /// Records the end of a watch that was open for `open_duration`, which resets the call schedule. Returns the delay
    /// before the watch is reopened. Invalid events cause a backoff.
    #[must_use]
    pub fn on_watch_ended(&mut self, open_duration: Duration, invalid_response: bool) -> Duration {
        self.call_schedule.reset();
        let delay = match self.source {
            Source::LocalAgent => AGENT_RETRY_DELAY,
            Source::SharedService => MAX_REOPEN_DELAY.mul_f64(self.rng.f64()),
        };
        if open_duration >= self.max_call_interval {
            self.invalid_response_backoff.reset();
        }
        self.with_backoff_if(invalid_response, delay)
    }

    /// Resets the call schedule after a change of discovery's address.
    pub fn address_changed(&mut self) {
        self.call_schedule.reset();
    }

    fn with_backoff_if(&mut self, invalid_response: bool, delay: Duration) -> Duration {
        if invalid_response {
            delay.max(self.invalid_response_backoff.next_delay())
        } else {
            delay
        }
    }
}

fn agent_call_timeout(drain_grace_ms: f64) -> Duration {
    let grace_s = drain_grace_ms.clamp(0.0, MAX_DRAIN_GRACE_MS) / 1000.0;
    let timeout = Duration::from_secs_f64(grace_s * AGENT_CALL_SHARE_OF_DRAIN_GRACE);
    timeout.max(AGENT_RETRY_DELAY).min(CONNECT_TIMEOUT)
}
