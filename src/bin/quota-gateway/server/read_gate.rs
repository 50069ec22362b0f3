//! Stops reading from a client while the body of its request waits for memory.
//!
//! Guards against read buffers that nobody has room for: hyper reads one piece of a body ahead, and each piece keeps a
//! buffer of several KiB allocated. With hundreds of bodies that wait, these buffers exceed the room that they wait for.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

#[cfg(test)]
mod tests;

/// Open unless a [`ClosedGate`] exists.
#[derive(Default)]
pub struct ReadGate {
    is_closed: Cell<bool>,
    /// Wakes the task that found the gate closed.
    waker: RefCell<Option<Waker>>,
}

impl ReadGate {
    /// Closes the gate until the guard is dropped.
    pub fn close(&self) -> ClosedGate<'_> {
        self.is_closed.set(true);
        ClosedGate { gate: self }
    }

    /// Ready while the gate is open.
    pub fn poll_open(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_closed.get() {
            self.waker.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

/// Keeps a gate closed until it is dropped.
pub struct ClosedGate<'a> {
    gate: &'a ReadGate,
}

impl Drop for ClosedGate<'_> {
    fn drop(&mut self) {
        self.gate.is_closed.set(false);
        if let Some(waker) = self.gate.waker.take() {
            waker.wake();
        }
    }
}
