//! Counters: single counters, and families with one counter for each value of a label.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use std::marker::PhantomData;

/// A label of a metric, as an enumeration of its values.
pub trait Label: Copy + 'static {
    /// Name of the label in the text format.
    const NAME: &'static str;
    /// All values, in the order of their indexes.
    const ALL: &'static [Self];
    /// Index of the value in `ALL`.
    fn index(self) -> usize;
    /// Text of the value in the text format.
    fn text(self) -> &'static str;
}

/// A family of counters with one counter for each value of a label.
pub struct CounterFamily<L> {
    counters: Vec<IntCounter>,
    label: PhantomData<L>,
}

impl<L: Label> CounterFamily<L> {
    /// Registers the counters of all values, all at 0.
    pub(super) fn register(registry: &Registry, name: &str, help: &str) -> Self {
        let family = IntCounterVec::new(options(name, help), &[L::NAME]);
        let family = family.expect("metric names are valid, as a test verifies");
        // Registering fails if the name is already registered. The counters are then missing from the text, which a
        // test would detect.
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

    /// Returns the sum over all values.
    pub fn total(&self) -> u64 {
        self.counters.iter().map(IntCounter::get).sum()
    }

    /// Increments the counter of a value.
    pub fn increment(&self, value: L) {
        self.counters[value.index()].inc();
    }
}

/// Returns the options of a metric, whose full name is `gateway_{name}_total`.
fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("gateway_{name}_total"), help)
}

/// Registers a counter without labels, at 0.
pub(super) fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::with_opts(options(name, help));
    let counter = counter.expect("metric names are valid, as a test verifies");
    // Registering fails if the name is already registered. The counter is then missing from the text, which a test
    // would detect.
    let _ = registry.register(Box::new(counter.clone()));
    counter
}
