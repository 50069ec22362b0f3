//! How many attempts an endpoint that is warming up may get.
//!
//! The program has a check of its own (`driver/slow_start_check.rs`), which sees the attempts of one gateway and
//! estimates the capacity. This one sees the attempts of all gateways, and knows the capacity. It shares no code with
//! the other on purpose: a fault in one of them is found by the other.

use super::limits::RuleLimits;
use std::collections::{HashMap, VecDeque};
use tokio::time::Instant;

/// Below this number of attempts in a window the wider tolerance applies, as small counts vary more by chance.
const FEW_ATTEMPTS: f64 = 30.0;
/// Tolerance above the limit, in standard deviations of a Poisson count; as many attempts are added.
const TOLERANCE: f64 = 2.0;
/// The tolerance where the limit is less than `FEW_ATTEMPTS`, in the same unit.
const TOLERANCE_OF_FEW: f64 = 3.0;

/// More attempts in a window than an endpoint that is warming up can serve.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Attempts in the window.
    pub attempts: f64,
    /// Attempts that overload it, without the tolerance.
    pub limit: f64,
}

/// Counts the attempts at endpoints that are warming up.
pub struct SlowStartCheck {
    limits: RuleLimits,
    /// The attempts of the last window, by endpoint.
    recent: HashMap<usize, VecDeque<Instant>>,
}

impl SlowStartCheck {
    /// No attempts yet.
    pub fn new(limits: RuleLimits) -> Self {
        SlowStartCheck {
            limits,
            recent: HashMap::new(),
        }
    }

    /// Counts an attempt at an endpoint that started then. Returns how it is overloaded, if it is.
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
        let tolerance = if limit < FEW_ATTEMPTS {
            TOLERANCE_OF_FEW
        } else {
            TOLERANCE
        };
        let is_overloaded = attempts > limit + tolerance * limit.sqrt() + tolerance;
        is_overloaded.then_some(Overload { attempts, limit })
    }
}
