//! The public data types of the library: settings, endpoints, events and actions.
//!
//! The host builds [`Settings`] once, creates a [`Gateway`](crate::Gateway) with them, reports what happens as
//! [`Event`]s and carries out the returned [`Action`]s. The types contain no decision logic.

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

/// A point in time on the gateway's clock, or a duration, in milliseconds. The origin of the clock is arbitrary, but
/// all gateways of a fleet must use the same one: the windows of the shared counter are numbered by the clock.
pub type Millis = f64;
/// Identifies a request at one gateway. The host never reuses an id.
pub type RequestId = u64;
/// Identifies an endpoint at one gateway. The number implies nothing about the endpoint's zone, kind or age.
pub type EndpointId = u32;
/// Identifies a customer. All gateways use the same id for a customer.
pub type CustomerId = u64;
