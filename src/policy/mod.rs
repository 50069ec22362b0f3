//! Every decision: what is admitted, where it is sent, what is retried, and when the counter is called.
//!
//! A request comes to [`admission`], which checks the customer's [`quota`] and the fleet's [`overload`].
//! [`forwarding`] sends it to the endpoint that [`load_balancer`] chooses, retries and ends it.

mod admission;
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
pub(crate) mod endpoints;
pub(crate) mod forwarding;
mod latency;
mod load_balancer;
mod outlier;
mod overload;
mod quota;
mod shared_quota;
mod slow_start;
mod subset;
