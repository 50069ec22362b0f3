//! Clients: which customer asks, by which gateway, for what.

use crate::experiment::Experiment;
use crate::{micros, stream, Micros};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

pub(crate) struct Clients {
    rng: ChaCha8Rng,
    gaps: Exp<f64>,
    customers: u64,
    law: Option<Zipf<f64>>,
    classes: Vec<f64>,
    plans: Vec<f64>,
    /// Gateways by their part of the traffic, summed up.
    gateways: Vec<f64>,
    spread: u32,
    retry_share: f64,
    retry_ms: f64,
    leave_share: f64,
}

/// A client's wish, the same over all its tries.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub(crate) customer: u64,
    pub(crate) plan: u32,
    pub(crate) class: u32,
    /// Units that the request names, and that its work turns out to take.
    pub(crate) units: (f64, f64),
    /// Its try, from 0.
    pub(crate) try_no: u32,
}

/// A client gives up after so many tries.
const TRIES_MOST: u32 = 4;

/// Sums from the first on, as shares of the whole.
fn sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sums: Vec<_> = parts
        .scan(0.0, |sum, part| {
            *sum += part;
            Some(*sum)
        })
        .collect();
    let whole = sums.last().copied().unwrap_or(1.0);
    sums.iter_mut().for_each(|sum| *sum /= whole);
    sums
}

fn place(sums: &[f64], at: f64) -> usize {
    sums.partition_point(|sum| *sum <= at).min(sums.len() - 1)
}

/// A number from 0 to 1 that stays the customer's own.
fn lot(customer: u64, kind: u64) -> f64 {
    let mixed =
        (customer ^ kind << 40).wrapping_add(0x9E37_79B9_7F4A_7C15).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

impl Clients {
    pub(crate) fn new(e: &Experiment, seed: u64) -> Result<Self, String> {
        let hot = (f64::from(e.gateways.count) * e.gateways.hot_share).round() as u32;
        // Hot ones lie evenly among the others.
        let is_hot =
            |n: u32| hot > 0 && u64::from(n) * u64::from(hot) % u64::from(e.gateways.count) < u64::from(hot);
        let weight = |n| if is_hot(n) { e.gateways.hot_times } else { 1.0 };
        let law = (e.load.zipf > 0.0).then(|| Zipf::new(e.load.customers as f64, e.load.zipf)).transpose();
        Ok(Clients {
            rng: stream(seed, "clients", 0),
            gaps: Exp::new(e.load.requests_per_s / 1000.0)
                .map_err(|e| format!("load.requests_per_s: {e}"))?,
            customers: e.load.customers,
            law: law.map_err(|e| format!("load.zipf: {e}"))?,
            classes: sums(e.classes.iter().map(|c| c.share)),
            plans: sums(e.plans.iter().map(|p| p.share)),
            gateways: sums((0..e.gateways.count).map(weight)),
            spread: e.load.spread,
            retry_share: e.load.retry_share,
            retry_ms: e.load.retry_ms,
            leave_share: e.load.leave_share,
        })
    }

    /// Time to the next first try.
    pub(crate) fn gap(&mut self) -> Micros {
        micros(self.gaps.sample(&mut self.rng))
    }

    pub(crate) fn wish(&mut self) -> Wish {
        let customer = match &self.law {
            Some(law) => law.sample(&mut self.rng) as u64 - 1,
            None => self.rng.random_range(0..self.customers),
        };
        let units = self.rng.random_range(1..=2) as f64;
        Wish {
            customer,
            plan: place(&self.plans, lot(customer, 1)) as u32,
            class: place(&self.classes, self.rng.random()) as u32,
            units: (units, units * self.rng.random_range(0.7..1.3)),
            try_no: 0,
        }
    }

    /// The gateway that the front picks of the customer's set; where that takes nothing another one of the set, then
    /// any.
    pub(crate) fn gateway(&mut self, customer: u64, accepts: impl Fn(usize) -> bool) -> Option<usize> {
        let count = self.gateways.len();
        let first = place(&self.gateways, lot(customer, 2));
        let picked = self.rng.random_range(0..self.spread) as usize;
        let set =
            (0..self.spread as usize).map(|step| (first + (picked + step) % self.spread as usize) % count);
        let any = self.rng.random_range(0..count);
        set.chain((0..count).map(|step| (any + step) % count)).find(|number| accepts(*number))
    }

    /// Whether and when a client comes again after a try that was not served; told to wait so many ms.
    pub(crate) fn again(&mut self, wish: &Wish, told_ms: f64) -> Option<(Wish, Micros)> {
        if wish.try_no + 1 >= TRIES_MOST || self.rng.random::<f64>() >= self.retry_share {
            return None;
        }
        let wait = told_ms.max(self.retry_ms * self.rng.random_range(0.5..1.5));
        Some((Wish { try_no: wish.try_no + 1, ..wish.clone() }, micros(wait)))
    }

    /// When a client leaves that will not wait for its answer.
    pub(crate) fn leaves(&mut self, deadline: Micros) -> Option<Micros> {
        (self.rng.random::<f64>() < self.leave_share).then(|| self.rng.random_range(0..=deadline))
    }
}
