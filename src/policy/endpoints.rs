//! Applies updates of the endpoint list to the table and the ring of endpoints.

use crate::api::{Endpoint, EndpointState};
use crate::policy::{connections::usable_idle_ms, slow_start};
use crate::primitives::ring::RingArc;
use crate::state::{ConnectionEstimate, Context, EndpointTable, TrackedEndpoint, WarmUp};

/// Updates the table and the ring by these entries of the list.
pub(super) fn update(
    cx: &mut Context,
    table: &mut EndpointTable,
    ring: &mut RingArc,
    entries: Vec<Endpoint>,
) {
    let is_first = table.is_empty();
    table.begin_update();
    for entry in entries {
        if let Some(endpoint) = table.mark_listed(entry.id) {
            let old_node = endpoint.ring_node();
            update_entry(cx, endpoint, entry);
            ring.replace(old_node, endpoint.ring_node());
        } else if entry.state != EndpointState::Removed || !is_first {
            // An unknown endpoint that is listed as removed is recorded as well, so that it warms up if it is
            // listed again. Those that the first update lists as removed are not recorded: nothing says how
            // long ago they were removed.
            let endpoint = new_endpoint(cx, entry);
            ring.replace(None, endpoint.ring_node());
            table.insert(endpoint);
        }
    }
}

/// Marks the endpoints that the complete list no longer names as removed, and takes them off the ring.
pub(super) fn remove_unlisted(table: &mut EndpointTable, ring: &mut RingArc) {
    for endpoint in table.unlisted() {
        ring.replace(endpoint.ring_node(), None);
        endpoint.entry.state = EndpointState::Removed;
    }
}

fn new_endpoint(cx: &mut Context, entry: Endpoint) -> TrackedEndpoint {
    let limits = &cx.settings.limits;
    let connections = ConnectionEstimate::new(limits, usable_idle_ms(limits), cx.now);
    let ramp = slow_start::ramp(cx.now, &cx.settings.rules, &entry, false);
    // The bucket starts with a random part of a token. All gateways would send their first attempt at once
    // otherwise.
    let warm_up = WarmUp::new(ramp, cx.rng.f64(), cx.now);
    TrackedEndpoint::new(entry, connections, warm_up, cx.now)
}

fn update_entry(cx: &mut Context, tracked: &mut TrackedEndpoint, entry: Endpoint) {
    let was_removed = tracked.entry.state == EndpointState::Removed;
    let is_relisted = was_removed && entry.state == EndpointState::Ready;
    if is_relisted || entry.started_at > tracked.entry.started_at {
        let ramp = slow_start::ramp(cx.now, &cx.settings.rules, &entry, is_relisted);
        tracked.restart(WarmUp::new(ramp, cx.rng.f64(), cx.now));
    }
    tracked.entry = entry;
}
