//! Checks that an endpoint that is warming up doesn't get more attempts than it can serve.
//!
//! The gateway has a check of its own (`src/bin/quota-gateway/driver/slow_start_check.rs`), which observes the attempts
//! of one gateway and estimates the capacity. The check in this module observes the attempts of all gateways and knows
//! the capacity. The two checks share no code on purpose, so that each can reveal a fault of the other.

use super::limits::RuleLimits;
use std::collections::{HashMap, VecDeque};
use tokio::time::Instant;

/// If fewer attempts than this are allowed in a window, the wider tolerance applies, as small counts vary more by
/// chance.
const SMALL_LIMIT: f64 = 30.0;
/// Tolerance above the limit: this many standard deviations of a Poisson count, plus this many attempts.
const TOLERANCE: f64 = 2.0;
/// The tolerance in place of `TOLERANCE` if the limit is less than `SMALL_LIMIT`.
const SMALL_LIMIT_TOLERANCE: f64 = 3.0;

/// More attempts in a window than an endpoint that is warming up can serve.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Number of attempts in the window.
    pub attempts: f64,
    /// Number of attempts above which the endpoint is overloaded, without the tolerance.
    pub limit: f64,
}

/// Counts the attempts at endpoints that are warming up.
pub struct SlowStartCheck {
    limits: RuleLimits,
    /// The start times of the attempts in the last window, by endpoint number.
    recent: HashMap<usize, VecDeque<Instant>>,
}

impl SlowStartCheck {
    /// Creates a check that has recorded no attempts.
    pub fn new(limits: RuleLimits) -> Self {
        SlowStartCheck {
            limits,
            recent: HashMap::new(),
        }
    }

    /// Counts an attempt at `endpoint`, which started at `started_at`. Returns the overload if there is one.
    pub fn record(
        &mut self,
        endpoint: usize,
        started_at: Instant,
        began_at: Instant,
    ) -> Option<Overload> {
        let limits = self.limits;
        let age = began_at.saturating_duration_since(started_at);
        if age >= limits.warm_up {
            self.recent.remove(&endpoint);
            return None;
        }
        let recent = self.recent.entry(endpoint).or_default();
        let window = limits.overload_window;
        while recent
            .front()
            .is_some_and(|at| began_at.saturating_duration_since(*at) > window)
        {
            recent.pop_front();
        }
        recent.push_back(began_at);
        let attempts = recent.len() as f64;
        let progress = age.as_secs_f64() / limits.warm_up.as_secs_f64();
        let share = limits.initial_share + (1.0 - limits.initial_share) * progress;
        let limit = limits.overload_multiple * share * limits.capacity_per_s * window.as_secs_f64();
        let tolerance = if limit < SMALL_LIMIT {
            SMALL_LIMIT_TOLERANCE
        } else {
            TOLERANCE
        };
        let is_overloaded = attempts > limit + tolerance * limit.sqrt() + tolerance;
        is_overloaded.then_some(Overload { attempts, limit })
    }
}
