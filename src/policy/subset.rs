//! Subsetting: with many endpoints, each gateway uses the members of one arc of a hash ring. The arcs of the
//! gateways begin at even distances: each endpoint is used by equally many gateways, and a change of one
//! endpoint concerns only those.

use crate::api::Settings;
use crate::primitives::ring::{evenly_spaced_position, RingArc};
use crate::state::SubsetLoad;

/// Least number of members, unless `MAX_MEMBERS_PER_CONNECTION_LIMIT` permits fewer. With up to this number
/// of endpoints a gateway chooses among all. The time that a choice takes grows with it.
const MIN_MEMBERS: usize = 256;
/// Least number of gateways that use each endpoint. Gateways differ in load; the more of them share an
/// endpoint, the less the loads of endpoints differ.
const MIN_GATEWAYS_PER_ENDPOINT: f64 = 16.0;
/// Least number of members for each attempt in flight: some members are slow, reject requests or are ejected.
const MEMBERS_PER_ATTEMPT: f64 = 8.0;
/// Least number of members in each zone, where the zone has them.
const MIN_MEMBERS_PER_ZONE: usize = 4;
/// Largest number of members, as a share of the connection limit: the rest is for bursts. Of the least
/// numbers above only that in each zone comes before it.
const MAX_MEMBERS_PER_CONNECTION_LIMIT: f64 = 0.75;
/// Changes of the arc's length by up to this share of it are left out, as each replaces members.
const MIN_RESIZE_SHARE: f64 = 0.15;

/// The subset of a gateway that knows no endpoint yet. The arcs of gateways of consecutive index are far
/// apart: a customer's requests come through such gateways, and would meet the same endpoints otherwise.
pub(super) fn empty(settings: &Settings) -> RingArc {
    let start = evenly_spaced_position(settings.gateway_index, settings.gateway_count);
    RingArc::new(start, MIN_MEMBERS_PER_ZONE)
}

/// Whether there are too many endpoints to compare them all. With fewer, the choice for an attempt is among
/// all of them, also if the connection limit keeps the arc shorter than the ring.
pub(super) fn uses_subsetting(subset: &RingArc) -> bool {
    subset.node_count() > MIN_MEMBERS
}

/// Fits the arc to the load, the unhealthy members and the connection limit.
pub(super) fn resize(subset: &mut RingArc, settings: &Settings, load: &SubsetLoad) {
    let ready = subset.node_count().max(1) as f64;
    let for_sharing = MIN_GATEWAYS_PER_ENDPOINT * ready / f64::from(settings.gateway_count.max(1));
    let for_load = load.mean_in_flight * MEMBERS_PER_ATTEMPT;
    let healthy = for_sharing.max(for_load).max(MIN_MEMBERS as f64);
    // Unhealthy members are replaced by as many others, at most as many as the healthy ones needed.
    let wanted = healthy + (load.unhealthy_members as f64).min(healthy);
    let max_members = match settings.limits.max_connections {
        0 => f64::INFINITY,
        limit => f64::from(limit) * MAX_MEMBERS_PER_CONNECTION_LIMIT,
    };
    subset.resize((wanted.min(max_members) / ready).min(1.0), MIN_RESIZE_SHARE);
}
