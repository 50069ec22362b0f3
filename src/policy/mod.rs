//! Every decision of the gateway: what it admits, where it sends it, what it retries, when it calls the counter.
//!
//! A request comes to [`admission`], which checks the customer's [`quota`] and the fleet's [`overload`].
//! [`forwarding`] sends it to the endpoint that [`load_balancer`] chooses, retries and ends it.

mod admission;
mod call_limiter;
mod candidate;
mod connections;
mod counter_calls;
mod endpoints;
mod forwarding;
mod latency;
mod load_balancer;
mod outlier;
mod overload;
mod quota;
mod slow_start;
mod subset;

pub(crate) use endpoints::PollRetry;
pub(crate) use forwarding::Forwarder;
