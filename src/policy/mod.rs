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
//!
//! The quota rests on [`customer_quota`] (one customer's levels), [`shared_quota`] (what the counter's
//! totals mean), [`ceiling`], and [`counter_calls`] with [`call_limiter`] and [`counter_wait`]. The choice
//! of endpoint rests on [`endpoint_comparison`] with [`candidate`], [`latency`] and [`connections`], on
//! [`outlier`] with [`ejection`], on [`avoidance`], [`slow_start`] and [`subset`]; [`endpoints`] updates
//! what it chooses from, and [`poll_retry`] says when a failed poll of the list is repeated.

mod admission;
mod attempt_timeout;
mod avoidance;
mod call_limiter;
mod candidate;
mod ceiling;
mod connections;
mod counter_calls;
mod counter_wait;
mod customer_quota;
mod ejection;
mod endpoint_comparison;
mod endpoints;
mod final_response;
mod forwarding;
mod latency;
mod load_balancer;
mod load_estimate;
mod outlier;
mod overload;
pub(crate) mod poll_retry;
mod quota;
pub(crate) mod request_handler;
mod retry;
mod shared_quota;
mod slow_start;
mod subset;
