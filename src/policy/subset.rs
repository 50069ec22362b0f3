//! Subsetting: with many endpoints, each gateway uses only the members of one arc of a hash ring (consistent
//! hashing). The arcs of the gateways begin at equal distances, so each endpoint is used by equally many
//! gateways, and a change of one endpoint affects only these gateways.

use crate::api::Settings;
use crate::primitives::ring::{evenly_spaced_position, RingArc};
use crate::state::SubsetLoad;

/// Minimum number of members, unless `MAX_MEMBERS_PER_CONNECTION_LIMIT` permits fewer. With up to this number
/// of endpoints a gateway chooses among all. The time that a choice takes grows with this number.
const MIN_MEMBERS: usize = 256;
/// Minimum number of gateways that use each endpoint. Gateways differ in load; the more of them share an
/// endpoint, the less the loads of endpoints differ.
const MIN_GATEWAYS_PER_ENDPOINT: f64 = 16.0;
/// Minimum number of members for each attempt in flight: some members are slow, reject requests or are
/// ejected.
const MEMBERS_PER_ATTEMPT: f64 = 8.0;
/// Minimum number of members in each zone, if the zone has as many endpoints.
const MIN_MEMBERS_PER_ZONE: usize = 4;
/// Maximum number of members, as a share of the connection limit: the rest is for bursts. This limit takes
/// precedence over the minimum numbers above, except that in each zone.
const MAX_MEMBERS_PER_CONNECTION_LIMIT: f64 = 0.75;
/// Changes of the arc's length by up to this share are skipped, as each change replaces members.
const MIN_RESIZE_SHARE: f64 = 0.15;

/// Returns the subset of a gateway that knows no endpoint yet. The arcs of gateways with consecutive indexes
/// are far apart: a customer's requests arrive through such gateways, and would reach the same endpoints
/// otherwise.
pub(super) fn empty(settings: &Settings) -> RingArc {
    let start = evenly_spaced_position(settings.gateway_index, settings.gateway_count);
    RingArc::new(start, MIN_MEMBERS_PER_ZONE)
}

/// Returns whether there are too many endpoints to compare them all. With fewer, the choice for an attempt is
/// among all of them, even if the connection limit keeps the arc shorter than the ring.
pub(super) fn uses_subsetting(subset: &RingArc) -> bool {
    subset.node_count() > MIN_MEMBERS
}

/// Resizes the arc by the load, the unhealthy members and the connection limit.
pub(super) fn resize(subset: &mut RingArc, settings: &Settings, load: &SubsetLoad) {
    let ready_endpoints = subset.node_count().max(1) as f64;
    let members_for_sharing =
        MIN_GATEWAYS_PER_ENDPOINT * ready_endpoints / f64::from(settings.gateway_count.max(1));
    let members_for_load = load.mean_in_flight * MEMBERS_PER_ATTEMPT;
    let healthy_members_needed = members_for_sharing
        .max(members_for_load)
        .max(MIN_MEMBERS as f64);
    // Unhealthy members are compensated by as many others, up to the number of healthy members needed.
    let target_members =
        healthy_members_needed + (load.unhealthy_members as f64).min(healthy_members_needed);
    let max_members = match settings.limits.max_connections {
        0 => f64::INFINITY,
        limit => f64::from(limit) * MAX_MEMBERS_PER_CONNECTION_LIMIT,
    };
    subset.resize(
        (target_members.min(max_members) / ready_endpoints).min(1.0),
        MIN_RESIZE_SHARE,
    );
}
