//! The public types of the decision library: settings, endpoints, events and actions.
//!
//! They are plain data. A program that hosts a [`Gateway`](crate::Gateway) builds [`Settings`] once, reports what
//! happens as [`Event`]s and carries out the [`Action`]s that it gets back. Nothing here decides anything.

mod action;
mod endpoint;
mod event;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointState};
pub use event::{AttemptEnd, Event, Outcome, Request};
pub use settings::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings,
};

/// A moment on the gateway's clock or a span of it, in milliseconds. The clock's origin is arbitrary, but all
/// gateways of a fleet have to share it: the windows of the shared counter are named by it.
pub type Millis = f64;
/// Identifies a request at one gateway; never used twice there.
pub type RequestId = u64;
/// Identifies an endpoint at one gateway. The number says nothing about its zone, kind or age.
pub type EndpointId = u32;
/// Identifies a customer, the same at all gateways.
pub type CustomerId = u64;
