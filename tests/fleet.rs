//! Simulations of a fleet. What each gateway does may be harmless by itself and harmful in total, so the attempts of
//! many gateways together are checked against the rules.
// Tests fail by panicking.
#![allow(clippy::unwrap_used)]

mod common;
use common::*;
use quota_gateway::*;
use std::collections::BTreeMap;

fn gateway_at(settings: &Settings, index: u32, now: f64) -> TestGateway {
    let settings = Settings {
        gateway_index: index,
        ..settings.clone()
    };
    TestGateway {
        gateway: Gateway::new(settings, u64::from(index) * 7919 + 1, now),
        now,
    }
}

/// Attempts sent in a window of time, and how many are allowed then.
struct WindowLoad {
    sent: usize,
    allowed: f64,
}

impl WindowLoad {
    fn is_worse_than(&self, other: &WindowLoad) -> bool {
        self.sent as f64 / self.allowed > other.sent as f64 / other.allowed
    }
}

/// Returns the load of the window of this length with the most attempts relative to the number allowed at its start.
fn worst_window(sent_at: &[f64], window_ms: f64, allowed: impl Fn(f64) -> f64) -> WindowLoad {
    let mut first = 0;
    let mut worst = WindowLoad {
        sent: 0,
        allowed: f64::INFINITY,
    };
    for (last, at) in sent_at.iter().enumerate() {
        while sent_at[first] < at - window_ms {
            first += 1;
        }
        let load = WindowLoad {
            sent: last + 1 - first,
            allowed: allowed(sent_at[first]),
        };
        if load.is_worse_than(&worst) {
            worst = load;
        }
    }
    worst
}

/// Requests per second that a warm endpoint serves.
const WARM_CAPACITY: f64 = 20.0;
/// An endpoint rejects requests that would wait longer than this, in ms.
const MAX_QUEUE_MS: f64 = 800.0;
/// Share of its full capacity that an endpoint has when it starts.
const COLD_CAPACITY_SHARE: f64 = 0.16;
/// Time from its start until an endpoint has its full capacity, in ms.
const WARM_UP_MS: f64 = 15_000.0;
/// Share of the served attempts that end with an error response.
const ERROR_SHARE: f64 = 0.05;
/// Time at which the gateways start, in ms.
const START: f64 = 1000.0;
/// Time at which the new endpoints start, in ms.
const RELEASE: f64 = 9000.0;
/// Time at which the gateways are notified of the release, in ms.
const LIST_UPDATE: f64 = RELEASE + 1000.0;
/// Time at which one gateway restarts, in ms.
const GATEWAY_RESTART: f64 = RELEASE + 4000.0;
/// Time at which the simulation ends, in ms.
const END: f64 = RELEASE + 12_000.0;
/// Time that a client waits after a rejection before its retry, in ms.
const CLIENT_BACKOFF_MS: f64 = 400.0;
/// Flag in the id of a request that is a client's retry.
const CLIENT_RETRY_FLAG: u64 = 1 << 40;

/// A release: half of the warm endpoints are removed, and as many start cold in their place.
struct Release {
    gateways: u32,
    seed: u64,
    /// Requests per second over all gateways. One gateway in ten gets four times as many as each of the others.
    request_rate: f64,
    overload_multiple: f64,
    overload_window_ms: f64,
    /// Number of endpoints that stay. As many are removed, and as many start.
    staying: u32,
}

/// The attempts that the new endpoints were sent.
struct ReleaseLoad {
    /// The worst window of any new endpoint.
    worst: WindowLoad,
    /// Number of attempts sent to all new endpoints.
    sent: usize,
}

impl Release {
    /// Simulates the release with a gateway that restarts during the warm-up, endpoints that fail a few requests, and
    /// clients that retry once after a rejection. Within `overload_window_ms`, a warming endpoint may be sent
    /// N + 2 · sqrt(N) + 2 attempts, where N is the number of attempts that overloads the endpoint.
    fn simulate(&self) -> ReleaseLoad {
        let mut simulation = Simulation::new(self);
        simulation.run();
        let allowed = |at: f64| {
            let capacity = capacity_share(at) * WARM_CAPACITY;
            let overload = self.overload_multiple * capacity * self.overload_window_ms / 1000.0;
            overload + 2.0 * overload.sqrt() + 2.0
        };
        let mut worst = WindowLoad {
            sent: 0,
            allowed: 1.0,
        };
        for sent_at in &simulation.sent_to_new {
            let load = worst_window(sent_at, self.overload_window_ms, allowed);
            if load.is_worse_than(&worst) {
                worst = load;
            }
        }
        ReleaseLoad {
            worst,
            sent: simulation.sent_to_new.iter().map(Vec::len).sum(),
        }
    }

    fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.counter = None;
        settings.plans[0].rate = 0.0;
        settings.gateway_count = self.gateways;
        settings.rules.overload_multiple = self.overload_multiple;
        settings.rules.overload_window_ms = self.overload_window_ms;
        settings.rules.slow_start_min_capacity = COLD_CAPACITY_SHARE;
        settings.rules.slow_start_ms = WARM_UP_MS;
        settings
    }

    fn endpoints_before(&self) -> Vec<Endpoint> {
        (1..=2 * self.staying)
            .map(|id| endpoint_entry(id, 0, EndpointState::Ready))
            .collect()
    }

    fn new_endpoints(&self) -> impl Iterator<Item = Endpoint> {
        let ids = 2 * self.staying + 1..=3 * self.staying;
        ids.map(|id| Endpoint {
            started_at: RELEASE,
            ..endpoint_entry(id, 0, EndpointState::Ready)
        })
    }

    fn changed_entries(&self) -> Vec<Endpoint> {
        let removed = (self.staying + 1..=2 * self.staying)
            .map(|id| endpoint_entry(id, 0, EndpointState::Removed));
        removed.chain(self.new_endpoints()).collect()
    }

    fn endpoints_after(&self) -> Vec<Endpoint> {
        let staying = self
            .endpoints_before()
            .into_iter()
            .take(self.staying as usize);
        staying.chain(self.new_endpoints()).collect()
    }
}

/// Returns the share of its full capacity that a new endpoint has at this time.
fn capacity_share(now: f64) -> f64 {
    COLD_CAPACITY_SHARE
        + (1.0 - COLD_CAPACITY_SHARE) * ((now - RELEASE) / WARM_UP_MS).clamp(0.0, 1.0)
}

/// A step of the simulation that happens at a scheduled time.
enum Step {
    /// A client sends a new request.
    Arrival,
    /// A client sends a rejected request again.
    ClientRetry { id: u64 },
    /// An endpoint answers an attempt.
    AttemptEnd { gateway: usize, end: AttemptEnd },
}

/// One simulation of a release.
struct Simulation<'a> {
    release: &'a Release,
    settings: Settings,
    gateways: Vec<TestGateway>,
    rng: fastrand::Rng,
    now: f64,
    /// Steps by time since the start in µs, then in the order in which they were scheduled.
    schedule: BTreeMap<(u64, u64), Step>,
    /// Number of steps scheduled so far.
    scheduled: u64,
    /// Number of requests so far, without the clients' retries.
    requests: u64,
    /// Number of attempts sent so far, by request.
    attempts: BTreeMap<u64, u8>,
    /// Time at which each endpoint has served all attempts in its queue, by the endpoint's id.
    free_at: Vec<f64>,
    /// Times at which attempts were sent to each new endpoint.
    sent_to_new: Vec<Vec<f64>>,
    has_updated_list: bool,
    has_restarted: bool,
}

impl<'a> Simulation<'a> {
    fn new(release: &'a Release) -> Self {
        let settings = release.settings();
        let endpoints = release.endpoints_before();
        let mut gateways: Vec<_> = (0..release.gateways)
            .map(|index| gateway_at(&settings, index, START))
            .collect();
        for gateway in &mut gateways {
            gateway.handle(Event::EndpointUpdate {
                complete: true,
                endpoints: endpoints.clone(),
            });
        }
        Simulation {
            release,
            settings,
            gateways,
            rng: fastrand::Rng::with_seed(release.seed),
            now: START,
            schedule: BTreeMap::from([((0, 0), Step::Arrival)]),
            scheduled: 0,
            requests: 0,
            attempts: BTreeMap::new(),
            free_at: vec![START; (3 * release.staying + 1) as usize],
            sent_to_new: vec![Vec::new(); release.staying as usize],
            has_updated_list: false,
            has_restarted: false,
        }
    }

    fn run(&mut self) {
        while let Some(((micros, _), step)) = self.schedule.pop_first() {
            self.now = START + micros as f64 / 1000.0;
            if self.now > END {
                break;
            }
            if self.now >= LIST_UPDATE && !std::mem::replace(&mut self.has_updated_list, true) {
                self.update_lists();
            }
            if self.now >= GATEWAY_RESTART && !std::mem::replace(&mut self.has_restarted, true) {
                self.restart_gateway();
            }
            self.step(step);
        }
    }

    fn schedule(&mut self, after_ms: f64, step: Step) {
        self.scheduled += 1;
        let micros = ((self.now + after_ms - START) * 1000.0) as u64;
        self.schedule.insert((micros, self.scheduled), step);
    }

    fn update_lists(&mut self) {
        let entries = self.release.changed_entries();
        for gateway in &mut self.gateways {
            gateway.now = self.now;
            gateway.handle(Event::EndpointUpdate {
                complete: false,
                endpoints: entries.clone(),
            });
        }
    }

    fn restart_gateway(&mut self) {
        self.gateways[0] = gateway_at(&self.settings, 0, self.now);
        let endpoints = self.release.endpoints_after();
        self.gateways[0].handle(Event::EndpointUpdate {
            complete: true,
            endpoints,
        });
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => {
                let gap_ms = -(1.0 - self.rng.f64()).ln() * 1000.0 / self.release.request_rate;
                self.schedule(gap_ms, Step::Arrival);
                let gateway = self.draw_gateway();
                self.requests += 1;
                self.handle(
                    gateway,
                    Event::Request(request(self.requests, self.requests)),
                );
            }
            Step::ClientRetry { id } => {
                let gateway = self.rng.usize(..self.gateways.len());
                self.handle(
                    gateway,
                    Event::Request(Request {
                        is_retry: true,
                        ..request(id, id)
                    }),
                );
            }
            Step::AttemptEnd { gateway, end } => self.handle(gateway, Event::AttemptEnded(end)),
        }
    }

    /// Draws a random gateway. Every tenth gateway is drawn four times as often as the others.
    fn draw_gateway(&mut self) -> usize {
        let gateways = self.release.gateways;
        let busy = gateways.div_ceil(10);
        let drawn = self.rng.f64() * f64::from(gateways + 3 * busy);
        let index = if drawn < 4.0 * f64::from(busy) {
            drawn as u32 / 4 * 10
        } else {
            self.rng.u32(..gateways)
        };
        index as usize
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        self.gateways[gateway].now = self.now;
        let actions = self.gateways[gateway].handle(event);
        for action in actions {
            match action {
                Action::SendAttempt { id, endpoint, .. } => {
                    self.send_attempt(gateway, id, endpoint);
                }
                Action::Reject { id, .. } if id < CLIENT_RETRY_FLAG => {
                    self.schedule(
                        CLIENT_BACKOFF_MS,
                        Step::ClientRetry {
                            id: id | CLIENT_RETRY_FLAG,
                        },
                    );
                }
                _ => {}
            }
        }
    }

    fn send_attempt(&mut self, gateway: usize, id: u64, endpoint: u32) {
        let first_new = 2 * self.release.staying + 1;
        let mut capacity = WARM_CAPACITY;
        if endpoint >= first_new {
            self.sent_to_new[(endpoint - first_new) as usize].push(self.now);
            capacity = WARM_CAPACITY * capacity_share(self.now);
        }
        let (outcome, elapsed_ms) = self.serve(endpoint, capacity);
        let attempt = self.attempts.entry(id).or_insert(0);
        let end = AttemptEnd {
            id,
            attempt: *attempt,
            endpoint,
            outcome,
            request_answered: outcome == Outcome::Success,
            actual_units: None,
            elapsed_ms,
        };
        *attempt += 1;
        self.schedule(elapsed_ms, Step::AttemptEnd { gateway, end });
    }

    /// Serves or rejects an attempt at an endpoint with this capacity, in requests per second. Returns the outcome and
    /// the time until it, in ms.
    fn serve(&mut self, endpoint: u32, capacity: f64) -> (Outcome, f64) {
        let free_at = &mut self.free_at[endpoint as usize];
        let queue_ms = (*free_at - self.now).max(0.0);
        if queue_ms > MAX_QUEUE_MS {
            return (Outcome::Rejected, 1.0);
        }
        *free_at = self.now + queue_ms + 1000.0 / capacity;
        let fails = self.rng.f64() < ERROR_SHARE;
        let outcome = if fails {
            Outcome::ErrorResponse
        } else {
            Outcome::Success
        };
        (outcome, queue_ms + 1000.0 / capacity)
    }
}

/// Checks releases at half of the capacity of the endpoints before the release, and at nearly all of it.
fn assert_no_warming_endpoint_is_overloaded(gateways: u32, staying: u32) {
    for load in [0.5, 0.92] {
        for (seed, (overload_multiple, overload_window_ms)) in
            [(4.0, 1500.0), (2.0, 2000.0)].into_iter().enumerate()
        {
            assert_no_overload(&Release {
                gateways,
                seed: seed as u64 + 5,
                request_rate: load * WARM_CAPACITY * f64::from(2 * staying),
                overload_multiple,
                overload_window_ms,
                staying,
            });
        }
    }
}

fn assert_no_overload(release: &Release) {
    let rate = release.request_rate;
    let ReleaseLoad {
        worst: WindowLoad { sent, allowed },
        sent: total,
    } = release.simulate();
    assert!(
        sent as f64 <= allowed,
        "at {rate} requests per second, {sent} attempts were sent in a window for which {allowed} are allowed"
    );
    assert!(
        total > 500,
        "warming endpoints must be used: {total} attempts were sent"
    );
}

/// There are more endpoints than one gateway uses, so only some gateways send requests to each endpoint, and no gateway
/// knows how many these are. If each gateway assumed too large a share, warming endpoints would be overloaded. Only one
/// overload multiple is simulated, as the simulation takes long.
#[test]
fn gateways_with_a_subset_overload_no_warming_endpoint() {
    let simulate = |load: f64, gateways| {
        assert_no_overload(&Release {
            gateways,
            seed: 9,
            request_rate: load * WARM_CAPACITY * 260.0,
            overload_multiple: 2.0,
            overload_window_ms: 2000.0,
            staying: 130,
        });
    };
    std::thread::scope(|scope| {
        scope.spawn(|| simulate(0.5, 40));
        scope.spawn(|| simulate(0.92, 40));
        scope.spawn(|| simulate(0.92, 120));
    });
}

/// In the releases of this test and the next ones, half of the endpoints start cold, one gateway restarts and loses its
/// state, and clients retry. Each gateway sends a cold endpoint a number of attempts that is harmless by itself. All
/// gateways together must not overload any endpoint, however many gateways there are.
#[test]
fn three_gateways_overload_no_warming_endpoint() {
    assert_no_warming_endpoint_is_overloaded(3, 30);
}

#[test]
fn twenty_gateways_overload_no_warming_endpoint() {
    assert_no_warming_endpoint_is_overloaded(20, 30);
}

#[test]
fn thirty_gateways_overload_no_warming_endpoint() {
    assert_no_warming_endpoint_is_overloaded(30, 30);
}

#[test]
fn three_hundred_gateways_overload_no_warming_endpoint() {
    assert_no_warming_endpoint_is_overloaded(300, 30);
}

#[test]
fn seven_hundred_gateways_overload_no_warming_endpoint() {
    assert_no_warming_endpoint_is_overloaded(720, 30);
}

/// Rate at which each customer's quota refills, in units per second.
const QUOTA_RATE: f64 = 4.0;
/// Burst of each customer's quota, in units.
const QUOTA_BURST: f64 = 12.0;

/// A customer, with its quota as a token bucket that observes all of the usage.
struct Customer {
    /// Requests per second.
    request_rate: f64,
    /// Whether the customer requests more than its quota.
    is_heavy: bool,
    /// Units left of the quota as of `updated_at`.
    units: f64,
    updated_at: f64,
}

impl Customer {
    /// Creates a customer with a full quota. One customer in ten requests three times its quota rate, the others
    /// request well below it.
    fn new(number: usize, now: f64) -> Self {
        let is_heavy = number % 10 == 0;
        let request_rate = if is_heavy { 12.0 } else { 1.5 };
        Customer {
            request_rate,
            is_heavy,
            units: QUOTA_BURST,
            updated_at: now,
        }
    }

    /// Returns whether a request of one unit now is within the quota.
    fn is_within_quota(&mut self, now: f64) -> bool {
        self.units = (self.units + (now - self.updated_at) / 1000.0 * QUOTA_RATE).min(QUOTA_BURST);
        self.updated_at = now;
        self.units >= 1.0
    }
}

/// Numbers of requests, by whether they were sent and whether they were within the quota.
#[derive(Default)]
struct QuotaTotals {
    sent_within: u32,
    sent_beyond: u32,
    heavy_sent_within: u32,
    light_rejected_within: u32,
}

impl QuotaTotals {
    fn record(&mut self, customer: &mut Customer, is_within: bool, is_sent: bool) {
        match (is_sent, is_within) {
            (true, true) => {
                customer.units -= 1.0;
                self.sent_within += 1;
                self.heavy_sent_within += u32::from(customer.is_heavy);
            }
            (true, false) => self.sent_beyond += 1,
            (false, true) if !customer.is_heavy => self.light_rejected_within += 1,
            (false, _) => {}
        }
    }
}

/// The counter is available, most customers request well below their quota, and one in ten requests three times its
/// quota. A gateway learns of the usage at other gateways only by its own counter calls, so it may forward requests
/// beyond a quota and reject requests within one. Both must be rare over the fleet.
#[test]
fn quotas_hold_over_the_fleet_while_the_counter_is_available() {
    let QuotaTotals {
        sent_within,
        sent_beyond,
        heavy_sent_within,
        light_rejected_within,
    } = simulate_quotas();
    let light_sent_within = sent_within - heavy_sent_within;
    assert!(
        sent_beyond * 20 <= sent_within,
        "{sent_beyond} requests were sent beyond the quotas, {sent_within} within them"
    );
    assert!(
        light_rejected_within * 25 <= light_sent_within,
        "of customers below their quota, {light_rejected_within} requests were rejected and {light_sent_within} sent"
    );
    // Six customers with a burst of 12 units and 4 units per second for one minute.
    assert!(
        heavy_sent_within * 10 >= 6 * (12 + 4 * 60) * 8,
        "of customers above their quota, only {heavy_sent_within} requests were sent within the quota"
    );
}

/// Simulates one minute of 60 customers at 40 gateways.
fn simulate_quotas() -> QuotaTotals {
    let mut settings = settings();
    settings.gateway_count = 40;
    settings.plans[0].rate = QUOTA_RATE;
    settings.plans[0].burst = QUOTA_BURST;
    let start = 100_000.0;
    let mut gateways: Vec<_> = (0..settings.gateway_count)
        .map(|index| gateway_at(&settings, index, start))
        .collect();
    let endpoints: Vec<_> = (1..=40)
        .map(|id| endpoint_entry(id, 0, EndpointState::Ready))
        .collect();
    for gateway in &mut gateways {
        gateway.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: endpoints.clone(),
        });
    }
    let mut customers: Vec<_> = (0..60).map(|number| Customer::new(number, start)).collect();
    let customer_count = customers.len() as u64;
    let mut counter = SharedCounter::default();
    let mut rng = fastrand::Rng::with_seed(11);
    let mut totals = QuotaTotals::default();
    for millisecond in 0..60_000u64 {
        let now = start + millisecond as f64;
        for (number, customer) in customers.iter_mut().enumerate() {
            if rng.f64() >= customer.request_rate / 1000.0 {
                continue;
            }
            // The customer's requests arrive through four consecutive gateways.
            let gateway = &mut gateways[(number * 3 + rng.usize(..4)) % 40];
            gateway.now = now;
            let id = millisecond * customer_count + number as u64;
            let request = Request {
                gateway_set_size: 4.0,
                ..request(id, number as u64)
            };
            let actions = gateway.handle(Event::Request(request));
            let actions = counter.answer_calls(gateway, actions);
            let is_within = customer.is_within_quota(now);
            let endpoint = sent_to(&actions);
            totals.record(customer, is_within, endpoint.is_some());
            if let Some(endpoint) = endpoint {
                gateway.attempt_ended(id, 0, endpoint, Outcome::Success, Some(1.0));
            }
        }
    }
    totals
}
