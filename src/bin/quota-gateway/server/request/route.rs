//! The path and method by which clients address each class of requests.

use hyper::Method;
use quota_gateway::{Class, Idempotency, KeyScope};

/// The path and method of a class, and the requirements on its requests.
pub struct ClassRoute {
    /// Name of the class, which is the first segment of the path.
    pub name: String,
    /// Method of all requests of the class.
    pub method: Method,
    /// True if requests must not be executed twice and endpoints do not deduplicate retries.
    pub at_most_once: bool,
    /// True if a request may be sent again, whatever has become of it and to whichever endpoint.
    pub may_repeat: bool,
    /// True if requests need an idempotency key.
    pub needs_key: bool,
    /// Upper bound of the remaining time of a request, in ms.
    pub deadline_ms: f64,
}

impl ClassRoute {
    /// Creates the route of a class with this name.
    pub fn new(name: String, class: &Class) -> Self {
        let method = if class.idempotency == Idempotency::Idempotent {
            Method::GET
        } else {
            Method::POST
        };
        let needs_key = matches!(class.idempotency, Idempotency::WithKey { .. });
        let at_most_once = class.idempotency == Idempotency::NotIdempotent;
        let may_repeat = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => scope == KeyScope::All,
            Idempotency::NotIdempotent => false,
        };
        ClassRoute {
            name,
            method,
            at_most_once,
            may_repeat,
            needs_key,
            deadline_ms: class.deadline_ms,
        }
    }
}
