//! Every decision: what is admitted, where it is sent, what is retried, and when the counter is called.
//!
//! [`request_handler`] sees a request through. It asks the modules that decide, each by a function of named
//! inputs that returns a value with its reason, and carries the decision out:
//!
//! - [`admission`]: whether the request is forwarded or rejected, by its customer's [`quota`] and by the load
//!   of the fleet ([`overload`], [`load_estimate`]);
//! - [`retry`]: whether it may be sent, or sent again, and until when;
//! - [`attempt_timeout`]: how long an attempt may take;
//! - [`final_response`]: what the client gets if no endpoint has served it.
//!
//! [`forwarding`] sends the attempts to the endpoints that [`load_balancer`] chooses.

mod admission;
mod attempt_timeout;
mod call_limiter;
mod candidate;
mod connections;
mod counter_calls;
pub(crate) mod endpoints;
mod final_response;
mod forwarding;
mod latency;
mod load_balancer;
mod load_estimate;
mod outlier;
mod overload;
mod quota;
pub(crate) mod request_handler;
mod retry;
mod slow_start;
mod subset;
