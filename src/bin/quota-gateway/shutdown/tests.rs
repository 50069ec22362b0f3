use super::*;
use quota_gateway::Class;

#[test]
fn all_requests_are_answered_before_sigkill_whatever_their_deadlines() {
    for (deadlines, killed_ms) in
        [(vec![400.0], 1100), (vec![2500.0, 900.0], 3200), (vec![7500.0], 3700), (vec![f64::NAN], 700)]
    {
        let class = |deadline_ms| Class { deadline_ms, ..Class::default() };
        let classes = deadlines.into_iter().map(class).collect();
        let limit = open_request_limit(&Settings { classes, ..Settings::default() });
        let killed = Duration::from_millis(killed_ms);
        assert!(limit + FINAL_WRITE_TIMEOUT < killed, "{limit:?} of {killed:?}");
        assert!(limit + Duration::from_millis(350) > killed, "it waits as long as it may: {limit:?}");
    }
}
