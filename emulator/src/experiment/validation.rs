//! Checks that the values of an experiment are within the ranges of plausible experiments.

use super::error::ExperimentError;
use super::model::{
    CounterModel, DiscoveryModel, EndpointModel, Experiment, Fault, GatewayModel, LoadModel,
    RulesModel, Topology,
};

const DAY_S: f64 = 86_400.0;
const DAY_MS: f64 = DAY_S * 1000.0;
const MAX_DELAY_MS: f64 = 10_000.0;
const MAX_REGIONS: f64 = 64.0;
const MAX_ZONES_PER_REGION: f64 = 64.0;
const MAX_GATEWAYS: f64 = 10_000.0;
const MAX_ENDPOINTS: f64 = 100_000.0;
const MAX_CONNECTIONS: f64 = 1e6;
const MAX_LIST_LENGTH: usize = 64;
const MAX_SHARE: f64 = 1e6;
/// Smallest permitted value of a field that must be above 0.
const MIN_POSITIVE: f64 = 0.001;
/// Maximum number of customers. Gossip messages between gateways have room for customer ids of 33 bits.
const MAX_CUSTOMERS: f64 = (1u64 << 33) as f64 - 1.0;

type CheckResult = Result<(), ExperimentError>;

/// Checks all values. Returns the first one that is out of range as the error.
pub(super) fn check(experiment: &Experiment) -> CheckResult {
    check_range("seconds", experiment.seconds, MIN_POSITIVE, DAY_S)?;
    check_range(
        "measure_from_s",
        experiment.measure_from_s,
        0.0,
        experiment.seconds,
    )?;
    check_topology(&experiment.topology)?;
    check_gateways(&experiment.gateways)?;
    check_endpoints(&experiment.endpoints)?;
    if let Some(counter) = &experiment.counter {
        check_counter(counter, &experiment.topology)?;
    }
    check_discovery(&experiment.discovery)?;
    check_load(&experiment.load, &experiment.gateways)?;
    check_classes_and_plans(experiment)?;
    check_rules(&experiment.rules)?;
    for (index, fault) in experiment.faults.iter().enumerate() {
        check_fault(index, fault, &experiment.topology)?;
    }
    Ok(())
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> CheckResult {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ExperimentError::OutOfRange {
        field: field.to_owned(),
        value,
        min,
        max,
    })
}

fn check_topology(topology: &Topology) -> CheckResult {
    check_range(
        "topology.regions",
        topology.regions.into(),
        1.0,
        MAX_REGIONS,
    )?;
    check_range(
        "topology.zones_per_region",
        topology.zones_per_region.into(),
        1.0,
        MAX_ZONES_PER_REGION,
    )?;
    check_range(
        "topology.same_zone_ms",
        topology.same_zone_ms,
        0.0,
        MAX_DELAY_MS,
    )?;
    check_range(
        "topology.same_region_ms",
        topology.same_region_ms,
        0.0,
        MAX_DELAY_MS,
    )?;
    check_range(
        "topology.cross_region_ms",
        topology.cross_region_ms,
        0.0,
        MAX_DELAY_MS,
    )
}

fn check_gateways(gateways: &GatewayModel) -> CheckResult {
    check_range("gateways.count", gateways.count.into(), 1.0, MAX_GATEWAYS)?;
    check_range("gateways.hot_share", gateways.hot_share, 0.0, 1.0)?;
    check_range(
        "gateways.hot_multiplier",
        gateways.hot_multiplier,
        1.0,
        100.0,
    )?;
    check_range(
        "gateways.max_connections",
        gateways.max_connections.into(),
        1.0,
        MAX_CONNECTIONS,
    )
}

fn check_endpoints(endpoints: &EndpointModel) -> CheckResult {
    check_range(
        "endpoints.count",
        endpoints.count.into(),
        1.0,
        MAX_ENDPOINTS,
    )?;
    check_range("endpoints.slots", endpoints.slots.into(), 1.0, 10_000.0)?;
    check_range(
        "endpoints.service_ms",
        endpoints.service_ms,
        MIN_POSITIVE,
        DAY_MS,
    )?;
    check_range("endpoints.service_sigma", endpoints.service_sigma, 0.0, 3.0)?;
    check_range("endpoints.max_queue", endpoints.max_queue.into(), 0.0, 1e6)?;
    check_range(
        "endpoints.max_connections",
        endpoints.max_connections.into(),
        1.0,
        MAX_CONNECTIONS,
    )?;
    check_range(
        "endpoints.handshake_ms",
        endpoints.handshake_ms,
        0.0,
        MAX_DELAY_MS,
    )
}

fn check_counter(counter: &CounterModel, topology: &Topology) -> CheckResult {
    check_range("counter.shards", counter.shards.into(), 1.0, 1024.0)?;
    check_range(
        "counter.calls_per_s",
        counter.calls_per_s,
        MIN_POSITIVE,
        1e9,
    )?;
    check_range("counter.max_queue", counter.max_queue.into(), 0.0, 1e7)?;
    check_range(
        "counter.timeout_ms",
        counter.timeout_ms,
        MIN_POSITIVE,
        DAY_MS,
    )?;
    check_range(
        "counter.zone",
        counter.zone.into(),
        0.0,
        f64::from(topology.zones() - 1),
    )
}

fn check_discovery(discovery: &DiscoveryModel) -> CheckResult {
    check_interval("discovery.propagation_ms", discovery.propagation_ms)?;
    check_interval(
        "discovery.failure_detection_ms",
        discovery.failure_detection_ms,
    )
}

fn check_interval(field: &str, [shortest, longest]: [f64; 2]) -> CheckResult {
    check_range(field, shortest, 0.0, longest.min(DAY_MS))?;
    check_range(field, longest, shortest, DAY_MS)
}

fn check_load(load: &LoadModel, gateways: &GatewayModel) -> CheckResult {
    check_range(
        "load.requests_per_s",
        load.requests_per_s,
        MIN_POSITIVE,
        1e7,
    )?;
    check_range("load.customers", load.customers as f64, 1.0, MAX_CUSTOMERS)?;
    check_range("load.zipf_exponent", load.zipf_exponent, 0.0, 5.0)?;
    check_range(
        "load.gateway_set_size",
        load.gateway_set_size.into(),
        1.0,
        gateways.count.into(),
    )?;
    check_range("load.retry_share", load.retry_share, 0.0, 1.0)?;
    check_range("load.retry_delay_ms", load.retry_delay_ms, 0.0, DAY_MS)?;
    check_range("load.disconnect_share", load.disconnect_share, 0.0, 1.0)
}

fn check_classes_and_plans(experiment: &Experiment) -> CheckResult {
    check_length("classes", experiment.classes.len())?;
    check_length("plans", experiment.plans.len())?;
    for (index, class) in experiment.classes.iter().enumerate() {
        check_range(
            &format!("classes[{index}].share"),
            class.share,
            0.0,
            MAX_SHARE,
        )?;
        let objective = format!("classes[{index}].latency_objective_ms");
        check_range(&objective, class.latency_objective_ms, MIN_POSITIVE, DAY_MS)?;
        check_range(
            &format!("classes[{index}].deadline_ms"),
            class.deadline_ms,
            MIN_POSITIVE,
            DAY_MS,
        )?;
    }
    for (index, plan) in experiment.plans.iter().enumerate() {
        check_range(&format!("plans[{index}].share"), plan.share, 0.0, MAX_SHARE)?;
        check_range(&format!("plans[{index}].rate"), plan.rate, 0.0, 1e9)?;
        check_range(
            &format!("plans[{index}].burst"),
            plan.burst,
            MIN_POSITIVE,
            1e9,
        )?;
    }
    check_shares(
        "classes",
        experiment.classes.iter().map(|class| class.share).sum(),
    )?;
    check_shares(
        "plans",
        experiment.plans.iter().map(|plan| plan.share).sum(),
    )
}

fn check_length(list: &'static str, length: usize) -> CheckResult {
    if (1..=MAX_LIST_LENGTH).contains(&length) {
        return Ok(());
    }
    Err(ExperimentError::ListLength {
        list,
        max: MAX_LIST_LENGTH,
    })
}

fn check_shares(list: &'static str, sum: f64) -> CheckResult {
    if sum > 0.0 {
        return Ok(());
    }
    Err(ExperimentError::NoShares { list })
}

fn check_rules(rules: &RulesModel) -> CheckResult {
    check_range("rules.max_attempts", rules.max_attempts.into(), 1.0, 100.0)?;
    check_range(
        "rules.slow_start_min_capacity",
        rules.slow_start_min_capacity,
        0.01,
        1.0,
    )?;
    check_range(
        "rules.overload_multiple",
        rules.overload_multiple,
        0.01,
        1000.0,
    )?;
    check_range("rules.handshake_price", rules.handshake_price, 0.0, 1000.0)?;
    check_range("rules.slow_start_ms", rules.slow_start_ms, 0.0, DAY_MS)?;
    check_range("rules.drain_grace_ms", rules.drain_grace_ms, 0.0, DAY_MS)?;
    check_range(
        "rules.overload_window_ms",
        rules.overload_window_ms,
        0.0,
        DAY_MS,
    )?;
    check_range(
        "rules.connect_timeout_ms",
        rules.connect_timeout_ms,
        0.0,
        DAY_MS,
    )?;
    check_range("rules.idle_timeout_ms", rules.idle_timeout_ms, 0.0, DAY_MS)?;
    check_range(
        "rules.idempotency_window_ms",
        rules.idempotency_window_ms,
        0.0,
        DAY_MS,
    )
}

fn check_fault(index: usize, fault: &Fault, topology: &Topology) -> CheckResult {
    check_range(
        &format!("faults[{index}].start_s"),
        fault.start_s(),
        0.0,
        DAY_S,
    )?;
    check_range(
        &format!("faults[{index}].duration_s"),
        fault.duration_s(),
        MIN_POSITIVE,
        DAY_S,
    )?;
    match *fault {
        Fault::ZoneOutage { zone, .. } => {
            let last_zone = f64::from(topology.zones() - 1);
            check_range(
                &format!("faults[{index}].zone"),
                zone.into(),
                0.0,
                last_zone,
            )
        }
        Fault::RegionPartition { region, .. } => {
            let last_region = f64::from(topology.regions - 1);
            check_range(
                &format!("faults[{index}].region"),
                region.into(),
                0.0,
                last_region,
            )
        }
        Fault::EndpointRollout { share, .. } => {
            check_range(&format!("faults[{index}].share"), share, 0.0, 1.0)
        }
        Fault::DiscoveryOutage { .. }
        | Fault::CounterOutage { .. }
        | Fault::GatewayRollout { .. } => Ok(()),
    }
}
