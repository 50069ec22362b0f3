//! Every decision of the gateway: what is admitted, where it is sent, what is retried and when the counter is
//! called.

pub(crate) mod gateway;
mod load_balancer;
mod subset;
