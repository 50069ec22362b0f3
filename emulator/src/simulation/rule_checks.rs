//! Checks of the rules on attempts, made on the event clock when an attempt is sent. Violations are counted in the
//! report, which also describes the first one.

use super::requests::OpenRequest;
use super::Simulation;
use crate::experiment::IdempotencyModel;
use crate::{ms_to_micros, Micros};

/// Time after a client's disconnect within which a gateway may still begin an attempt.
const DISCONNECT_GRACE: Micros = 100_000;

impl Simulation<'_> {
    /// Rule: a gateway begins no attempt for a client that disconnected more than `DISCONNECT_GRACE` ago.
    pub(super) fn check_disconnected(&mut self, gateway: u32, request: u64) {
        let now = self.queue.now();
        let Some(disconnected_at) = self.open_requests[&request].disconnected_at else {
            return;
        };
        if now <= disconnected_at + DISCONNECT_GRACE {
            return;
        }
        let late_ms = (now - disconnected_at) / 1000;
        let violations = &mut self.recorder.report.violations;
        violations.sent_after_disconnect += 1;
        violations.describe_first(|| {
            format!("left: gateway {gateway} sent an attempt {late_ms} ms after the client had disconnected")
        });
    }

    /// Rule: a request that may have been executed is sent again only if its idempotency permits that.
    pub(super) fn check_duplicated(&mut self, gateway: u32, request: u64, endpoint: u32) {
        let open = &self.open_requests[&request];
        if !self.would_duplicate(open, endpoint) {
            return;
        }
        let violations = &mut self.recorder.report.violations;
        violations.duplicated += 1;
        violations.describe_first(|| {
            format!("doubled: gateway {gateway} sent request {request} again, which may have been executed")
        });
    }

    fn would_duplicate(&self, open: &OpenRequest, endpoint: u32) -> bool {
        let idempotency = self.experiment.classes[open.client_request.class as usize].idempotency;
        if idempotency == IdempotencyModel::NotIdempotent {
            return open.first_execution.is_some() || open.in_flight > 0;
        }
        let Some(first) = open.first_execution else {
            return false;
        };
        let key_expires_at =
            first.sent_at + ms_to_micros(self.experiment.rules.idempotency_window_ms);
        let key_expired = self.queue.now() > key_expires_at;
        match idempotency {
            IdempotencyModel::KeyPerZone => {
                first.zone != self.endpoints[endpoint as usize].zone || key_expired
            }
            IdempotencyModel::KeyEverywhere => key_expired,
            IdempotencyModel::Idempotent | IdempotencyModel::NotIdempotent => false,
        }
    }

    /// Rule: no attempt is sent to an endpoint later than the grace time after the notice of its draining or removal.
    pub(super) fn check_draining(&mut self, gateway: u32, endpoint: u32) {
        let now = self.queue.now();
        let Some(notified_at) = self.gateways[gateway as usize]
            .draining_since
            .get(&endpoint)
        else {
            return;
        };
        if now <= notified_at + ms_to_micros(self.experiment.rules.drain_grace_ms) {
            return;
        }
        let late_ms = (now - notified_at) / 1000;
        let violations = &mut self.recorder.report.violations;
        violations.sent_after_drain += 1;
        violations.describe_first(|| {
            format!("drain: gateway {gateway} sent to endpoint {endpoint} {late_ms} ms after the drain notice")
        });
    }

    /// Rule: no endpoint is overloaded in slow start. Records an endpoint that was.
    pub(super) fn record_overload(&mut self, endpoint: u32, arrived: usize, allowed: f64) {
        let at_s = self.queue.now() as f64 / 1e6;
        let violations = &mut self.recorder.report.violations;
        violations.overloaded_endpoints += 1;
        violations.describe_first(|| {
            format!("cold: endpoint {endpoint} received {arrived} requests, {allowed:.1} allowed, at {at_s:.3} s")
        });
    }
}
