//! Which backends a gateway keeps to where there are too many to keep to all: an arc of the ring. Gateways
//! begin at even distances, so each backend has as many of them as any other, and one that comes or goes
//! concerns only its own.

use crate::api::{EndpointId, Settings};
use crate::primitives::ring::{begin, turn, Ring};

/// Up to so many backends a gateway looks at all of them: that takes it some 10 us a request.
const ALL: usize = 256;
/// Gateways that a backend has at least: where one in ten sees four times what the others see, the sums over
/// so many differ by a fifth.
const OWNERS: f64 = 16.0;
/// Times its attempts out that a gateway has members: some are slow, full or left out.
const SPARE: f64 = 8.0;
/// Members of each zone at least, as far as it has them.
const ZONE_LEAST: usize = 4;
/// Share of the connections for backends that members may take: the rest is for requests that come together.
const OF_CONNECTIONS: f64 = 0.75;
/// The arc is cut anew where it would change by so much: smaller changes would move members for nothing.
const CHANGE: f64 = 0.15;

#[derive(Default)]
pub(crate) struct Subset {
    ring: Ring,
    /// Where the arc begins and its length, as places go, and that as a share of the ring.
    begin: u64,
    length: u64,
    share: f64,
    stale: bool,
    /// In the order of their numbers.
    members: Vec<EndpointId>,
}

impl Subset {
    pub(crate) fn new(settings: &Settings) -> Self {
        Subset { begin: begin(settings.gateway_index, settings.gateway_count), ..Subset::default() }
    }

    pub(crate) fn ready(&self) -> usize {
        self.ring.len()
    }

    /// Whether more backends take work than a gateway looks at.
    pub(crate) fn cut(&self) -> bool {
        self.ready() > ALL
    }

    /// A backend takes work from now on, or no longer.
    pub(crate) fn set(&mut self, zone: u32, key: u64, id: EndpointId, ready: bool) {
        if let Some((place, now)) = self.ring.set(zone, key, id, ready) {
            self.stale |= place.wrapping_sub(self.begin) <= self.length || now <= 2 * ZONE_LEAST;
        }
    }

    /// Members as the settings and the attempts out want them; so many of those now are of no use.
    pub(crate) fn resize(&mut self, settings: &Settings, out: f64, lost: usize) {
        let ready = self.ready().max(1) as f64;
        let owned = OWNERS * ready / f64::from(settings.gateway_count.max(1));
        let wanted = owned.max(out * SPARE).max(ALL as f64);
        let wanted = wanted + (lost as f64).min(wanted);
        let most = match settings.limits.max_connections {
            0 => f64::INFINITY,
            most => f64::from(most) * OF_CONNECTIONS,
        };
        let share = (wanted.min(most) / ready).min(1.0);
        if (share - self.share).abs() > self.share * CHANGE || share == 1.0 && self.share < 1.0 {
            (self.share, self.length, self.stale) = (share, turn(share), true);
        }
    }

    /// Brings the members up to now; true if that may have changed them.
    pub(crate) fn update(&mut self) -> bool {
        if self.stale {
            self.members = self.ring.arc(self.begin, self.length, ZONE_LEAST);
        }
        std::mem::take(&mut self.stale)
    }

    /// The members, as of the last update.
    pub(crate) fn members(&self) -> &Vec<EndpointId> {
        &self.members
    }
}
