//! The rules of the protocol, and what was seen that they are checked by.
//!
//! - `limits`: the figures of the rules, as the gateways get them
//! - `observation_log`: broken rules and counts
//! - `checker`: what was seen of each request, checked as it comes in
//! - `slow_start`: how many attempts an endpoint that is warming up may get

mod checker;
mod limits;
mod observation_log;
mod slow_start;

pub use checker::{answer_body, ObservedAttempt, RuleChecker, SharedRuleChecker};
pub use limits::LIMITS;
pub use observation_log::{ObservationLog, Rule, Violation};
