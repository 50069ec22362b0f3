//! The choice of endpoint for an attempt: least expected latency, among two random ones if there are many.

use crate::api::{AttemptEnd, Class, Endpoint, EndpointId, Millis, Outcome, Settings};
use crate::policy::candidate::{Candidate, DeduplicationScope, Preference};
use crate::policy::{connections, endpoints, latency, outlier, slow_start, subset};
use crate::primitives::mean::{EventRate, RunningMean};
use crate::primitives::ring::RingArc;
use crate::state::{
    Context, EndpointTable, OpenRequest, SubsetLoad, TrackedEndpoint, WarmingMembers,
};
use fastrand::Rng;

/// Random part of a cost, in baseline latencies: gateways that know equally little choose differently.
const COST_JITTER: f64 = 0.05;
/// Cost of a new connection, in latency objectives times its price. It is above 1 because a connection also
/// costs the endpoint work, and because a gateway learns more of an endpoint that it uses often.
const HANDSHAKE_FACTOR: f64 = 3.0;
/// Available members compared for one attempt: the better of two leaves none idle and overloads none.
const SAMPLE_SIZE: usize = 2;
/// Random draws for a sample at most: not all members are available.
const MAX_SAMPLE_DRAWS: usize = 16;
/// Time over which the rate of first attempts is averaged, in ms.
const REQUEST_RATE_MEMORY_MS: f64 = 5000.0;
/// A removed endpoint is forgotten when its last success was this long ago, in ms.
const FORGET_REMOVED_MS: f64 = 60_000.0;

/// The endpoints as this gateway sees them.
pub(crate) struct LoadBalancer {
    endpoints: EndpointTable,
    subset: RingArc,
    subset_load: SubsetLoad,
    warming_members: WarmingMembers,
    /// Members with a free connection, as of the last tick.
    connected_members: Vec<EndpointId>,
    outliers: outlier::OutlierDetector,
    /// By class.
    baselines: Vec<RunningMean>,
    /// First attempts of requests.
    request_rate: EventRate,
}

impl LoadBalancer {
    pub(crate) fn new(settings: &Settings, now: Millis) -> Self {
        let baseline = |class: &Class| class.latency_objective_ms * latency::INITIAL_BASELINE_SHARE;
        LoadBalancer {
            endpoints: EndpointTable::default(),
            subset: subset::empty(settings),
            subset_load: SubsetLoad::default(),
            warming_members: WarmingMembers::default(),
            connected_members: Vec::new(),
            outliers: outlier::OutlierDetector::default(),
            baselines: settings
                .classes
                .iter()
                .map(|class| RunningMean::new(baseline(class)))
                .collect(),
            request_rate: EventRate::new(now, REQUEST_RATE_MEMORY_MS),
        }
    }

    /// Latency of a class at an idle endpoint of average speed, in ms.
    pub(crate) fn baseline_latency(&self, class: usize) -> Millis {
        self.baselines[class].value()
    }

    /// Brings the subset up to date: the endpoints used first, by number; all ready ones where there are few.
    pub(crate) fn subset(&mut self) -> &[EndpointId] {
        if self.subset.update() {
            self.warming_members.is_stale = true;
        }
        self.subset.members()
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.subset.node_count()
    }

    /// Periodic housekeeping; `mean_in_flight` attempts of this gateway are in flight on average.
    pub(crate) fn tick(&mut self, cx: &Context, mean_in_flight: f64) {
        self.endpoints.forget_removed(cx.now, FORGET_REMOVED_MS);
        self.subset_load.mean_in_flight = mean_in_flight;
        if subset::is_partial(&self.subset) {
            self.subset();
            let members = self.endpoints.select(self.subset.members());
            self.subset_load.unhealthy_members = members
                .clone()
                .filter(|e| !e.health.is_healthy(cx.now))
                .count();
            let connected = members.filter(|e| e.has_free_connection(cx.now));
            self.connected_members = connected.map(|e| e.endpoint.id).collect();
            subset::resize(&mut self.subset, cx.settings, &self.subset_load);
        }
    }

    /// Takes in the complete endpoint list, or the entries that changed.
    pub(crate) fn update_endpoints(
        &mut self,
        cx: &mut Context,
        complete: bool,
        entries: Vec<Endpoint>,
    ) {
        endpoints::update(cx, &mut self.endpoints, &mut self.subset, entries);
        if complete {
            endpoints::remove_unlisted(&mut self.endpoints, &mut self.subset);
        }
        self.warming_members.is_stale = true;
        subset::resize(&mut self.subset, cx.settings, &self.subset_load);
    }

    /// The best endpoint for the request's next attempt. With many endpoints, members of the subset that are
    /// to be avoided come after the endpoints outside it.
    pub(crate) fn choose(&mut self, cx: &mut Context, open: &OpenRequest) -> Option<EndpointId> {
        let mut rng = cx.rng.fork();
        self.refill_warming_members(cx);
        let choice = Choice::new(cx, open, self);
        let mut best = None;
        if subset::is_partial(&self.subset) {
            let sample = self.sample(cx, &mut rng);
            best = choice
                .best(sample.iter().copied(), &mut rng)
                .filter(Candidate::is_preferred);
            let members = self.endpoints.select(self.subset.members());
            best = best.or_else(|| {
                choice
                    .best(members, &mut rng)
                    .filter(Candidate::is_preferred)
            });
        }
        best.or_else(|| choice.best(self.endpoints.all(), &mut rng))
            .map(|candidate| candidate.endpoint)
    }

    fn refill_warming_members(&mut self, cx: &Context) {
        self.subset();
        let capacity = self
            .warming_members
            .update(cx.now, &self.endpoints, self.subset.members());
        let request_rate = self.request_rate.per_second();
        let rate = slow_start::rate_per_endpoint(&cx.settings.rules, request_rate, capacity);
        self.warming_members
            .refill(cx.now, &mut self.endpoints, rate);
    }

    /// The members that are warming up and may be sent an attempt, and a few random ones.
    fn sample(&self, cx: &Context, rng: &mut Rng) -> Vec<&TrackedEndpoint> {
        let request_rate = self.request_rate.per_second();
        let mut members = self.subset.members();
        if connections::keeps_to_connected(
            &cx.settings.limits,
            request_rate,
            self.connected_members.len(),
        ) {
            members = &self.connected_members;
        }
        let warming = self.endpoints.select(&self.warming_members.ids);
        let mut sample: Vec<_> = warming
            .filter(|endpoint| endpoint.warm_up.has_token())
            .collect();
        let random = std::iter::repeat_with(|| members.get(rng.usize(..members.len().max(1))));
        let random = random
            .take(MAX_SAMPLE_DRAWS)
            .filter_map(|id| self.endpoints.get(*id?));
        sample.extend(
            random
                .filter(|endpoint| endpoint.is_available(cx.now))
                .take(SAMPLE_SIZE),
        );
        sample
    }

    /// An attempt has been sent; returns how many of this gateway are now in flight at the endpoint.
    pub(crate) fn attempt_started(&mut self, now: Millis, id: EndpointId, first: bool) -> f64 {
        if first {
            self.request_rate.record(now, 1.0);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return 1.0;
        };
        endpoint.attempt_started(now);
        f64::from(endpoint.in_flight)
    }

    /// An attempt of the request has ended.
    pub(crate) fn attempt_ended(&mut self, cx: &mut Context, open: &OpenRequest, end: &AttemptEnd) {
        let Some(attempt) = open.attempts.get(usize::from(end.attempt)) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(end.endpoint) else {
            return;
        };
        self.outliers.record(cx, end, endpoint);
        endpoint.attempt_ended(cx.now, end.outcome);
        let plan = open.request.plan as usize;
        let plans = cx.settings.plans.len();
        let baseline = &mut self.baselines[open.request.class as usize];
        let avoided_until = cx.now + outlier::avoidance_ms(self.request_rate.per_second());
        match end.outcome {
            Outcome::Success if end.elapsed_ms.is_finite() => {
                let idle_ms = latency::at_idle_endpoint(end.elapsed_ms, attempt.endpoint_in_flight);
                endpoint.record_latency(cx.now, idle_ms, baseline);
            }
            Outcome::Rejected => endpoint.health.set_rejecting(plan..plan + 1, avoided_until),
            Outcome::ConnectFailed => endpoint.health.set_rejecting(0..plans, avoided_until),
            _ => {}
        }
    }
}

/// What the candidates for one attempt are compared by.
struct Choice<'a> {
    now: Millis,
    open: &'a OpenRequest,
    scope: DeduplicationScope,
    baseline_ms: Millis,
    handshake_cost_ms: f64,
}

impl<'a> Choice<'a> {
    fn new(cx: &Context, open: &'a OpenRequest, balancer: &LoadBalancer) -> Self {
        let class = cx.class(&open.request);
        let first_executor = open
            .first_execution
            .and_then(|first| balancer.endpoints.get(first.endpoint));
        let scope = DeduplicationScope::new(class.idempotency, first_executor.map(|e| &e.endpoint));
        let baseline_ms = balancer.baseline_latency(open.request.class as usize);
        let handshake_cost_ms =
            HANDSHAKE_FACTOR * cx.settings.prices.handshake * class.latency_objective_ms;
        Choice {
            now: cx.now,
            open,
            scope,
            baseline_ms,
            handshake_cost_ms,
        }
    }

    fn best<'e>(
        &self,
        endpoints: impl Iterator<Item = &'e TrackedEndpoint> + Clone,
        rng: &mut Rng,
    ) -> Option<Candidate> {
        let ignore_ejections = outlier::in_panic_mode(endpoints.clone());
        let mut best: Option<Candidate> = None;
        for endpoint in endpoints.filter(|endpoint| endpoint.is_ready()) {
            let is_warming = endpoint.warm_up.capacity_share(self.now).is_some();
            if !self.scope.contains(&endpoint.endpoint)
                || is_warming && !endpoint.warm_up.has_token()
            {
                continue;
            }
            // A token is meant for its endpoint: by cost, or by chance among many, it might not be used.
            let latency_ms = if is_warming {
                0.0
            } else {
                self.latency_with_jitter(endpoint, rng)
            };
            let candidate = self.candidate(endpoint, latency_ms, ignore_ejections);
            if best.is_none_or(|best| candidate.is_better_than(best)) {
                best = Some(candidate);
            }
        }
        best
    }

    fn latency_with_jitter(&self, endpoint: &TrackedEndpoint, rng: &mut Rng) -> Millis {
        endpoint.expected_latency(self.now, self.baseline_ms)
            + self.baseline_ms * COST_JITTER * rng.f64()
    }

    fn candidate(
        &self,
        endpoint: &TrackedEndpoint,
        latency_ms: Millis,
        ignore_ejections: bool,
    ) -> Candidate {
        let id = endpoint.endpoint.id;
        let is_avoided = self
            .open
            .attempts
            .iter()
            .any(|attempt| attempt.endpoint == id)
            || endpoint
                .health
                .is_rejecting(self.now, self.open.request.plan as usize)
            || !(ignore_ejections || endpoint.is_admitted(self.now));
        let preference = if is_avoided {
            Preference::LastResort
        } else {
            Preference::Preferred
        };
        let handshake_ms = if endpoint.has_free_connection(self.now) {
            0.0
        } else {
            self.handshake_cost_ms
        };
        Candidate {
            preference,
            cost_ms: latency_ms + handshake_ms,
            endpoint: id,
        }
    }
}
