//! The rules of the protocol, and the observations that they are checked against.
//!
//! - `limits`: the parameters of the rules
//! - `observation_log`: the broken rules and the counters of a run
//! - `checker`: the observed events of each request, checked as they are recorded
//! - `slow_start`: the limit on attempts at an endpoint that is warming up

mod checker;
mod limits;
mod observation_log;
mod slow_start;

pub use checker::{response_body, ObservedAttempt, RuleChecker, SharedRuleChecker};
pub use limits::LIMITS;
pub use observation_log::{ObservationLog, Rule, Violation};
