//! Small experiments: counts and rules, never wall time.
#![allow(missing_docs)]

use fleet_emulator::experiment::{parse, Experiment};
use fleet_emulator::{report::Report, run};

const SMALL: &str = include_str!("../experiments/small.toml");

/// The small fleet, shorter and with these lines behind it.
fn small(seconds: u32, more: &str) -> Experiment {
    let text = SMALL
        .replace("seconds = 20", &format!("seconds = {seconds}"))
        .replace("count_from_s = 5", "count_from_s = 1");
    parse(&(text + more)).unwrap()
}

fn text(report: &Report) -> String {
    serde_json::to_string(report).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_report_and_another_seed_another() {
    let troubles = "[[troubles]]\nwhat = \"backend-release\"\nat_s = 1\nfor_s = 2\nshare = 0.3\n";
    let experiment = small(4, troubles);
    let reports = [1, 1, 2].map(|seed| text(&run(&experiment, seed).unwrap()));
    assert_eq!(reports[0], reports[1]);
    assert_ne!(reports[0], reports[2]);
}

/// All tries end in one way or another, and most are served on a quiet day.
#[test]
fn a_quiet_day_serves_what_is_inside_the_quotas() {
    let report = run(&small(6, ""), 3).unwrap();
    let q = &report.requests;
    assert!(report.rules.none(), "{:?}", report.rules);
    assert!(q.served * 100 >= q.tries * 80, "{q:?}");
    let ended = q.served + q.late + q.refused + q.failed + q.left;
    assert!(ended.abs_diff(q.tries) * 50 <= q.tries, "all but those under way: {q:?}");
    assert!(report.attempts.ok >= q.served + q.late);
    assert!(report.counter.calls_per_try >= 0.7, "DESIGN's mechanism is the ordinary path");
    assert!(report.latency_ms.p50 > 10.0 && report.latency_ms.p99 < 750.0, "{:?}", report.latency_ms);
}

/// The rules hold through each trouble, and each leaves its trace.
#[test]
fn rules_hold_through_troubles() {
    let play = |trouble: &str| run(&small(14, &format!("[[troubles]]\n{trouble}\n")), 5).unwrap();
    for (trouble, trace) in [
        ("what = \"zone-loss\"\nat_s = 3\nfor_s = 4\nzone = 1", (|r| r.discovery.changes >= 34) as fn(&Report) -> bool),
        ("what = \"region-cut\"\nat_s = 3\nfor_s = 3\nregion = 1", |r| r.attempts.connect_failed > 0),
        ("what = \"gateway-release\"\nat_s = 2\nfor_s = 6", |r| r.discovery.entries_told >= 2 * 12 * 136),
        ("what = \"counter-down\"\nat_s = 3\nfor_s = 3", |r| r.counter.timeout > 0),
        ("what = \"backend-release\"\nat_s = 2\nfor_s = 4\nshare = 0.5", |r| r.discovery.changes >= 130),
        (
            "what = \"discovery-down\"\nat_s = 2\nfor_s = 3\n[[troubles]]\nwhat = \"backend-release\"\nat_s = 3\n\
             for_s = 3\nshare = 0.5",
            |r| r.discovery.changes >= 130,
        ),
    ] {
        let report = play(trouble);
        assert!(report.rules.none(), "{trouble}: {:?}", report.rules);
        assert!(trace(&report), "{trouble}: {}", text(&report));
    }
}

/// The checks see what they are for: quote servers that all bear a fiftieth of what they are sent fall while cold, and
/// a gateway that ends with requests open loses them.
#[test]
fn broken_rules_are_seen() {
    let mut crowded =
        small(8, "[[troubles]]\nwhat = \"backend-release\"\nat_s = 1\nfor_s = 2\nshare = 0.5\n");
    (crowded.backends.work_ms, crowded.backends.queue) = (2000.0, 1_000_000);
    let rules = run(&crowded, 1).unwrap().rules;
    assert!(rules.fell > 0 && rules.first.is_some_and(|first| first.starts_with("cold")));
    let mut slow = small(12, "[[troubles]]\nwhat = \"gateway-release\"\nat_s = 2\nfor_s = 2\n");
    slow.backends.work_ms = 6000.0;
    slow.classes.iter_mut().for_each(|class| (class.aim_ms, class.deadline_ms) = (20_000.0, 20_000.0));
    let rules = run(&slow, 1).unwrap().rules;
    assert!(rules.lost > 0 && rules.first.is_some_and(|first| first.starts_with("lost")));
}
