//! What a request says of itself, and what can be wrong with it.

use crate::driver::IncomingRequest;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use quota_gateway::{Class, Idempotency, Settings};
use thiserror::Error;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Longest time that a client may say it waits.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// A customer's number stays below this.
const CUSTOMERS: u64 = 1 << 33;
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Characters of an idempotency key beside letters and digits.
const KEY_PUNCTUATION: &[u8] = b"-_.:";
/// Hex digits of transaction ids and account numbers.
const HEX_ID_DIGITS: usize = 16;

/// The protocol's headers, in lower case.
pub mod header_names {
    /// The client's id of the transaction.
    pub const TRANSACTION_ID: &str = "x-txn";
    /// The idempotency key by which endpoints deduplicate retries.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The class; also the first segment of the path.
    pub const CLASS: &str = "x-lane";
    /// The customer's plan.
    pub const PLAN: &str = "x-plan";
    /// Time that the client still waits.
    pub const REMAINING_MS: &str = "x-remaining-ms";
    /// Units that the request takes, and the gateways that the customer comes through.
    pub const QUOTA: &str = "x-quota";
    /// `1` on a retry.
    pub const RETRY: &str = "x-resent";
}

/// What is wrong with a request. Its response is neither 429 nor 503: those promise that a retry is harmless. The
/// messages are part of the protocol.
#[derive(Debug, Error)]
pub enum RequestError {
    #[error("a Content-Length is needed, and no Transfer-Encoding")]
    TransferEncoding,
    #[error("no such class")]
    UnknownClass,
    #[error("wrong method")]
    MethodNotAllowed {
        /// The method of the class.
        allowed: Method,
    },
    #[error("X-Lane is missing or differs from the path")]
    ClassMismatch,
    #[error("X-Txn is missing or malformed")]
    InvalidTransactionId,
    #[error("Idempotency-Key is missing or malformed")]
    InvalidIdempotencyKey,
    #[error("X-Plan is missing or unknown")]
    UnknownPlan,
    #[error("X-Remaining-Ms is missing or no whole number")]
    InvalidRemainingTime,
    #[error("account is missing or malformed")]
    InvalidAccount,
    #[error("X-Quota is missing, malformed or out of range")]
    InvalidQuota,
    #[error("body over 64 KiB")]
    BodyTooLarge,
    #[error("a body where none belongs")]
    UnexpectedBody,
    #[error("X-Txn is that of an open request")]
    DuplicateTransaction,
    #[error("body not whole")]
    IncompleteBody,
    #[error("body not whole in time")]
    BodyTimeout,
}

impl RequestError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::DuplicateTransaction => StatusCode::CONFLICT,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::ClassMismatch
            | RequestError::InvalidTransactionId
            | RequestError::InvalidIdempotencyKey
            | RequestError::UnknownPlan
            | RequestError::InvalidRemainingTime
            | RequestError::InvalidAccount
            | RequestError::InvalidQuota
            | RequestError::UnexpectedBody
            | RequestError::IncompleteBody => StatusCode::BAD_REQUEST,
        }
    }

    /// True if what follows the head can't be read, whether or not it is taken for a body.
    pub fn closes_connection(&self) -> bool {
        matches!(self, RequestError::TransferEncoding)
    }
}

/// A class of requests as clients address it.
pub struct ClassRoute {
    name: String,
    /// The method of all its requests.
    pub method: Method,
    /// Its requests must not be executed twice, and endpoints do not deduplicate retries.
    pub at_most_once: bool,
    /// Its requests need an idempotency key.
    needs_key: bool,
    /// No client waits longer.
    deadline_ms: f64,
}

impl ClassRoute {
    fn new(name: String, class: &Class) -> Self {
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

/// A request that is in order, but for its body.
pub struct ParsedRequest<'a> {
    /// What it says of itself.
    pub incoming: IncomingRequest,
    /// Its class.
    pub class: &'a ClassRoute,
}

/// The units of a request and where the customer's requests come through.
struct Quota {
    units: f64,
    gateway_set_size: u64,
}

/// Checks requests against the settings.
pub struct RequestParser {
    classes: Vec<ClassRoute>,
    plans: Vec<String>,
    max_units: f64,
    gateway_count: u64,
}

impl RequestParser {
    /// The names stand in the order of the settings.
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

    /// Reads the head of a request. What is wrong with it is the client's fault, and never load that is shed.
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
        let class_index = self
            .classes
            .iter()
            .position(|class| class.name == class_name);
        let class_index = class_index.ok_or(RequestError::UnknownClass)?;
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
        let whole_number = |name| quota_field(text, name).and_then(parse_whole_number);
        let units = quota_field(text, "units")
            .and_then(parse_decimal)
            .ok_or(RequestError::InvalidQuota)?;
        let gateway_set_size = whole_number("spread").ok_or(RequestError::InvalidQuota)?;
        let first_gateway = whole_number("first").ok_or(RequestError::InvalidQuota)?;
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

/// A header's value. Of one that comes twice either could be meant: it counts as missing.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

fn check_idempotency_key(headers: &HeaderMap, class: &ClassRoute) -> Result<(), RequestError> {
    let key = single_header(headers, header_names::IDEMPOTENCY_KEY);
    if key.is_some_and(is_idempotency_key) {
        return Ok(());
    }
    if class.needs_key || headers.contains_key(header_names::IDEMPOTENCY_KEY) {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    Ok(())
}

fn is_idempotency_key(key: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || KEY_PUNCTUATION.contains(&byte);
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(allowed)
}

fn parse_remaining_ms(headers: &HeaderMap) -> Result<u64, RequestError> {
    let remaining_ms =
        single_header(headers, header_names::REMAINING_MS).and_then(parse_whole_number);
    remaining_ms
        .filter(|ms| *ms <= MAX_REMAINING_MS)
        .ok_or(RequestError::InvalidRemainingTime)
}

/// The customer's number, from the `account` parameter of the query, which must come once.
fn parse_customer(uri: &Uri) -> Result<u64, RequestError> {
    let query = uri.query().unwrap_or("");
    let mut accounts = query
        .split('&')
        .filter_map(|parameter| parameter.strip_prefix("account="));
    let account = accounts
        .next()
        .and_then(parse_hex_id)
        .ok_or(RequestError::InvalidAccount)?;
    if accounts.next().is_some() || account >= CUSTOMERS {
        return Err(RequestError::InvalidAccount);
    }
    Ok(account)
}

/// The value of one `name=value` field of `X-Quota`, which must come once.
fn quota_field<'a>(quota: &'a str, name: &str) -> Option<&'a str> {
    let value_of = |field: &'a str| field.trim().strip_prefix(name)?.strip_prefix('=');
    let mut values = quota.split(',').filter_map(value_of);
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    Some(value)
}

fn parse_hex_id(text: &str) -> Option<u64> {
    if text.len() != HEX_ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// A whole number without a sign.
fn parse_whole_number(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// A decimal number without a sign or an exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    if !text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.')
    {
        return None;
    }
    text.parse().ok()
}
