use super::*;
use crate::server::client_memory::ClientMemory;
use std::time::Duration;
use tokio::time::{advance, timeout};

/// Memory limit at which 1 MiB is left for the bytes of clients.
const LOWEST_LIMIT: usize = 0;
const LENGTH: usize = 400 * 1024;

/// A client that goes on sending must get the room of one that has stopped, and not the other way round.
#[tokio::test(start_paused = true)]
async fn the_body_without_progress_for_longest_is_given_up() {
    let memory = ClientMemory::new(LOWEST_LIMIT);
    let bodies = ArrivingBodies::default();
    let stalled = bodies.add();
    let mut stalled_memory = memory.reserve();
    let slow = bodies.add();
    let mut slow_memory = memory.reserve();
    assert_eq!(stalled.reserve(&mut stalled_memory, LENGTH).await, Ok(()));
    assert_eq!(slow.reserve(&mut slow_memory, LENGTH).await, Ok(()));
    advance(Duration::from_millis(500)).await;
    assert_eq!(slow.reserve(&mut slow_memory, 1).await, Ok(()));

    let new = bodies.add();
    let mut new_memory = memory.reserve();
    let end_stalled = async move {
        stalled.given_up().await;
        drop(stalled_memory);
        drop(stalled);
    };
    let (reserved, ()) = tokio::join!(new.reserve(&mut new_memory, LENGTH), end_stalled);
    assert_eq!(reserved, Ok(()));
    let wait = timeout(Duration::from_secs(1), slow.given_up()).await;
    assert!(wait.is_err(), "a body with progress was given up");
}

#[tokio::test(start_paused = true)]
async fn a_body_is_given_up_itself_if_no_other_is_arriving() {
    let memory = ClientMemory::new(LOWEST_LIMIT);
    let bodies = ArrivingBodies::default();
    let body = bodies.add();
    let mut reservation = memory.reserve();
    assert_eq!(body.reserve(&mut reservation, 2 << 20).await, Err(GivenUp));
}
