//! Every decision: what is admitted, where it is sent, what is retried, and when the counter is called.
//!
//! A request comes to [`admission`], which checks the customer's [`quota`] and the fleet's [`overload`].
//! [`forwarding`] sends it to the endpoint that [`load_balancer`] chooses, retries and ends it.
//!
//! The quota rests on [`customer_quota`] (one customer's levels), [`shared_quota`] (what the counter's
//! totals mean), [`ceiling`], and [`counter_calls`] with [`call_limiter`] and [`counter_wait`]. The choice
//! of endpoint rests on [`endpoint_comparison`] with [`candidate`], [`latency`] and [`connections`], on
//! [`outlier`] with [`ejection`], on [`avoidance`], [`slow_start`] and [`subset`]; [`endpoints`] updates
//! what it chooses from.

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
mod endpoints;
pub(crate) mod forwarding;
mod latency;
mod load_balancer;
mod outlier;
mod overload;
pub(crate) mod poll_retry;
mod quota;
mod shared_quota;
mod slow_start;
mod subset;
