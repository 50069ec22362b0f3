//! A leaky bucket, shared by means of a counter that can only add: exponential decay, counted by forward decay
//! (Cormode, Shkapenyuk, Srivastava and Xu, "Forward Decay", 2009).
//!
//! A usage counts in full at first and by a factor of e less after each time constant `T`. A counter that can only
//! add can't let earlier usages decay. Instead, later ones are added with a larger weight: a usage at the time `t`
//! is multiplied by `exp(-(end - t) / T)`, its share that remains at a fixed time `end`, the end of a window. The
//! usage as it has decayed by now is then the count divided by the weight of a usage of now.
//!
//! Example with `T` = 10 s and `end` = 20 s:
//!
//! | time | usage | weight | added | count | count / weight | decayed usage |
//! | --- | --- | --- | --- | --- | --- | --- |
//! | 0 s | 4 | exp(-2) = 0.135 | 0.541 | 0.541 | 4 | 4 |
//! | 10 s | 4 | exp(-1) = 0.368 | 1.472 | 2.013 | 5.472 | 4 · 0.368 + 4 = 5.472 |
//! | 20 s | 0 | 1 | 0 | 2.013 | 2.013 | 5.472 · 0.368 = 2.013 |

/// The decay of usage on a leaky bucket that, when full, leaks `rate` units a second: its time constant is
/// `capacity / rate` seconds. A user that keeps the bucket full uses `rate` units a second.
#[derive(Clone, Copy)]
pub(crate) struct ForwardDecay {
    /// Units per second.
    pub(crate) rate: f64,
    /// Units of the full bucket.
    pub(crate) capacity: f64,
}

impl ForwardDecay {
    /// The share of a usage that still counts after this time, in ms.
    pub(crate) fn remaining_share(self, elapsed_ms: f64) -> f64 {
        // Not `decay::remaining_share` with a time constant: its order of operations rounds differently.
        (-elapsed_ms.max(0.0) * self.rate / (self.capacity * 1000.0)).exp()
    }

    /// The units used evenly over the last `elapsed_ms`, if `decayed` units of them still count. `remaining` is the
    /// share of a usage that still counts after that time.
    pub(crate) fn evenly_spread_usage(self, decayed: f64, elapsed_ms: f64, remaining: f64) -> f64 {
        decayed * (1.0 - remaining).recip() * elapsed_ms * self.rate / (self.capacity * 1000.0)
    }
}

#[cfg(test)]
mod tests;
