//! Client requests, and the statuses of their responses.

use super::read_message;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

/// Transaction id of the first request that gets one of its own.
const FIRST_TRANSACTION_ID: u64 = 0x9b1f_03aa_5c7e_2d41;

/// A request of the class `look`, which is read-only. The transaction id is the customer number.
pub fn get_request(customer: u64, units: u32, remaining_ms: u32) -> String {
    format!(
        "GET /look?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 0000{customer:012x}\r\n\
         X-Lane: look\r\nX-Plan: small\r\nX-Remaining-Ms: {remaining_ms}\r\nX-Quota: units={units},spread=1,first=0\r\n\r\n"
    )
}

/// A POST request of `class`, with a transaction id that no other one has. `key_header` is the complete header line of
/// the idempotency key; empty for none.
pub fn post_request(class: &str, key_header: &str, body: &str) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(FIRST_TRANSACTION_ID);
    let transaction_id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    post_request_with_id(transaction_id, class, key_header, body)
}

/// A POST request of `class` with this transaction id.
pub fn post_request_with_id(
    transaction_id: u64,
    class: &str,
    key_header: &str,
    body: &str,
) -> String {
    format!(
        "POST /{class}?account=0000000000000007 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {transaction_id:016x}\r\n\
         X-Lane: {class}\r\nX-Plan: small\r\nX-Remaining-Ms: 3000\r\n{key_header}X-Quota: units=1,spread=1,first=0\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A POST request of the class `once` with a body of this length, and a transaction id that no other one has.
pub fn post_request_of_length(body_bytes: usize) -> String {
    post_request("once", "", &"b".repeat(body_bytes))
}

/// Reads the status of the next response; `None` if the connection ends before a complete response.
pub fn read_status(client: &mut BufReader<TcpStream>) -> Option<u16> {
    read_message(client).map(|response| response.status())
}

/// Reads the status of the next response to each client.
pub fn read_statuses(clients: &mut [BufReader<TcpStream>]) -> Vec<Option<u16>> {
    clients.iter_mut().map(read_status).collect()
}

/// A complete header line with a valid idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";
