//! Calls discovery repeatedly until a watch is open.

use super::error::DiscoveryError;
use super::policy::{CallTimeouts, WatchPolicy, MAX_CONCURRENT_CALLS};
use std::future::Future;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, Instant};

#[cfg(test)]
mod tests;

/// Makes calls until one succeeds, and returns its watch. An unanswered call stays in flight when the next one starts;
/// the oldest is aborted if more than [`MAX_CONCURRENT_CALLS`] are in flight. Each failed call is reported to
/// `on_failure`. Calls that are still in flight after a success are aborted.
pub async fn open_watch<W, C>(
    policy: &mut WatchPolicy,
    call: impl Fn(CallTimeouts) -> C,
    on_failure: impl Fn(DiscoveryError),
) -> W
where
    W: 'static,
    C: Future<Output = Result<W, DiscoveryError>> + 'static,
{
    let mut calls = PendingCalls::new();
    loop {
        tokio::select! {
            biased;
            Some(joined) = calls.set.join_next() => match joined {
                Ok(FinishedCall { result: Ok(watch), .. }) => return watch,
                Ok(FinishedCall { started_at, result: Err(error) }) => {
                    calls.schedule_after_failure(policy, started_at, &error);
                    on_failure(error);
                }
                Err(aborted) => on_failure(aborted.into()),
            },
            () = sleep_until(calls.next_call_at) => calls.start(policy, &call),
        }
    }
}

struct FinishedCall<W> {
    started_at: Instant,
    result: Result<W, DiscoveryError>,
}

/// The calls in flight and the time of the next one.
struct PendingCalls<W> {
    set: JoinSet<FinishedCall<W>>,
    /// Handles of the calls, oldest first.
    handles: Vec<AbortHandle>,
    next_call_at: Instant,
}

impl<W: 'static> PendingCalls<W> {
    fn new() -> Self {
        PendingCalls {
            set: JoinSet::new(),
            handles: Vec::new(),
            next_call_at: Instant::now(),
        }
    }

    fn start<C>(&mut self, policy: &mut WatchPolicy, call: impl Fn(CallTimeouts) -> C)
    where
        C: Future<Output = Result<W, DiscoveryError>> + 'static,
    {
        let started_at = Instant::now();
        self.next_call_at = started_at + policy.unanswered_interval(self.set.is_empty());
        let response = call(policy.timeouts());
        self.handles.retain(|handle| !handle.is_finished());
        let handle = self.set.spawn_local(async move {
            FinishedCall {
                started_at,
                result: response.await,
            }
        });
        self.handles.push(handle);
        if self.handles.len() > MAX_CONCURRENT_CALLS {
            self.handles.remove(0).abort();
        }
    }

    fn schedule_after_failure(
        &mut self,
        policy: &mut WatchPolicy,
        started_at: Instant,
        error: &DiscoveryError,
    ) {
        let retry_at = policy.next_call_after_failure(started_at, error.is_invalid_response());
        self.next_call_at = if self.set.is_empty() {
            retry_at
        } else {
            self.next_call_at.min(retry_at)
        };
    }
}
