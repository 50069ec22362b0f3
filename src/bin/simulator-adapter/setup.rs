//! The settings text, one path=value a line, translated to the library's settings.

use quota_gateway::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, LoadReporting, Plan, Prices, Rules,
    Settings,
};
use std::collections::HashMap;
use thiserror::Error;

/// The settings of one instance, with what the adapter itself needs of them.
pub struct Setup {
    pub settings: Settings,
    /// The values of a load report, in order.
    pub load_fields: Vec<LoadField>,
}

/// A value of a load report.
#[derive(Clone, Copy)]
pub enum LoadField {
    InFlight,
    Queued,
    Utilization,
    ServiceMs,
    ServedPerSecond,
    ErrorsPerSecond,
    /// New names can appear; they are skipped.
    Unknown,
}

impl LoadField {
    fn from_name(name: &str) -> Self {
        match name {
            "concurrent" => LoadField::InFlight,
            "depth" => LoadField::Queued,
            "load_share" => LoadField::Utilization,
            "mean_ms" => LoadField::ServiceMs,
            "tps" => LoadField::ServedPerSecond,
            "err_ps" => LoadField::ErrorsPerSecond,
            _ => LoadField::Unknown,
        }
    }
}

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("setting {path} is missing")]
    Missing { path: String },
    #[error("setting {path} is not a number of 0 or more: {text:?}")]
    NotANumber { path: String, text: String },
    #[error("setting {path} is not a whole number: {text:?}")]
    NotAnInteger { path: String, text: String },
    #[error("setting {path} is neither true nor false: {text:?}")]
    NotABoolean { path: String, text: String },
    #[error("setting {path} has an unknown value: {text:?}")]
    UnknownValue { path: String, text: String },
    #[error("setting locality names zone {zone} of {zones}")]
    UnknownZone { zone: u32, zones: u32 },
}

/// Reads the settings text.
pub fn read(text: &str) -> Result<Setup, SettingsError> {
    let text = SettingsText::new(text);
    let classes = (0..text.integer("categories.count")?)
        .map(|index| class(&text, index))
        .collect::<Result<_, _>>()?;
    let plans = (0..text.integer("tiers-of-service.count")?)
        .map(|index| plan(&text, index))
        .collect::<Result<_, _>>()?;
    let counter = counter(&text)?;
    let zone = zone(&text)?;
    let settings = Settings {
        gateway_count: text.integer("balancers")?,
        gateway_index: text.integer("position")?,
        zone,
        tick_ms: text.number("granularity-ms")?,
        classes,
        plans,
        counter,
        max_units: text.number("domain.units-top")?,
        settles_units: text.boolean("domain.trued-up")?,
        limits: limits(&text)?,
        prices: prices(&text)?,
        rules: rules(&text)?,
        load_reporting: load_reporting(&text)?,
        endpoints_polled: endpoints_polled(&text)?,
    };
    Ok(Setup {
        settings,
        load_fields: load_fields(&text),
    })
}

fn counter(text: &SettingsText) -> Result<Option<CounterSettings>, SettingsError> {
    if !text.boolean("domain.may-count")? {
        return Ok(None);
    }
    Ok(Some(CounterSettings {
        timeout_ms: text.number("domain.counter-timeout-ms")?,
        call_price: text.number("domain.count-fee")?,
    }))
}

fn zone(text: &SettingsText) -> Result<u32, SettingsError> {
    let zones = text.raw("zones")?.split(',').count() as u32;
    let zone = text.integer("locality")?;
    if zone >= zones {
        return Err(SettingsError::UnknownZone { zone, zones });
    }
    Ok(zone)
}

fn limits(text: &SettingsText) -> Result<Limits, SettingsError> {
    Ok(Limits {
        max_attempts: text.integer("limits.try-limit")?,
        hedging: text.boolean("limits.may-duplicate")?,
        cancellation: text.boolean("limits.cancel")?,
        health_checks: text.boolean("limits.probing")?,
        gossip: text.boolean("limits.peers")?,
        retry_after: text.boolean("limits.retry-after")?,
        max_retry_after_ms: text.number("limits.max-retry-after-ms")?,
        idle_timeout_ms: text.number("limits.idle-close-ms")?,
        requests_per_connection: text.integer("limits.streams-per-conn")?,
        max_connections: 0,
    })
}

fn prices(text: &SettingsText) -> Result<Prices, SettingsError> {
    Ok(Prices {
        cross_zone: text.number("penalties.cross-zone")?,
        waste: text.number("penalties.waste")?,
        health_check: text.number("penalties.probe")?,
        handshake: text.number("penalties.handshake")?,
        late_failure: text.number("penalties.late-fail")?,
    })
}

fn rules(text: &SettingsText) -> Result<Rules, SettingsError> {
    Ok(Rules {
        response_slack_ms: text.number("rules.answer-slack-ms")?,
        slow_start_min_capacity: text.number("rules.cold-from")?,
        slow_start_ms: text.number("rules.warm-up-ms")?,
        drain_grace_ms: text.number("rules.drain-grace-ms")?,
        overload_multiple: text.number("rules.fall-multiple")?,
        overload_window_ms: text.number("rules.fall-ms")?,
        max_poll_interval_ms: text.number("rules.ask-within-ms")?,
    })
}

fn load_reporting(text: &SettingsText) -> Result<LoadReporting, SettingsError> {
    let path = "report.how";
    match text.raw(path)? {
        "off" => Ok(LoadReporting::Off),
        "inline" => Ok(LoadReporting::Responses),
        "on_probe" => Ok(LoadReporting::HealthChecks),
        unknown => Err(unknown_value(path, unknown)),
    }
}

fn load_fields(text: &SettingsText) -> Vec<LoadField> {
    let names = text.raw("report.names").unwrap_or("").split(',');
    names
        .filter(|name| !name.is_empty())
        .map(LoadField::from_name)
        .collect()
}

fn endpoints_polled(text: &SettingsText) -> Result<bool, SettingsError> {
    let path = "membership-mode";
    match text.raw(path)? {
        "push" => Ok(false),
        "ask" => Ok(true),
        unknown => Err(unknown_value(path, unknown)),
    }
}

fn class(text: &SettingsText, index: u32) -> Result<Class, SettingsError> {
    let path = |key: &str| format!("categories.{index}.{key}");
    let idempotency = idempotency(text, index)?;
    Ok(Class {
        latency_objective_ms: text.number(&path("aim-ms"))?,
        deadline_ms: text.number(&path("give-up-ms"))?,
        priority_weight: text.number(&path("value"))?,
        late_weight: text.number(&path("late-worth"))?,
        idempotency,
        streaming: text.boolean(&path("stream"))?,
    })
}

fn idempotency(text: &SettingsText, class: u32) -> Result<Idempotency, SettingsError> {
    let path = format!("categories.{class}.effect");
    match text.raw(&path)? {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::WithKey {
            scope: key_scope(text, class)?,
            window_ms: text.number(&format!("categories.{class}.window-ms"))?,
        }),
        "non_idempotent" => Ok(Idempotency::NotIdempotent),
        unknown => Err(unknown_value(&path, unknown)),
    }
}

fn key_scope(text: &SettingsText, class: u32) -> Result<KeyScope, SettingsError> {
    let path = format!("categories.{class}.group");
    match text.raw(&path)? {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        unknown => Err(unknown_value(&path, unknown)),
    }
}

fn plan(text: &SettingsText, index: u32) -> Result<Plan, SettingsError> {
    let path = |key: &str| format!("tiers-of-service.{index}.{key}");
    Ok(Plan {
        rate: text.number(&path("refill"))?,
        burst: text.number(&path("store-size"))?,
        max_concurrency: text.integer(&path("max-out"))?,
        weight_multiplier: text.number(&path("pays"))?,
        over_quota_weight: text.number(&path("extra-worth"))?,
        over_quota_cost: text.number(&path("excess-cost"))?,
        ceiling_rate: text.number(&path("cap-rate"))?,
        ceiling_burst: text.number(&path("cap-depth"))?,
        ceiling_slack: text.number(&path("ceiling-slack"))?,
    })
}

/// The values of the text by their paths.
struct SettingsText<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingsText<'a> {
    fn new(text: &'a str) -> Self {
        SettingsText(
            text.lines()
                .filter_map(|line| line.split_once('='))
                .collect(),
        )
    }

    fn raw(&self, path: &str) -> Result<&'a str, SettingsError> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| SettingsError::Missing {
                path: path.to_owned(),
            })
    }

    /// A finite number of 0 or more.
    fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let text = self.raw(path)?;
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::NotANumber {
                path: path.to_owned(),
                text: text.to_owned(),
            }),
        }
    }

    fn integer(&self, path: &str) -> Result<u32, SettingsError> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| SettingsError::NotAnInteger {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    fn boolean(&self, path: &str) -> Result<bool, SettingsError> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| SettingsError::NotABoolean {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }
}

fn unknown_value(path: &str, text: &str) -> SettingsError {
    SettingsError::UnknownValue {
        path: path.to_owned(),
        text: text.to_owned(),
    }
}
