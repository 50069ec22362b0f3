//! What the gateway remembers: plain records with their constructors. Nothing here decides anything.

mod counter_call;
mod customer;
mod endpoint;
mod request;

pub(crate) use counter_call::{counter_key, CounterCall};
pub(crate) use customer::Customer;
pub(crate) use endpoint::TrackedEndpoint;
pub(crate) use request::{Attempt, FirstExecution, OpenRequest};
