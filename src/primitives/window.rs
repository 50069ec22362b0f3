//! Fixed time windows whose boundaries differ from key to key, so that not all windows begin at the same time.

/// Multiplier of a multiplicative hash: 2^64 over the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Number of bits of the hash that set the offset of a key's boundaries.
const OFFSET_BITS: u32 = 24;

/// One window of a key. Times are in ms.
pub(crate) struct Window {
    /// Number of the window; it increases by 1 from one window of the key to the next.
    pub(crate) number: u64,
    pub(crate) start: f64,
    /// Time until the next window of the key begins.
    pub(crate) remaining_ms: f64,
}

impl Window {
    /// Returns the window of `key` at the time `now`, where windows last `length_ms`.
    pub(crate) fn at(now: f64, key: u64, length_ms: f64) -> Self {
        let hash = key.wrapping_mul(HASH_MULTIPLIER) >> (u64::BITS - OFFSET_BITS);
        let offset = hash as f64 / (1u64 << OFFSET_BITS) as f64;
        let position = now / length_ms + offset;
        let remaining_ms = (position.floor() + 1.0 - position) * length_ms;
        Window {
            number: position.max(0.0) as u64,
            start: now - length_ms + remaining_ms,
            remaining_ms,
        }
    }
}
