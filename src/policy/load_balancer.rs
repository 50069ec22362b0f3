//! The endpoints as one gateway sees them, and the choice of endpoint for an attempt: the least cost among
//! all endpoints, or where there are many, among a few random members of the subset (power of two choices).

use crate::api::{AttemptEnd, Class, Endpoint, EndpointId, Millis, Outcome, Settings};
use crate::policy::avoidance::AvoidanceScope;
use crate::policy::candidate::Candidate;
use crate::policy::endpoint_comparison::EndpointComparison;
use crate::policy::{connections, endpoints, latency, outlier, slow_start, subset};
use crate::primitives::mean::{EventRate, RunningMean};
use crate::primitives::ring::RingArc;
use crate::state::{
    Context, EndpointTable, OpenRequest, SubsetLoad, TrackedEndpoint, WarmingMembers,
};
use fastrand::Rng;

/// Available members compared for one attempt (power of two choices): the better of two random ones evens
/// out the load, while the best of all would be chosen by all gateways at once.
const SAMPLE_SIZE: usize = 2;
/// Most random draws for a sample, as not all members are available.
const MAX_SAMPLE_DRAWS: usize = 16;
/// Time constant over which the rate of first attempts is averaged, in ms.
const REQUEST_RATE_AVERAGING_MS: Millis = 5000.0;
/// A removed endpoint is forgotten once its last success was this long ago, in ms, whenever it was removed.
/// One that comes back later counts as new: it warms up only if the list says that it has just started.
const FORGET_AFTER_LAST_SUCCESS_MS: Millis = 60_000.0;

/// The endpoints as this gateway sees them.
pub(crate) struct LoadBalancer {
    endpoints: EndpointTable,
    subset: RingArc,
    subset_load: SubsetLoad,
    warming_members: WarmingMembers,
    /// Members with a free connection, as of the last tick.
    connected_members: Vec<EndpointId>,
    outliers: outlier::OutlierDetector,
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
            outliers: outlier::OutlierDetector::default(),
            baselines: settings
                .classes
                .iter()
                .map(|class| RunningMean::new(baseline(class)))
                .collect(),
            request_rate: EventRate::new(now, REQUEST_RATE_AVERAGING_MS),
        }
    }

    /// Latency of a class at an idle endpoint of average speed, in ms.
    pub(crate) fn baseline_latency(&self, class: usize) -> Millis {
        self.baselines[class].value()
    }

    /// Updates the subset and returns its members, sorted by id: all ready endpoints where there are few and
    /// the connection limit permits them.
    pub(crate) fn update_subset(&mut self) -> &[EndpointId] {
        if self.subset.update() {
            self.warming_members.is_stale = true;
        }
        self.subset.members()
    }

    /// Number of ready endpoints, in the subset or not.
    pub(crate) fn ready_count(&self) -> usize {
        self.subset.node_count()
    }

    /// Periodic housekeeping; `mean_in_flight` attempts of this gateway are in flight on average.
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
            self.connected_members = connected.map(|e| e.endpoint.id).collect();
            subset::resize(&mut self.subset, cx.settings, &self.subset_load);
        }
    }

    /// Updates the endpoints by the complete list, or by the entries that changed.
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

    /// The best endpoint for the request's next attempt: a preferred member of the subset, if there is a
    /// subset and it has one, or else the best of all endpoints.
    pub(crate) fn choose(&mut self, cx: &mut Context, open: &OpenRequest) -> Option<EndpointId> {
        let mut rng = cx.rng.fork();
        self.refill_warming_members(cx);
        let comparison = self.compare_for(cx, open);
        self.preferred_member(cx, &comparison, &mut rng)
            .or_else(|| comparison.best(self.endpoints.all(), &mut rng))
            .map(|candidate| candidate.endpoint)
    }

    /// The best preferred candidate of a sample of the subset; if it has none, of the full subset. None with
    /// few endpoints.
    fn preferred_member(
        &self,
        cx: &Context,
        comparison: &EndpointComparison,
        rng: &mut Rng,
    ) -> Option<Candidate> {
        if !subset::uses_subsetting(&self.subset) {
            return None;
        }
        let sample = self.sample(cx, rng);
        let of_sample = comparison.best(sample.iter().copied(), rng);
        of_sample.filter(Candidate::is_preferred).or_else(|| {
            let members = self.endpoints.select(self.subset.members());
            comparison
                .best(members, rng)
                .filter(Candidate::is_preferred)
        })
    }

    /// The comparison of endpoints for the request's next attempt.
    fn compare_for<'a>(&self, cx: &Context, open: &'a OpenRequest) -> EndpointComparison<'a> {
        let first_executor = open
            .first_execution
            .and_then(|first| self.endpoints.get(first.endpoint))
            .map(|tracked| &tracked.endpoint);
        let baseline_ms = self.baseline_latency(open.request.class as usize);
        EndpointComparison::new(cx, open, first_executor, baseline_ms)
    }

    /// Brings the tokens of the members that are warming up to now.
    fn refill_warming_members(&mut self, cx: &Context) {
        self.update_subset();
        let capacity = self
            .warming_members
            .update(cx.now, &self.endpoints, self.subset.members());
        let request_rate = self.request_rate.per_second();
        let rate = slow_start::capped_rate_per_endpoint(&cx.settings.rules, request_rate, capacity);
        slow_start::refill(&self.warming_members, cx.now, &mut self.endpoints, rate);
    }

    /// The members that are warming up and have a token, and a few random ones that are available.
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
        let baseline = &mut self.baselines[open.request.class as usize];
        let request_rate = self.request_rate.per_second();
        if end.outcome == Outcome::Success && end.elapsed_ms.is_finite() {
            let idle_ms = latency::at_idle_endpoint(end.elapsed_ms, attempt.endpoint_in_flight);
            endpoint.record_latency(cx.now, idle_ms, baseline);
        }
        if let Some(scope) = AvoidanceScope::new(end.outcome, plan, cx.settings.plans.len()) {
            endpoint.health.avoid(cx.now, &scope, request_rate);
        }
    }
}
