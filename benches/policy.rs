//! Benchmarks of the policy by number of endpoints: a request with its response, a complete endpoint list, and a change
//! of one entry. Run them with `cargo bench`. Absolute times depend on the machine; compare the ratios between sizes.
#![allow(missing_docs)]

use criterion::{black_box, criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use fleet_emulator::measured_gateway::{
    complete_list, endpoint, gateway, request, sent_to, success,
};
use quota_gateway::{Endpoint, EndpointState, Event};

/// Interval between requests on the simulated clock, in ms.
const REQUEST_INTERVAL_MS: f64 = 8.0;
/// Time from a request to its response on the simulated clock, in ms.
const RESPONSE_DELAY_MS: f64 = 4.0;
/// Latency that is reported with each response, in ms.
const LATENCY_MS: f64 = 20.0;

fn request_with_response(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for endpoints in [50, 200, 1000, 8200] {
        let mut gateway = gateway(endpoints);
        let mut actions = Vec::new();
        let mut id = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                id += 1;
                let now = id as f64 * REQUEST_INTERVAL_MS;
                gateway.handle(now, Event::Request(request(id)), &mut actions);
                let Some(endpoint) = sent_to(&actions) else {
                    panic!("the request was not sent to an endpoint")
                };
                actions.clear();
                let response = success(id, endpoint, LATENCY_MS);
                gateway.handle(now + RESPONSE_DELAY_MS, response, &mut actions);
            });
        });
    }
}

fn complete_endpoint_list(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("complete list");
    for endpoints in [200, 1000, 8200] {
        let mut gateway = gateway(endpoints);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter_batched(
                || complete_list(endpoints),
                |event| gateway.handle(1.0, event, black_box(&mut Vec::new())),
                BatchSize::LargeInput,
            );
        });
    }
}

fn change_of_one_entry(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change of one entry");
    for endpoints in [200, 1000, 8200] {
        let mut gateway = gateway(endpoints);
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
                    ..endpoint(changes / 2 % endpoints)
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
    complete_endpoint_list,
    change_of_one_entry
);
criterion_main!(benches);
