//! The settings text, one path=value a line, translated to the library's settings.

use quota_gateway::{
    Class, CounterSettings, Idempotency, KeyScope, Limits, Plan, Prices, Rules, Settings,
};
use std::collections::HashMap;
use thiserror::Error;

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
pub fn read(text: &str) -> Result<Settings, SettingsError> {
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
        endpoints_polled: endpoints_polled(&text)?,
    };
    check_load_reporting(&text)?;
    Ok(settings)
}

fn counter(text: &SettingsText) -> Result<Option<CounterSettings>, SettingsError> {
    if !text.boolean("domain.may-count")? {
        return Ok(None);
    }
    text.number("domain.count-fee")?;
    Ok(Some(CounterSettings {
        timeout_ms: text.number("domain.counter-timeout-ms")?,
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
    text.boolean("limits.probing")?;
    Ok(Limits {
        max_attempts: text.integer("limits.try-limit")?,
        hedging: text.boolean("limits.may-duplicate")?,
        cancellation: text.boolean("limits.cancel")?,
        gossip: text.boolean("limits.peers")?,
        retry_after: text.boolean("limits.retry-after")?,
        max_retry_after_ms: text.number("limits.max-retry-after-ms")?,
        idle_timeout_ms: text.number("limits.idle-close-ms")?,
        requests_per_connection: text.integer("limits.streams-per-conn")?,
        max_connections: 0,
    })
}

fn prices(text: &SettingsText) -> Result<Prices, SettingsError> {
    text.number("penalties.cross-zone")?;
    text.number("penalties.probe")?;
    Ok(Prices {
        waste: text.number("penalties.waste")?,
        handshake: text.number("penalties.handshake")?,
        late_failure: text.number("penalties.late-fail")?,
    })
}

fn rules(text: &SettingsText) -> Result<Rules, SettingsError> {
    text.number("rules.answer-slack-ms")?;
    text.number("rules.ask-within-ms")?;
    Ok(Rules {
        slow_start_min_capacity: text.number("rules.cold-from")?,
        slow_start_ms: text.number("rules.warm-up-ms")?,
        drain_grace_ms: text.number("rules.drain-grace-ms")?,
        overload_multiple: text.number("rules.fall-multiple")?,
        overload_window_ms: text.number("rules.fall-ms")?,
    })
}

/// Gateways read no load reports; how they would come is checked all the same.
fn check_load_reporting(text: &SettingsText) -> Result<(), SettingsError> {
    let path = "report.how";
    match text.raw(path)? {
        "off" | "inline" | "on_probe" => Ok(()),
        unknown => Err(unknown_value(path, unknown)),
    }
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
    text.number(&path("value"))?;
    text.boolean(&path("stream"))?;
    Ok(Class {
        latency_objective_ms: text.number(&path("aim-ms"))?,
        deadline_ms: text.number(&path("give-up-ms"))?,
        late_weight: text.number(&path("late-worth"))?,
        idempotency,
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
    text.number(&path("pays"))?;
    text.number(&path("ceiling-slack"))?;
    Ok(Plan {
        rate: text.number(&path("refill"))?,
        burst: text.number(&path("store-size"))?,
        max_concurrency: text.integer(&path("max-out"))?,
        over_quota_weight: text.number(&path("extra-worth"))?,
        over_quota_cost: text.number(&path("excess-cost"))?,
        ceiling_rate: text.number(&path("cap-rate"))?,
        ceiling_burst: text.number(&path("cap-depth"))?,
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
