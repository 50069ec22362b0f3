//! What gateways tell each other, where a site permits it: their messages, and when they are exchanged.

mod exchange;
mod message;

pub(crate) use exchange::UsageExchange;
