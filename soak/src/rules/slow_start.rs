//! How many attempts a cold endpoint may get.

use super::limits::RuleLimits;
use std::collections::{HashMap, VecDeque};
use tokio::time::Instant;

/// Below this number of attempts in a window the wider margin applies, as small counts vary more by chance.
const FEW_ATTEMPTS: f64 = 30.0;
/// Margin above the limit, in standard deviations of a Poisson count; as many attempts are added.
const MARGIN: f64 = 2.0;
/// The margin where the limit is less than `FEW_ATTEMPTS`, in the same unit.
const MARGIN_FOR_FEW: f64 = 3.0;

/// More attempts in a window than a cold endpoint can serve.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Attempts in the window.
    pub attempts: f64,
    /// Attempts that overload it, without the margin.
    pub limit: f64,
}

/// Counts the attempts at cold endpoints.
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
        let margin = if limit < FEW_ATTEMPTS {
            MARGIN_FOR_FEW
        } else {
            MARGIN
        };
        let is_overloaded = attempts > limit + margin * limit.sqrt() + margin;
        is_overloaded.then_some(Overload { attempts, limit })
    }
}
