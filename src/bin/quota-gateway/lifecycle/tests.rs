//! Tests the phase of the process, on the paused clock.

use super::{Lifecycle, Phase, Timeline};
use std::time::Duration;
use tokio::time::{advance, Instant};

const LONGEST_DEADLINE: Duration = Duration::from_secs(1);

fn begin(lifecycle: &Lifecycle) -> Timeline {
    let timeline = Timeline::new(Instant::now(), LONGEST_DEADLINE);
    lifecycle.begin_shutdown(timeline);
    timeline
}

/// After a stall, tasks enter phases in any order, and a second SIGTERM arrives. If the phase went back, or the times
/// were set again, the process would accept requests that SIGKILL cuts off. Neither must happen.
#[tokio::test(start_paused = true)]
async fn the_phase_never_goes_back() {
    let lifecycle = Lifecycle::new();
    let phase = lifecycle.subscribe();
    assert!(!lifecycle.is_shutting_down() && lifecycle.may_forward());
    let timeline = begin(&lifecycle);
    assert_eq!(*phase.borrow(), Phase::Accepting);
    lifecycle.advance_to(Phase::Refusing);
    lifecycle.advance_to(Phase::NoNewConnections);
    assert_eq!(*phase.borrow(), Phase::Refusing);
    // A second SIGTERM.
    advance(Duration::from_millis(300)).await;
    begin(&lifecycle);
    assert_eq!(*phase.borrow(), Phase::Refusing);
    let far_deadline = Instant::now() + Duration::from_secs(60);
    assert_eq!(
        lifecycle.limit_deadline(far_deadline),
        timeline.request_deadline
    );
}

/// After a stall, some tasks run before the task that advances the phase. A request that they forward would be cut off
/// when the process exits. Once the time for forwarding is over, nothing may be forwarded, whatever the phase.
#[tokio::test(start_paused = true)]
async fn nothing_is_forwarded_after_the_time_for_forwarding() {
    let lifecycle = Lifecycle::new();
    let timeline = begin(&lifecycle);
    advance(timeline.last_forwarding_at - Instant::now() - Duration::from_millis(1)).await;
    assert!(lifecycle.may_forward());
    advance(Duration::from_millis(1)).await;
    assert!(!lifecycle.may_forward());
    assert_eq!(lifecycle.refusing_since(), None);
    advance(Duration::from_millis(150)).await;
    assert_eq!(lifecycle.refusing_since(), Some(timeline.refusing_at));
    assert_eq!(*lifecycle.subscribe().borrow(), Phase::Accepting);
}

/// The process exits early because no request is open. A request that arrives then would have no response. Such a
/// request must not be forwarded, although the time for forwarding is not over.
#[tokio::test(start_paused = true)]
async fn nothing_is_forwarded_after_an_early_end() {
    let lifecycle = Lifecycle::new();
    begin(&lifecycle);
    assert!(lifecycle.may_forward());
    lifecycle.advance_to(Phase::Refusing);
    assert!(!lifecycle.may_forward());
    assert_eq!(lifecycle.refusing_since(), Some(Instant::now()));
}

/// With a deadline after the exit, an endpoint would work for a process that has ended. During the shutdown, deadlines
/// must be limited to that of the shutdown; otherwise they are those of the clients.
#[tokio::test(start_paused = true)]
async fn deadlines_are_limited_during_the_shutdown_only() {
    let lifecycle = Lifecycle::new();
    let far_deadline = Instant::now() + Duration::from_secs(60);
    assert_eq!(lifecycle.limit_deadline(far_deadline), far_deadline);
    let timeline = begin(&lifecycle);
    assert_eq!(
        lifecycle.limit_deadline(far_deadline),
        timeline.request_deadline
    );
    let near_deadline = Instant::now() + Duration::from_millis(20);
    assert_eq!(lifecycle.limit_deadline(near_deadline), near_deadline);
}
