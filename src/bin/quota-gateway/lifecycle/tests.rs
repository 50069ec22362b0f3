//! The phase on the paused clock.

use super::{Lifecycle, Phase, Timeline};
use std::time::Duration;
use tokio::time::{advance, Instant};

const LONGEST_DEADLINE: Duration = Duration::from_secs(1);

fn begin(lifecycle: &Lifecycle) -> Timeline {
    let timeline = Timeline::new(Instant::now(), LONGEST_DEADLINE);
    lifecycle.begin_shutdown(timeline);
    timeline
}

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
    // A second SIGTERM does not give it more time.
    advance(Duration::from_millis(300)).await;
    begin(&lifecycle);
    assert_eq!(*phase.borrow(), Phase::Refusing);
    let far = Instant::now() + Duration::from_secs(60);
    assert_eq!(lifecycle.limit_deadline(far), timeline.request_deadline);
}

/// Tasks that run before the phase has moved on, as after a stall of the process, see the same as later ones.
#[tokio::test(start_paused = true)]
async fn nothing_is_forwarded_once_the_time_for_that_is_over() {
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

#[tokio::test(start_paused = true)]
async fn an_early_end_forwards_nothing_more() {
    let lifecycle = Lifecycle::new();
    begin(&lifecycle);
    assert!(lifecycle.may_forward());
    lifecycle.advance_to(Phase::Refusing);
    assert!(!lifecycle.may_forward());
    assert_eq!(lifecycle.refusing_since(), Some(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn deadlines_are_limited_during_the_shutdown_only() {
    let lifecycle = Lifecycle::new();
    let far = Instant::now() + Duration::from_secs(60);
    assert_eq!(lifecycle.limit_deadline(far), far);
    let timeline = begin(&lifecycle);
    assert_eq!(lifecycle.limit_deadline(far), timeline.request_deadline);
    let near = Instant::now() + Duration::from_millis(20);
    assert_eq!(lifecycle.limit_deadline(near), near);
}
