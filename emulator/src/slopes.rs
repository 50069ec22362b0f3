//! Slopes: what grows with the size of the fleet, measured at several sizes, with a straight line through it.
//!
//! Times are of the machine that measures: compare them within one run.

use crate::report::Spread;
use quota_gateway::{
    Action, AttemptEnd, Class, CounterSettings, Endpoint, EndpointState, Event, Gateway, Idempotency, Limits,
    LoadReport, Outcome, Plan, Prices, Request, Rules, Settings,
};
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Instant;

/// One quantity at several sizes, and the line through them.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What the sizes count.
    pub per: &'static str,
    /// Size and quantity.
    pub points: Vec<(f64, f64)>,
    /// Units for one more.
    pub slope: f64,
    /// Units at none.
    pub intercept: f64,
    /// How far the line misses the points at most, as a share of the largest quantity.
    pub miss: f64,
}

impl Slope {
    /// The line with the least squares.
    pub fn fit(what: &'static str, unit: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0, y + point.1));
        let (x, y) = (x / count, y / count);
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let together: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        let intercept = y - slope * x;
        let most = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let miss =
            points.iter().map(|point| (point.1 - intercept - slope * point.0).abs()).fold(0.0, f64::max);
        Slope { what, unit, per, points, slope, intercept, miss: miss / most }
    }

    /// One line for each point and one for the fit.
    pub fn lines(&self) -> String {
        let points: Vec<_> =
            self.points.iter().map(|(size, value)| format!("{value:.4} at {size:.0}")).collect();
        format!(
            "{}, {}: {}\n  slope {:.6} for each of the {}, intercept {:.4}, the fit misses by {:.1}% of the largest\n",
            self.what,
            self.unit,
            points.join(", "),
            self.slope,
            self.per,
            self.intercept,
            self.miss * 100.0
        )
    }
}

/// Sizes of the fleet of quote servers; the last is the target's.
const BACKENDS: [u32; 4] = [50, 200, 1000, 8200];

/// Measures every quantity; quick ones take fewer turns.
pub fn all(quick: bool) -> Vec<Slope> {
    let turns = if quick { 200 } else { 2000 };
    let over = |measure: &dyn Fn(u32) -> f64| BACKENDS.map(|size| (f64::from(size), measure(size))).to_vec();
    // Memory first and all of it kept, as what has been freed is used again and doesn't grow.
    let kept = std::cell::RefCell::new(Vec::new());
    let memory = over(&|n| memory_kb(n, &mut kept.borrow_mut()));
    drop(kept);
    let request = "a request through the module, with its outcome";
    vec![
        Slope::fit("memory of the module", "KB", "backends", memory),
        Slope::fit(request, "us", "backends", over(&|n| request_us(n, turns))),
        Slope::fit(
            "a whole list taken anew by the module",
            "us",
            "backends",
            over(&|n| list_us(n, turns / 100)),
        ),
        Slope::fit(
            "a change of one entry taken by the module",
            "us",
            "backends",
            over(&|n| change_us(n, turns)),
        ),
        Slope::fit("a whole list on the wire", "KB", "backends", over(&list_kb)),
        Slope::fit("backends used in 2,000 requests", "backends", "backends", over(&used)),
    ]
}

fn settings() -> Settings {
    Settings {
        gateway_count: 720,
        tick_ms: 1.0,
        classes: vec![Class {
            latency_objective_ms: 500.0,
            deadline_ms: 2000.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            ..Class::default()
        }],
        plans: vec![Plan { rate: 0.0, burst: 10.0, weight_multiplier: 1.0, ..Plan::default() }],
        counter: Some(CounterSettings { timeout_ms: 50.0, call_price: 0.01 }),
        max_units: 4.0,
        limits: Limits {
            max_attempts: 3,
            cancellation: true,
            idle_timeout_ms: 30_000.0,
            requests_per_connection: 1,
            ..Limits::default()
        },
        prices: Prices { handshake: 0.01, ..Prices::default() },
        rules: Rules {
            slow_start_min_capacity: 0.16,
            slow_start_ms: 15_000.0,
            drain_grace_ms: 2000.0,
            overload_multiple: 4.0,
            overload_window_ms: 1500.0,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

fn listed(id: u32) -> Endpoint {
    Endpoint {
        id,
        hash_key: id.into(),
        zone: id % 8,
        kind: 0,
        cell: id % 64,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0.0,
    }
}

fn list(backends: u32) -> Vec<Endpoint> {
    (0..backends).map(listed).collect()
}

fn gateway(backends: u32) -> Gateway {
    let mut gateway = Gateway::new(settings(), 7, 0.0);
    gateway.handle(0.0, Event::EndpointUpdate { complete: true, endpoints: list(backends) }, &mut Vec::new());
    gateway
}

/// Requests whose answer is still to come: at the rate of the target and with work of 40 ms there are some five.
type Under = VecDeque<(u64, u32)>;
const UNDER: usize = 5;

/// A request, and the good answer of one before; the backend that it went to.
fn once(gateway: &mut Gateway, id: u64, under: &mut Under, actions: &mut Vec<Action>) -> Option<u32> {
    let now = id as f64 * 8.0;
    let (units, budget_ms, spread) = (1.0, 2000.0, 8.0);
    let request = Request {
        id,
        customer: id % 500,
        plan: 0,
        class: 0,
        units,
        timeout_ms: budget_ms,
        gateway_set_size: spread,
        is_retry: false,
    };
    actions.clear();
    gateway.handle(now, Event::Request(request), actions);
    let backend = actions.iter().find_map(|action| match action {
        Action::SendAttempt { endpoint: backend, .. } => Some(*backend),
        _ => None,
    })?;
    under.push_back((id, backend));
    if under.len() > UNDER {
        let (id, backend) = under.pop_front()?;
        let (load, units, elapsed_ms) = (LoadReport::default(), None, 8.0 * UNDER as f64);
        let outcome = AttemptEnd {
            id,
            attempt: 0,
            endpoint: backend,
            outcome: Outcome::Success,
            request_answered: true,
            actual_units: units,
            elapsed_ms,
            load,
        };
        gateway.handle(now, Event::AttemptEnded(outcome), actions);
    }
    Some(backend)
}

/// The median of so many measurements, in microseconds.
fn median_us(times: impl Iterator<Item = f64>) -> f64 {
    Spread::of(times.collect()).p50
}

fn request_us(backends: u32, turns: u64) -> f64 {
    let mut gateway = gateway(backends);
    let (mut under, mut actions) = (Under::new(), Vec::new());
    median_us((1..=turns).map(|id| {
        let begun = Instant::now();
        once(&mut gateway, id, &mut under, &mut actions);
        begun.elapsed().as_secs_f64() * 1e6
    }))
}

fn list_us(backends: u32, turns: u64) -> f64 {
    let mut gateway = gateway(backends);
    median_us((0..turns.max(3)).map(|turn| {
        let entries = list(backends);
        let begun = Instant::now();
        gateway.handle(
            turn as f64,
            Event::EndpointUpdate { complete: true, endpoints: entries },
            &mut Vec::new(),
        );
        begun.elapsed().as_secs_f64() * 1e6
    }))
}

fn change_us(backends: u32, turns: u64) -> f64 {
    let mut gateway = gateway(backends);
    median_us((0..turns).map(|turn| {
        let state = if turn % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        let entries = vec![Endpoint { state, ..listed(turn as u32 / 2 % backends) }];
        let begun = Instant::now();
        gateway.handle(
            turn as f64,
            Event::EndpointUpdate { complete: false, endpoints: entries },
            &mut Vec::new(),
        );
        begun.elapsed().as_secs_f64() * 1e6
    }))
}

/// A process's memory, `VmRSS` now or `VmHWM` at most, in KB; 0 where the system tells none.
pub fn memory_of_kb(process: &str, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

fn memory_kb(backends: u32, kept: &mut Vec<Gateway>) -> f64 {
    // So many together that pages and the allocator's own needs are small beside them.
    let together = (100_000 / backends).max(20);
    let before = memory_of_kb("self", "VmRSS");
    kept.extend((0..together).map(|_| gateway(backends)));
    (memory_of_kb("self", "VmRSS") - before) / f64::from(together)
}

/// The protocol's form of a list, as its page shows it.
fn list_kb(backends: u32) -> f64 {
    let entry = |id: u32| {
        serde_json::json!({"id": format!("s-{:08x}", id.wrapping_mul(0x9E37_79B9)), "addr": format!("10.1.{}.{}:9000", id >> 8, id & 255),
            "zone": "a", "kind": "m2", "cell": id % 64, "state": "Ready", "weight": 1.0, "started_ms": 0})
    };
    let servers: Vec<_> = (0..backends).map(entry).collect();
    let list = serde_json::json!({"version": 41, "full": true, "servers": servers});
    list.to_string().len() as f64 / 1000.0
}

fn used(backends: u32) -> f64 {
    let mut gateway = gateway(backends);
    let (mut under, mut actions) = (Under::new(), Vec::new());
    let used: std::collections::BTreeSet<_> =
        (1..=2000).filter_map(|id| once(&mut gateway, id, &mut under, &mut actions)).collect();
    used.len() as f64
}
