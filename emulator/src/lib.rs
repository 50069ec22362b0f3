//! An emulator of what the gateways serve and are served by: discovery, counter, quote servers, clients, zones and
//! regions and the links between them, from the published protocol.
//!
//! Hollow gateways are the real decision module, many instances in one process on an event clock: the same
//! experiment and seed give the same report, byte for byte. Each actor draws from a random stream of its own.

mod backends;
mod clients;
mod counter;
mod discovery;
pub mod experiment;
mod links;
pub mod real;
pub mod report;
mod rules;
pub mod slopes;
mod world;

pub use world::run;

/// A moment on the event clock, in microseconds from the start of the experiment.
pub(crate) type Micros = u64;

/// Milliseconds as the event clock has them; negative and absurd figures are bounded.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms.clamp(0.0, 1e12) * 1000.0).round() as Micros
}

/// The random stream of one actor: its kind and number set it apart from all others of the same experiment.
pub(crate) fn stream(seed: u64, kind: &str, number: u64) -> rand_chacha::ChaCha8Rng {
    use rand::SeedableRng;
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&number.to_le_bytes());
    let kind = &kind.as_bytes()[..kind.len().min(16)];
    key[16..16 + kind.len()].copy_from_slice(kind);
    rand_chacha::ChaCha8Rng::from_seed(key)
}
