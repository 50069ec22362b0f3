//! What an update of the endpoint list changes.

use crate::api::*;
use crate::policy::{connections::usable_idle_ms, slow_start};
use crate::primitives::{ramp::WarmUp, ring::RingArc};
use crate::state::{ConnectionEstimate, EndpointTable, TrackedEndpoint};
use fastrand::Rng;

/// Takes in the complete list, or the entries that changed.
pub(super) fn update(
    endpoints: &mut EndpointTable, subset: &mut RingArc, now: Millis, settings: &Settings, complete: bool,
    entries: Vec<Endpoint>, rng: &mut Rng,
) {
    let is_first = endpoints.is_empty();
    endpoints.begin_update();
    for entry in entries {
        if let Some(endpoint) = endpoints.get_listed(entry.id) {
            let old_node = endpoint.ring_node();
            replace(endpoint, now, &settings.rules, entry, rng);
            subset.replace(old_node, endpoint.ring_node());
        } else if entry.state != EndpointState::Removed || !is_first {
            let endpoint = new_endpoint(now, settings, entry, rng);
            subset.replace(None, endpoint.ring_node());
            endpoints.insert(endpoint);
        }
    }
    if complete {
        for endpoint in endpoints.unlisted() {
            subset.replace(endpoint.ring_node(), None);
            endpoint.endpoint.state = EndpointState::Removed;
        }
    }
}

fn new_endpoint(now: Millis, settings: &Settings, entry: Endpoint, rng: &mut Rng) -> TrackedEndpoint {
    let ramp = slow_start::ramp(now, &settings.rules, &entry, false);
    let warm_up = WarmUp::new(ramp, rng.f64(), now);
    let connections = ConnectionEstimate::new(&settings.limits, usable_idle_ms(&settings.limits), now);
    TrackedEndpoint::new(entry, connections, warm_up, now)
}

fn replace(tracked: &mut TrackedEndpoint, now: Millis, rules: &Rules, entry: Endpoint, rng: &mut Rng) {
    let was_removed = tracked.endpoint.state == EndpointState::Removed;
    let is_back = was_removed && entry.state == EndpointState::Ready;
    if is_back || entry.started_at > tracked.endpoint.started_at {
        let ramp = slow_start::ramp(now, rules, &entry, is_back);
        tracked.restart(WarmUp::new(ramp, rng.f64(), now));
    }
    tracked.endpoint = entry;
}
