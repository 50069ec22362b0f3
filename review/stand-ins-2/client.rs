//! The requests of clients.

use crate::site::{Class, Site};

/// The longest body of the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A request of the class that is safe to repeat.
pub fn safe_class(site: &Site, id: u64, account: u64) -> Vec<u8> {
    head(site, "GET", &site.safe_class, id, account, "").into_bytes()
}

/// A request of the class that must never run twice, with a body of this length.
pub fn body_class(site: &Site, id: u64, account: u64, body_bytes: usize) -> Vec<u8> {
    let length = format!("Content-Length: {body_bytes}\r\n");
    let head = head(site, "POST", &site.unsafe_class, id, account, &length);
    let mut request = head.into_bytes();
    request.resize(request.len() + body_bytes, b'q');
    request
}

fn head(site: &Site, method: &str, class: &Class, id: u64, account: u64, length: &str) -> String {
    let Class { name, give_up_ms } = class;
    let plan = site.plan;
    format!(
        "{method} /{name}?account={account:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id:016x}\r\n\
         X-Lane: {name}\r\nX-Plan: {plan}\r\nX-Remaining-Ms: {give_up_ms}\r\n{length}\
         X-Quota: units=1,spread=1,first=0\r\n\r\n"
    )
}
