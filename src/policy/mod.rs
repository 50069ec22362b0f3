//! Every decision of the gateway: what is admitted, where it is sent, what is retried and when the counter is
//! called.

mod connections;
mod endpoints;
pub(crate) mod gateway;
mod latency;
mod load_balancer;
mod outlier;
mod slow_start;
mod subset;
