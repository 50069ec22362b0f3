//! Checks that endpoints in slow start get no more from this gateway than its share of what they bear.
//!
//! What an endpoint bears in all is not known here. But gateways are alike: what one of them sends a warm endpoint is its
//! share of what that bears, so a cold one may get the settings' multiple of its part of that.

use quota_gateway::{EndpointId, Rules};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Longest window that is looked at, in ms.
const MAX_WINDOW_MS: f64 = 60_000.0;
/// Attempts remembered at most; with more in a window the mean is taken of the latest.
const MAX_REMEMBERED: usize = 8192;
/// Below this number of attempts the margin is the wider one.
const FEW_ATTEMPTS: f64 = 30.0;
/// Margins above the number that an endpoint bears, in roots of that and in attempts.
const MARGIN: f64 = 2.0;
const MARGIN_OF_FEW: f64 = 3.0;

/// The attempts of the last window.
pub struct SlowStartCheck {
    window: Duration,
    multiple: f64,
    slow_start_ms: f64,
    initial_share: f64,
    /// Those to all endpoints.
    all: VecDeque<Instant>,
    /// Those to each endpoint in slow start.
    cold: HashMap<EndpointId, VecDeque<Instant>>,
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
            cold: HashMap::new(),
        }
    }

    /// Takes in an attempt. `age_ms` is the endpoint's age, none if that is not known to be low; `ready_endpoints` how
    /// many there are. False if the endpoint has now got more than this gateway's share.
    pub fn record(
        &mut self,
        endpoint: EndpointId,
        age_ms: Option<f64>,
        ready_endpoints: usize,
        now: Instant,
    ) -> bool {
        push(&mut self.all, now, self.window);
        let Some(age_ms) = age_ms.filter(|age_ms| *age_ms < self.slow_start_ms) else {
            self.cold.remove(&endpoint);
            return true;
        };
        let sent = self.cold.entry(endpoint).or_default();
        push(sent, now, self.window);
        let mean = self.all.len() as f64 / ready_endpoints.max(1) as f64;
        let progress = (age_ms / self.slow_start_ms).clamp(0.0, 1.0);
        let capacity_share = self.initial_share + (1.0 - self.initial_share) * progress;
        sent.len() as f64 <= with_margin(mean * capacity_share * self.multiple)
    }
}

/// What an endpoint bears that may get this number of attempts in the mean.
fn with_margin(attempts: f64) -> f64 {
    let margin = if attempts < FEW_ATTEMPTS {
        MARGIN_OF_FEW
    } else {
        MARGIN
    };
    attempts + margin * attempts.sqrt() + margin
}

fn push(sent: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while sent.front().is_some_and(|at| now - *at > window) || sent.len() >= MAX_REMEMBERED {
        sent.pop_front();
    }
    sent.push_back(now);
}
