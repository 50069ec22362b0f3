//! The command line: an error is printed as one line that names the field, with exit code 2; a run prints a summary and
//! writes its report.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

use std::process::{Command, Output};

const SMALL: &str = include_str!("../experiments/small.toml");

fn emulator(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-emulator"))
        .args(arguments)
        .output()
        .unwrap()
}

fn write_temp_file(name: &str, text: &str) -> String {
    let path =
        std::env::temp_dir().join(format!("fleet-emulator-test-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn assert_fails_with(output: Output, field: &str) {
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.contains(field) && error.trim_end().lines().count() == 1,
        "{field}: {error}"
    );
}

#[test]
fn an_invalid_experiment_is_reported_in_one_line_that_names_the_field() {
    for (number, (old, new, field)) in [
        ("slots = 1", "slots = 1\nslotz = 2", "slotz"),
        (
            "service_ms = 40",
            "service_ms = -40",
            "endpoints.service_ms",
        ),
        (
            "service_ms = 40",
            "service_ms = nan",
            "endpoints.service_ms",
        ),
        (
            "service_ms = 40",
            "service_ms = \"long\"",
            "endpoints.service_ms",
        ),
        ("count = 136", "count = 4000000000", "endpoints.count"),
        ("zipf_exponent = 0.6\n", "", "load"),
        (
            "share = 0.7\nidempotency = \"idempotent\"",
            "share = 0.7\nidempotency = \"odd\"",
            "classes[0].idempotency",
        ),
        (
            "deadline_ms = 2500",
            "deadline_ms = 1e300",
            "classes[0].deadline_ms",
        ),
        ("name = \"small\"", "name = ", "TOML"),
        (
            "[rules]",
            "[[faults]]\nwhat = \"flood\"\n[rules]",
            "faults[0]",
        ),
        (
            "[rules]",
            "[[faults]]\nwhat = \"zone-outage\"\nstart_s = 1\nduration_s = 1\nzone = 9\n[rules]",
            "faults[0].zone",
        ),
    ]
    .into_iter()
    .enumerate()
    {
        assert!(SMALL.contains(old));
        let path = write_temp_file(
            &format!("invalid-{number}.toml"),
            &SMALL.replacen(old, new, 1),
        );
        let field = if field == "TOML" {
            path.as_str()
        } else {
            field
        };
        assert_fails_with(emulator(&["run", &path]), field);
        std::fs::remove_file(&path).unwrap();
    }
    assert_fails_with(emulator(&["run", "not-there.toml"]), "not-there.toml");
    assert_fails_with(emulator(&["real", "--program", "not-there"]), "--program");
    assert_fails_with(emulator(&["real", "--gateways", "0"]), "--gateways");
}

#[test]
fn a_run_prints_its_summary_and_writes_its_report() {
    let short = SMALL
        .replace("seconds = 20", "seconds = 1")
        .replace("measure_from_s = 5", "measure_from_s = 0");
    let (path, report) = (
        write_temp_file("short.toml", &short),
        write_temp_file("report.json", ""),
    );
    let output = emulator(&[
        "--log-format",
        "json",
        "run",
        &path,
        "--seed",
        "9",
        "--report",
        &report,
    ]);
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.success()
            && printed.contains("small seed 9")
            && printed.contains("MB at most"),
        "{printed}"
    );
    let written: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&report).unwrap()).unwrap();
    assert!(
        written["requests"]["total"].as_u64().unwrap() > 1000,
        "{written}"
    );
    assert_eq!(written["seed"], 9);
    std::fs::remove_file(&path).unwrap();
    std::fs::remove_file(&report).unwrap();
}
