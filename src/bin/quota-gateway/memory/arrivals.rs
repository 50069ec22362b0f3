//! The bodies that are arriving, and the choice of the one that is given up when the memory for them is used up.
//!
//! Guards against peers that stop in the middle of their bodies and stay: their bytes would take the room of peers that
//! go on sending. The body that has not received anything for longest is given up.
//!
//! Bodies that wait for room form two queues, so that released memory wakes one of them and not hundreds: one for long
//! bodies of requests, whose peers can wait, and one for all others.

use super::budget::MemoryBudget;
use super::overload::Need;
use crate::rate_limited_warning::RateLimitedWarning;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{timeout_at, Instant};

mod progress;

pub use progress::Priority;

use progress::{Progress, MAX_SHORT_BODY};

#[cfg(test)]
mod tests;

/// Time after which a body that waits looks for room again: the heap returns memory without a notice.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The bodies that are arriving, by their number in the order of their start.
pub struct Arrivals {
    bodies: RefCell<BTreeMap<u64, Rc<Progress>>>,
    next_number: Cell<u64>,
    /// The turn of the long body of a request that looks for room.
    request_turn: Semaphore,
    /// The turn of the other body that looks for room.
    urgent_turn: Semaphore,
    warning: RateLimitedWarning,
}

impl Default for Arrivals {
    fn default() -> Self {
        Arrivals {
            bodies: RefCell::default(),
            next_number: Cell::default(),
            request_turn: Semaphore::new(1),
            urgent_turn: Semaphore::new(1),
            warning: RateLimitedWarning::default(),
        }
    }
}

/// The body was given up, because the memory for the bytes of peers is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp;

/// The result of looking for a body to give up.
enum GiveUp {
    /// A body was given up, and its memory will be released.
    Done,
    /// No body has been without a piece for long enough. One may have been at this time.
    NotBefore(Instant),
    /// No other body is arriving that may be given up.
    NoOther,
}

impl Arrivals {
    /// Adds a body that begins to arrive.
    fn add(&self, priority: Priority, is_short: bool) -> Rc<Progress> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let progress = Rc::new(Progress::new(number, priority, is_short));
        self.bodies.borrow_mut().insert(number, progress.clone());
        progress
    }

    /// Gives up the first body in the order of giving up, except for `keep`, if it has been without a piece for at least
    /// `min_stall`.
    fn give_up_stalest(&self, keep: u64, min_stall: Duration) -> GiveUp {
        if self.given_up_bytes() > 0 {
            return GiveUp::Done;
        }
        let Some(stalest) = self.stalest(Some(keep)) else {
            return GiveUp::NoOther;
        };
        let stalled_at = stalest.last_piece_at.get() + min_stall;
        if stalled_at > Instant::now() {
            return GiveUp::NotBefore(stalled_at);
        }
        self.give_up(&stalest);
        GiveUp::Done
    }

    /// Gives up bodies, in their order, until they release this many bytes or none is left that
    /// may be given up.
    pub(super) fn give_up_bytes(&self, bytes: usize) {
        let mut released = self.given_up_bytes();
        while released < bytes {
            let Some(stalest) = self.stalest(None) else {
                return;
            };
            released += stalest.bytes.get();
            self.give_up(&stalest);
        }
    }

    /// Memory of the bodies that were given up and have not released it yet.
    fn given_up_bytes(&self) -> usize {
        let bodies = self.bodies.borrow();
        let given_up = bodies.values().filter(|progress| progress.given_up.get());
        given_up.map(|progress| progress.bytes.get()).sum()
    }

    /// The first body in the order of giving up, except for `keep`.
    fn stalest(&self, keep: Option<u64>) -> Option<Rc<Progress>> {
        let bodies = self.bodies.borrow();
        let others = bodies
            .iter()
            .filter(|(number, progress)| Some(**number) != keep && progress.may_be_given_up());
        let (_, stalest) = others.min_by_key(|(_, progress)| progress.order())?;
        Some(stalest.clone())
    }

    fn give_up(&self, progress: &Progress) {
        self.warning.warn(
            "body given up without progress",
            "the memory for the bytes of peers is used up",
        );
        progress.given_up.set(true);
        progress.give_up_notice.notify_one();
    }
}

/// A body that is arriving, until it is dropped.
pub struct Arrival {
    budget: Rc<MemoryBudget>,
    progress: Rc<Progress>,
}

impl Arrival {
    /// Adds a body that begins to arrive to those of the budget. `announced_bytes` is the length that its peer has
    /// announced, if any.
    pub fn begin(
        budget: &Rc<MemoryBudget>,
        priority: Priority,
        announced_bytes: Option<usize>,
    ) -> Self {
        let is_short = announced_bytes.is_some_and(|bytes| bytes <= MAX_SHORT_BODY);
        let progress = budget.arrivals().add(priority, is_short);
        Arrival {
            budget: budget.clone(),
            progress,
        }
    }

    /// Waits until the body is given up in favor of others.
    pub async fn given_up(&self) {
        while !self.progress.given_up.get() {
            self.progress.give_up_notice.notified().await;
        }
    }

    /// Records that a piece of the body has arrived.
    pub fn on_piece(&self) {
        self.progress.last_piece_at.set(Instant::now());
    }

    /// Sets the memory that the body holds.
    pub fn set_bytes(&self, bytes: usize) {
        self.progress.bytes.set(bytes);
    }

    /// Allocates memory with `try_allocate`, which gets the need that the memory is for, and returns `None` if there is no
    /// room. Waits until there is room, if necessary that of other bodies. If the future is dropped before, nothing is
    /// allocated.
    ///
    /// # Errors
    ///
    /// Fails if the body alone exceeds the memory, or if it is given up meanwhile.
    pub async fn allocate<T>(
        &self,
        mut try_allocate: impl FnMut(Need) -> Option<T>,
    ) -> Result<T, GivenUp> {
        if let Some(allocated) = try_allocate(self.progress.need()) {
            return Ok(allocated);
        }
        // Boxed, because it is rare: each open request would have room for it otherwise.
        Box::pin(async {
            let _waiting = WaitForRoom::begin(&self.progress);
            tokio::select! {
                biased;
                () = self.given_up() => Err(GivenUp),
                result = self.wait_for_room(try_allocate) => result,
            }
        })
        .await
    }

    async fn wait_for_room<T>(
        &self,
        mut try_allocate: impl FnMut(Need) -> Option<T>,
    ) -> Result<T, GivenUp> {
        let arrivals = self.budget.arrivals();
        let turn = if self.progress.is_urgent() {
            &arrivals.urgent_turn
        } else {
            &arrivals.request_turn
        };
        // Acquiring fails only if the semaphore is closed, which it never is.
        let _turn = turn.acquire().await;
        loop {
            let released = self.budget.wait_for_release();
            if let Some(allocated) = try_allocate(self.progress.need()) {
                return Ok(allocated);
            }
            let min_stall = self.progress.min_stall_of_others(self.budget.is_crowded());
            let give_up = arrivals.give_up_stalest(self.progress.number, min_stall);
            let retry_at = Instant::now() + RETRY_INTERVAL;
            let retry_at = match give_up {
                GiveUp::NoOther if self.is_only_one() => return Err(GivenUp),
                GiveUp::NoOther if self.progress.is_urgent() => {
                    if let Some(allocated) = try_allocate(Need::Completion) {
                        return Ok(allocated);
                    }
                    retry_at
                }
                GiveUp::Done | GiveUp::NoOther => retry_at,
                GiveUp::NotBefore(time) => retry_at.min(time),
            };
            // Either way the room is looked for again.
            let _ = timeout_at(retry_at, released).await;
        }
    }

    /// True if all memory in use belongs to this body, so that no other can make room.
    fn is_only_one(&self) -> bool {
        self.budget.used_bytes() <= self.progress.bytes.get()
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let bodies = &self.budget.arrivals().bodies;
        bodies.borrow_mut().remove(&self.progress.number);
    }
}

/// Marks a body as waiting for room until it is dropped.
struct WaitForRoom<'a> {
    progress: &'a Progress,
}

impl<'a> WaitForRoom<'a> {
    fn begin(progress: &'a Progress) -> Self {
        progress.waits_for_room.set(true);
        WaitForRoom { progress }
    }
}

impl Drop for WaitForRoom<'_> {
    fn drop(&mut self) {
        self.progress.waits_for_room.set(false);
    }
}
