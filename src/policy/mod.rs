//! The gateway's decisions: admission, load balancing, retries, and calls to the shared counter.
//!
//! [`request_handler`] takes each request from its arrival to its end. The decisions themselves are functions
//! in the modules below: each takes named inputs and returns a value that states its reason.
//! [`request_handler`] carries them out:
//!
//! - [`admission`] decides whether a request is forwarded or rejected, by its customer's [`quota`] and by the
//!   load of the fleet ([`overload`], [`load_estimate`]);
//! - [`retry`] decides whether an attempt may be sent or repeated, and until when it may start;
//! - [`attempt_timeout`] decides how long an attempt may take;
//! - [`final_response`] decides on the response to a request that no endpoint has served.
//!
//! [`forwarding`] sends attempts to the endpoints that [`load_balancer`] chooses.
//!
//! The quota uses [`customer_quota`] (the levels of one customer), [`shared_quota`] (the correction of a
//! level by the counter's totals), [`ceiling`] (the hard ceiling), and [`counter_calls`] with
//! [`call_limiter`] and [`counter_wait`] (the calls to the counter).
//!
//! The choice of endpoint uses [`endpoint_comparison`] with [`candidate`], [`latency`] and [`connections`];
//! [`outlier`] with [`ejection`]; [`avoidance`], [`slow_start`] and [`subset`]. [`endpoints`] applies updates
//! of the endpoint list, and [`poll_retry`] schedules the retry of a failed poll of that list.

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
