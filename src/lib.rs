//! Decision logic of a gateway that enforces customer quotas in front of a shared fleet of servers.
//!
//! The library performs no I/O and reads no clock. The program that embeds it, called the host, passes [`Event`]s and
//! the current time to a [`Gateway`] and carries out the [`Action`]s that are returned. The decisions are
//! deterministic: the same settings, seed and events always lead to the same actions.
//!
//! ```
//! use quota_gateway::{
//!     Action, Class, Endpoint, EndpointState, Event, Gateway, Idempotency, Limits, Plan, Request, Settings,
//! };
//!
//! let class = Class {
//!     latency_objective_ms: 500.0,
//!     deadline_ms: 2000.0,
//!     idempotency: Idempotency::Idempotent,
//!     ..Class::default()
//! };
//! let settings = Settings {
//!     gateway_count: 1,
//!     classes: vec![class],
//!     plans: vec![Plan { rate: 2.0, burst: 4.0, ..Plan::default() }],
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7, 0.0);
//! let mut actions = Vec::new();
//!
//! let endpoint = Endpoint {
//!     id: 11,
//!     hash_key: 11,
//!     zone: 0,
//!     kind: 0,
//!     cell: 0,
//!     state: EndpointState::Ready,
//!     weight: 1.0,
//!     started_at: 0.0,
//! };
//! let update = Event::EndpointUpdate { complete: true, endpoints: vec![endpoint] };
//! gateway.handle(0.0, update, &mut actions);
//!
//! let request = |id| {
//!     Event::Request(Request {
//!         id,
//!         customer: 5,
//!         plan: 0,
//!         class: 0,
//!         units: 3.0,
//!         timeout_ms: 2000.0,
//!         gateway_set_size: 1.0,
//!         is_retry: false,
//!     })
//! };
//! gateway.handle(1.0, request(1), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::SendAttempt { id: 1, endpoint: 11, .. })));
//!
//! // The quota started with 4 units and has 1 left: a second request of 3 units is rejected at once.
//! gateway.handle(2.0, request(2), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Reject { id: 2, .. })));
//! ```
// Tests fail by panicking, and the floating-point values that they compare are exact.
#![cfg_attr(
    test,
    allow(
        clippy::unwrap_used,
        clippy::float_cmp,
        clippy::unchecked_time_subtraction
    )
)]

pub mod api;
mod gateway;
mod gossip;
mod policy;
mod primitives;
mod state;
pub mod wire_settings;

pub use api::*;
pub use gateway::Gateway;
