//! The decisions of a gateway: what it admits, where it sends it, what it retries, when it calls the counter.
//!
//! [`gateway`] hands a request to [`admission`], which checks the customer's [`quota`] and the fleet's
//! [`overload`]. [`forwarding`] sends it to the endpoint that [`load_balancer`] chooses, retries and ends it.

mod admission;
mod connections;
mod counter_calls;
mod endpoints;
mod forwarding;
pub(crate) mod gateway;
mod latency;
mod load_balancer;
mod outlier;
mod overload;
mod quota;
mod slow_start;
mod subset;
mod usage_gossip;
