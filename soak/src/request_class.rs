//! The classes of requests of the soak test.

/// How a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Idempotent. The gateway's class `look`.
    Idempotent,
    /// With an idempotency key, which all endpoints know for a time. The gateway's class `order`.
    WithKey,
    /// Executed at most once. The gateway's class `once`.
    AtMostOnce,
}
