//! Checks that an endpoint in slow start gets no more attempts from this gateway than its capacity allows.
//!
//! The gateway does not know the capacity of an endpoint. But all gateways are equal and distribute requests evenly
//! over the endpoints at full capacity, so the mean number of attempts per endpoint is this gateway's share of the load
//! of an endpoint at full capacity. An endpoint in slow start has a part of the full capacity, which grows with its
//! age. The endpoint may get that part of the mean, times the multiple from the settings at which an endpoint counts as
//! overloaded.
//!
//! The check shares no code with the module that decides (`policy::slow_start`), and the soak test has a check of its
//! own (`soak/src/rules/slow_start.rs`, which observes what endpoints get from all gateways). The three are independent
//! on purpose: a fault in one of them is found by the others.

use quota_gateway::{EndpointId, Rules};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Upper bound of the window over which attempts are counted, in ms.
const MAX_WINDOW_MS: f64 = 60_000.0;
/// Maximum number of attempts that are counted; with more in a window, the latest count.
const MAX_COUNTED_ATTEMPTS: usize = 8192;
/// If fewer attempts than this are allowed, the wider tolerance applies, as random variation is relatively larger.
const SMALL_COUNT: f64 = 30.0;
/// Tolerance above the allowed number of attempts: this many standard deviations of a Poisson count, plus this many
/// attempts.
const TOLERANCE: f64 = 2.0;
/// Tolerance if few attempts are allowed, in the same units.
const SMALL_COUNT_TOLERANCE: f64 = 3.0;

/// Counts the attempts of the last window, in total and for each endpoint in slow start.
pub struct SlowStartCheck {
    window: Duration,
    overload_multiple: f64,
    slow_start_ms: f64,
    initial_share: f64,
    /// Times of the attempts to all endpoints.
    to_all: VecDeque<Instant>,
    /// Times of the attempts to each endpoint in slow start.
    in_slow_start: HashMap<EndpointId, VecDeque<Instant>>,
}

impl SlowStartCheck {
    /// Creates a check for the rules of the settings.
    pub fn new(rules: &Rules) -> Self {
        let window_ms = rules.overload_window_ms.clamp(0.0, MAX_WINDOW_MS);
        SlowStartCheck {
            window: Duration::from_secs_f64(window_ms / 1000.0),
            overload_multiple: rules.overload_multiple,
            slow_start_ms: rules.slow_start_ms,
            initial_share: rules.slow_start_min_capacity,
            to_all: VecDeque::new(),
            in_slow_start: HashMap::new(),
        }
    }

    /// Records an attempt. `age_ms` is the time since its endpoint started, `None` if that is long past.
    /// `ready_endpoints` is the number of ready endpoints. Returns false if the endpoint has now got more attempts than
    /// allowed.
    pub fn record(
        &mut self,
        endpoint: EndpointId,
        age_ms: Option<f64>,
        ready_endpoints: usize,
        now: Instant,
    ) -> bool {
        push_within_window(&mut self.to_all, now, self.window);
        let Some(age_ms) = age_ms.filter(|age_ms| *age_ms < self.slow_start_ms) else {
            self.in_slow_start.remove(&endpoint);
            return true;
        };
        let sent = self.in_slow_start.entry(endpoint).or_default();
        push_within_window(sent, now, self.window);
        let mean = self.to_all.len() as f64 / ready_endpoints.max(1) as f64;
        let progress = (age_ms / self.slow_start_ms).clamp(0.0, 1.0);
        let capacity_share = self.initial_share + (1.0 - self.initial_share) * progress;
        sent.len() as f64 <= with_tolerance(mean * capacity_share * self.overload_multiple)
    }
}

/// The number of attempts that an endpoint may get by chance if it may get `attempts` on average.
fn with_tolerance(attempts: f64) -> f64 {
    let tolerance = if attempts < SMALL_COUNT {
        SMALL_COUNT_TOLERANCE
    } else {
        TOLERANCE
    };
    attempts + tolerance * attempts.sqrt() + tolerance
}

fn push_within_window(sent: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while sent.front().is_some_and(|at| now - *at > window) || sent.len() >= MAX_COUNTED_ATTEMPTS {
        sent.pop_front();
    }
    sent.push_back(now);
}
