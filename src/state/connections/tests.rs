use super::*;

const IDLE_MS: f64 = 100.0;

fn connections(requests_per_connection: u32) -> ConnectionEstimate {
    ConnectionEstimate::new(
        &Limits {
            requests_per_connection,
            ..Limits::default()
        },
        IDLE_MS,
        0.0,
    )
}

#[test]
fn a_connection_is_free_after_its_attempt_until_it_has_been_idle() {
    let mut connections = connections(1);
    assert!(!connections.has_free(0.0, 0));
    connections.attempt_started(0.0, 1);
    assert!(!connections.has_free(10.0, 1));
    connections.attempt_ended(20.0, Outcome::Success);
    assert!(connections.has_free(20.0, 0));
    assert!(!connections.has_free(20.0 + IDLE_MS, 0));
}

#[test]
fn an_attempt_after_the_idle_time_opens_connections_anew() {
    let mut connections = connections(1);
    connections.attempt_started(0.0, 3);
    connections.attempt_started(IDLE_MS, 1);
    connections.attempt_ended(IDLE_MS, Outcome::Success);
    assert!(connections.has_free(IDLE_MS, 0));
    assert!(!connections.has_free(IDLE_MS, 1));
}

/// An attempt times out or breaks off, and its connection is closed with it. If it still counted as open, the next
/// attempt would be sent to this endpoint for a handshake that it doesn't save.
#[test]
fn a_connection_that_carries_one_attempt_is_closed_with_it() {
    for outcome in [
        Outcome::Timeout,
        Outcome::ConnectionReset,
        Outcome::Cancelled,
        Outcome::ConnectFailed,
    ] {
        let mut connections = connections(1);
        connections.attempt_started(0.0, 1);
        connections.attempt_ended(10.0, outcome);
        assert!(!connections.has_free(10.0, 0), "{outcome:?}");
    }
}

#[test]
fn a_connection_that_may_carry_others_outlives_an_attempt_that_is_cancelled() {
    let mut connections = connections(10);
    connections.attempt_started(0.0, 1);
    assert!(connections.has_free(10.0, 9));
    connections.attempt_ended(10.0, Outcome::Cancelled);
    assert!(connections.has_free(10.0, 0));
    connections.attempt_ended(10.0, Outcome::ConnectFailed);
    assert!(!connections.has_free(10.0, 0));
}
