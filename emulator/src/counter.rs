//! The shared counter: numbers by name, on parts that serve calls in turn.

use crate::experiment::CounterModel;
use crate::{micros, Micros};
use rustc_hash::FxHashMap;

pub(crate) struct Counter {
    parts: Vec<Part>,
    each: Micros,
    line: Micros,
    pub(crate) zone: u32,
    pub(crate) timeout: Micros,
    pub(crate) down: bool,
}

#[derive(Default)]
struct Part {
    free_at: Micros,
    totals: FxHashMap<u64, (f64, Micros)>,
    /// When names whose time is up were last dropped.
    swept: Micros,
}

/// Names whose time is up are dropped so often.
const SWEEP: Micros = 10_000_000;

impl Counter {
    pub(crate) fn new(model: &CounterModel) -> Self {
        let each = micros(1000.0 / model.calls_per_s).max(1);
        Counter {
            parts: (0..model.parts).map(|_| Part::default()).collect(),
            each,
            line: each * Micros::from(model.queue),
            zone: model.zone,
            timeout: micros(model.timeout_ms),
            down: false,
        }
    }

    /// A call has come: when its turn is over and the total after it; none if the line is full.
    pub(crate) fn call(
        &mut self, now: Micros, name: u64, amount: f64, life: Micros,
    ) -> Option<(Micros, f64)> {
        // Names differ in their lowest bits by window and in the higher ones by customer.
        let place = (name ^ name >> 30).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let count = self.parts.len() as u64;
        let part = &mut self.parts[(place % count) as usize];
        if now - part.swept > SWEEP {
            part.totals.retain(|_, (_, until)| *until > now);
            part.swept = now;
        }
        let begins = part.free_at.max(now);
        if begins - now > self.line {
            return None;
        }
        part.free_at = begins + self.each;
        let (total, until) = part.totals.entry(name).or_insert((0.0, now + life));
        if *until <= now {
            (*total, *until) = (0.0, now + life);
        }
        *total += amount;
        Some((part.free_at, *total))
    }

    /// It comes back with no names.
    pub(crate) fn empty(&mut self) {
        self.parts.iter_mut().for_each(|part| part.totals.clear());
    }

    /// Names kept now.
    pub(crate) fn names(&self) -> usize {
        self.parts.iter().map(|part| part.totals.len()).sum()
    }
}
