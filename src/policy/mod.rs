//! Every decision: what is admitted, where it is sent, what is retried, and when the counter is called.
//!
//! A request comes to [`admission`], which checks the customer's [`quota`] and the fleet's [`overload`].
//! [`forwarding`] sends it to the endpoint that [`load_balancer`] chooses, retries and ends it.

mod admission;
mod attempt_timeout;
mod call_limiter;
mod candidate;
mod connections;
mod counter_calls;
pub(crate) mod endpoints;
mod final_response;
pub(crate) mod forwarding;
mod latency;
mod load_balancer;
mod load_estimate;
mod outlier;
mod overload;
mod quota;
mod retry;
mod slow_start;
mod subset;
