//! A leaky bucket that several processes share by means of a counter that can only add. Usage decays exponentially and
//! is counted by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, "Forward Decay", 2009).
//!
//! A usage counts in full at first, and its share falls by a factor of e in each time constant `T`. As the counter can
//! only add, earlier usages can't decay in it. Later usages are instead added with a larger weight: a usage at the time
//! `t` is multiplied by `exp(-(end - t) / T)`, the share of it that remains at a fixed time `end`, the end of a window.
//! The usage as decayed by now is the count divided by the weight that a usage has now.
//!
//! Example with `T` = 10 s and `end` = 20 s:
//!
//! | time | usage | weight | added | count | count / weight | decayed usage |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | 0 s | 4 | exp(-2) = 0.135 | 0.541 | 0.541 | 4 | 4 |
//! | 10 s | 4 | exp(-1) = 0.368 | 1.472 | 2.013 | 5.472 | 4 · 0.368 + 4 = 5.472 |
//! | 20 s | 0 | 1 | 0 | 2.013 | 2.013 | 5.472 · 0.368 = 2.013 |

/// The decay of usage in a leaky bucket that leaks `rate` units a second when full. The time constant is `capacity /
/// rate` seconds. A user that keeps the bucket full uses `rate` units a second.
#[derive(Clone, Copy)]
pub(crate) struct ForwardDecay {
    /// Leak of the full bucket, in units per second.
    pub(crate) rate: f64,
    /// Capacity of the bucket, in units.
    pub(crate) capacity: f64,
}

impl ForwardDecay {
    /// Returns the share of a usage that still counts after this time, in ms.
    pub(crate) fn remaining_share(self, elapsed_ms: f64) -> f64 {
        // The order of operations differs from that of `decay::remaining_share`, which would round differently.
        (-elapsed_ms.max(0.0) * self.rate / (self.capacity * 1000.0)).exp()
    }

    /// Returns the units that were used evenly over the last `elapsed_ms`, if `decayed` units of them still count.
    /// `remaining` is the share of a usage that still counts after that time.
    pub(crate) fn evenly_spread_usage(self, decayed: f64, elapsed_ms: f64, remaining: f64) -> f64 {
        decayed * (1.0 - remaining).recip() * elapsed_ms * self.rate / (self.capacity * 1000.0)
    }
}

#[cfg(test)]
mod tests;
