//! Model of the shared counter: totals by key, on shards that serve one call at a time.

use crate::experiment::CounterModel;
use crate::{ms_to_micros, Micros};
use rustc_hash::FxHashMap;

/// Interval at which a shard drops expired keys.
const CLEANUP_INTERVAL: Micros = 10_000_000;

/// The shared counter with all its shards.
pub(crate) struct Counter {
    shards: Vec<Shard>,
    service_time: Micros,
    /// Maximum queueing time of a call. A call that would wait longer is rejected.
    max_wait: Micros,
    pub(crate) zone: u32,
    pub(crate) timeout: Micros,
    pub(crate) down: bool,
}

#[derive(Default)]
struct Shard {
    /// Time at which the shard has served all queued calls.
    free_at: Micros,
    totals: FxHashMap<u64, Total>,
    cleaned_up_at: Micros,
}

struct Total {
    value: f64,
    expires_at: Micros,
}

/// Result of a call that the counter accepted.
pub(crate) struct ServedCall {
    pub(crate) completed_at: Micros,
    pub(crate) total: f64,
}

impl Counter {
    pub(crate) fn new(model: &CounterModel) -> Self {
        let service_time = ms_to_micros(1000.0 / model.calls_per_s).max(1);
        Counter {
            shards: (0..model.shards).map(|_| Shard::default()).collect(),
            service_time,
            max_wait: service_time * Micros::from(model.max_queue),
            zone: model.zone,
            timeout: ms_to_micros(model.timeout_ms),
            down: false,
        }
    }

    /// Adds the amount to the key's total. Returns `None` if the call is rejected because its shard's queue is full.
    pub(crate) fn add(
        &mut self,
        now: Micros,
        key: u64,
        amount: f64,
        ttl: Micros,
    ) -> Option<ServedCall> {
        let max_wait = self.max_wait;
        let service_time = self.service_time;
        let shard = self.shard(key);
        shard.clean_up(now);
        let starts_at = shard.free_at.max(now);
        if starts_at - now > max_wait {
            return None;
        }
        shard.free_at = starts_at + service_time;
        let expires_at = now + ttl;
        let total = shard.totals.entry(key).or_insert(Total {
            value: 0.0,
            expires_at,
        });
        if total.expires_at <= now {
            *total = Total {
                value: 0.0,
                expires_at,
            };
        }
        total.value += amount;
        Some(ServedCall {
            completed_at: shard.free_at,
            total: total.value,
        })
    }

    fn shard(&mut self, key: u64) -> &mut Shard {
        // Fibonacci hashing. The lowest bits of a key identify the window and the higher ones the customer, so both are
        // mixed into the hash.
        let hash = (key ^ key >> 30).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let count = self.shards.len() as u64;
        &mut self.shards[(hash % count) as usize]
    }

    /// Drops all keys, like a counter that is restarted elsewhere.
    pub(crate) fn clear(&mut self) {
        for shard in &mut self.shards {
            shard.totals.clear();
        }
    }

    /// Number of keys held, including those that expired after the last clean-up.
    pub(crate) fn key_count(&self) -> usize {
        self.shards.iter().map(|shard| shard.totals.len()).sum()
    }
}

impl Shard {
    fn clean_up(&mut self, now: Micros) {
        if now - self.cleaned_up_at > CLEANUP_INTERVAL {
            self.totals.retain(|_, total| total.expires_at > now);
            self.cleaned_up_at = now;
        }
    }
}
