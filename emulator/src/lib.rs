//! Emulates the environment of a fleet of gateways: discovery, the shared counter, endpoints, clients, and the network
//! between zones and regions, according to the published protocol.
//!
//! - [`run`] runs an [`experiment`]: a discrete-event simulation of many instances of the decision library in one
//!   process. The same experiment and seed give the same [`report`], byte for byte. Each emulated component draws from
//!   its own random stream.
//! - [`scaling`] measures the costs that grow with the number of endpoints.
//! - [`real`] runs the gateway's program against stand-ins on loopback.

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

/// A time on the event clock or a duration, in microseconds.
pub(crate) type Micros = u64;

/// Largest time or duration that is converted to the event clock, in ms.
const MAX_MS: f64 = 1e12;
/// Bytes reserved for the kind of a random stream in the stream's key.
const KIND_BYTES: usize = 16;

/// Converts milliseconds to microseconds of the event clock. Values below 0 count as 0, values above `MAX_MS` as
/// `MAX_MS`.
pub(crate) fn ms_to_micros(ms: f64) -> Micros {
    (ms.clamp(0.0, MAX_MS) * 1000.0).round() as Micros
}

/// Returns the random number generator of one emulated component. The kind and number of the component distinguish its
/// random stream from all others of the same seed. Only the first 16 bytes of `kind` count.
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
