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
fn a_connection_is_free_after_its_attempt_until_the_idle_time_is_over() {
    let mut connections = connections(1);
    assert!(!connections.has_free_connection(0.0, 0));
    connections.attempt_started(0.0, 1);
    assert!(!connections.has_free_connection(10.0, 1));
    connections.attempt_ended(20.0, Outcome::Success);
    assert!(connections.has_free_connection(20.0, 0));
    assert!(!connections.has_free_connection(20.0 + IDLE_MS, 0));
}

#[test]
fn an_attempt_after_the_idle_time_resets_the_number_of_open_connections() {
    let mut connections = connections(1);
    connections.attempt_started(0.0, 3);
    connections.attempt_started(IDLE_MS, 1);
    connections.attempt_ended(IDLE_MS, Outcome::Success);
    assert!(connections.has_free_connection(IDLE_MS, 0));
    assert!(!connections.has_free_connection(IDLE_MS, 1));
}

/// A connection that carries one attempt at a time is closed when the attempt times out, breaks or is cancelled. If the
/// connection still counted as open, the next attempt would choose this endpoint to save a handshake that is needed.
#[test]
fn a_connection_for_one_attempt_is_closed_when_the_attempt_fails() {
    for outcome in [
        Outcome::Timeout,
        Outcome::ConnectionReset,
        Outcome::Cancelled,
        Outcome::ConnectFailed,
    ] {
        let mut connections = connections(1);
        connections.attempt_started(0.0, 1);
        connections.attempt_ended(10.0, outcome);
        assert!(!connections.has_free_connection(10.0, 0), "{outcome:?}");
    }
}

#[test]
fn a_multiplexed_connection_stays_open_when_an_attempt_is_cancelled() {
    let mut connections = connections(10);
    connections.attempt_started(0.0, 1);
    assert!(connections.has_free_connection(10.0, 9));
    connections.attempt_ended(10.0, Outcome::Cancelled);
    assert!(connections.has_free_connection(10.0, 0));
    connections.attempt_ended(10.0, Outcome::ConnectFailed);
    assert!(!connections.has_free_connection(10.0, 0));
}
