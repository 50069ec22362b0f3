//! What the gateway remembers: plain records with their constructors, and the tables that hold them. Nothing here
//! decides about a request.

mod connections;
mod context;
mod counter_call;
mod customer;
mod endpoint;
mod endpoint_table;
mod request;
mod shared_quota;
mod subset_load;
mod timer;
mod warming_members;

pub(crate) use connections::ConnectionEstimate;
pub(crate) use context::Context;
pub(crate) use counter_call::{
    counter_key, Account, CounterCall, CounterReply, PendingCounterCalls,
};
pub(crate) use customer::{Customer, Customers};
pub(crate) use endpoint::{EndpointHealth, TrackedEndpoint};
pub(crate) use endpoint_table::EndpointTable;
pub(crate) use request::{Attempt, OpenRequest, OpenRequests};
pub(crate) use shared_quota::{Charge, SharedQuota};
pub(crate) use subset_load::SubsetLoad;
pub(crate) use timer::Timer;
pub(crate) use warming_members::WarmingMembers;
