//! Parses the individual fields of a request's head. A malformed, missing or repeated field is an error.

use super::error::RequestError;

use super::route::ClassRoute;
use crate::http::header_names;
use hyper::{HeaderMap, Uri};

/// Maximum remaining time that a client may send.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// Exclusive upper bound of customer numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Characters that an idempotency key may contain in addition to ASCII letters and digits.
const KEY_PUNCTUATION: &[u8] = b"-_.:";
/// Number of hex digits of transaction ids and account numbers.
const HEX_ID_DIGITS: usize = 16;

/// Returns the value of a header. A repeated header counts as missing, because the intended value is unknown.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok().map(str::trim)
}

/// Checks the idempotency key if the request has one or the class requires one.
pub fn check_idempotency_key(headers: &HeaderMap, class: &ClassRoute) -> Result<(), RequestError> {
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

/// Parses the time for which the client still waits, in ms.
pub fn parse_remaining_ms(headers: &HeaderMap) -> Result<u64, RequestError> {
    let remaining_ms = single_header(headers, header_names::REMAINING_MS).and_then(parse_integer);
    remaining_ms
        .filter(|ms| *ms <= MAX_REMAINING_MS)
        .ok_or(RequestError::InvalidRemainingTime)
}

/// Parses the customer number in the query parameter `account`, which must occur exactly once.
pub fn parse_customer(uri: &Uri) -> Result<u64, RequestError> {
    let query = uri.query().unwrap_or("");
    let mut accounts = query
        .split('&')
        .filter_map(|parameter| parameter.strip_prefix("account="));
    let account = accounts
        .next()
        .and_then(parse_hex_id)
        .ok_or(RequestError::InvalidAccount)?;
    if accounts.next().is_some() || account >= CUSTOMER_LIMIT {
        return Err(RequestError::InvalidAccount);
    }
    Ok(account)
}

/// Returns the value of one `name=value` field of `X-Quota`, which must occur exactly once.
pub fn quota_field<'a>(quota: &'a str, name: &str) -> Option<&'a str> {
    let value_of = |field: &'a str| field.trim().strip_prefix(name)?.strip_prefix('=');
    let mut values = quota.split(',').filter_map(value_of);
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    Some(value)
}

/// Parses a number of exactly 16 hex digits.
pub fn parse_hex_id(text: &str) -> Option<u64> {
    if text.len() != HEX_ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Parses an integer without a sign.
pub fn parse_integer(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses a decimal number without a sign or an exponent.
pub fn parse_decimal(text: &str) -> Option<f64> {
    if !text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.')
    {
        return None;
    }
    text.parse().ok()
}
