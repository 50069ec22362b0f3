//! The choice of endpoint for an attempt: least expected latency, among two random ones if there are many.

use crate::api::*;
use crate::policy::{connections, endpoints, latency, outlier, slow_start, subset};
use crate::primitives::{decay::DecayingRate, ring::RingArc, running_mean::RunningMean};
use crate::state::*;
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
    request_rate: DecayingRate,
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
            baselines: settings.classes.iter().map(|class| RunningMean::new(baseline(class))).collect(),
            request_rate: DecayingRate::new(REQUEST_RATE_MEMORY_MS, now),
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
    pub(crate) fn tick(&mut self, now: Millis, settings: &Settings, mean_in_flight: f64) {
        self.endpoints.forget_removed(now, FORGET_REMOVED_MS);
        self.subset_load.mean_in_flight = mean_in_flight;
        if subset::is_partial(&self.subset) {
            self.subset();
            let members = self.endpoints.select(self.subset.members());
            self.subset_load.unhealthy_members =
                members.clone().filter(|e| !e.health.is_healthy(now)).count();
            let connected = members.filter(|e| e.has_free_connection(now));
            self.connected_members = connected.map(|e| e.endpoint.id).collect();
            subset::resize(&mut self.subset, settings, &self.subset_load);
        }
    }

    /// Takes in the complete endpoint list, or the entries that changed.
    pub(crate) fn update_endpoints(
        &mut self, now: Millis, settings: &Settings, complete: bool, entries: Vec<Endpoint>, rng: &mut Rng,
    ) {
        endpoints::update(&mut self.endpoints, &mut self.subset, now, settings, complete, entries, rng);
        self.warming_members.is_stale = true;
        subset::resize(&mut self.subset, settings, &self.subset_load);
    }

    /// The best endpoint for the request's next attempt. With many endpoints, members of the subset that are
    /// to be avoided come after the endpoints outside it.
    pub(crate) fn choose(
        &mut self, now: Millis, settings: &Settings, open: &OpenRequest, rng: &mut Rng,
    ) -> Option<EndpointId> {
        let mut rng = rng.fork();
        self.refill_warming_members(now, &settings.rules);
        let choice = Choice::new(now, settings, open, self);
        let mut best = None;
        if subset::is_partial(&self.subset) {
            let sample = self.sample(now, &settings.limits, &mut rng);
            best = choice.best(sample.iter().copied(), &mut rng).filter(Candidate::is_preferred);
            let members = self.endpoints.select(self.subset.members());
            best = best.or_else(|| choice.best(members, &mut rng).filter(Candidate::is_preferred));
        }
        best.or_else(|| choice.best(self.endpoints.all(), &mut rng)).map(|candidate| candidate.endpoint)
    }

    fn refill_warming_members(&mut self, now: Millis, rules: &Rules) {
        self.subset();
        let capacity = self.warming_members.update(now, &self.endpoints, self.subset.members());
        let rate = slow_start::rate_per_endpoint(rules, self.request_rate.per_second(), capacity);
        self.warming_members.refill(now, &mut self.endpoints, rate);
    }

    /// The members that are warming up and may be sent an attempt, and a few random ones.
    fn sample(&self, now: Millis, limits: &Limits, rng: &mut Rng) -> Vec<&TrackedEndpoint> {
        let request_rate = self.request_rate.per_second();
        let mut members = self.subset.members();
        if connections::keeps_to_connected(limits, request_rate, self.connected_members.len()) {
            members = &self.connected_members;
        }
        let warming = self.endpoints.select(&self.warming_members.ids);
        let mut sample: Vec<_> = warming.filter(|endpoint| endpoint.warm_up.has_token()).collect();
        let random = std::iter::repeat_with(|| members.get(rng.usize(..members.len().max(1))));
        let random = random.take(MAX_SAMPLE_DRAWS).filter_map(|id| self.endpoints.get(*id?));
        sample.extend(random.filter(|endpoint| endpoint.is_available(now)).take(SAMPLE_SIZE));
        sample
    }

    /// An attempt has been sent; returns how many of this gateway are now in flight at the endpoint.
    pub(crate) fn attempt_started(&mut self, now: Millis, _: &Settings, id: EndpointId, first: bool) -> f64 {
        if first {
            self.request_rate.record_event(now);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return 1.0 };
        endpoint.attempt_started(now);
        f64::from(endpoint.in_flight)
    }

    /// An attempt has ended; `in_flight` is what `attempt_started` returned for it.
    pub(crate) fn attempt_ended(
        &mut self, now: Millis, settings: &Settings, request: &Request, end: &AttemptEnd, in_flight: f64,
        rng: &mut Rng,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(end.endpoint) else { return };
        self.outliers.record(now, end, endpoint, rng);
        endpoint.attempt_ended(now, end.outcome);
        let plan = request.plan as usize;
        let baseline = &mut self.baselines[request.class as usize];
        let avoided_until = now + outlier::avoidance_ms(self.request_rate.per_second());
        match end.outcome {
            Outcome::Success if end.elapsed_ms.is_finite() => {
                endpoint.record_latency(now, end.elapsed_ms, in_flight, baseline);
            }
            Outcome::Rejected => endpoint.health.set_rejecting(plan..plan + 1, avoided_until),
            Outcome::ConnectFailed => endpoint.health.set_rejecting(0..settings.plans.len(), avoided_until),
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
    fn new(now: Millis, settings: &Settings, open: &'a OpenRequest, balancer: &LoadBalancer) -> Self {
        let class = &settings.classes[open.request.class as usize];
        let first_executor = open.first_execution.and_then(|first| balancer.endpoints.get(first.endpoint));
        let scope = DeduplicationScope::new(class.idempotency, first_executor.map(|e| &e.endpoint));
        let baseline_ms = balancer.baseline_latency(open.request.class as usize);
        let handshake_cost_ms = HANDSHAKE_FACTOR * settings.prices.handshake * class.latency_objective_ms;
        Choice { now, open, scope, baseline_ms, handshake_cost_ms }
    }

    fn best<'e>(
        &self, endpoints: impl Iterator<Item = &'e TrackedEndpoint> + Clone, rng: &mut Rng,
    ) -> Option<Candidate> {
        let ignore_ejections = outlier::in_panic_mode(endpoints.clone());
        let mut best: Option<Candidate> = None;
        for endpoint in endpoints.filter(|endpoint| endpoint.is_ready()) {
            let is_warming = endpoint.warm_up.capacity_share(self.now).is_some();
            if !self.scope.contains(&endpoint.endpoint) || is_warming && !endpoint.warm_up.has_token() {
                continue;
            }
            // A token is meant for its endpoint: by cost, or by chance among many, it might not be used.
            let latency_ms = if is_warming { 0.0 } else { self.latency_with_jitter(endpoint, rng) };
            let candidate = self.candidate(endpoint, latency_ms, ignore_ejections);
            if best.is_none_or(|best| candidate.is_better_than(best)) {
                best = Some(candidate);
            }
        }
        best
    }

    fn latency_with_jitter(&self, endpoint: &TrackedEndpoint, rng: &mut Rng) -> Millis {
        endpoint.expected_latency(self.now, self.baseline_ms) + self.baseline_ms * COST_JITTER * rng.f64()
    }

    fn candidate(&self, endpoint: &TrackedEndpoint, latency_ms: Millis, ignore_ejections: bool) -> Candidate {
        let id = endpoint.endpoint.id;
        let is_avoided = self.open.attempts.iter().any(|attempt| attempt.endpoint == id)
            || endpoint.health.is_rejecting(self.now, self.open.request.plan as usize)
            || !(ignore_ejections || endpoint.is_admitted(self.now));
        let preference = if is_avoided { Preference::LastResort } else { Preference::Preferred };
        let handshake_ms = if endpoint.has_free_connection(self.now) { 0.0 } else { self.handshake_cost_ms };
        Candidate { preference, cost_ms: latency_ms + handshake_ms, endpoint: id }
    }
}
