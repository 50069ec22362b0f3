//! A soak test over real processes: many gateways on loopback, among stand-ins for endpoints, discovery, the counter and
//! clients, under troubles that overlap in time. What the stand-ins see is judged by the rules of the protocol; the
//! gateways' own counters of broken rules have to stay at 0.
//!
//! - [`judge`]: what was seen of each request, and the rules
//! - `world`: what all parts share; `fleet`: the endpoints and when which change of them was told
//! - `endpoint`, `discovery`, `counter`: the stand-ins
//! - `clients`, `rude_clients`: the load, and clients that misbehave
//! - `gateway`: the processes, their signals and logs
//! - `troubles`: what goes wrong when, drawn from the seed

mod clients;
mod counter;
mod discovery;
mod endpoint;
mod fleet;
mod gateway;
mod gateway_config;
mod http;
pub mod judge;
mod lag;
mod rude_clients;
mod soak;
mod troubles;
mod world;

pub use soak::{Soak, SoakError, SoakReport};

/// The random stream of one part of a run: its kind and number set it apart from all others.
fn stream(seed: u64, kind: &str, number: u64) -> rand_chacha::ChaCha8Rng {
    use rand::SeedableRng;
    /// Bytes of the key that the kind takes.
    const KIND_BYTES: usize = 16;
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&number.to_le_bytes());
    let kind = &kind.as_bytes()[..kind.len().min(KIND_BYTES)];
    key[16..16 + kind.len()].copy_from_slice(kind);
    rand_chacha::ChaCha8Rng::from_seed(key)
}
