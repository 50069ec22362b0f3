//! What grows with the number of backends: a request with its outcome, a whole list, a change of one entry.
//! Run by `cargo bench`; times are of one machine, the ratios between sizes are what counts.
#![allow(missing_docs)]

use criterion::{black_box, criterion_group, criterion_main, BenchmarkId, Criterion};
use quota_gateway::*;

fn entry(id: u32) -> Endpoint {
    Endpoint {
        id,
        hash_key: id.into(),
        zone: id % 8,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0.0,
    }
}

fn gateway(backends: u32) -> Gateway {
    let class = Class {
        latency_objective_ms: 500.0,
        deadline_ms: 2000.0,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    let settings = Settings {
        gateway_count: 720,
        classes: vec![class],
        plans: vec![Plan { weight_multiplier: 1.0, burst: 1.0, ..Plan::default() }],
        limits: Limits {
            max_attempts: 3,
            idle_timeout_ms: 30_000.0,
            requests_per_connection: 1,
            ..Limits::default()
        },
        prices: Prices { handshake: 0.01, ..Prices::default() },
        ..Settings::default()
    };
    let mut gateway = Gateway::new(settings, 7, 0.0);
    let entries = (0..backends).map(entry).collect();
    gateway.handle(0.0, Event::EndpointUpdate { complete: true, endpoints: entries }, &mut Vec::new());
    gateway
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for backends in [50, 200, 1000, 8200] {
        let (mut gateway, mut actions, mut id) = (gateway(backends), Vec::new(), 0);
        group.bench_function(BenchmarkId::from_parameter(backends), |b| {
            b.iter(|| {
                id += 1;
                let now = id as f64 * 8.0;
                let (units, budget_ms, spread, repeat) = (1.0, 2000.0, 8.0, false);
                let request = Request {
                    id,
                    customer: id % 500,
                    plan: 0,
                    class: 0,
                    units,
                    timeout_ms: budget_ms,
                    gateway_set_size: spread,
                    is_retry: repeat,
                };
                gateway.handle(now, Event::Request(request), &mut actions);
                let sent = actions.iter().find_map(|action| match action {
                    Action::SendAttempt { endpoint: backend, .. } => Some(*backend),
                    _ => None,
                });
                actions.clear();
                let Some(backend) = sent else { panic!("not sent") };
                let (attempt, result, ended, elapsed_ms, load) =
                    (0, Outcome::Success, true, 20.0, LoadReport::default());
                let outcome = AttemptEnd {
                    id,
                    attempt,
                    endpoint: backend,
                    outcome: result,
                    request_answered: ended,
                    actual_units: None,
                    elapsed_ms,
                    load,
                };
                gateway.handle(now + 4.0, Event::AttemptEnded(outcome), &mut actions);
            })
        });
    }
}

fn whole_list(c: &mut Criterion) {
    let mut group = c.benchmark_group("whole list");
    for backends in [200, 1000, 8200] {
        let mut gateway = gateway(backends);
        let list: Vec<_> = (0..backends).map(entry).collect();
        group.bench_function(BenchmarkId::from_parameter(backends), |b| {
            let event = || Event::EndpointUpdate { complete: true, endpoints: list.clone() };
            b.iter_batched(
                event,
                |event| gateway.handle(1.0, event, black_box(&mut Vec::new())),
                criterion::BatchSize::LargeInput,
            )
        });
    }
}

fn change(c: &mut Criterion) {
    let mut group = c.benchmark_group("change of one entry");
    for backends in [200, 1000, 8200] {
        let (mut gateway, mut turn) = (gateway(backends), 0u32);
        group.bench_function(BenchmarkId::from_parameter(backends), |b| {
            b.iter(|| {
                turn += 1;
                let state = if turn % 2 == 1 { EndpointState::Draining } else { EndpointState::Ready };
                let entries = vec![Endpoint { state, ..entry(turn / 2 % backends) }];
                gateway.handle(
                    1.0,
                    Event::EndpointUpdate { complete: false, endpoints: entries },
                    black_box(&mut Vec::new()),
                );
            })
        });
    }
}

criterion_group!(benches, request, whole_list, change);
criterion_main!(benches);
