//! Small experiments. The tests check counts and rules but no real time.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

use fleet_emulator::experiment::{parse, Experiment};
use fleet_emulator::{report::Report, run};

const SMALL: &str = include_str!("../experiments/small.toml");

/// The experiment `small.toml` with this length, measured from 1 s on, and with `more` appended to its text.
fn small(seconds: u32, more: &str) -> Experiment {
    let text = SMALL
        .replace("seconds = 20", &format!("seconds = {seconds}"))
        .replace("measure_from_s = 5", "measure_from_s = 1");
    parse(&(text + more)).unwrap()
}

fn report_json(report: &Report) -> String {
    serde_json::to_string(report).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_report_and_another_seed_another() {
    let faults =
        "[[faults]]\nwhat = \"endpoint-rollout\"\nstart_s = 1\nduration_s = 2\nshare = 0.3\n";
    let experiment = small(4, faults);
    let reports = [1, 1, 2].map(|seed| report_json(&run(&experiment, seed).unwrap()));
    assert_eq!(reports[0], reports[1]);
    assert_ne!(reports[0], reports[2]);
}

/// Experiments written before keys were renamed can still be read, and mean the same.
#[test]
fn former_names_of_keys_are_still_read() {
    const FORMER_KEYS: &str = include_str!("data/former-keys.toml");
    const FORMER_FAULTS: [(&str, &str); 6] = [
        (
            "zone-loss\"\nat_s = 1\nfor_s = 2\nzone = 1",
            "zone-outage\"\nstart_s = 1\nduration_s = 2\nzone = 1",
        ),
        (
            "region-cut\"\nat_s = 1\nfor_s = 2\nregion = 1",
            "region-partition\"\nstart_s = 1\nduration_s = 2\nregion = 1",
        ),
        (
            "discovery-down\"\nat_s = 1\nfor_s = 2",
            "discovery-outage\"\nstart_s = 1\nduration_s = 2",
        ),
        (
            "counter-down\"\nat_s = 1\nfor_s = 2",
            "counter-outage\"\nstart_s = 1\nduration_s = 2",
        ),
        (
            "gateway-release\"\nat_s = 1\nfor_s = 2",
            "gateway-rollout\"\nstart_s = 1\nduration_s = 2",
        ),
        (
            "backend-release\"\nat_s = 1\nfor_s = 2\nshare = 0.5",
            "endpoint-rollout\"\nstart_s = 1\nduration_s = 2\nshare = 0.5",
        ),
    ];
    for (former_fault, fault) in FORMER_FAULTS {
        let former = parse(&format!(
            "{FORMER_KEYS}\n[[troubles]]\nwhat = \"{former_fault}\n"
        ))
        .unwrap();
        let current = parse(&format!("{SMALL}\n[[faults]]\nwhat = \"{fault}\n")).unwrap();
        assert_eq!(format!("{former:?}"), format!("{current:?}"));
    }
}

/// Without faults, most requests are served on time and almost all have ended when the experiment does.
#[test]
fn requests_within_quota_are_served_without_faults() {
    let report = run(&small(6, ""), 3).unwrap();
    let requests = &report.requests;
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(
        requests.served_on_time * 100 >= requests.total * 80,
        "{requests:?}"
    );
    let ended = requests.served_on_time
        + requests.served_late
        + requests.rejected
        + requests.failed
        + requests.disconnected;
    assert!(
        ended.abs_diff(requests.total) * 50 <= requests.total,
        "all requests end, except for those in flight: {requests:?}"
    );
    assert!(report.attempts.succeeded >= requests.served_on_time + requests.served_late);
    assert!(
        report.counter.calls_per_request >= 0.7,
        "most requests are admitted by the shared counter: {:?}",
        report.counter
    );
    assert!(
        report.latency_ms.p50 > 10.0 && report.latency_ms.p99 < 750.0,
        "{:?}",
        report.latency_ms
    );
}

/// A fault to inject, and a check that the report shows the fault's effect.
struct FaultCase {
    fault: &'static str,
    is_in_report: fn(&Report) -> bool,
}

const FAULT_CASES: [FaultCase; 6] = [
    FaultCase {
        fault: "what = \"zone-outage\"\nstart_s = 3\nduration_s = 4\nzone = 1",
        is_in_report: |report| report.discovery.changes >= 34,
    },
    FaultCase {
        fault: "what = \"region-partition\"\nstart_s = 3\nduration_s = 3\nregion = 1",
        is_in_report: |report| report.attempts.connect_failed > 0,
    },
    FaultCase {
        fault: "what = \"gateway-rollout\"\nstart_s = 2\nduration_s = 6",
        is_in_report: |report| report.discovery.entries_delivered >= 2 * 12 * 136,
    },
    FaultCase {
        fault: "what = \"counter-outage\"\nstart_s = 3\nduration_s = 3",
        is_in_report: |report| report.counter.timed_out > 0,
    },
    FaultCase {
        fault: "what = \"endpoint-rollout\"\nstart_s = 2\nduration_s = 4\nshare = 0.5",
        is_in_report: |report| report.discovery.changes >= 130,
    },
    FaultCase {
        fault: "what = \"discovery-outage\"\nstart_s = 2\nduration_s = 3\n[[faults]]\nwhat = \"endpoint-rollout\"\n\
                start_s = 3\nduration_s = 3\nshare = 0.5",
        is_in_report: |report| report.discovery.changes >= 130,
    },
];

#[test]
fn rules_hold_during_faults_and_each_fault_shows_in_the_report() {
    for FaultCase {
        fault,
        is_in_report,
    } in FAULT_CASES
    {
        let report = run(&small(14, &format!("[[faults]]\n{fault}\n")), 5).unwrap();
        assert!(
            report.violations.is_empty(),
            "{fault}: {:?}",
            report.violations
        );
        assert!(is_in_report(&report), "{fault}: {}", report_json(&report));
    }
}

/// With 50 times the service time, new endpoints get far more requests than they can serve and fail in slow start.
#[test]
fn overloaded_endpoints_are_reported() {
    let rollout =
        "[[faults]]\nwhat = \"endpoint-rollout\"\nstart_s = 1\nduration_s = 2\nshare = 0.5\n";
    let mut overloaded = small(8, rollout);
    overloaded.endpoints.service_ms = 2000.0;
    overloaded.endpoints.max_queue = 1_000_000;
    let violations = run(&overloaded, 1).unwrap().violations;
    assert!(violations.overloaded_endpoints > 0);
    assert!(violations
        .first
        .is_some_and(|first| first.starts_with("cold")));
}

/// Requests that take longer than a gateway's graceful shutdown have no response when the gateway's process ends.
#[test]
fn unanswered_requests_are_reported() {
    let rollout = "[[faults]]\nwhat = \"gateway-rollout\"\nstart_s = 2\nduration_s = 2\n";
    let mut slow = small(12, rollout);
    slow.endpoints.service_ms = 6000.0;
    for class in &mut slow.classes {
        class.latency_objective_ms = 20_000.0;
        class.deadline_ms = 20_000.0;
    }
    let violations = run(&slow, 1).unwrap().violations;
    assert!(violations.unanswered > 0);
    assert!(violations
        .first
        .is_some_and(|first| first.starts_with("lost")));
}
