//! Time-outs and retry times of the calls to discovery.

use super::schedule::{Backoff, CallSchedule};
use quota_gateway::Settings;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
pub mod tests;

/// Longest time from a change at a reachable discovery until the protocol counts the gateway as notified, whatever
/// failed before.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// Part of [`PROPAGATION_LIMIT`] that is left for the response. An overloaded discovery rejects calls that have waited
/// longer in its queue.
pub const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(2);
/// Most unanswered calls at a time. The older call is kept beside its successor: a discovery that answers calls in order
/// also serves those that were abandoned, so that short time-outs alone would have it work for nobody.
pub const MAX_CONCURRENT_CALLS: usize = 2;
/// Time-out for a connection to a shared service, and the longest time-out of a call to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest call to the agent, as a share of the time in which a draining endpoint may still get requests. A call that was
/// written while discovery was down may never be answered, and its successor has to fit into that time as well.
const AGENT_CALL_SHARE_OF_DRAIN_GRACE: f64 = 0.2;
/// Delay between two calls to the agent, which answers from its memory.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a watch on a shared service is reopened. The delay is random, as a restart of the service ends
/// the watches of all gateways together.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(2);
/// Longest drain grace from which time-outs are derived.
const MAX_DRAIN_GRACE_MS: f64 = 60_000.0;

/// Time-outs of one call.
#[derive(Clone, Copy)]
pub struct CallTimeouts {
    /// For the connection.
    pub connect: Duration,
    /// For the complete list, and again for the head of the watch.
    pub response: Duration,
}

/// What answers the calls.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// An agent on this machine, which no other gateway calls.
    LocalAgent,
    /// A service that all gateways call.
    SharedService,
}

/// When to call discovery, and how long to wait for it.
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
    /// The policy for these settings. The seed has to differ between gateways.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        // The program watches in both cases. The setting says what answers: gateways that poll call the service itself,
        // all others have an agent on their machine.
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

    /// The time-outs of each call.
    pub fn timeouts(&self) -> CallTimeouts {
        self.timeouts
    }

    /// Time from the start of a call to the start of another one beside it, if there is no response; `only_one` if no
    /// other call is in flight.
    #[must_use]
    pub fn unanswered_interval(&mut self, only_one: bool) -> Duration {
        match self.source {
            Source::LocalAgent => self.max_call_interval,
            Source::SharedService => self.call_schedule.unanswered_interval(only_one),
        }
    }

    /// When the next call is due after one that has just failed. It backs off from invalid responses, as the next response
    /// is likely to be invalid, too.
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

    /// Records that a watch has ended that was open for this long, so that calls are spaced anew. Returns the delay
    /// before it is reopened, which backs off from invalid events.
    #[must_use]
    pub fn on_watch_ended(&mut self, was_open_for: Duration, invalid_response: bool) -> Duration {
        self.call_schedule.reset();
        let delay = match self.source {
            Source::LocalAgent => AGENT_RETRY_DELAY,
            Source::SharedService => MAX_REOPEN_DELAY.mul_f64(self.rng.f64()),
        };
        if was_open_for >= self.max_call_interval {
            self.invalid_response_backoff.reset();
        }
        self.with_backoff_if(invalid_response, delay)
    }

    /// Discovery has moved to another address.
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
