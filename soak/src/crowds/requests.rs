//! The texts that clients send.

use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum length of a body in the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Transaction id of the first request.
const FIRST_TRANSACTION: u64 = 0x51a0_0000_0000_0001;
/// Time that clients state as remaining.
const REMAINING_MS: u64 = 2000;
/// Number of customers that send requests.
const CUSTOMERS: u64 = 97;

/// A transaction id that no other request of this process has.
fn next_transaction() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(FIRST_TRANSACTION);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// The head of a request without a body.
pub fn get_head() -> String {
    request_head("GET", "look", "")
}

/// The head of a request with a body of this length. `fields` consists of further header lines, each with its line end.
pub fn post_head(body_bytes: usize, fields: &str) -> String {
    request_head(
        "POST",
        "once",
        &format!("{fields}Content-Length: {body_bytes}\r\n"),
    )
}

/// The head of a request with a chunked body.
pub fn chunked_head() -> String {
    request_head("POST", "once", "Transfer-Encoding: chunked\r\n")
}

fn request_head(method: &str, class: &str, fields: &str) -> String {
    let transaction = next_transaction();
    let customer = transaction % CUSTOMERS;
    format!(
        "{method} /{class}?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {transaction:016x}\r\n\
         X-Lane: {class}\r\nX-Plan: plus\r\nX-Remaining-Ms: {REMAINING_MS}\r\n{fields}\
         X-Quota: units=1,spread=1,first=0\r\n\r\n"
    )
}
