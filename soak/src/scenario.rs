//! The scenario of a run, drawn from its seed: deadlines, and conditions that make shutdowns harder.

use crate::request_class::RequestClass;
use rand::Rng;
use std::fmt::{Display, Formatter};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Bounds of the longest deadline of a run, in seconds.
const LONGEST_DEADLINE_S: std::ops::Range<f64> = 0.1..5.0;
/// The shortest deadline of a class.
const MIN_DEADLINE: Duration = Duration::from_millis(100);
/// The deadlines of the other classes, as shares of the longest deadline.
const OTHER_DEADLINE_SHARES: std::ops::Range<f64> = 0.3..1.0;
/// The deadline of all classes in a run without faults.
const DEADLINE_WITHOUT_FAULTS: Duration = Duration::from_secs(2);
/// Deadlines longer than this don't delay SIGKILL any further.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// SIGKILL is sent this long after the longest deadline of a request that arrived at SIGTERM.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Percentages of requests that endpoints execute but never respond to, one of which is drawn for a run.
const HANGING_PERCENTS: [u32; 3] = [0, 12, 30];
/// Number of gateways that share one processor in a run with few processors.
const GATEWAYS_PER_PROCESSOR: usize = 8;
/// The limit of sockets of a gateway.
const SOCKETS: u64 = 256;
/// The limit of sockets of a gateway in a run with idle clients.
const SOCKETS_WITH_IDLE_CLIENTS: u64 = 96;
/// Number of idle clients per gateway in a run with idle clients: more than a gateway has slots for.
const IDLE_CLIENTS: usize = 44;

/// The deadlines of the request classes. Clients wait no longer.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    idempotent: Duration,
    with_key: Duration,
    at_most_once: Duration,
}

/// The conditions that differ from run to run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    deadlines: Deadlines,
    /// Percentage of requests that endpoints execute but never respond to.
    pub hanging_percent: u32,
    /// Idle clients use up the gateways' file descriptors.
    pub has_idle_clients: bool,
    /// Number of gateways that share one processor. `None` if each gateway may use all processors.
    pub gateways_per_processor: Option<usize>,
    /// SIGTERM and SIGHUP are sent repeatedly while a gateway shuts down.
    pub repeats_signals: bool,
}

impl Scenario {
    /// Draws the scenario of a run with faults.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = crate::seeded_rng(seed, "conditions", 0);
        let (shortest, longest) = (LONGEST_DEADLINE_S.start.ln(), LONGEST_DEADLINE_S.end.ln());
        let longest_s = rng.random_range(shortest..longest).exp();
        let mut draw_other = || {
            let deadline =
                Duration::from_secs_f64(longest_s * rng.random_range(OTHER_DEADLINE_SHARES));
            deadline.max(MIN_DEADLINE)
        };
        let with_key = draw_other();
        let at_most_once = draw_other();
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

    /// Returns the scenario of a run without faults.
    #[must_use]
    pub fn without_faults() -> Self {
        Scenario {
            deadlines: Deadlines {
                idempotent: DEADLINE_WITHOUT_FAULTS,
                with_key: DEADLINE_WITHOUT_FAULTS,
                at_most_once: DEADLINE_WITHOUT_FAULTS,
            },
            hanging_percent: 0,
            has_idle_clients: false,
            gateways_per_processor: None,
            repeats_signals: false,
        }
    }

    /// The deadline of a class: the longest time that clients wait for a response.
    #[must_use]
    pub fn deadline(&self, class: RequestClass) -> Duration {
        match class {
            RequestClass::Idempotent => self.deadlines.idempotent,
            RequestClass::WithKey => self.deadlines.with_key,
            RequestClass::AtMostOnce => self.deadlines.at_most_once,
        }
    }

    /// The longest deadline of all classes.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines
            .idempotent
            .max(self.deadlines.with_key)
            .max(self.deadlines.at_most_once)
    }

    /// The time from SIGTERM to SIGKILL: the shortest that the protocol permits.
    #[must_use]
    pub fn kill_after(&self) -> Duration {
        self.longest_deadline().min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE
    }

    /// The limit of sockets of each gateway.
    #[must_use]
    pub fn sockets(&self) -> u64 {
        if self.has_idle_clients {
            SOCKETS_WITH_IDLE_CLIENTS
        } else {
            SOCKETS
        }
    }

    /// The number of idle clients per gateway.
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
