//! The scenario of a run, drawn from its seed: deadlines, and what makes shutdowns harder.

use crate::request_class::RequestClass;
use rand::Rng;
use std::fmt::{Display, Formatter};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Bounds of the longest deadline of a run, in seconds.
const LONGEST_DEADLINE_S: std::ops::Range<f64> = 0.1..5.0;
/// No deadline is shorter.
const MIN_DEADLINE: Duration = Duration::from_millis(100);
/// The deadlines of the other classes, as parts of the longest.
const OTHER_DEADLINE_PARTS: std::ops::Range<f64> = 0.3..1.0;
/// The longest deadline of a run without faults.
const CALM_DEADLINE: Duration = Duration::from_secs(2);
/// A longer deadline does not put off SIGKILL any further.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// SIGKILL comes this long after the longest deadline of a request that arrived at SIGTERM.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Requests in a hundred that endpoints execute and never answer.
const HANGING_PERCENTS: [u32; 3] = [0, 12, 30];
/// Gateways that share one processor in a run that is short of them.
const GATEWAYS_PER_PROCESSOR: usize = 8;
/// Sockets that a gateway may have.
const SOCKETS: u64 = 256;
/// Sockets that a gateway may have in a run with idle clients.
const SOCKETS_WITH_IDLE_CLIENTS: u64 = 96;
/// Idle clients of each gateway in a run with them: more than it has slots for.
const IDLE_CLIENTS: usize = 44;

/// The deadlines of the classes: clients wait no longer.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    idempotent: Duration,
    with_key: Duration,
    at_most_once: Duration,
}

/// What makes one run differ from another.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    deadlines: Deadlines,
    /// Requests in a hundred that endpoints execute and never answer.
    pub hanging_percent: u32,
    /// Idle clients fill the gateways' descriptors.
    pub has_idle_clients: bool,
    /// Gateways that share one processor; none if all may use all.
    pub gateways_per_processor: Option<usize>,
    /// SIGTERM and SIGHUP come again and again while a gateway ends.
    pub repeats_signals: bool,
}

impl Scenario {
    /// The scenario of a run with faults.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = crate::seeded_rng(seed, "conditions", 0);
        let (shortest, longest) = (LONGEST_DEADLINE_S.start.ln(), LONGEST_DEADLINE_S.end.ln());
        let longest_s = rng.random_range(shortest..longest).exp();
        let mut other = || {
            let deadline =
                Duration::from_secs_f64(longest_s * rng.random_range(OTHER_DEADLINE_PARTS));
            deadline.max(MIN_DEADLINE)
        };
        let with_key = other();
        let at_most_once = other();
        let deadlines = Deadlines {
            idempotent: Duration::from_secs_f64(longest_s),
            with_key,
            at_most_once,
        };
        Scenario {
            deadlines,
            hanging_percent: HANGING_PERCENTS[rng.random_range(0..HANGING_PERCENTS.len())],
            has_idle_clients: rng.random_ratio(1, 4),
            gateways_per_processor: rng.random_ratio(1, 4).then_some(GATEWAYS_PER_PROCESSOR),
            repeats_signals: rng.random_ratio(1, 2),
        }
    }

    /// The scenario of a run without faults.
    #[must_use]
    pub fn calm() -> Self {
        Scenario {
            deadlines: Deadlines {
                idempotent: CALM_DEADLINE,
                with_key: CALM_DEADLINE,
                at_most_once: CALM_DEADLINE,
            },
            hanging_percent: 0,
            has_idle_clients: false,
            gateways_per_processor: None,
            repeats_signals: false,
        }
    }

    /// How long clients wait for requests of this class at most.
    #[must_use]
    pub fn deadline(&self, class: RequestClass) -> Duration {
        match class {
            RequestClass::Idempotent => self.deadlines.idempotent,
            RequestClass::WithKey => self.deadlines.with_key,
            RequestClass::AtMostOnce => self.deadlines.at_most_once,
        }
    }

    /// The longest of the deadlines.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines
            .idempotent
            .max(self.deadlines.with_key)
            .max(self.deadlines.at_most_once)
    }

    /// How long after SIGTERM SIGKILL comes: as early as the protocol permits.
    #[must_use]
    pub fn kill_after(&self) -> Duration {
        self.longest_deadline().min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE
    }

    /// Sockets that a gateway may have.
    #[must_use]
    pub fn sockets(&self) -> u64 {
        if self.has_idle_clients {
            SOCKETS_WITH_IDLE_CLIENTS
        } else {
            SOCKETS
        }
    }

    /// Idle clients that keep connections to each gateway.
    #[must_use]
    pub fn idle_clients(&self) -> usize {
        if self.has_idle_clients {
            IDLE_CLIENTS
        } else {
            0
        }
    }
}

impl Display for Scenario {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Deadlines {
            idempotent,
            with_key,
            at_most_once,
        } = self.deadlines;
        write!(
            formatter,
            "deadlines {idempotent:.2?}, {with_key:.2?}, {at_most_once:.2?}; {}% hang",
            self.hanging_percent
        )?;
        if self.has_idle_clients {
            write!(formatter, "; idle clients")?;
        }
        if let Some(count) = self.gateways_per_processor {
            write!(formatter, "; {count} gateways to a processor")?;
        }
        if self.repeats_signals {
            write!(formatter, "; signals in series")?;
        }
        Ok(())
    }
}
