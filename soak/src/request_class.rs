//! The request classes of the soak test.

/// The class of a request, which decides whether it may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// May be executed any number of times. The gateway's class `look`.
    Idempotent,
    /// Has an idempotency key, which all endpoints share and remember for a limited time. The gateway's class `order`.
    WithKey,
    /// May be executed at most once. The gateway's class `once`.
    AtMostOnce,
}
