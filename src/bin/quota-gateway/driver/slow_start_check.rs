//! Checks that an endpoint in slow start gets no more attempts from this gateway than its capacity allows.
//!
//! The capacity of an endpoint is not known here. But gateways are equal, and send alike to all endpoints at full
//! capacity: the mean number of attempts is this gateway's share of the load of one of those. An endpoint in slow start
//! has a part of the full capacity, which grows with its age. It may get that part of the mean, times the multiple of
//! the settings at which an endpoint is overloaded.
//!
//! The check repeats none of the code that decides (`policy::slow_start`), and the soak has one of its own
//! (`soak/src/rules/slow_start.rs`, which sees what endpoints get of all gateways). They are independent on purpose: a
//! fault in one of them is found by the others.

use quota_gateway::{EndpointId, Rules};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Longest window over which attempts are counted, in ms.
const MAX_WINDOW_MS: f64 = 60_000.0;
/// Attempts counted at most; with more in a window the latest count.
const MAX_COUNTED: usize = 8192;
/// Below this number of allowed attempts the wider tolerance applies, as chance weighs more.
const FEW_ATTEMPTS: f64 = 30.0;
/// Tolerance above the allowed number of attempts. It is this many standard deviations of a Poisson count, plus this many
/// attempts.
const TOLERANCE: f64 = 2.0;
/// The tolerance where few attempts are allowed, in the same units.
const TOLERANCE_OF_FEW: f64 = 3.0;

/// Counts the attempts of the last window.
pub struct SlowStartCheck {
    window: Duration,
    multiple: f64,
    slow_start_ms: f64,
    initial_share: f64,
    /// When attempts were sent, to all endpoints.
    all: VecDeque<Instant>,
    /// When attempts were sent to each endpoint in slow start.
    warming_up: HashMap<EndpointId, VecDeque<Instant>>,
}

impl SlowStartCheck {
    /// For these rules.
    pub fn new(rules: &Rules) -> Self {
        let window_ms = rules.overload_window_ms.clamp(0.0, MAX_WINDOW_MS);
        SlowStartCheck {
            window: Duration::from_secs_f64(window_ms / 1000.0),
            multiple: rules.overload_multiple,
            slow_start_ms: rules.slow_start_ms,
            initial_share: rules.slow_start_min_capacity,
            all: VecDeque::new(),
            warming_up: HashMap::new(),
        }
    }

    /// Records an attempt. `age_ms` is the time since its endpoint started, none if that is long past;
    /// `ready_endpoints` the number of them. False if the endpoint has now got more than it may.
    pub fn record(
        &mut self,
        endpoint: EndpointId,
        age_ms: Option<f64>,
        ready_endpoints: usize,
        now: Instant,
    ) -> bool {
        push(&mut self.all, now, self.window);
        let Some(age_ms) = age_ms.filter(|age_ms| *age_ms < self.slow_start_ms) else {
            self.warming_up.remove(&endpoint);
            return true;
        };
        let sent = self.warming_up.entry(endpoint).or_default();
        push(sent, now, self.window);
        let mean = self.all.len() as f64 / ready_endpoints.max(1) as f64;
        let progress = (age_ms / self.slow_start_ms).clamp(0.0, 1.0);
        let capacity_share = self.initial_share + (1.0 - self.initial_share) * progress;
        sent.len() as f64 <= with_tolerance(mean * capacity_share * self.multiple)
    }
}

/// The number of attempts that an endpoint may get by chance if it may get `attempts` in the mean.
fn with_tolerance(attempts: f64) -> f64 {
    let tolerance = if attempts < FEW_ATTEMPTS {
        TOLERANCE_OF_FEW
    } else {
        TOLERANCE
    };
    attempts + tolerance * attempts.sqrt() + tolerance
}

fn push(sent: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while sent.front().is_some_and(|at| now - *at > window) || sent.len() >= MAX_COUNTED {
        sent.pop_front();
    }
    sent.push_back(now);
}
