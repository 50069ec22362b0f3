//! Tests the times of a shutdown, with deadlines from zero to more than the termination grace period covers.

use super::*;
use quota_gateway::Class;

/// Longest request deadlines of the tested shutdowns, in ms.
const DEADLINES_MS: [u64; 9] = [0, 10, 100, 120, 300, 800, 1700, 3000, 8000];

fn termination_grace(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.min(3000) + 700)
}

#[test]
fn the_phases_are_in_order_for_any_deadline() {
    let terminated_at = Instant::now();
    for deadline_ms in DEADLINES_MS {
        let timeline = Timeline::new(terminated_at, Duration::from_millis(deadline_ms));
        assert!(
            timeline.no_new_connections_at <= timeline.refusing_at,
            "{deadline_ms}"
        );
        assert!(
            timeline.last_forwarding_at < timeline.request_deadline,
            "{deadline_ms}"
        );
        assert!(
            timeline.request_deadline < timeline.refusing_at,
            "{deadline_ms}"
        );
        assert!(
            timeline.idle_exit_from <= timeline.refusing_at,
            "{deadline_ms}"
        );
    }
}

/// A process that is still running at SIGKILL drops its pending responses. A stall of the machine delays the end of the
/// process, which must be over before SIGKILL even after one stall.
#[test]
fn the_process_ends_before_sigkill_even_after_one_stall() {
    let terminated_at = Instant::now();
    for deadline_ms in DEADLINES_MS {
        let timeline = Timeline::new(terminated_at, Duration::from_millis(deadline_ms));
        let ended_after = timeline.refusing_at - terminated_at + CLOSING_TIME;
        let exit_time = Duration::from_millis(40);
        assert!(
            ended_after + MAX_STALL + exit_time < termination_grace(deadline_ms),
            "{deadline_ms}: {ended_after:?}"
        );
    }
}

#[test]
fn requests_get_most_of_the_termination_grace_period() {
    let terminated_at = Instant::now();
    for deadline_ms in DEADLINES_MS {
        let timeline = Timeline::new(terminated_at, Duration::from_millis(deadline_ms));
        let served_for = timeline.request_deadline - terminated_at;
        assert!(
            served_for + Duration::from_millis(320) > termination_grace(deadline_ms),
            "{deadline_ms}"
        );
    }
}

#[test]
fn new_connections_are_accepted_while_the_load_balancer_may_open_them() {
    let terminated_at = Instant::now();
    for deadline_ms in DEADLINES_MS {
        let timeline = Timeline::new(terminated_at, Duration::from_millis(deadline_ms));
        assert!(
            timeline.no_new_connections_at - terminated_at > Duration::from_millis(400),
            "{deadline_ms}"
        );
    }
}

#[test]
fn the_longest_deadline_is_the_maximum_over_all_classes() {
    for (deadlines, longest_ms) in [
        (vec![400.0], 400),
        (vec![2500.0, 900.0], 2500),
        (vec![7500.0], 7500),
        (vec![f64::NAN], 0),
    ] {
        let class = |deadline_ms| Class {
            deadline_ms,
            ..Class::default()
        };
        let classes = deadlines.into_iter().map(class).collect();
        let longest = longest_deadline(&Settings {
            classes,
            ..Settings::default()
        });
        assert_eq!(longest, Duration::from_millis(longest_ms));
    }
}
