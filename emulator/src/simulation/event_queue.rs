//! What is going to happen, in order of time.

use super::event::Event;
use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The event clock and the events that are still to come. Events of one moment happen in the order in which they were
/// scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    now: Micros,
    serial: u64,
    heap: BinaryHeap<Reverse<Scheduled>>,
    /// The events themselves; slots are reused, so that the heap moves small entries only.
    slots: Vec<Option<Event>>,
    free_slots: Vec<usize>,
}

/// Ordered by time first, then by the order of scheduling.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Micros,
    serial: u64,
    slot: usize,
}

impl EventQueue {
    /// The time of the event that happens now.
    pub(super) fn now(&self) -> Micros {
        self.now
    }

    /// A number that was not used before, for requests, attempts and calls.
    pub(super) fn next_id(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Schedules an event; one whose time has passed happens now.
    pub(super) fn schedule(&mut self, at: Micros, event: Event) {
        let serial = self.next_id();
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.heap.push(Reverse(Scheduled {
            at: at.max(self.now),
            serial,
            slot,
        }));
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_in(&mut self, delay: Micros, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Moves the clock on to the next event.
    pub(super) fn pop(&mut self) -> Option<Event> {
        loop {
            let Reverse(next) = self.heap.pop()?;
            self.now = next.at;
            self.free_slots.push(next.slot);
            if let Some(event) = self.slots[next.slot].take() {
                return Some(event);
            }
        }
    }
}
