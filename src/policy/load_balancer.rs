//! The choice of backend: what is known of each, and which one a request's next attempt goes to. Its small
//! interface to the request's way: `list`, `pick`, `sent`, `learn` and `tick`.

use crate::api::*;
use crate::policy::subset::Subset;
use crate::state::{OpenRequest, TrackedEndpoint};
use fastrand::Rng;
use std::collections::BTreeMap;

/// A backend that went is forgotten after so long, in ms.
const IDLE_MS: f64 = 60_000.0;
/// Requests of others taken to be at each backend beside this gateway's own.
const UNSEEN: f64 = 1.0;
/// Weight of one answer in a backend's pace: about the last ten answers count.
const PACE_GAIN: f64 = 0.1;
/// Weight of one answer in a class's usual time: about the last hundred.
pub(crate) const USUAL_GAIN: f64 = 0.01;
/// A pace not renewed returns to the fleet's in this time, in ms.
const PACE_MEMORY_MS: f64 = 10_000.0;
/// A class's usual time before any answer, as a share of its aim.
pub(crate) const USUAL_OF_AIM: f64 = 0.2;
/// A backend silent for so many usual times, with work out, counts as slower in proportion.
const SILENT_TIMES: f64 = 3.0;
/// Chance added to a backend's cost, in usual times: gateways that know equally little choose differently.
const JITTER: f64 = 0.05;
/// A new connection weighs as much as so many times its price, taken as that share of the aim, in waiting.
/// Beyond its price it costs the backend work, and of a backend heard often a gateway learns in time.
const HANDSHAKE_TIMES: f64 = 3.0;
/// A connection unused for this share of the time after which it is closed counts as closed.
const LINE_IDLE: f64 = 0.5;
/// Failures in a row after which a backend is left out.
const EJECT_AFTER: u32 = 2;
/// Weight of one outcome in the share of spoilt and broken answers, of a backend and of the fleet, and how
/// far the one passes the other before they count as failures: they may come from any backend alike.
const SPOILT: (f64, f64, f64) = (0.2, 0.02, 0.3);
/// First time out of use, in ms; doubles with each failed trial up to 32 times.
pub(crate) const EJECT_MS: f64 = 500.0;
/// A backend that turned a plan's request away is passed over for that plan for so long, in ms, and until so
/// many requests of this gateway have come: it must not be asked each time it comes up.
const FULL: (f64, f64) = (200.0, 20.0);
/// Where a gateway doesn't look at all backends it looks at so many, drawn by chance, for each choice; and
/// draws so often at most until it has them: the better of two leaves none idle and crowds none.
const CHOICES: (usize, usize) = (2, 16);
/// Times that a connection is used, on average, while it may stand idle, below which a new one has to be
/// worth its price.
const LINE_USES: f64 = 4.0;
/// Time over which first attempts a second are averaged, in ms.
const RATE_MS: f64 = 5000.0;

/// All backends as this gateway sees them.
#[derive(Default)]
pub(crate) struct LoadBalancer {
    all: BTreeMap<EndpointId, TrackedEndpoint>,
    subset: Subset,
    /// Members that may be cold, in the order of their numbers; how many lists were taken in, and whether one
    /// was since these were looked for.
    cold: Vec<EndpointId>,
    lists: u64,
    listed: bool,
    /// Usual time of each class on an idle backend of usual pace, and answers seen.
    usual: Vec<(f64, f64)>,
    /// Share of answers that come spoilt or break off, over all backends.
    spoilt: f64,
    /// First attempts a second, averaged.
    rate: f64,
    rate_at: Millis,
    /// Attempts out on average, members that are of no use, and those with a connection, as of the last tick.
    out: f64,
    lost: usize,
    lined: Vec<EndpointId>,
}

impl LoadBalancer {
    pub(crate) fn new(settings: &Settings, now: Millis) -> Self {
        let usual = settings.classes.iter().map(|c| (c.latency_objective_ms * USUAL_OF_AIM, 0.0)).collect();
        LoadBalancer { subset: Subset::new(settings), usual, rate_at: now, ..LoadBalancer::default() }
    }

    /// Usual time of a class on an idle backend of usual pace, in ms.
    pub(crate) fn baseline_latency(&self, class: usize) -> Millis {
        self.usual[class].0
    }

    /// Those it keeps to; all that take work where there are few.
    pub(crate) fn subset(&mut self) -> &[EndpointId] {
        self.listed |= self.subset.update();
        self.subset.members()
    }

    /// LoadBalancer that take work.
    pub(crate) fn ready_count(&self) -> usize {
        self.subset.ready()
    }

    /// Forgets those long gone, and looks at the members: attempts out are so many on average.
    pub(crate) fn tick(&mut self, now: Millis, settings: &Settings, out: f64) {
        self.all.retain(|_, b| {
            b.endpoint.state != EndpointState::Removed
                || b.in_flight > 0
                || now - b.latency_updated_at < IDLE_MS
        });
        self.out = out;
        if self.subset.cut() {
            self.subset();
            let members = || self.subset.members().iter().filter_map(|id| self.all.get(id));
            let lost = members().filter(|b| !of_use(now, b, false)).count();
            let lined = members().filter(|b| has_line(now, settings, b)).map(|b| b.endpoint.id).collect();
            (self.lost, self.lined) = (lost, lined);
            self.subset.resize(settings, out, self.lost);
        }
    }

    /// Expected time of an attempt at this backend, in ms.
    fn cost(&self, now: Millis, backend: &TrackedEndpoint, usual: f64) -> f64 {
        let mut pace = pace(now, backend);
        if backend.in_flight > 0 {
            pace = pace.max((now - backend.last_response_at) / (usual * SILENT_TIMES));
        }
        pace * usual * (f64::from(backend.in_flight) + 1.0 + UNSEEN) / (1.0 + UNSEEN)
    }

    /// The best backend for the request's next attempt. Where there are too many to look at all: what a cold
    /// member may be sent, else the better of a few members, else the best of all members, else the best of
    /// all.
    pub(crate) fn choose(
        &mut self, now: Millis, settings: &Settings, open: &OpenRequest, rng: &mut Rng,
    ) -> Option<EndpointId> {
        let mut rng = rng.fork();
        if self.subset.update() | std::mem::take(&mut self.listed) {
            let born = |id: &&EndpointId| self.all.get(*id).is_some_and(|b| b.slow_start_from.is_some());
            self.cold = self.subset.members().iter().filter(born).copied().collect();
        }
        self.reckon_cold(now, settings);
        let home = match (open.first_execution, settings.classes[open.request.class as usize].idempotency) {
            (Some(first), Idempotency::WithKey { scope: group, .. }) => {
                self.all.get(&first.endpoint).map(|b| (group, b.endpoint.zone, b.endpoint.cell))
            }
            _ => None,
        };
        if !self.subset.cut() {
            return self.best(now, settings, open, home, self.all.values(), &mut rng).map(|(.., id)| id);
        }
        let few = self.rate * settings.limits.idle_timeout_ms * LINE_IDLE / 1000.0
            < self.lined.len() as f64 * LINE_USES;
        let members = if few { &self.lined } else { self.subset.members() };
        let cold = self.cold.iter().filter_map(|id| self.all.get(id)).filter(|b| b.slow_start_tokens >= 1.0);
        let drawn = std::iter::repeat_with(|| members.get(rng.usize(..members.len().max(1))));
        let drawn = drawn.take(CHOICES.1).filter_map(|id| self.all.get(id?));
        let mut drawn: Vec<_> = drawn
            .filter(|b| b.endpoint.state == EndpointState::Ready && of_use(now, b, true))
            .take(CHOICES.0)
            .collect();
        drawn.splice(0..0, cold);
        let found = self.best(now, settings, open, home, drawn.into_iter(), &mut rng);
        let found = found.filter(|(tried, ..)| !tried).or_else(|| {
            let members = self.subset.members().iter().filter_map(|id| self.all.get(id));
            self.best(now, settings, open, home, members, &mut rng).filter(|(tried, ..)| !tried)
        });
        found.or_else(|| self.best(now, settings, open, home, self.all.values(), &mut rng)).map(|(.., id)| id)
    }

    /// The best of these, and whether it was tried or is to be passed over.
    fn best<'a>(
        &'a self, now: Millis, settings: &Settings, open: &OpenRequest, home: Option<(KeyScope, u32, u32)>,
        among: impl Iterator<Item = &'a TrackedEndpoint> + Clone, rng: &mut Rng,
    ) -> Option<(bool, f64, EndpointId)> {
        let class = &settings.classes[open.request.class as usize];
        let usual = self.usual[open.request.class as usize].0;
        let allowed = |b: &TrackedEndpoint| {
            b.endpoint.state == EndpointState::Ready
                && home.is_none_or(|(group, zone, cell)| match group {
                    KeyScope::All => true,
                    KeyScope::Zone => b.endpoint.zone == zone,
                    KeyScope::Cell => b.endpoint.cell == cell && b.endpoint.zone == zone,
                })
                && (cold_share(now, settings, b).is_none() || b.slow_start_tokens >= 1.0)
        };
        let ready = among.clone().filter(|b| b.endpoint.state == EndpointState::Ready);
        let (bad, ready) =
            ready.fold((0, 0), |(bad, n), b| (bad + u32::from(b.consecutive_failures >= EJECT_AFTER), n + 1));
        // If most look bad the ejection is distrusted, not the fleet: a lost path or list looks the same.
        let distrust = bad * 2 > ready;
        let handshake = HANDSHAKE_TIMES * settings.prices.handshake * class.latency_objective_ms;
        let mut best: Option<(bool, f64, EndpointId)> = None;
        for b in among.filter(|b| allowed(b)) {
            let trial = b.consecutive_failures < EJECT_AFTER
                || distrust
                || (now >= b.ejected_until && b.in_flight == 0);
            let tried = open.attempts.iter().any(|a| a.endpoint == b.endpoint.id)
                || b.rejecting_until.get(open.request.plan as usize).is_some_and(|at| now < *at)
                || !trial;
            // What a cold backend may be sent is for it: left to chance among many, it would stay cold.
            let cold = cold_share(now, settings, b).is_some();
            let rank = if cold { 0.0 } else { self.cost(now, b, usual) + usual * JITTER * rng.f64() };
            let rank = rank + if has_line(now, settings, b) { 0.0 } else { handshake };
            if best.is_none_or(|(t, r, ..)| (tried, rank) < (t, r)) {
                best = Some((tried, rank, b.endpoint.id));
            }
        }
        best
    }

    /// Cold backends: each gateway sends at most what it sends a warm one, times what surely is warm, times
    /// half the multiple at which it falls over: together they stay at half of what it bears.
    fn reckon_cold(&mut self, now: Millis, settings: &Settings) {
        let (all, members) = (&mut self.all, self.subset.members().len() as f64);
        // Warm meanwhile, or forgotten.
        self.cold.retain(|id| all.get(id).is_some_and(|b| cold_share(now, settings, b).is_some()));
        // The capacity of those it may send to, in warm backends: a cold one counts by what surely is warm of
        // it.
        let share = |id| all.get(id).and_then(|b| cold_share(now, settings, b)).unwrap_or(1.0);
        let warm = members - self.cold.iter().map(|id| 1.0 - share(id)).sum::<f64>();
        let part = (settings.rules.overload_multiple / 2.0).min(1.0);
        let usual = self.rate / warm.max(1.0) * part;
        for id in &self.cold {
            let Some(b) = all.get_mut(id) else { continue };
            let share = cold_share(now, settings, b).unwrap_or(1.0);
            let more = (now - b.slow_start_tokens_at).max(0.0) / 1000.0 * usual * share;
            b.slow_start_tokens = (b.slow_start_tokens + more).min(1.0);
            b.slow_start_tokens_at = now;
        }
    }

    /// An attempt is sent, a request's first or a further one; how many of this gateway are at the backend
    /// then.
    pub(crate) fn attempt_started(
        &mut self, now: Millis, settings: &Settings, backend: EndpointId, first: bool,
    ) -> f64 {
        if first {
            let keep = (-(now - self.rate_at).max(0.0) / RATE_MS).exp();
            self.rate = self.rate * keep + 1000.0 / RATE_MS;
            self.rate_at = now;
        }
        let Some(b) = self.all.get_mut(&backend) else { return 1.0 };
        if b.in_flight == 0 {
            b.last_response_at = now;
        }
        b.in_flight += 1;
        let carried = b.in_flight.div_ceil(settings.limits.requests_per_connection.max(1));
        // All may have closed meanwhile.
        b.connections = if lines_stay(now, settings, b) { b.connections.max(carried) } else { carried };
        b.slow_start_tokens -= 1.0;
        f64::from(b.in_flight)
    }

    /// What an outcome tells of the backend's pace and health.
    pub(crate) fn attempt_ended(
        &mut self, now: Millis, settings: &Settings, request: &Request, o: &AttemptEnd, depth: f64,
        rng: &mut Rng,
    ) {
        let (class, plan) = (request.class as usize, request.plan as usize);
        let Some(b) = self.all.get_mut(&o.endpoint) else { return };
        b.in_flight = b.in_flight.saturating_sub(1);
        if matches!(o.outcome, Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected) {
            b.connection_used_at = now;
        } else if settings.limits.requests_per_connection <= 1 || o.outcome == Outcome::ConnectFailed {
            // The attempt has taken its connection with it.
            b.connections = b.connections.saturating_sub(1);
        }
        if matches!(o.outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            let held = now + FULL.0.max(FULL.1 * 1000.0 / self.rate.max(1.0));
            b.rejecting_until.resize(settings.plans.len(), now);
            match o.outcome {
                Outcome::Rejected => b.rejecting_until[plan] = held,
                _ => b.rejecting_until.fill(held),
            }
        }
        let spoilt =
            f64::from(u8::from(matches!(o.outcome, Outcome::ErrorResponse | Outcome::ConnectionReset)));
        if spoilt > 0.0 || o.outcome == Outcome::Success {
            b.invalid_response_rate += (spoilt - b.invalid_response_rate) * SPOILT.0;
            self.spoilt += (spoilt - self.spoilt) * SPOILT.1;
        }
        match o.outcome {
            Outcome::Success => {
                (b.consecutive_failures, b.last_response_at) = (0, now);
                let took = if o.elapsed_ms.is_finite() { o.elapsed_ms.max(0.1) } else { return };
                let (usual, seen) = &mut self.usual[class];
                let alone = took / ((depth + UNSEEN) / (1.0 + UNSEEN));
                let pace = pace(now, b);
                b.relative_latency = pace + PACE_GAIN * ((alone / usual.max(0.1)).min(10.0) - pace);
                b.latency_updated_at = now;
                *seen += 1.0;
                *usual += (alone / pace.max(0.1) - *usual) * USUAL_GAIN.max(1.0 / *seen);
            }
            Outcome::Rejected => b.last_response_at = now,
            // Cut at its aim though the backend answered others meanwhile: the request was costly.
            Outcome::Timeout if b.last_response_at > now - o.elapsed_ms => {}
            // Answers that come spoilt or break off from all backends alike tell nothing of this one.
            Outcome::ErrorResponse | Outcome::ConnectionReset
                if b.invalid_response_rate < self.spoilt + SPOILT.2 => {}
            Outcome::ErrorResponse | Outcome::Timeout | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                b.consecutive_failures = b.consecutive_failures.saturating_add(1);
                if b.consecutive_failures >= EJECT_AFTER {
                    let times = f64::from(1u32 << (b.consecutive_failures - EJECT_AFTER).min(5));
                    b.ejected_until = now + EJECT_MS * times * (1.0 + 0.2 * rng.f64());
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Takes in the list, or what changed in it.
    pub(crate) fn update_endpoints(
        &mut self, now: Millis, settings: &Settings, full: bool, entries: Vec<Endpoint>, rng: &mut Rng,
    ) {
        let known = !self.all.is_empty();
        (self.lists, self.listed) = (self.lists + 1, true);
        for entry in entries {
            let fresh = entry.started_at > 0.0 && now - entry.started_at < settings.rules.slow_start_ms;
            let start = fresh.then_some(entry.started_at);
            let (id, zone, key, ready) =
                (entry.id, entry.zone, entry.hash_key, entry.state == EndpointState::Ready);
            match self.all.get_mut(&id) {
                Some(b) => {
                    // Gone and back, or a new start: it may be cold, whatever the list says of its age.
                    let back = b.endpoint.state == EndpointState::Removed && ready;
                    if back || entry.started_at > b.endpoint.started_at {
                        let born = start.or(back.then_some(now));
                        (b.slow_start_from, b.slow_start_tokens, b.slow_start_tokens_at) =
                            (born, rng.f64(), now);
                        (
                            b.consecutive_failures,
                            b.invalid_response_rate,
                            b.relative_latency,
                            b.rejecting_until,
                        ) = (0, 0.0, 1.0, Vec::new());
                    }
                    let old = std::mem::replace(&mut b.endpoint, entry);
                    b.last_update = self.lists;
                    if (old.zone, old.hash_key, old.state == EndpointState::Ready) != (zone, key, ready) {
                        self.subset.set(old.zone, old.hash_key, id, false);
                        self.subset.set(zone, key, id, ready);
                    }
                }
                None if entry.state != EndpointState::Removed || known => {
                    let mut b = TrackedEndpoint::new(entry, start, now);
                    (b.slow_start_tokens, b.last_update) = (rng.f64(), self.lists);
                    self.all.insert(id, b);
                    self.subset.set(zone, key, id, ready);
                }
                None => {}
            }
        }
        if full {
            for b in self
                .all
                .values_mut()
                .filter(|b| b.last_update != self.lists && b.endpoint.state != EndpointState::Removed)
            {
                b.endpoint.state = EndpointState::Removed;
                self.subset.set(b.endpoint.zone, b.endpoint.hash_key, b.endpoint.id, false);
            }
        }
        self.subset.resize(settings, self.out, self.lost);
    }
}

/// Turns no plan away and is not left out, or due for a `trial` where that will do.
fn of_use(now: Millis, backend: &TrackedEndpoint, trial: bool) -> bool {
    let due = trial && now >= backend.ejected_until && backend.in_flight == 0;
    (backend.consecutive_failures < EJECT_AFTER || due) && backend.rejecting_until.iter().all(|at| *at <= now)
}

/// Share of its capacity that a backend surely has while it may be cold.
fn cold_share(now: Millis, settings: &Settings, backend: &TrackedEndpoint) -> Option<f64> {
    let rules = &settings.rules;
    let age = now - backend.slow_start_from?;
    (age < rules.slow_start_ms).then(|| {
        let from = rules.slow_start_min_capacity.clamp(0.05, 1.0);
        from + (1.0 - from) * (age / rules.slow_start_ms).clamp(0.0, 1.0)
    })
}

/// Whether one of this gateway's connections to the backend is likely to be open and free.
fn has_line(now: Millis, settings: &Settings, backend: &TrackedEndpoint) -> bool {
    let places = backend.connections * settings.limits.requests_per_connection.max(1);
    lines_stay(now, settings, backend) && backend.in_flight < places
}

/// Whether its connections were used so lately that they are likely to be open.
fn lines_stay(now: Millis, settings: &Settings, backend: &TrackedEndpoint) -> bool {
    now - backend.connection_used_at < settings.limits.idle_timeout_ms * LINE_IDLE
}

/// Its pace, which returns to the fleet's while nothing is learned.
fn pace(now: Millis, backend: &TrackedEndpoint) -> f64 {
    let keep = (-(now - backend.latency_updated_at).max(0.0) / PACE_MEMORY_MS).exp();
    1.0 + (backend.relative_latency - 1.0) * keep
}
