//! Tests of valid request heads and of the error for each kind of invalid head.

use super::{RequestError, RequestParser};
use crate::driver::IncomingRequest;
use hyper::{HeaderMap, Method, Request, Uri};
use quota_gateway::{Class, Idempotency, KeyScope, Settings};
use tokio::time::Instant;

const HEADERS: [(&str, &str); 5] = [
    ("x-txn", "9b1f03aa5c7e2d41"),
    ("x-lane", "look"),
    ("x-plan", "large"),
    ("x-remaining-ms", "3000"),
    ("x-quota", "units=1.5,spread=2,first=1"),
];
const TARGET: &str = "/look?account=0000000000000007";

fn parser() -> RequestParser {
    let class = |idempotency| Class {
        idempotency,
        deadline_ms: 2000.0,
        ..Class::default()
    };
    let keyed = Idempotency::WithKey {
        scope: KeyScope::All,
        window_ms: 1000.0,
    };
    let settings = Settings {
        classes: vec![class(Idempotency::Idempotent), class(keyed)],
        max_units: 4.0,
        gateway_count: 2,
        ..Settings::default()
    };
    let names = |names: [&str; 2]| names.map(str::to_owned).to_vec();
    RequestParser::new(
        &settings,
        names(["look", "order"]),
        names(["small", "large"]),
    )
}

/// Parses a valid head after replacing or adding the headers in `changes`.
fn parse(
    method: Method,
    target: &str,
    changes: &[(&str, &str)],
) -> Result<IncomingRequest, RequestError> {
    let mut request = Request::builder().method(method).uri(target);
    for (name, value) in HEADERS {
        let replacement = changes.iter().find(|(changed, _)| *changed == name);
        request = request.header(name, replacement.map_or(value, |(_, value)| value));
    }
    for (name, value) in changes
        .iter()
        .filter(|(changed, _)| HEADERS.iter().all(|(name, _)| name != changed))
    {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).unwrap().into_parts();
    parse_parts(&parts.method, &parts.uri, &parts.headers)
}

fn parse_parts(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<IncomingRequest, RequestError> {
    parser()
        .parse(method, uri, headers, Instant::now())
        .map(|parsed| parsed.incoming)
}

#[test]
fn a_valid_head_is_parsed() {
    let incoming = parse(Method::GET, TARGET, &[("x-resent", "1")]).unwrap();
    assert_eq!(incoming.transaction_id, 0x9b1f_03aa_5c7e_2d41);
    assert_eq!(incoming.customer, 7);
    assert_eq!(incoming.class, 0);
    assert_eq!(incoming.plan, 1);
    assert_eq!(incoming.units, 1.5);
    assert_eq!(incoming.gateway_set_size, 2.0);
    assert!(incoming.is_retry);
    assert_eq!(
        incoming.remaining_ms, 2000.0,
        "limited by the deadline of the class"
    );
}

/// Guards against a request without a valid idempotency key in a class whose retries are deduplicated by key. Endpoints
/// could not recognize a retry and would execute the request twice. The missing or malformed key is an error.
#[test]
fn a_class_with_idempotency_keys_requires_one() {
    let target = "/order?account=0000000000000007";
    let key = |key| {
        parse(
            Method::POST,
            target,
            &[("x-lane", "order"), ("idempotency-key", key)],
        )
    };
    assert!(key("a-1_2.3:4").is_ok());
    assert!(matches!(
        key("a key"),
        Err(RequestError::InvalidIdempotencyKey)
    ));
    let without = parse(Method::POST, target, &[("x-lane", "order")]);
    assert!(matches!(without, Err(RequestError::InvalidIdempotencyKey)));
}

/// Guards against unspecific errors, which would leave the client's developers guessing, and against a lenient parser,
/// which could charge a wrong customer. Each kind of invalid head has its own error.
#[test]
fn each_kind_of_invalid_head_has_its_own_error() {
    let error =
        |target, changes: &[(&str, &str)]| parse(Method::GET, target, changes).err().unwrap();
    assert!(matches!(error("/else", &[]), RequestError::UnknownClass));
    let wrong_method = parse(Method::POST, TARGET, &[]);
    assert!(matches!(
        wrong_method,
        Err(RequestError::MethodNotAllowed {
            allowed: Method::GET
        })
    ));
    assert!(matches!(
        error(TARGET, &[("x-lane", "order")]),
        RequestError::ClassMismatch
    ));
    assert!(matches!(
        error(TARGET, &[("x-txn", "9b1f")]),
        RequestError::InvalidTransactionId
    ));
    assert!(matches!(
        error(TARGET, &[("idempotency-key", "")]),
        RequestError::InvalidIdempotencyKey
    ));
    assert!(matches!(
        error(TARGET, &[("x-plan", "none")]),
        RequestError::UnknownPlan
    ));
    assert!(matches!(
        error(TARGET, &[("x-remaining-ms", "+1")]),
        RequestError::InvalidRemainingTime
    ));
    for target in [
        "/look",
        "/look?account=7",
        "/look?account=0000000000000007&account=0000000000000007",
    ] {
        assert!(
            matches!(error(target, &[]), RequestError::InvalidAccount),
            "{target}"
        );
    }
    for quota in [
        "units=1,spread=1",
        "units=5,spread=1,first=0",
        "units=0,spread=1,first=0",
        "units=1,spread=3,first=0",
        "units=1,spread=1,first=2",
        "units=1,units=1,spread=1,first=0",
        "units=1e0,spread=1,first=0",
    ] {
        assert!(
            matches!(
                error(TARGET, &[("x-quota", quota)]),
                RequestError::InvalidQuota
            ),
            "{quota}"
        );
    }
}
