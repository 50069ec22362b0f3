//! What the gateway remembers: plain records with their constructors. Nothing here decides anything.

mod candidate;
mod connections;
mod counter_call;
mod customer;
mod endpoint;
mod endpoint_table;
mod request;
mod subset_load;
mod warming_members;

pub(crate) use candidate::{Candidate, DeduplicationScope, Preference};
pub(crate) use connections::ConnectionEstimate;
pub(crate) use counter_call::{counter_key, CounterCall};
pub(crate) use customer::Customer;
pub(crate) use endpoint::{EndpointHealth, TrackedEndpoint};
pub(crate) use endpoint_table::EndpointTable;
pub(crate) use request::{Attempt, FirstExecution, OpenRequest};
pub(crate) use subset_load::SubsetLoad;
pub(crate) use warming_members::WarmingMembers;
