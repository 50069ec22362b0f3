//! Parses the head of a request and checks it against the settings.
//!
//! - `route`: the path and method of each class
//! - `fields`: parses the individual fields of a head
//! - `error`: the errors of an invalid request and their response statuses

mod error;
mod fields;
mod route;

#[cfg(test)]
mod tests;

pub use error::RequestError;
pub use route::ClassRoute;

use crate::driver::IncomingRequest;
use crate::http::header_names;
use fields::{
    check_idempotency_key, parse_customer, parse_decimal, parse_hex_id, parse_integer,
    parse_remaining_ms, quota_field, single_header,
};
use hyper::{HeaderMap, Method, Uri};
use quota_gateway::Settings;
use tokio::time::Instant;

/// A request with a valid head. The body has not been read.
pub struct ParsedRequest<'a> {
    /// The parsed head.
    pub incoming: IncomingRequest,
    /// The class of the request.
    pub class: &'a ClassRoute,
}

/// The fields of `X-Quota` that the gateway uses.
struct Quota {
    /// Estimated units of the request.
    units: f64,
    /// Number of gateways over which the customer's requests are spread.
    gateway_set_size: u64,
}

/// Parses request heads and checks them against the settings.
pub struct RequestParser {
    classes: Vec<ClassRoute>,
    plans: Vec<String>,
    max_units: f64,
    gateway_count: u64,
}

impl RequestParser {
    /// Creates a parser. `classes` and `plans` are the names of the classes and plans of `settings`, in the same order.
    pub fn new(settings: &Settings, classes: Vec<String>, plans: Vec<String>) -> Self {
        let classes = classes.into_iter().zip(&settings.classes);
        RequestParser {
            classes: classes
                .map(|(name, class)| ClassRoute::new(name, class))
                .collect(),
            plans,
            max_units: settings.max_units,
            gateway_count: settings.gateway_count.into(),
        }
    }

    /// Parses the head of a request that arrived at `received_at`.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn parse(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        received_at: Instant,
    ) -> Result<ParsedRequest<'_>, RequestError> {
        let class_name = uri
            .path()
            .strip_prefix('/')
            .and_then(|path| path.split('/').next())
            .unwrap_or("");
        let class_index = self.class_index(class_name)?;
        let class = &self.classes[class_index];
        if *method != class.method {
            return Err(RequestError::MethodNotAllowed {
                allowed: class.method.clone(),
            });
        }
        if single_header(headers, header_names::CLASS) != Some(class_name) {
            return Err(RequestError::ClassMismatch);
        }
        let transaction_id =
            single_header(headers, header_names::TRANSACTION_ID).and_then(parse_hex_id);
        let transaction_id = transaction_id.ok_or(RequestError::InvalidTransactionId)?;
        check_idempotency_key(headers, class)?;
        let plan = self.parse_plan(headers)?;
        let remaining_ms = parse_remaining_ms(headers)?;
        let customer = parse_customer(uri)?;
        let quota = self.parse_quota(headers)?;
        let incoming = IncomingRequest {
            transaction_id,
            customer,
            plan,
            class: class_index as u32,
            units: quota.units,
            gateway_set_size: quota.gateway_set_size as f64,
            is_retry: single_header(headers, header_names::RETRY) == Some("1"),
            remaining_ms: (remaining_ms as f64).min(class.deadline_ms),
            received_at,
        };
        Ok(ParsedRequest { incoming, class })
    }

    fn class_index(&self, name: &str) -> Result<usize, RequestError> {
        self.classes
            .iter()
            .position(|class| class.name == name)
            .ok_or(RequestError::UnknownClass)
    }

    fn parse_plan(&self, headers: &HeaderMap) -> Result<u32, RequestError> {
        let name = single_header(headers, header_names::PLAN).ok_or(RequestError::UnknownPlan)?;
        let index = self
            .plans
            .iter()
            .position(|plan| plan == name)
            .ok_or(RequestError::UnknownPlan)?;
        Ok(index as u32)
    }

    fn parse_quota(&self, headers: &HeaderMap) -> Result<Quota, RequestError> {
        let text = single_header(headers, header_names::QUOTA).unwrap_or("");
        let integer = |name| quota_field(text, name).and_then(parse_integer);
        let units = quota_field(text, "units")
            .and_then(parse_decimal)
            .ok_or(RequestError::InvalidQuota)?;
        let gateway_set_size = integer("spread").ok_or(RequestError::InvalidQuota)?;
        let first_gateway = integer("first").ok_or(RequestError::InvalidQuota)?;
        let in_range = units > 0.0
            && units <= self.max_units
            && (1..=self.gateway_count).contains(&gateway_set_size)
            && first_gateway < self.gateway_count;
        if !in_range {
            return Err(RequestError::InvalidQuota);
        }
        Ok(Quota {
            units,
            gateway_set_size,
        })
    }
}
