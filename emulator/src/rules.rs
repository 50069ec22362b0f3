//! The rules, as the protocol has them, counted over the whole fleet.

use serde::Serialize;

/// How often each rule was broken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Requests without a final answer in time that no restart took along.
    pub lost: u64,
    /// Unsafe requests, or keyed ones in another group or too late, sent again though they may have run.
    pub doubled: u64,
    /// Sends to a quote server later than the grace after its drain or end was told.
    pub drain: u64,
    /// Cold quote servers that fell.
    pub fell: u64,
    /// Attempts that began more than 0.1 s after the client had gone.
    pub left: u64,
    /// The first break, in words.
    pub first: Option<String>,
}

impl Broken {
    pub(crate) fn note(&mut self, what: impl FnOnce() -> String) {
        self.first.get_or_insert_with(what);
    }

    /// True if no rule was broken.
    pub fn none(&self) -> bool {
        // Of attempts after the client had gone two are chance.
        self.lost + self.doubled + self.drain + self.fell == 0 && self.left < 3
    }
}
