//! The phase of the process, from its start to its exit. One `Lifecycle` holds the phase for all tasks. The phase never
//! goes back:
//!
//! ```text
//! Running -- SIGTERM --> Accepting --> NoNewConnections --> Refusing --> Ended
//! ```
//!
//! `timeline` defines the times of the phases. Whether a request may still be forwarded depends on the clock, and not
//! on the phase alone. This guards against a request that is forwarded too late and cut off when the process exits:
//! after a stall of the process tasks run in any order, some of them before the task that advances the phase.

mod timeline;

#[cfg(test)]
mod tests;

pub use timeline::{longest_deadline, Timeline, CLOSING_TIME};

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::Instant;

/// The phases of the process, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Before SIGTERM.
    Running,
    /// The process reports that it is not ready, but still accepts connections.
    Accepting,
    /// No more connections are accepted. Open connections close after their next response; requests on them are served.
    NoNewConnections,
    /// Requests that arrive are refused and not forwarded. Connections close once no response is due on them. Requests
    /// that arrive up to 50 ms before this phase are refused as well: `may_forward` is false from `last_forwarding_at`
    /// on.
    Refusing,
    /// Nothing more is read; the process exits.
    Ended,
}

/// The phase of the process and the times of its shutdown.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    timeline: Cell<Option<Timeline>>,
    /// Time from which requests are refused, past or planned; `None` before SIGTERM.
    refusing_at: Cell<Option<Instant>>,
}

impl Lifecycle {
    /// Creates a lifecycle in the phase `Running`.
    pub fn new() -> Rc<Self> {
        Rc::new(Lifecycle {
            phase: watch::Sender::new(Phase::Running),
            timeline: Cell::new(None),
            refusing_at: Cell::new(None),
        })
    }

    /// Begins the shutdown on SIGTERM. A second SIGTERM has no effect.
    pub fn begin_shutdown(&self, timeline: Timeline) {
        if self.timeline.get().is_none() {
            self.timeline.set(Some(timeline));
            self.refusing_at.set(Some(timeline.refusing_at));
            self.advance_to(Phase::Accepting);
        }
    }

    /// Enters a phase, unless this phase or a later one has already been entered.
    pub fn advance_to(&self, phase: Phase) {
        if phase >= Phase::Refusing {
            let now = Instant::now();
            self.refusing_at
                .set(Some(self.refusing_at.get().map_or(now, |at| at.min(now))));
        }
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// True from SIGTERM on.
    pub fn is_shutting_down(&self) -> bool {
        self.timeline.get().is_some()
    }

    /// True if a request may still be forwarded. False from `last_forwarding_at` on, which is before `Refusing`.
    pub fn may_forward(&self) -> bool {
        let Some(timeline) = self.timeline.get() else {
            return true;
        };
        self.refusing_since().is_none() && Instant::now() < timeline.last_forwarding_at
    }

    /// Time since which requests are refused; `None` if they are not refused.
    pub fn refusing_since(&self) -> Option<Instant> {
        self.refusing_at.get().filter(|at| *at <= Instant::now())
    }

    /// Returns the earlier of a request's deadline and the deadline of the shutdown.
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.timeline
            .get()
            .map_or(deadline, |timeline| deadline.min(timeline.request_deadline))
    }

    /// Returns a receiver that is notified of each change of the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Waits until this phase or a later one is entered.
    pub async fn wait_for_phase(&self, phase: Phase) {
        // Waiting fails only without a sender, and `self` holds one.
        let _ = self.subscribe().wait_for(|current| *current >= phase).await;
    }
}
