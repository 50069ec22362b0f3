//! The event clock and the queue of scheduled events, a binary heap.

use super::event::Event;
use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Scheduled events in order of time. Events of the same time occur in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Time of the last event taken from the queue.
    now: Micros,
    serial: u64,
    heap: BinaryHeap<Reverse<Scheduled>>,
    /// The scheduled events. They are stored outside of the heap, so that the heap moves small entries only.
    slots: Vec<Option<Event>>,
    free_slots: Vec<usize>,
}

/// Heap entry of an event, ordered by time, then by the order of scheduling.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Micros,
    serial: u64,
    slot: usize,
}

impl EventQueue {
    /// Time of the current event.
    pub(super) fn now(&self) -> Micros {
        self.now
    }

    /// Returns an unused number, as the id of a request, attempt or call.
    pub(super) fn next_id(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Schedules an event. An event whose time has passed occurs at the current time.
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

    /// Takes the next event and advances the clock to its time.
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
