//! The bodies that are arriving, and the choice of the one that is given up when the memory for them is used up.
//!
//! Guards against peers that stop in the middle of their bodies and stay: their bytes would take the room of peers that
//! go on sending. The body that has not received anything for longest is given up.

use super::budget::MemoryBudget;
use crate::rate_limited_warning::RateLimitedWarning;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

#[cfg(test)]
mod tests;

/// Time without a piece after which a body may be given up for another one, which waits until then. A body whose peer
/// goes on sending is not given up for another.
const MIN_STALL: Duration = Duration::from_millis(500);
/// The same time if the other one is a short body, whose request need not wait: it takes little of the room.
const MIN_STALL_FOR_SHORT_BODY: Duration = Duration::from_millis(50);
/// Maximum announced length of a short body, in bytes.
const MAX_SHORT_BODY: usize = 4 * 1024;

/// The bodies that are arriving, by their number in the order of their start.
#[derive(Default)]
pub struct Arrivals {
    bodies: RefCell<BTreeMap<u64, Rc<Progress>>>,
    next_number: Cell<u64>,
    warning: RateLimitedWarning,
}

/// Whether a body may be given up in favor of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// The body may be given up: its sender may try again.
    Replaceable,
    /// The body is kept, because the process depends on it.
    Essential,
}

/// The progress of one body.
struct Progress {
    priority: Priority,
    is_short: bool,
    /// Memory that the body has reserved.
    bytes: Cell<usize>,
    last_piece_at: Cell<Instant>,
    /// True while the body itself waits for room: its peer may have sent more.
    waits_for_room: Cell<bool>,
    given_up: Cell<bool>,
    give_up_notice: Notify,
}

impl Progress {
    /// True if giving the body up makes room: a short one takes next to nothing.
    fn may_be_given_up(&self) -> bool {
        let makes_room = self.bytes.get() > MAX_SHORT_BODY;
        makes_room && self.priority == Priority::Replaceable && !self.given_up.get()
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
    fn add(&self, priority: Priority, is_short: bool) -> (u64, Rc<Progress>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let progress = Rc::new(Progress {
            priority,
            is_short,
            bytes: Cell::new(0),
            last_piece_at: Cell::new(Instant::now()),
            waits_for_room: Cell::new(false),
            given_up: Cell::new(false),
            give_up_notice: Notify::new(),
        });
        self.bodies.borrow_mut().insert(number, progress.clone());
        (number, progress)
    }

    /// Gives up the body that has been without a piece for longest, except for `keep`, if that is at least `min_stall`.
    /// Bodies that wait for room themselves come last.
    fn give_up_stalest(&self, keep: u64, min_stall: Duration) -> GiveUp {
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

    /// Gives up bodies, those without a piece for longest first, until they release this many bytes or none is left that
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

    /// The body that has been without a piece for longest, except for `keep`.
    fn stalest(&self, keep: Option<u64>) -> Option<Rc<Progress>> {
        let bodies = self.bodies.borrow();
        let others = bodies
            .iter()
            .filter(|(number, progress)| Some(**number) != keep && progress.may_be_given_up());
        let (_, stalest) = others.min_by_key(|(_, progress)| {
            (progress.waits_for_room.get(), progress.last_piece_at.get())
        })?;
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
    number: u64,
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
        let (number, progress) = budget.arrivals().add(priority, is_short);
        Arrival {
            budget: budget.clone(),
            number,
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

    /// Allocates memory with `try_allocate`, which returns `None` if there is no room, if necessary that of other
    /// bodies. Waits until there is room. If the future is dropped before, nothing is allocated.
    ///
    /// # Errors
    ///
    /// Fails if the body alone exceeds the memory, or if it is given up meanwhile.
    pub async fn allocate<T>(
        &self,
        mut try_allocate: impl FnMut() -> Option<T>,
    ) -> Result<T, GivenUp> {
        if let Some(allocated) = try_allocate() {
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
        mut try_allocate: impl FnMut() -> Option<T>,
    ) -> Result<T, GivenUp> {
        let min_stall = if self.progress.is_short {
            MIN_STALL_FOR_SHORT_BODY
        } else {
            MIN_STALL
        };
        loop {
            let released = self.budget.wait_for_release();
            if let Some(allocated) = try_allocate() {
                return Ok(allocated);
            }
            match self
                .budget
                .arrivals()
                .give_up_stalest(self.number, min_stall)
            {
                GiveUp::NoOther if self.is_only_one() => return Err(GivenUp),
                GiveUp::Done | GiveUp::NoOther => released.await,
                GiveUp::NotBefore(time) => {
                    // Either way the room is looked for again.
                    let _ = timeout_at(time, released).await;
                }
            }
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
        bodies.borrow_mut().remove(&self.number);
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
