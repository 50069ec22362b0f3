//! The scenario of a run: the crowd, the limits of the machine, the services, and the signals that the gateway gets.

use clap::ValueEnum;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use stand_ins::service_mode::ServiceMode;
use std::fmt::{Display, Formatter};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Memory limits of a machine in MB, one of which is drawn. The least that operators name is drawn most often.
const MEMORY_LIMITS_MB: [u64; 6] = [32, 32, 32, 32, 48, 64];
/// Limits of descriptors, one of which is drawn. The most that operators name is drawn most often.
const DESCRIPTOR_LIMITS: [u64; 4] = [1024, 1024, 1024, 512];
/// Number of clients in a crowd.
const MEMBERS: std::ops::Range<usize> = 300..1000;
/// Pauses before a member of a crowd comes back, one of which is drawn.
const PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(500),
];
/// Maximum number of kinds that are mixed in one crowd.
const MAX_KINDS: usize = 4;
/// Share of the descriptors that clients may hold for requests, as a divisor.
const PERMITTED_CLIENTS_DIVISOR: u64 = 3;
/// Number of ordinary clients beside a crowd.
pub(super) const ORDINARY_CLIENTS: usize = 4;
/// One of this many seeds draws the clients that operators permit in place of a crowd.
const PERMITTED_SEEDS: u32 = 8;
/// Maximum length of a body in the protocol, which long responses have.
const LONG_RESPONSE_BYTES: usize = 64 * 1024;
/// Length of the body of an ordinary response.
const SHORT_RESPONSE_BYTES: usize = 40;
/// Number of entries in the endpoint list, one of which is drawn.
const LIST_ENTRIES: [usize; 4] = [6, 6, 800, 3200];

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum CrowdKind {
    /// Connect and send nothing.
    Idle,
    /// Send a head in short pieces, and never its end.
    SlowHead,
    /// Send a body of 64 KiB, 700 bytes every 30 ms.
    SlowBody,
    /// Send a body of 64 KiB up to a random place, and stay.
    HalfBody,
    /// Send a head with many short fields and a body but for its last byte, and stay.
    ShortFields,
    /// Send a head of 14 KB and a half body, and stay.
    LongHead,
    /// Send a body of 64 KiB in pieces of 64 bytes, without a pause.
    ShortPieces,
    /// Send a chunked body, which the protocol does not have, in chunks of one byte.
    Chunked,
    /// Send whole requests and do not read the responses.
    Unread,
    /// Send many requests with long bodies at once, and read their responses.
    Pipelined,
    /// Send a half body and reset the connection.
    Reset,
    /// Send whole requests with bodies of 64 KiB, one after the other.
    WholeBody,
    /// Send bodies of 64 KiB, all of them in service at once. Operators permit as many such clients as a third of the
    /// descriptors, and all of them have to be served.
    Permitted,
}

impl CrowdKind {
    /// True if the clients send whole requests, which load the endpoints. Requests may be rejected for that load.
    #[must_use]
    pub fn loads_endpoints(self) -> bool {
        matches!(
            self,
            CrowdKind::ShortPieces
                | CrowdKind::Unread
                | CrowdKind::Pipelined
                | CrowdKind::WholeBody
                | CrowdKind::Permitted
        )
    }
}

/// What happens to the gateway during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Interruption {
    /// No signal.
    None,
    /// SIGKILL, and a new process one second later.
    Restart,
    /// A series of SIGHUP.
    Reloads,
    /// A series of changes to all entries of the endpoint list.
    Lists,
}

/// What the seed of a run draws.
#[derive(Clone, Debug)]
pub struct CrowdScenario {
    /// The kinds of clients, with equal shares of the crowd.
    pub kinds: Vec<CrowdKind>,
    /// Number of clients in the crowd.
    pub members: usize,
    /// Time after the end of a member's connection until it connects again.
    pub pause: Duration,
    /// True if the crowd is there before the gateway starts.
    pub precedes_gateway: bool,
    /// Memory limit of the gateway's machine, in MB.
    pub memory_mb: u64,
    /// Limit of the gateway's descriptors.
    pub descriptors: u64,
    /// Length of the bodies of responses, in bytes.
    pub response_bytes: usize,
    /// Number of entries in the endpoint list.
    pub list_entries: usize,
    /// How the counter behaves.
    pub counter: ServiceMode,
    /// How discovery behaves after the start.
    pub discovery: ServiceMode,
    /// What happens during the load.
    pub interruption: Interruption,
}

impl CrowdScenario {
    /// Draws the scenario of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = crate::seeded_rng(seed, "crowd scenario", 0);
        let kind_count = rng.random_range(1..=MAX_KINDS);
        let kinds: Vec<_> = CrowdKind::value_variants()
            .iter()
            .filter(|kind| **kind != CrowdKind::Permitted)
            .copied()
            .collect();
        let scenario = CrowdScenario {
            kinds: kinds
                .choose_multiple(&mut rng, kind_count)
                .copied()
                .collect(),
            members: rng.random_range(MEMBERS),
            pause: draw(&mut rng, &PAUSES),
            precedes_gateway: rng.random_ratio(1, 4),
            memory_mb: draw(&mut rng, &MEMORY_LIMITS_MB),
            descriptors: draw(&mut rng, &DESCRIPTOR_LIMITS),
            response_bytes: draw(&mut rng, &[SHORT_RESPONSE_BYTES, LONG_RESPONSE_BYTES]),
            list_entries: draw(&mut rng, &LIST_ENTRIES),
            counter: draw_mode(&mut rng),
            discovery: draw_mode(&mut rng),
            interruption: draw(
                &mut rng,
                &[
                    Interruption::None,
                    Interruption::None,
                    Interruption::Restart,
                    Interruption::Reloads,
                    Interruption::Lists,
                ],
            ),
        };
        if rng.random_ratio(1, PERMITTED_SEEDS) {
            return CrowdScenario::permitted(scenario.memory_mb, scenario.descriptors);
        }
        scenario
    }

    /// The scenario of as many clients with the longest bodies as operators permit.
    fn permitted(memory_mb: u64, descriptors: u64) -> Self {
        let clients = (descriptors / PERMITTED_CLIENTS_DIVISOR) as usize;
        let members = clients - ORDINARY_CLIENTS;
        CrowdScenario {
            memory_mb,
            descriptors,
            ..CrowdScenario::of_kind(CrowdKind::Permitted, members)
        }
    }

    /// The scenario of a crowd of one kind, on the machine with the least memory and the most descriptors.
    #[must_use]
    pub fn of_kind(kind: CrowdKind, members: usize) -> Self {
        CrowdScenario {
            kinds: vec![kind],
            members,
            pause: PAUSES[1],
            precedes_gateway: false,
            memory_mb: MEMORY_LIMITS_MB[0],
            descriptors: DESCRIPTOR_LIMITS[0],
            response_bytes: SHORT_RESPONSE_BYTES,
            list_entries: LIST_ENTRIES[0],
            counter: ServiceMode::Available,
            discovery: ServiceMode::Available,
            interruption: Interruption::None,
        }
    }

    /// True if requests may be rejected for the load of the endpoints.
    #[must_use]
    pub fn loads_endpoints(&self) -> bool {
        self.kinds.iter().any(|kind| kind.loads_endpoints())
    }

    /// The memory limit in bytes. The operators' pages write MB; the lower of its two meanings is checked.
    #[must_use]
    pub fn memory_limit_bytes(&self) -> u64 {
        self.memory_mb * 1_000_000
    }
}

fn draw<T: Copy>(rng: &mut ChaCha8Rng, values: &[T]) -> T {
    values[rng.random_range(0..values.len())]
}

/// Draws the mode of a service that fails in one of four runs.
fn draw_mode(rng: &mut ChaCha8Rng) -> ServiceMode {
    if rng.random_ratio(1, 4) {
        ServiceMode::Silent
    } else {
        ServiceMode::Available
    }
}

impl Display for CrowdScenario {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} MB, {} descriptors; {} clients {:?}, back after {:?}{}; responses of {} bytes; {} list entries; \
             counter {:?}, discovery {:?}; interruption {:?}",
            self.memory_mb,
            self.descriptors,
            self.members,
            self.kinds,
            self.pause,
            if self.precedes_gateway {
                ", there before the gateway"
            } else {
                ""
            },
            self.response_bytes,
            self.list_entries,
            self.counter,
            self.discovery,
            self.interruption
        )
    }
}
