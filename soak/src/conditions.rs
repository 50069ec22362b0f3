//! What a run is made under, drawn from its seed: deadlines, and what makes shutdowns harder.

use crate::judge::Class;
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
/// SIGKILL follows SIGTERM no sooner than after the longest deadline, counted as this at most ...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// ... and this.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Requests in a hundred that endpoints execute and never answer.
const HANGING_PERCENTS: [u32; 3] = [0, 12, 30];
/// Where processors are short, so many gateways share one.
const GATEWAYS_PER_PROCESSOR: usize = 8;
/// Sockets that a gateway may have, and where idle clients fill them.
const SOCKETS: u64 = 256;
const CROWDED_SOCKETS: u64 = 96;
/// Idle clients that hold on to a gateway in a crowd: more than it has slots for.
const CROWD_CLIENTS: usize = 44;

/// The deadlines of the classes: clients wait no longer.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    look: Duration,
    order: Duration,
    once: Duration,
}

/// What a run is made under.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    deadlines: Deadlines,
    /// Requests in a hundred that endpoints execute and never answer.
    pub hanging_percent: u32,
    /// Idle clients fill the gateways' descriptors.
    pub has_crowd: bool,
    /// Gateways that share one processor; none if all may use all.
    pub gateways_per_processor: Option<usize>,
    /// SIGTERM and SIGHUP come again and again while a gateway ends.
    pub repeats_signals: bool,
}

impl Conditions {
    /// Those of a run with faults.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = crate::stream(seed, "conditions", 0);
        let (shortest, longest) = (LONGEST_DEADLINE_S.start.ln(), LONGEST_DEADLINE_S.end.ln());
        let longest_s = rng.random_range(shortest..longest).exp();
        let mut other = || {
            let deadline =
                Duration::from_secs_f64(longest_s * rng.random_range(OTHER_DEADLINE_PARTS));
            deadline.max(MIN_DEADLINE)
        };
        let (order, once) = (other(), other());
        let deadlines = Deadlines {
            look: Duration::from_secs_f64(longest_s),
            order,
            once,
        };
        Conditions {
            deadlines,
            hanging_percent: HANGING_PERCENTS[rng.random_range(0..HANGING_PERCENTS.len())],
            has_crowd: rng.random_ratio(1, 4),
            gateways_per_processor: rng.random_ratio(1, 4).then_some(GATEWAYS_PER_PROCESSOR),
            repeats_signals: rng.random_ratio(1, 2),
        }
    }

    /// Those of a run without faults.
    #[must_use]
    pub fn calm() -> Self {
        Conditions {
            deadlines: Deadlines {
                look: CALM_DEADLINE,
                order: CALM_DEADLINE,
                once: CALM_DEADLINE,
            },
            hanging_percent: 0,
            has_crowd: false,
            gateways_per_processor: None,
            repeats_signals: false,
        }
    }

    /// How long clients wait for requests of this class at most.
    #[must_use]
    pub fn deadline(&self, class: Class) -> Duration {
        match class {
            Class::Look => self.deadlines.look,
            Class::Order => self.deadlines.order,
            Class::Once => self.deadlines.once,
        }
    }

    /// The longest of the deadlines.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines
            .look
            .max(self.deadlines.order)
            .max(self.deadlines.once)
    }

    /// How long after SIGTERM SIGKILL comes: as early as the protocol permits.
    #[must_use]
    pub fn kill_after(&self) -> Duration {
        self.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_GRACE
    }

    /// Sockets that a gateway may have.
    #[must_use]
    pub fn sockets(&self) -> u64 {
        if self.has_crowd {
            CROWDED_SOCKETS
        } else {
            SOCKETS
        }
    }

    /// Idle clients that hold on to each gateway.
    #[must_use]
    pub fn crowd_clients(&self) -> usize {
        if self.has_crowd {
            CROWD_CLIENTS
        } else {
            0
        }
    }
}

impl Display for Conditions {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Deadlines { look, order, once } = self.deadlines;
        write!(
            formatter,
            "deadlines {look:.2?}, {order:.2?}, {once:.2?}; {}% hang",
            self.hanging_percent
        )?;
        if self.has_crowd {
            write!(formatter, "; crowd")?;
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
