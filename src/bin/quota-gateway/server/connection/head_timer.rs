//! The time limit for the head of a client's next request.

use crate::server::client::Client;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// Interval at which the timer checks a client with an open request, which has no deadline for the next head yet.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Wakes a connection's task at the client's deadline for the next head.
pub struct HeadTimer {
    timer: Pin<Box<Sleep>>,
}

impl HeadTimer {
    /// Starts a timer for the client's current deadline.
    pub fn new(client: &Client) -> Self {
        HeadTimer {
            timer: Box::pin(sleep_until(next_check(client))),
        }
    }

    /// Ready once the client's deadline has passed. Each request moves the deadline, but the timer is reset only when
    /// it fires, because a reset per request costs more than a timer that occasionally fires early.
    pub fn poll_expired(&mut self, client: &Client, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            if is_expired(client) {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(next_check(client));
        }
        Poll::Pending
    }
}

fn next_check(client: &Client) -> Instant {
    client
        .head_deadline()
        .unwrap_or_else(|| Instant::now() + DEADLINE_CHECK_INTERVAL)
}

/// True if the client's deadline for the next head has passed.
pub fn is_expired(client: &Client) -> bool {
    client
        .head_deadline()
        .is_some_and(|deadline| deadline <= Instant::now())
}
