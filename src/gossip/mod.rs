//! Gossip: messages about customers' usage that gateways exchange, where a site permits it.

mod exchange;
mod message;

pub(crate) use exchange::UsageExchange;
