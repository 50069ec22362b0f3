//! Quote servers: slots and a line, cold starts, drains, and the budget of a cold one.

use crate::experiment::Experiment;
use crate::{micros, stream, Micros};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    Up,
    Draining,
    /// The machine is lost or cut off: nothing is answered.
    Vanished,
    /// The process has ended: connections are refused.
    Gone,
}

pub(crate) struct Backend {
    pub(crate) zone: u32,
    pub(crate) life: Life,
    /// When it started, if it may be cold.
    pub(crate) started: Option<Micros>,
    /// Counted up when it loses what it has in hand.
    pub(crate) generation: u32,
    busy: u32,
    line: VecDeque<u64>,
    /// What reached it while cold, within the time of the rule.
    reached: VecDeque<Micros>,
    pub(crate) connections: u32,
    /// Requests that reached it, counted by the report.
    pub(crate) requests: u64,
    rng: ChaCha8Rng,
}

/// What becomes of a request that has reached a quote server.
pub(crate) enum Reached {
    /// It is worked on for so long.
    Begun(Micros),
    /// It waits in line.
    Waits,
    /// It is turned away.
    Full,
    /// Nobody listens.
    Refused,
    /// Nothing ever comes back.
    Silent,
    /// The cold quote server has fallen under it; the calls within the time, and those allowed.
    Fell(usize, f64),
}

/// What all quote servers have in common.
pub(crate) struct Kind {
    slots: u32,
    queue: usize,
    pub(crate) connections: u32,
    pub(crate) handshake: Micros,
    work: LogNormal<f64>,
    work_ms: f64,
    cold_from: f64,
    warm_up: Micros,
    fall_multiple: f64,
    fall: Micros,
}

impl Kind {
    pub(crate) fn new(e: &Experiment) -> Result<Self, String> {
        let (b, r) = (&e.backends, &e.rules);
        // The mean of a lognormal is e to the power of mu and half the square of sigma.
        let mu = b.work_ms.ln() - b.work_sigma * b.work_sigma / 2.0;
        Ok(Kind {
            slots: b.slots,
            queue: b.queue as usize,
            connections: b.connections,
            handshake: micros(b.handshake_ms),
            work: LogNormal::new(mu, b.work_sigma).map_err(|e| format!("backends.work_ms: {e}"))?,
            work_ms: b.work_ms,
            cold_from: r.cold_from,
            warm_up: micros(r.warm_up_ms),
            fall_multiple: r.fall_multiple,
            fall: micros(r.fall_ms),
        })
    }

    /// Share of its capacity that one has that started then.
    fn share(&self, started: Option<Micros>, now: Micros) -> f64 {
        let Some(age) = started.map(|at| now - at).filter(|age| *age < self.warm_up) else { return 1.0 };
        self.cold_from + (1.0 - self.cold_from) * age as f64 / self.warm_up as f64
    }
}

impl Backend {
    pub(crate) fn new(seed: u64, number: u64, zone: u32, started: Option<Micros>) -> Self {
        Backend {
            zone,
            life: Life::Up,
            started,
            generation: 0,
            busy: 0,
            line: VecDeque::new(),
            reached: VecDeque::new(),
            connections: 0,
            requests: 0,
            rng: stream(seed, "backend", number),
        }
    }

    fn work(&mut self, kind: &Kind, now: Micros) -> Micros {
        let ms = kind.work.sample(&mut self.rng) / kind.share(self.started, now);
        micros(ms).max(1)
    }

    pub(crate) fn reach(&mut self, kind: &Kind, now: Micros, attempt: u64) -> Reached {
        match self.life {
            Life::Up => {}
            Life::Draining => return Reached::Full,
            Life::Vanished => return Reached::Silent,
            Life::Gone => return Reached::Refused,
        }
        let share = kind.share(self.started, now);
        if share < 1.0 && kind.fall > 0 {
            while self.reached.front().is_some_and(|at| at + kind.fall < now) {
                self.reached.pop_front();
            }
            self.reached.push_back(now);
            let a_second = f64::from(kind.slots) * 1000.0 / kind.work_ms * share;
            let n = kind.fall_multiple * a_second * kind.fall as f64 / 1e6;
            let allowed = n + 2.0 * n.sqrt() + 2.0;
            if self.reached.len() as f64 > allowed {
                let calls = self.reached.len();
                self.end(Life::Gone);
                return Reached::Fell(calls, allowed);
            }
        }
        if self.busy < kind.slots {
            self.busy += 1;
            Reached::Begun(self.work(kind, now))
        } else if self.line.len() < kind.queue {
            self.line.push_back(attempt);
            Reached::Waits
        } else {
            Reached::Full
        }
    }

    /// One piece of work is done: the next in line, and how long it takes.
    pub(crate) fn done(&mut self, kind: &Kind, now: Micros) -> Option<(u64, Micros)> {
        match self.line.pop_front() {
            Some(next) => Some((next, self.work(kind, now))),
            None => {
                self.busy -= 1;
                None
            }
        }
    }

    /// It loses all that it has in hand.
    pub(crate) fn end(&mut self, life: Life) {
        self.life = life;
        self.generation += 1;
        self.busy = 0;
        self.line.clear();
        self.reached.clear();
    }

    /// It is back, cold.
    pub(crate) fn start(&mut self, now: Micros) {
        self.end(Life::Up);
        self.started = Some(now);
    }
}
