//! The command line, and a short run without faults. Rules that depend on time are judged in long runs, by hand.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

use std::process::{Command, Output};

/// The gateway program. The test command builds it before it runs the tests.
const PROGRAM: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../target/release/quota-gateway"
);

fn soak(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gateway-soak"))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn an_invalid_argument_is_reported_in_one_line() {
    for (arguments, named) in [
        (["--gateways", "0"], "--gateways"),
        (["--seconds", "100000"], "--seconds"),
        (["--runs", "0"], "--runs"),
        (["--program", "nowhere"], "--program"),
        (["--faults-library", "nowhere"], "--faults-library"),
    ] {
        let arguments = [&["--program", PROGRAM][..], &arguments[..]].concat();
        let arguments = if named == "--program" {
            &arguments[2..]
        } else {
            &arguments[..]
        };
        let output = soak(arguments);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{error}");
        assert!(
            error.contains(named) && error.trim_end().lines().count() == 1,
            "{error}"
        );
    }
}

#[test]
fn a_run_without_faults_serves_requests_and_breaks_no_rule_that_is_independent_of_time() {
    let size = [
        "--gateways",
        "3",
        "--endpoints",
        "6",
        "--seconds",
        "2",
        "--calm",
    ];
    let output = soak(&[&["--program", PROGRAM][..], &size[..]].concat());
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(
        report.contains(" responses with status 200"),
        "{report}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    for rule in ["Duplicate", "WrongAnswer", "Process", "OwnCheck"] {
        assert!(!report.contains(&format!("s {rule}:")), "{report}");
    }
}
