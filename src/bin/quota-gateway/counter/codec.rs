//! Encodes calls to the counter as HTTP requests and decodes the responses.

use super::client::IncrementCall;
use quota_gateway::Outcome;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// Factor by which amounts are multiplied on the wire. The counter writes totals with three decimals, and the amounts
/// of the decision library start at a billionth of a unit at the beginning of a window. Unscaled, their total would be
/// rounded to 0, and no request would be rejected at the beginning of a window.
const SCALE: f64 = 1e7;
/// Maximum amount of one request to the counter.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum number of parts of `MAX_AMOUNT` into which one call is split, which bounds the memory for a call.
const MAX_FULL_PARTS: f64 = 16.0;

/// A decoded response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterResponse {
    /// The outcome of the call.
    pub outcome: Outcome,
    /// The total after the call; 0 unless the call succeeded.
    pub total: f64,
}

/// Returns the requests that together add the amount of a call.
pub fn encode(call: &IncrementCall, addr: SocketAddr) -> Vec<String> {
    let parts = split_amount(call.amount * SCALE);
    parts
        .into_iter()
        .map(|part| request(call, part, addr))
        .collect()
}

fn request(call: &IncrementCall, part: f64, addr: SocketAddr) -> String {
    let key = call.key;
    let expire_ms = call.ttl_ms.max(1.0) as u64;
    format!(
        "POST /counters/{key:016x}?by={part}&expire_ms={expire_ms} HTTP/1.1\r\n\
         Host: {addr}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Splits a scaled amount into parts that the counter accepts. If the amount were clamped to one part, the rest of a
/// customer's usage would never be counted.
fn split_amount(amount: f64) -> Vec<f64> {
    let full_parts = (amount.abs() / MAX_AMOUNT).min(MAX_FULL_PARTS) as usize;
    let mut parts = vec![MAX_AMOUNT.copysign(amount); full_parts];
    let remainder = amount - parts.iter().sum::<f64>();
    parts.push(remainder.clamp(-MAX_AMOUNT, MAX_AMOUNT));
    parts
}

/// Decodes a response. A response with status 200 but without a finite total is an error response: the amount may or
/// may not have been added.
pub fn decode(status: u16, body: &[u8]) -> CounterResponse {
    match (status, parse_total(body)) {
        (200, Some(total)) => CounterResponse {
            outcome: Outcome::Success,
            total: total / SCALE,
        },
        (503 | 400 | 404, _) => CounterResponse {
            outcome: Outcome::Rejected,
            total: 0.0,
        },
        _ => CounterResponse {
            outcome: Outcome::ErrorResponse,
            total: 0.0,
        },
    }
}

fn parse_total(body: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(body).ok()?;
    let total: f64 = text.trim().parse().ok()?;
    total.is_finite().then_some(total)
}
