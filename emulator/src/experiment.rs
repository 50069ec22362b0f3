//! Experiments: TOML files, checked here once. A fault is one line that names the field.

use quota_gateway::{Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings};
use serde::Deserialize;
use std::path::Path;

/// One experiment. Times are in the unit that ends their name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, for the report.
    pub name: String,
    /// Length on the event clock.
    pub seconds: f64,
    /// The report counts from here on; before, gateways learn and connections open.
    #[serde(default)]
    pub count_from_s: f64,
    /// Regions, zones and links.
    pub topology: Topology,
    /// The gateways.
    pub gateways: Gateways,
    /// The quote servers.
    pub backends: Backends,
    /// The shared counter; absent where there is none.
    pub counter: Option<CounterModel>,
    /// The list of quote servers.
    pub discovery: Discovery,
    /// Clients and customers.
    pub load: Load,
    /// The classes of requests.
    pub classes: Vec<ClassModel>,
    /// The plans of customers.
    pub plans: Vec<PlanModel>,
    /// The figures of the rules.
    pub rules: RulesModel,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// Regions, zones and the links between them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Regions.
    pub regions: u32,
    /// Zones of each region.
    pub zones_per_region: u32,
    /// One way within a zone.
    pub zone_ms: f64,
    /// One way between two zones of a region.
    pub region_ms: f64,
    /// One way between two regions.
    pub far_ms: f64,
}

impl Topology {
    /// Zones in all.
    pub fn zones(&self) -> u32 {
        self.regions * self.zones_per_region
    }
}

/// The gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many.
    pub count: u32,
    /// Share of them that see more than the others.
    #[serde(default)]
    pub hot_share: f64,
    /// Times as many requests as the others that these see.
    #[serde(default = "one")]
    pub hot_times: f64,
    /// Connections to quote servers that each may hold.
    #[serde(default = "onward")]
    pub connections: u32,
}

/// The quote servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backends {
    /// How many.
    pub count: u32,
    /// Requests that each works on at once.
    pub slots: u32,
    /// Mean work of a request on a warm one.
    pub work_ms: f64,
    /// Spread of the work: sigma of its logarithm.
    pub work_sigma: f64,
    /// Requests that may wait at each.
    pub queue: u32,
    /// Connections that each holds at most.
    pub connections: u32,
    /// What a new connection adds to its first request, beside the way.
    pub handshake_ms: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterModel {
    /// Parts that names lie on.
    pub parts: u32,
    /// Calls a second that each part bears.
    pub calls_per_s: f64,
    /// Calls that may wait at each part.
    pub queue: u32,
    /// The module's time-out for a call.
    pub timeout_ms: f64,
    /// Region and zone where it stands, counted over all zones.
    pub zone: u32,
}

/// The list of quote servers, pushed to an agent beside each gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Shortest and longest time until an agent has a change.
    pub notice_ms: [f64; 2],
    /// Shortest and longest time until discovery knows that a quote server has vanished.
    pub vanished_ms: [f64; 2],
}

/// Clients and customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second over all gateways.
    pub requests_per_s: f64,
    /// Customers; requests fall on them by Zipf's law.
    pub customers: u64,
    /// Exponent of that law; 0 for an even share.
    pub zipf: f64,
    /// Gateways in a row that a customer comes through.
    pub spread: u32,
    /// Share of refused or failed tries after which the client comes again.
    #[serde(default)]
    pub retry_share: f64,
    /// Mean wait before it does, where it was told none.
    #[serde(default = "half_second")]
    pub retry_ms: f64,
    /// Share of clients that leave before they have an answer.
    #[serde(default)]
    pub leave_share: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassModel {
    /// Its name.
    pub name: String,
    /// Share of the requests; all shares together are taken as one.
    pub share: f64,
    /// What may be repeated: `safe`, `keyed-zone`, `keyed-all` or `unsafe`.
    pub effect: EffectModel,
    /// Answers within this earn full worth.
    pub aim_ms: f64,
    /// The client's whole wait.
    pub deadline_ms: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EffectModel {
    /// Any number of times.
    Safe,
    /// Quote servers of one zone drop repeats.
    KeyedZone,
    /// All quote servers drop repeats.
    KeyedAll,
    /// Only once.
    Unsafe,
}

/// A plan: the quota of each of its customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanModel {
    /// Its name.
    pub name: String,
    /// Share of the customers; all shares together are taken as one.
    pub share: f64,
    /// Units a second; 0 for no quota.
    pub rate: f64,
    /// Units that the store holds.
    pub burst: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesModel {
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// Share of its capacity that a cold quote server starts at.
    pub cold_from: f64,
    /// Until it is warm.
    pub warm_up_ms: f64,
    /// Nothing is sent later than this after a drain was told.
    pub drain_grace_ms: f64,
    /// A cold quote server sent over this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls.
    pub fall_ms: f64,
    /// A connection that never comes up is given up after this.
    pub connect_ms: f64,
    /// A connection without work is closed after this.
    pub idle_close_ms: f64,
    /// Repeats of a keyed request are dropped for so long.
    pub window_ms: f64,
    /// Price of a new connection, per first try.
    pub handshake_price: f64,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trouble {
    /// All quote servers of a zone vanish and come back cold.
    ZoneLoss {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which zone, from 0.
        zone: u32,
    },
    /// No bytes pass between a region and the others.
    RegionCut {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which region, from 0.
        region: u32,
    },
    /// Discovery tells nothing; what it misses it tells at its return.
    DiscoveryDown {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// The counter answers no call and comes back empty.
    CounterDown {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// All gateways restart one after another, evenly over the time.
    GatewayRelease {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// A share of the quote servers drain and are replaced by cold ones, in ten steps over the time.
    BackendRelease {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which share.
        share: f64,
    },
}

impl Trouble {
    /// When it begins and for how long it lasts, in seconds.
    pub fn span(&self) -> (f64, f64) {
        match *self {
            Trouble::ZoneLoss { at_s, for_s, .. }
            | Trouble::RegionCut { at_s, for_s, .. }
            | Trouble::DiscoveryDown { at_s, for_s }
            | Trouble::CounterDown { at_s, for_s }
            | Trouble::GatewayRelease { at_s, for_s }
            | Trouble::BackendRelease { at_s, for_s, .. } => (at_s, for_s),
        }
    }
}

fn one() -> f64 {
    1.0
}

/// Two in five of 1,024 descriptors less those kept back, as the program has it.
fn onward() -> u32 {
    396
}

fn half_second() -> f64 {
    500.0
}

/// Reads an experiment's file; an error is one line that names the field.
pub fn load(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads an experiment's text.
pub fn parse(text: &str) -> Result<Experiment, String> {
    let toml = toml::Deserializer::parse(text).map_err(|e| one_line(e.message()))?;
    let experiment: Experiment = serde_path_to_error::deserialize(toml)
        .map_err(|e| format!("{}: {}", e.path(), one_line(e.inner().message())))?;
    check(&experiment)?;
    Ok(experiment)
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Largest figures: beyond these an experiment is a mistake.
const DAY_S: f64 = 86_400.0;
const DAY_MS: f64 = DAY_S * 1000.0;
const GATEWAYS_MOST: u32 = 10_000;
const BACKENDS_MOST: u32 = 100_000;

fn check(e: &Experiment) -> Result<(), String> {
    let within = |field: &str, value: f64, least: f64, most: f64| {
        if (least..=most).contains(&value) {
            Ok(())
        } else {
            Err(format!("{field}: {value} is not within {least} to {most}"))
        }
    };
    within("seconds", e.seconds, 0.001, DAY_S)?;
    within("count_from_s", e.count_from_s, 0.0, e.seconds)?;
    within("topology.regions", e.topology.regions.into(), 1.0, 64.0)?;
    within("topology.zones_per_region", e.topology.zones_per_region.into(), 1.0, 64.0)?;
    for (field, ms) in [
        ("topology.zone_ms", e.topology.zone_ms),
        ("topology.region_ms", e.topology.region_ms),
        ("topology.far_ms", e.topology.far_ms),
    ] {
        within(field, ms, 0.0, 10_000.0)?;
    }
    within("gateways.count", e.gateways.count.into(), 1.0, GATEWAYS_MOST.into())?;
    within("gateways.hot_share", e.gateways.hot_share, 0.0, 1.0)?;
    within("gateways.hot_times", e.gateways.hot_times, 1.0, 100.0)?;
    within("gateways.connections", e.gateways.connections.into(), 1.0, 1e6)?;
    within("backends.count", e.backends.count.into(), 1.0, BACKENDS_MOST.into())?;
    within("backends.slots", e.backends.slots.into(), 1.0, 10_000.0)?;
    within("backends.work_ms", e.backends.work_ms, 0.001, DAY_MS)?;
    within("backends.work_sigma", e.backends.work_sigma, 0.0, 3.0)?;
    within("backends.queue", e.backends.queue.into(), 0.0, 1e6)?;
    within("backends.connections", e.backends.connections.into(), 1.0, 1e6)?;
    within("backends.handshake_ms", e.backends.handshake_ms, 0.0, 10_000.0)?;
    if let Some(counter) = &e.counter {
        within("counter.parts", counter.parts.into(), 1.0, 1024.0)?;
        within("counter.calls_per_s", counter.calls_per_s, 0.001, 1e9)?;
        within("counter.queue", counter.queue.into(), 0.0, 1e7)?;
        within("counter.timeout_ms", counter.timeout_ms, 0.001, DAY_MS)?;
        within("counter.zone", counter.zone.into(), 0.0, f64::from(e.topology.zones() - 1))?;
    }
    for (field, [least, most]) in
        [("discovery.notice_ms", e.discovery.notice_ms), ("discovery.vanished_ms", e.discovery.vanished_ms)]
    {
        within(field, least, 0.0, most.min(DAY_MS))?;
        within(field, most, least, DAY_MS)?;
    }
    within("load.requests_per_s", e.load.requests_per_s, 0.001, 1e7)?;
    within("load.customers", e.load.customers as f64, 1.0, (1u64 << 33) as f64 - 1.0)?;
    within("load.zipf", e.load.zipf, 0.0, 5.0)?;
    within("load.spread", e.load.spread.into(), 1.0, e.gateways.count.into())?;
    within("load.retry_share", e.load.retry_share, 0.0, 1.0)?;
    within("load.retry_ms", e.load.retry_ms, 0.0, DAY_MS)?;
    within("load.leave_share", e.load.leave_share, 0.0, 1.0)?;
    for (list, lengths) in [("classes", e.classes.len()), ("plans", e.plans.len())] {
        within(list, lengths as f64, 1.0, 64.0).map_err(|_| format!("{list}: 1 to 64 are needed"))?;
    }
    for (number, class) in e.classes.iter().enumerate() {
        within(&format!("classes[{number}].share"), class.share, 0.0, 1e6)?;
        within(&format!("classes[{number}].aim_ms"), class.aim_ms, 0.001, DAY_MS)?;
        within(&format!("classes[{number}].deadline_ms"), class.deadline_ms, 0.001, DAY_MS)?;
    }
    for (number, plan) in e.plans.iter().enumerate() {
        within(&format!("plans[{number}].share"), plan.share, 0.0, 1e6)?;
        within(&format!("plans[{number}].rate"), plan.rate, 0.0, 1e9)?;
        within(&format!("plans[{number}].burst"), plan.burst, 0.001, 1e9)?;
    }
    for (list, sum) in [
        ("classes", e.classes.iter().map(|c| c.share).sum::<f64>()),
        ("plans", e.plans.iter().map(|p| p.share).sum()),
    ] {
        if sum <= 0.0 {
            return Err(format!("{list}[0].share: all shares together are 0"));
        }
    }
    let r = &e.rules;
    within("rules.max_attempts", r.max_attempts.into(), 1.0, 100.0)?;
    within("rules.cold_from", r.cold_from, 0.01, 1.0)?;
    within("rules.fall_multiple", r.fall_multiple, 0.01, 1000.0)?;
    within("rules.handshake_price", r.handshake_price, 0.0, 1000.0)?;
    for (field, ms) in [
        ("rules.warm_up_ms", r.warm_up_ms),
        ("rules.drain_grace_ms", r.drain_grace_ms),
        ("rules.fall_ms", r.fall_ms),
        ("rules.connect_ms", r.connect_ms),
        ("rules.idle_close_ms", r.idle_close_ms),
        ("rules.window_ms", r.window_ms),
    ] {
        within(field, ms, 0.0, DAY_MS)?;
    }
    for (number, trouble) in e.troubles.iter().enumerate() {
        let (at_s, for_s) = trouble.span();
        within(&format!("troubles[{number}].at_s"), at_s, 0.0, DAY_S)?;
        within(&format!("troubles[{number}].for_s"), for_s, 0.001, DAY_S)?;
        match trouble {
            Trouble::ZoneLoss { zone, .. } => {
                let last = f64::from(e.topology.zones() - 1);
                within(&format!("troubles[{number}].zone"), (*zone).into(), 0.0, last)?;
            }
            Trouble::RegionCut { region, .. } => {
                let last = f64::from(e.topology.regions - 1);
                within(&format!("troubles[{number}].region"), (*region).into(), 0.0, last)?;
            }
            Trouble::BackendRelease { share, .. } => {
                within(&format!("troubles[{number}].share"), *share, 0.0, 1.0)?;
            }
            _ => {}
        }
    }
    Ok(())
}

impl Experiment {
    /// The settings that each gateway is told; its position and zone aside.
    pub fn settings(&self) -> Settings {
        let r = &self.rules;
        let effect = |effect| match effect {
            EffectModel::Safe => Idempotency::Idempotent,
            EffectModel::KeyedZone => Idempotency::WithKey { scope: KeyScope::Zone, window_ms: r.window_ms },
            EffectModel::KeyedAll => Idempotency::WithKey { scope: KeyScope::All, window_ms: r.window_ms },
            EffectModel::Unsafe => Idempotency::NotIdempotent,
        };
        let class = |c: &ClassModel| Class {
            latency_objective_ms: c.aim_ms,
            deadline_ms: c.deadline_ms,
            priority_weight: 1.0,
            idempotency: effect(c.effect),
            ..Class::default()
        };
        let plan = |p: &PlanModel| Plan {
            rate: p.rate,
            burst: p.burst,
            weight_multiplier: 1.0,
            over_quota_cost: 0.5,
            ..Plan::default()
        };
        Settings {
            gateway_count: self.gateways.count,
            tick_ms: 1.0,
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            counter: self
                .counter
                .as_ref()
                .map(|c| CounterSettings { timeout_ms: c.timeout_ms, call_price: 0.01 }),
            max_units: 4.0,
            settles_units: true,
            limits: Limits {
                max_attempts: r.max_attempts,
                cancellation: true,
                retry_after: true,
                max_retry_after_ms: 2000.0,
                idle_timeout_ms: r.idle_close_ms,
                requests_per_connection: 1,
                max_connections: self.gateways.connections,
                ..Limits::default()
            },
            prices: Prices { handshake: r.handshake_price, ..Prices::default() },
            rules: Rules {
                response_slack_ms: 50.0,
                slow_start_min_capacity: r.cold_from,
                slow_start_ms: r.warm_up_ms,
                drain_grace_ms: r.drain_grace_ms,
                overload_multiple: r.fall_multiple,
                overload_window_ms: r.fall_ms,
                max_poll_interval_ms: 10_000.0,
            },
            ..Settings::default()
        }
    }
}
