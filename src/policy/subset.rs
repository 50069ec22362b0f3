//! Subsetting: with many endpoints, each gateway uses the members of one arc of a hash ring. Gateways start
//! at even distances: all endpoints are used by equally many, and a change of one concerns only these.

use crate::api::Settings;
use crate::primitives::ring::{evenly_spaced_position, RingArc};
use crate::state::SubsetLoad;

/// With up to this number of endpoints a gateway uses all: to compare them takes some 10 us a request.
const MIN_MEMBERS: usize = 256;
/// Gateways that use each endpoint at least: if one in ten is four times as busy, loads differ by a fifth.
const MIN_GATEWAYS_PER_ENDPOINT: f64 = 16.0;
/// Members for each attempt in flight at least: some are slow, reject requests or are ejected.
const MEMBERS_PER_ATTEMPT: f64 = 8.0;
/// Members in each zone at least, where the zone has them.
const MIN_MEMBERS_PER_ZONE: usize = 4;
/// Share of the connection limit that members may take: the rest is for bursts.
const MAX_CONNECTION_SHARE: f64 = 0.75;
/// The arc keeps its length for changes up to this share of it: they would replace members for nothing.
const MIN_RESIZE_SHARE: f64 = 0.15;

pub(super) fn empty(settings: &Settings) -> RingArc {
    let start = evenly_spaced_position(settings.gateway_index, settings.gateway_count);
    RingArc::new(start, MIN_MEMBERS_PER_ZONE)
}

/// Whether there are too many endpoints to use them all.
pub(super) fn is_partial(subset: &RingArc) -> bool {
    subset.node_count() > MIN_MEMBERS
}

/// Fits the arc to the load, the unhealthy members and the connection limit.
pub(super) fn resize(subset: &mut RingArc, settings: &Settings, load: &SubsetLoad) {
    let ready = subset.node_count().max(1) as f64;
    let for_sharing = MIN_GATEWAYS_PER_ENDPOINT * ready / f64::from(settings.gateway_count.max(1));
    let for_load = load.mean_in_flight * MEMBERS_PER_ATTEMPT;
    let healthy = for_sharing.max(for_load).max(MIN_MEMBERS as f64);
    let wanted = healthy + (load.unhealthy_members as f64).min(healthy);
    let max_members = match settings.limits.max_connections {
        0 => f64::INFINITY,
        limit => f64::from(limit) * MAX_CONNECTION_SHARE,
    };
    subset.resize((wanted.min(max_members) / ready).min(1.0), MIN_RESIZE_SHARE);
}
