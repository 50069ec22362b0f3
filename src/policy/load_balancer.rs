//! Load balancing: the endpoints as known to this gateway, and the choice of an endpoint for each attempt.
//!
//! With few endpoints, an attempt goes to the endpoint of least cost among all. With many, it goes to the
//! endpoint of least cost among a few random members of the subset (power of two choices).

use crate::api::{AttemptEnd, Class, Endpoint, EndpointId, Millis, Outcome, Settings};
use crate::policy::avoidance::AvoidanceScope;
use crate::policy::candidate::Candidate;
use crate::policy::endpoint_comparison::EndpointComparison;
use crate::policy::{connections, endpoints, latency, outlier, slow_start, subset};
use crate::primitives::mean::{EventRate, RunningMean};
use crate::primitives::ring::RingArc;
use crate::state::{
    Context, Destination, EndpointTable, OpenRequest, SubsetLoad, TrackedEndpoint, WarmingMembers,
};
use fastrand::Rng;

/// Number of available members compared for one attempt (power of two choices). The better of two random
/// members evens out the load, while the best of all would be chosen by all gateways at once.
const SAMPLE_SIZE: usize = 2;
/// Maximum number of random draws for a sample, as not all members are available.
const MAX_SAMPLE_DRAWS: usize = 16;
/// Time constant of the average rate of first attempts, in ms.
const REQUEST_RATE_AVERAGING_MS: Millis = 5000.0;
/// Time since its last success after which a removed endpoint is forgotten, in ms, regardless of when it was
/// removed. An endpoint that is listed again later counts as new: it warms up only if the list says that it
/// has just started.
const FORGET_AFTER_LAST_SUCCESS_MS: Millis = 60_000.0;

/// Tracks the endpoints, and chooses one for each attempt.
pub(crate) struct LoadBalancer {
    endpoints: EndpointTable,
    subset: RingArc,
    subset_load: SubsetLoad,
    warming_members: WarmingMembers,
    /// Members with a free connection, as of the last tick.
    connected_members: Vec<EndpointId>,
    outlier_detector: outlier::OutlierDetector,
    /// Latency at an idle endpoint of average speed, by class, in ms.
    baselines: Vec<RunningMean>,
    /// First attempts of requests, per second.
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
            outlier_detector: outlier::OutlierDetector::default(),
            baselines: settings
                .classes
                .iter()
                .map(|class| RunningMean::new(baseline(class)))
                .collect(),
            request_rate: EventRate::new(now, REQUEST_RATE_AVERAGING_MS),
        }
    }

    /// Returns the latency of a class at an idle endpoint of average speed, in ms.
    pub(crate) fn baseline_latency(&self, class: usize) -> Millis {
        self.baselines[class].value()
    }

    /// Updates the subset and returns its members, sorted by id. The members are all ready endpoints if these
    /// are few and the connection limit permits them.
    pub(crate) fn update_subset(&mut self) -> &[EndpointId] {
        if self.subset.update() {
            self.warming_members.is_stale = true;
        }
        self.subset.members()
    }

    /// Returns the number of ready endpoints, inside and outside of the subset.
    pub(crate) fn ready_count(&self) -> usize {
        self.subset.node_count()
    }

    /// Runs the periodic housekeeping. `mean_in_flight` is the average number of this gateway's attempts in
    /// flight.
    pub(crate) fn tick(&mut self, cx: &Context, mean_in_flight: f64) {
        self.endpoints
            .forget_removed(cx.now, FORGET_AFTER_LAST_SUCCESS_MS);
        self.subset_load.mean_in_flight = mean_in_flight;
        if subset::uses_subsetting(&self.subset) {
            self.update_subset();
            let members = self.endpoints.select(self.subset.members());
            self.subset_load.unhealthy_members = members
                .clone()
                .filter(|e| !e.health.is_healthy(cx.now))
                .count();
            let connected = members.filter(|e| e.has_free_connection(cx.now));
            self.connected_members = connected.map(|e| e.entry.id).collect();
            subset::resize(&mut self.subset, cx.settings, &self.subset_load);
        }
    }

    /// Applies an update of the endpoint list: the complete list, or only the entries that have changed.
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

    /// Returns the best endpoint for the request's next attempt: a preferred member of the subset, if there
    /// are enough endpoints for subsetting and one is preferred, or else the best of all endpoints.
    pub(crate) fn choose(
        &mut self,
        cx: &mut Context,
        open_request: &OpenRequest,
    ) -> Option<Destination> {
        let mut rng = cx.rng.fork();
        self.refill_warming_members(cx);
        let comparison = self.comparison_for(cx, open_request);
        self.preferred_member(cx, &comparison, &mut rng)
            .or_else(|| comparison.best(self.endpoints.all(), &mut rng))
            .map(|candidate| Destination::of(candidate.endpoint))
    }

    /// Returns the best candidate of a sample of the subset if it is preferred, or else the best candidate of
    /// the full subset if that is preferred. None without subsetting.
    fn preferred_member(
        &self,
        cx: &Context,
        comparison: &EndpointComparison,
        rng: &mut Rng,
    ) -> Option<Candidate<'_>> {
        if !subset::uses_subsetting(&self.subset) {
            return None;
        }
        let sample = self.sample_members(cx, rng);
        let best_of_sample = comparison.best(sample.iter().copied(), rng);
        best_of_sample.filter(Candidate::is_preferred).or_else(|| {
            let members = self.endpoints.select(self.subset.members());
            comparison
                .best(members, rng)
                .filter(Candidate::is_preferred)
        })
    }

    /// Returns the comparison of endpoints for the request's next attempt.
    fn comparison_for<'a>(
        &self,
        cx: &Context,
        open_request: &'a OpenRequest,
    ) -> EndpointComparison<'a> {
        let baseline_ms = self.baseline_latency(open_request.request.class as usize);
        EndpointComparison::new(cx, open_request, baseline_ms)
    }

    /// Refills, up to now, the tokens of the members that are warming up.
    fn refill_warming_members(&mut self, cx: &Context) {
        self.update_subset();
        let capacity = self
            .warming_members
            .update(cx.now, &self.endpoints, self.subset.members());
        let request_rate = self.request_rate.per_second();
        let rate = slow_start::capped_rate_per_endpoint(&cx.settings.rules, request_rate, capacity);
        slow_start::refill(&self.warming_members, cx.now, &mut self.endpoints, rate);
    }

    /// Returns the members that are warming up and have a token, and a few random ones that are available.
    fn sample_members(&self, cx: &Context, rng: &mut Rng) -> Vec<&TrackedEndpoint> {
        let request_rate = self.request_rate.per_second();
        let mut members = self.subset.members();
        if connections::prefers_connected(
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

    /// Records the start of an attempt. Returns the number of this gateway's attempts now in flight at the
    /// endpoint.
    pub(crate) fn attempt_started(&mut self, now: Millis, id: EndpointId, is_first: bool) -> f64 {
        if is_first {
            self.request_rate.record(now, 1.0);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return 1.0;
        };
        endpoint.attempt_started(now);
        f64::from(endpoint.in_flight)
    }

    /// Records the end of an attempt of the request.
    pub(crate) fn attempt_ended(
        &mut self,
        cx: &mut Context,
        open_request: &OpenRequest,
        end: &AttemptEnd,
    ) {
        let Some(attempt) = open_request.attempts.get(usize::from(end.attempt)) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(end.endpoint) else {
            return;
        };
        self.outlier_detector.record(cx, end, endpoint);
        endpoint.attempt_ended(cx.now, end.outcome);
        let plan = open_request.request.plan as usize;
        let baseline = &mut self.baselines[open_request.request.class as usize];
        let request_rate = self.request_rate.per_second();
        if end.outcome == Outcome::Success && end.elapsed_ms.is_finite() {
            let idle_latency_ms =
                latency::idle_endpoint_latency(end.elapsed_ms, attempt.endpoint_in_flight);
            endpoint.record_latency(cx.now, idle_latency_ms, baseline);
        }
        if let Some(scope) = AvoidanceScope::new(end.outcome, plan, cx.settings.plans.len()) {
            endpoint.health.avoid(cx.now, &scope, request_rate);
        }
    }
}
