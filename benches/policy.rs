//! What grows with the number of endpoints: a request with its response, a complete endpoint list, a change of one
//! entry. Run by `cargo bench`; times are of one machine, the ratios between sizes are what counts.
#![allow(missing_docs)]

use criterion::{black_box, criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use quota_gateway::{
    Action, AttemptEnd, Class, Endpoint, EndpointId, EndpointState, Event, Gateway, Idempotency,
    Limits, Outcome, Plan, Prices, Request, RequestId, Settings,
};

fn entry(id: u32) -> Endpoint {
    Endpoint {
        id,
        hash_key: id.into(),
        kind: 0,
        weight: 1.0,
        zone: id % 8,
        cell: 0,
        state: EndpointState::Ready,
        started_at: 0.0,
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective_ms: 500.0,
        deadline_ms: 2000.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    Settings {
        gateway_count: 720,
        classes: vec![class],
        plans: vec![Plan {
            burst: 1.0,
            ..Plan::default()
        }],
        limits: Limits {
            max_attempts: 3,
            idle_timeout_ms: 30_000.0,
            requests_per_connection: 1,
            ..Limits::default()
        },
        prices: Prices {
            handshake: 0.01,
            ..Prices::default()
        },
        ..Settings::default()
    }
}

fn gateway_with(endpoints: u32) -> Gateway {
    let mut gateway = Gateway::new(settings(), 7, 0.0);
    let endpoints = (0..endpoints).map(entry).collect();
    gateway.handle(
        0.0,
        Event::EndpointUpdate {
            complete: true,
            endpoints,
        },
        &mut Vec::new(),
    );
    gateway
}

fn request(id: RequestId) -> Request {
    Request {
        id,
        customer: id % 500,
        plan: 0,
        class: 0,
        units: 1.0,
        timeout_ms: 2000.0,
        gateway_set_size: 8.0,
        is_retry: false,
    }
}

fn success(id: RequestId, endpoint: EndpointId) -> AttemptEnd {
    AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Success,
        request_answered: true,
        actual_units: None,
        elapsed_ms: 20.0,
    }
}

fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::SendAttempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

fn request_with_response(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for endpoints in [50, 200, 1000, 8200] {
        let mut gateway = gateway_with(endpoints);
        let mut actions = Vec::new();
        let mut id = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                id += 1;
                let now = id as f64 * 8.0;
                gateway.handle(now, Event::Request(request(id)), &mut actions);
                let Some(endpoint) = sent_to(&actions) else {
                    panic!("not sent")
                };
                actions.clear();
                gateway.handle(
                    now + 4.0,
                    Event::AttemptEnded(success(id, endpoint)),
                    &mut actions,
                );
            });
        });
    }
}

fn complete_list(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole list");
    for endpoints in [200, 1000, 8200] {
        let mut gateway = gateway_with(endpoints);
        let list: Vec<_> = (0..endpoints).map(entry).collect();
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter_batched(
                || Event::EndpointUpdate {
                    complete: true,
                    endpoints: list.clone(),
                },
                |event| gateway.handle(1.0, event, black_box(&mut Vec::new())),
                BatchSize::LargeInput,
            );
        });
    }
}

fn change_of_one_entry(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change of one entry");
    for endpoints in [200, 1000, 8200] {
        let mut gateway = gateway_with(endpoints);
        let mut changes = 0u32;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                changes += 1;
                let state = if changes % 2 == 1 {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                };
                let entries = vec![Endpoint {
                    state,
                    ..entry(changes / 2 % endpoints)
                }];
                let event = Event::EndpointUpdate {
                    complete: false,
                    endpoints: entries,
                };
                gateway.handle(1.0, event, black_box(&mut Vec::new()));
            });
        });
    }
}

criterion_group!(
    benches,
    request_with_response,
    complete_list,
    change_of_one_entry
);
criterion_main!(benches);
