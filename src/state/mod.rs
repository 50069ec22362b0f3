//! The gateway's state: records of endpoints, customers and requests, the tables that hold them, and the operations
//! that keep a record consistent.
//!
//! Decisions, and the constants that they depend on, are in `policy`. Some are further inherent methods of the records
//! here; such a record names the module that has them.

mod charge;
mod connections;
mod context;
mod customer;
mod ejection;
mod endpoint;
mod endpoint_table;
mod location;
mod request;
mod shared_quota;
mod subset_load;
mod timer;
mod warm_up;
mod warming_members;

pub(crate) use charge::{
    counter_key, Account, Charge, ChargeReply, ChargeResult, PendingCharge, PendingCharges,
};
pub(crate) use connections::ConnectionEstimate;
pub(crate) use context::Context;
pub(crate) use customer::{Customer, Customers};
pub(crate) use ejection::Ejection;
pub(crate) use endpoint::{EndpointHealth, TrackedEndpoint};
pub(crate) use endpoint_table::EndpointTable;
pub(crate) use location::{Destination, Location};
pub(crate) use request::{Attempt, InvalidRequest, OpenRequest, OpenRequests};
pub(crate) use shared_quota::SharedQuota;
pub(crate) use subset_load::SubsetLoad;
pub(crate) use timer::Timer;
pub(crate) use warm_up::WarmUp;
pub(crate) use warming_members::WarmingMembers;
