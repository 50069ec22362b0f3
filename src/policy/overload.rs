//! The expected latency of a request, from the load of the fleet as this gateway's own requests show it.

use crate::api::Millis;
use crate::policy::forwarding::Forwarder;
use crate::state::{Context, OpenRequest};

/// Attempts in flight per endpoint, over all gateways, that are always admitted: a few that hang must not
/// make the gateway reject everything, and without responses it would learn nothing.
const ALWAYS_ADMITTED_PER_ENDPOINT: f64 = 3.0;

impl Forwarder {
    /// Expected time to the response of the request if it is admitted now, in ms. It rises at once with what
    /// is admitted, whatever slows the fleet: other gateways, neighbours, costly requests.
    pub(super) fn expected_latency(&mut self, cx: &Context, open: &OpenRequest) -> Millis {
        self.load.advance(cx.now);
        let ready = self.load_balancer.ready_count() as f64;
        if ready == 0.0 {
            return f64::INFINITY;
        }
        let gateways = f64::from(cx.settings.gateway_count.max(1));
        if self.load.in_flight() < (ready * ALWAYS_ADMITTED_PER_ENDPOINT / gateways).max(1.0) {
            return 0.0;
        }
        let baseline_ms = self
            .load_balancer
            .baseline_latency(open.request.class as usize);
        self.load
            .expected_latency(baseline_ms, cx.class(&open.request).latency_objective_ms)
    }
}
