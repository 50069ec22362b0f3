//! Requests as clients send them.

use super::context::ClientContext;
use crate::request_class::RequestClass;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A client waits for at least this time, or half of the class's deadline if that is shorter.
const MIN_REMAINING: Duration = Duration::from_millis(150);
/// A client waits for at least this share of the class's deadline.
const MIN_REMAINING_SHARE: f64 = 0.1;
/// Number of customers whose requests one client sends.
const CUSTOMERS: u64 = 50;
/// The request classes, drawn with equal probability.
const CLASSES: [RequestClass; 3] = [
    RequestClass::Idempotent,
    RequestClass::WithKey,
    RequestClass::AtMostOnce,
];
/// Length of a request body.
const BODY_BYTES: std::ops::Range<usize> = 0..4000;

/// One request.
pub struct Request {
    /// The id of the request (`X-Txn`).
    pub transaction: u64,
    /// The class of the request.
    pub class: RequestClass,
    /// The time that the client waits for the response (`X-Remaining-Ms`).
    pub remaining: Duration,
    /// The complete message as the client sends it.
    pub text: String,
}

/// Generates the requests of one client.
pub struct RequestSource {
    context: ClientContext,
    number: u64,
    rng: ChaCha8Rng,
}

impl RequestSource {
    /// Creates the source for the client `number`, which has to be unique in the run.
    pub fn new(context: ClientContext, number: u64) -> Self {
        let rng = crate::seeded_rng(context.settings.seed, "requests", number);
        RequestSource {
            context,
            number,
            rng,
        }
    }

    /// Returns the next request, with a new id.
    pub fn next(&mut self) -> Request {
        let class = *CLASSES
            .choose(&mut self.rng)
            .unwrap_or(&RequestClass::Idempotent);
        let longest = self.context.settings.scenario.deadline(class);
        let shortest = longest
            .mul_f64(MIN_REMAINING_SHARE)
            .max(MIN_REMAINING)
            .min(longest / 2);
        let remaining = self.rng.random_range(shortest..longest);
        let transaction = self.context.transactions.next();
        let customer = self.number * CUSTOMERS + self.rng.random_range(0..CUSTOMERS);
        let body_length = if class == RequestClass::Idempotent {
            0
        } else {
            self.rng.random_range(BODY_BYTES)
        };
        let text = request_text(class, transaction, customer, remaining, body_length);
        Request {
            transaction,
            class,
            remaining,
            text,
        }
    }
}

fn request_text(
    class: RequestClass,
    transaction: u64,
    customer: u64,
    remaining: Duration,
    body_length: usize,
) -> String {
    let (method, name) = match class {
        RequestClass::Idempotent => ("GET", "look"),
        RequestClass::WithKey => ("POST", "order"),
        RequestClass::AtMostOnce => ("POST", "once"),
    };
    let key = match class {
        RequestClass::WithKey => format!("Idempotency-Key: key-{transaction:016x}\r\n"),
        RequestClass::Idempotent | RequestClass::AtMostOnce => String::new(),
    };
    let length = match class {
        RequestClass::Idempotent => String::new(),
        RequestClass::WithKey | RequestClass::AtMostOnce => {
            format!("Content-Length: {body_length}\r\n")
        }
    };
    format!(
        "{method} /{name}?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {transaction:016x}\r\n\
         X-Lane: {name}\r\nX-Plan: plus\r\nX-Remaining-Ms: {}\r\n{key}{length}\
         X-Quota: units=1,spread=1,first=0\r\n\r\n{}",
        remaining.as_millis(),
        "b".repeat(body_length)
    )
}
