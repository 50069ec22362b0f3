//! The classes of requests, as clients address them.

use hyper::Method;
use quota_gateway::{Class, Idempotency};

/// A class of requests as clients address it.
pub struct ClassRoute {
    /// Its name: the first segment of the path.
    pub name: String,
    /// The method of all its requests.
    pub method: Method,
    /// Its requests must not be executed twice, and endpoints do not deduplicate retries.
    pub at_most_once: bool,
    /// Its requests need an idempotency key.
    pub needs_key: bool,
    /// Longest remaining time of its requests, in ms.
    pub deadline_ms: f64,
}

impl ClassRoute {
    /// The route of a class with this name.
    pub fn new(name: String, class: &Class) -> Self {
        let method = if class.idempotency == Idempotency::Idempotent {
            Method::GET
        } else {
            Method::POST
        };
        let needs_key = matches!(class.idempotency, Idempotency::WithKey { .. });
        let at_most_once = class.idempotency == Idempotency::NotIdempotent;
        ClassRoute {
            name,
            method,
            at_most_once,
            needs_key,
            deadline_ms: class.deadline_ms,
        }
    }
}
