//! Counters: single ones, and families with one for each value of a label.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use std::marker::PhantomData;

/// A label of a metric, as an enumeration of its values.
pub trait Label: Copy + 'static {
    /// The label's name.
    const NAME: &'static str;
    /// All values.
    const ALL: &'static [Self];
    /// The value's index in `ALL`.
    fn index(self) -> usize;
    /// The value in the text format.
    fn text(self) -> &'static str;
}

/// A counter for each value of a label.
pub struct CounterFamily<L> {
    counters: Vec<IntCounter>,
    label: PhantomData<L>,
}

impl<L: Label> CounterFamily<L> {
    /// Registers the counters, all at 0.
    pub(super) fn register(registry: &Registry, name: &str, help: &str) -> Self {
        let family = IntCounterVec::new(options(name, help), &[L::NAME]);
        let family = family.expect("the name of a metric is valid, as a test shows");
        // It fails if the name is already registered; the counters are then missing from the text, as a test would show.
        let _ = registry.register(Box::new(family.clone()));
        let counters = L::ALL
            .iter()
            .map(|value| family.with_label_values(&[value.text()]))
            .collect();
        CounterFamily {
            counters,
            label: PhantomData,
        }
    }

    /// The sum over all values.
    pub fn total(&self) -> u64 {
        self.counters.iter().map(IntCounter::get).sum()
    }

    /// Counts one more.
    pub fn increment(&self, value: L) {
        self.counters[value.index()].inc();
    }
}

/// Options of a metric of this program.
fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("gateway_{name}_total"), help)
}

/// Registers a counter without labels, at 0.
pub(super) fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::with_opts(options(name, help));
    let counter = counter.expect("the name of a metric is valid, as a test shows");
    // It fails if the name is already registered; the counter is then missing from the text, as a test would show.
    let _ = registry.register(Box::new(counter.clone()));
    counter
}
