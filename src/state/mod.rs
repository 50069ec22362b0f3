//! What the gateway remembers: plain records with their constructors, and the tables that hold them. Nothing here
//! decides about a request.

mod context;
mod counter_call;
mod customer;
mod endpoint;
mod request;
mod timer;

pub(crate) use context::Context;
pub(crate) use counter_call::{counter_key, Account, CounterCall, CounterReply, PendingCounterCalls};
pub(crate) use customer::{Customer, Customers};
pub(crate) use endpoint::TrackedEndpoint;
pub(crate) use request::{Attempt, OpenRequest, OpenRequests};
pub(crate) use timer::Timer;
