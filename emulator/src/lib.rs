//! An emulator of what surrounds a fleet of gateways: discovery, the shared counter, endpoints, clients, and the network
//! between zones and regions, after the published protocol.
//!
//! An experiment ([`experiment`], [`run`]) plays real instances of the decision library, many in one process, on an
//! event clock: the same experiment and seed give the same [`report`], byte for byte. Each part draws from a random
//! stream of its own. [`scaling`] measures what grows with the size of the fleet, and [`real`] runs the gateway's
//! program against stand-ins on loopback.

mod clients;
mod counter;
mod discovery;
mod endpoint;
pub mod experiment;
pub mod measured_gateway;
mod network;
mod process_memory;
pub mod real;
pub mod report;
pub mod scaling;
mod simulation;
mod violations;

pub use process_memory::peak_memory_kb;
pub use simulation::run;

/// A moment on the event clock or a span of it, in microseconds.
pub(crate) type Micros = u64;

/// Longest time that the event clock takes, in ms.
const MAX_MS: f64 = 1e12;
/// Bytes of a stream's key that its kind takes.
const KIND_BYTES: usize = 16;

/// Milliseconds as the event clock has them; negative and absurd figures are bounded.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms.clamp(0.0, MAX_MS) * 1000.0).round() as Micros
}

/// The random stream of one part: its kind and number set it apart from all others of the same experiment.
#[must_use]
pub fn seeded_rng(seed: u64, kind: &str, number: u64) -> rand_chacha::ChaCha8Rng {
    use rand::SeedableRng;
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&number.to_le_bytes());
    let kind = &kind.as_bytes()[..kind.len().min(KIND_BYTES)];
    key[16..16 + kind.len()].copy_from_slice(kind);
    rand_chacha::ChaCha8Rng::from_seed(key)
}
