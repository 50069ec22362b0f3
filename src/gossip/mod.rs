//! Gossip between gateways: messages that state the usage of customers, sent only if the settings permit it.

mod exchange;
mod message;

pub(crate) use exchange::UsageExchange;
