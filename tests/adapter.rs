//! Tests the adapter's frames by running the program.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Codes of event records, under the names of the protocol.
const PROVISION: u8 = 5;
const FLEET: u8 = 8;
const DEFINE_LIST: u8 = 11;
const INCOMING: u8 = 12;
/// Code of the action record that sends an attempt.
const ISSUE: u8 = 65;
/// Length of an event record, in bytes.
const EVENT_BYTES: usize = 56;
/// Length of an action record, in bytes.
const ACTION_BYTES: usize = 32;
/// Length of a reply without actions, in bytes.
const EMPTY_REPLY_BYTES: usize = 12;
/// Number of the gateway instance.
const INSTANCE: u32 = 3;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all of an invalid input.
    let _ = child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

/// Encodes a batch with the time 5 ms and the number 7.
fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_le_bytes().to_vec();
    body.extend(5.0f64.to_le_bytes());
    body.extend(7u32.to_le_bytes());
    for record in records {
        let mut record = record.clone();
        record.resize(EVENT_BYTES, 0);
        body.extend(record);
    }
    body.extend(tail);
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Encodes a batch that starts the instance with these settings.
fn provision(settings: &str) -> Vec<u8> {
    let mut record = vec![PROVISION];
    record.extend(INSTANCE.to_le_bytes());
    record.extend(9u64.to_le_bytes()); // the seed
    record.extend(0u32.to_le_bytes()); // offset of the settings in the tail
    record.extend((settings.len() as u32).to_le_bytes());
    batch(&[record], settings.as_bytes())
}

/// Asserts that the adapter exits with an error code and prints a single line that contains `words`, without a panic.
fn assert_fails_with(input: &[u8], words: &str) {
    let output = run(input);
    let error = String::from_utf8(output.stderr).expect("standard error is UTF-8");
    assert!(!output.status.success(), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains(words) && !error.contains("panicked"),
        "{error}"
    );
}

const SETTINGS: &str = "balancers=2\nposition=0\nlocality=0\nzones=a,b\ngranularity-ms=2\ncategories.count=1\n\
    categories.0.aim-ms=500\ncategories.0.give-up-ms=2000\ncategories.0.effect=read_like\ncategories.0.value=1\n\
    categories.0.late-worth=0\ncategories.0.stream=false\ntiers-of-service.count=1\ntiers-of-service.0.refill=2\n\
    tiers-of-service.0.store-size=8\ntiers-of-service.0.max-out=0\ntiers-of-service.0.pays=1\n\
    tiers-of-service.0.extra-worth=0\ntiers-of-service.0.excess-cost=1\ntiers-of-service.0.cap-rate=0\n\
    tiers-of-service.0.cap-depth=0\ntiers-of-service.0.ceiling-slack=0\ndomain.may-count=false\ndomain.units-top=4\n\
    domain.trued-up=false\nlimits.try-limit=3\nlimits.may-duplicate=false\nlimits.cancel=true\nlimits.probing=false\n\
    limits.peers=false\nlimits.retry-after=true\nlimits.max-retry-after-ms=2000\nlimits.idle-close-ms=30000\n\
    limits.streams-per-conn=1\npenalties.cross-zone=0\npenalties.handshake=0\n\
    penalties.waste=0\npenalties.probe=0\npenalties.late-fail=0\nrules.answer-slack-ms=8\nrules.cold-from=0.2\n\
    rules.warm-up-ms=9000\nrules.drain-grace-ms=1000\nrules.fall-multiple=3\nrules.fall-ms=1000\n\
    rules.ask-within-ms=10000\nreport.how=off\nmembership-mode=push\nsome.unknown-key=whatever\n";

#[test]
fn an_empty_input_is_a_success() {
    let output = run(&[]);
    assert!(
        output.status.success(),
        "expected success with an empty input: {output:?}"
    );
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run(&batch(&[], &[]));
    assert!(
        output.status.success(),
        "expected success with an empty batch: {output:?}"
    );
    assert_eq!(output.stdout, [8u32, 0, 7].map(u32::to_le_bytes).concat());
}

/// Encodes a record that defines list 0 with one entry, which is in the tail.
fn define_list() -> Vec<u8> {
    let mut record = vec![DEFINE_LIST];
    record.extend(0u32.to_le_bytes()); // number of the list
    record.extend(0u32.to_le_bytes()); // offset of the entries in the tail
    record.extend(1u32.to_le_bytes()); // number of entries
    record
}

/// Encodes the list entry of a ready endpoint in zone 0.
fn list_entry(endpoint: u32) -> Vec<u8> {
    let mut entry = endpoint.to_le_bytes().to_vec();
    entry.extend([0, 0, 0, 0, 1]); // zone, kind, cell, state
    entry.extend(1f32.to_le_bytes()); // weight
    entry.extend(0f64.to_le_bytes()); // time of its start
    entry
}

/// Encodes a record that passes list 0 to the instance.
fn fleet() -> Vec<u8> {
    let mut record = vec![FLEET];
    record.extend(INSTANCE.to_le_bytes());
    record.push(2); // a cached list
    record.extend(1u64.to_le_bytes()); // version
    record.extend(0u32.to_le_bytes()); // number of the list
    record
}

/// Encodes a record of a client's request.
fn incoming(request: u64) -> Vec<u8> {
    let mut record = vec![INCOMING];
    record.extend(INSTANCE.to_le_bytes());
    record.extend(request.to_le_bytes());
    record.extend(0f32.to_le_bytes()); // first gateway of the customer
    record.extend(2f32.to_le_bytes()); // number of its gateways
    record.push(0); // attributes
    record.extend(1f32.to_le_bytes()); // units
    record.extend(8u64.to_le_bytes()); // customer
    record.push(0); // class
    record.extend(1000f64.to_le_bytes()); // timeout
    record.extend(0u16.to_le_bytes()); // plan
    record
}

#[test]
fn a_request_is_sent_to_a_listed_endpoint() {
    let events = batch(&[define_list(), fleet(), incoming(42)], &list_entry(77));
    let output = run(&[provision(SETTINGS), events].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let second_reply = &output.stdout[EMPTY_REPLY_BYTES..];
    let mut actions = second_reply[EMPTY_REPLY_BYTES..].chunks_exact(ACTION_BYTES);
    let issue = actions
        .find(|record| record[0] == ISSUE)
        .expect("the reply has an ISSUE record");
    assert_eq!(issue[1..5], INSTANCE.to_le_bytes());
    assert_eq!(issue[5..13], 42u64.to_le_bytes());
    assert_eq!(issue[21..25], 77u32.to_le_bytes());
}

#[test]
fn each_invalid_frame_is_reported_in_one_line() {
    assert_fails_with(
        &[1, 2],
        "input ends after 2 of the 4 bytes of a frame's length",
    );
    assert_fails_with(&u32::MAX.to_le_bytes(), "exceeds the limit");
    assert_fails_with(
        &batch(&[], &[])[..9],
        "input ends after 5 of the 16 bytes of a frame",
    );
    assert_fails_with(&[4, 0, 0, 0, 0, 0, 0, 0], "shorter than its header");
    let mut too_many_records = batch(&[], &[]);
    too_many_records[4] = 9;
    assert_fails_with(
        &too_many_records,
        "header states 9 records, but the frame has room for 0",
    );
    assert_fails_with(&batch(&[vec![200, 0, 0, 0, 0]], &[]), "unknown instance");
    let mut outside_tail = vec![PROVISION];
    outside_tail.extend([0; 12]); // instance and seed
    outside_tail.extend(5u32.to_le_bytes());
    outside_tail.extend(9u32.to_le_bytes());
    assert_fails_with(&batch(&[outside_tail], &[]), "outside the tail");
}

#[test]
fn invalid_settings_are_reported_by_path() {
    assert_fails_with(
        &provision(&SETTINGS.replace("balancers=2\n", "")),
        "setting balancers is missing",
    );
    assert_fails_with(
        &provision(&SETTINGS.replace("refill=2", "refill=many")),
        "setting tiers-of-service.0.refill",
    );
    assert_fails_with(
        &provision(&SETTINGS.replace("read_like", "maybe")),
        "setting categories.0.effect",
    );
}

/// The simulator writes the scope and the window of an idempotency key for all classes, also those without a key. The
/// arbitrary values of these settings must not prevent the instance from starting.
#[test]
fn idempotency_key_settings_are_ignored_for_a_class_without_a_key() {
    let unused = format!("{SETTINGS}categories.0.group=none\ncategories.0.window-ms=-1\n");
    let output = run(&provision(&unused));
    assert!(
        output.status.success(),
        "expected success with unused idempotency key settings: {output:?}"
    );
    let keyed = unused.replace("read_like", "idempotency_key");
    assert_fails_with(
        &provision(&keyed),
        "setting categories.0.group has an unknown",
    );
}
