//! The request bodies that are arriving, and the choice of the one that is given up when the memory for them is used up.
//!
//! Guards against clients that stop in the middle of their bodies and stay: their bytes would take the room of clients
//! that go on sending. The body that has not received anything for longest is given up.

use super::client_memory::Reservation;
use crate::rate_limited_warning::RateLimitedWarning;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The bodies that are arriving, by their number in the order of their start.
#[derive(Default)]
pub struct ArrivingBodies {
    bodies: RefCell<BTreeMap<u64, Rc<BodyProgress>>>,
    next_number: Cell<u64>,
    /// Notified whenever a body has arrived or was given up.
    ended: Notify,
    warning: RateLimitedWarning,
}

/// The progress of one body.
struct BodyProgress {
    last_piece_at: Cell<Instant>,
    given_up: Cell<bool>,
    give_up_notice: Notify,
}

/// The body was given up, because the memory for the bytes of clients is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp;

impl ArrivingBodies {
    /// Adds a body that begins to arrive.
    pub fn add(&self) -> ArrivingBody<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let progress = Rc::new(BodyProgress {
            last_piece_at: Cell::new(Instant::now()),
            given_up: Cell::new(false),
            give_up_notice: Notify::new(),
        });
        self.bodies.borrow_mut().insert(number, progress.clone());
        ArrivingBody {
            all: self,
            number,
            progress,
        }
    }

    /// Gives up the body without a piece for longest, except for `keep`. Returns false if there is no other body.
    fn give_up_stalest(&self, keep: u64) -> bool {
        let bodies = self.bodies.borrow();
        let others = bodies
            .iter()
            .filter(|(number, progress)| **number != keep && !progress.given_up.get());
        let Some((_, stalest)) = others.min_by_key(|(_, progress)| progress.last_piece_at.get())
        else {
            return false;
        };
        stalest.given_up.set(true);
        stalest.give_up_notice.notify_one();
        true
    }
}

/// A body that is arriving, until it is dropped.
pub struct ArrivingBody<'a> {
    all: &'a ArrivingBodies,
    number: u64,
    progress: Rc<BodyProgress>,
}

impl ArrivingBody<'_> {
    /// Waits until the body is given up in favor of others.
    pub async fn given_up(&self) {
        self.progress.give_up_notice.notified().await;
    }

    /// Records that a piece of the body has arrived, and reserves memory for it, if necessary that of other bodies.
    ///
    /// # Errors
    ///
    /// Fails if all memory is taken by bytes that are still needed, or if this body is given up meanwhile.
    pub async fn reserve(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
    ) -> Result<(), GivenUp> {
        self.progress.last_piece_at.set(Instant::now());
        while !reservation.try_grow(bytes) {
            self.all.warning.warn(
                "request body given up without progress",
                "the memory for the bytes of clients is used up",
            );
            let ended = self.all.ended.notified();
            if self.progress.given_up.get() || !self.all.give_up_stalest(self.number) {
                return Err(GivenUp);
            }
            ended.await;
        }
        Ok(())
    }
}

impl Drop for ArrivingBody<'_> {
    fn drop(&mut self) {
        self.all.bodies.borrow_mut().remove(&self.number);
        self.all.ended.notify_waiters();
    }
}
