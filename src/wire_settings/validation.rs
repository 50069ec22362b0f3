//! Validation of settings that have the right types. Only the first problem found is reported. The keys named here
//! repeat those of the attributes in `model` and must be changed together with them.

use super::error::{InvalidSetting, SettingPath, SettingProblem};
use super::model::{WireClass, WireIdempotency, WirePlan, WireSettings};

/// Longest valid duration: one day, in ms. A longer one is a mistake, and one that exceeds `Duration` would cause a
/// panic.
pub(super) const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Key of the list of classes.
const CLASSES: &str = "categories";
/// Key of the list of plans.
const PLANS: &str = "tiers-of-service";

impl WireSettings {
    /// Checks that no key is missing that is required because of another key's value.
    ///
    /// # Errors
    ///
    /// The first missing key.
    pub fn check_complete(&self) -> Result<(), InvalidSetting> {
        for (index, class) in self.classes.iter().enumerate() {
            check_class_complete(index, class)?;
        }
        let quota = &self.quota;
        let counter_keys = [
            ("count-fee", quota.counter_call_price),
            ("counter-timeout-ms", quota.counter_timeout_ms),
        ];
        for (key, value) in counter_keys {
            if quota.counter_allowed && value.is_none() {
                let path = SettingPath::section("domain", key);
                return Err(invalid(path, SettingProblem::MissingForCounter));
            }
        }
        Ok(())
    }

    /// Checks durations, indexes, classes and plans, as a file can contain any number, and that no required key is
    /// missing.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn check_values(&self) -> Result<(), InvalidSetting> {
        self.check_durations()?;
        self.check_indexes()?;
        if self.classes.is_empty() {
            return Err(invalid(SettingPath::top(CLASSES), SettingProblem::Empty));
        }
        for (index, class) in self.classes.iter().enumerate() {
            check_class_durations(index, class)?;
        }
        self.check_complete()?;
        for (index, plan) in self.plans.iter().enumerate() {
            check_plan(index, plan)?;
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), InvalidSetting> {
        let limits = &self.limits;
        check_duration(
            SettingPath::section("limits", "idle-close-ms"),
            limits.idle_timeout_ms,
        )?;
        check_duration(
            SettingPath::section("limits", "max-retry-after-ms"),
            limits.max_retry_after_ms,
        )?;
        check_duration(
            SettingPath::section("domain", "counter-timeout-ms"),
            self.quota.counter_timeout_ms.unwrap_or(0.0),
        )?;
        check_duration(SettingPath::top("granularity-ms"), self.tick_ms)?;
        check_duration(
            SettingPath::section("rules", "warm-up-ms"),
            self.rules.slow_start_ms,
        )
    }

    fn check_indexes(&self) -> Result<(), InvalidSetting> {
        if self.gateway_count == 0 || self.gateway_index >= self.gateway_count {
            return Err(invalid(
                SettingPath::top("position"),
                SettingProblem::NotBelowGatewayCount,
            ));
        }
        if self.zone as usize >= self.zone_names.len() {
            return Err(invalid(
                SettingPath::top("locality"),
                SettingProblem::NotAZoneIndex,
            ));
        }
        Ok(())
    }
}

fn check_class_durations(index: usize, class: &WireClass) -> Result<(), InvalidSetting> {
    check_duration(
        SettingPath::entry(CLASSES, index, "aim-ms"),
        class.latency_objective_ms,
    )?;
    check_duration(
        SettingPath::entry(CLASSES, index, "give-up-ms"),
        class.deadline_ms,
    )
}

/// Checks that a class with an idempotency key has a scope and a window.
fn check_class_complete(index: usize, class: &WireClass) -> Result<(), InvalidSetting> {
    if class.idempotency != WireIdempotency::WithKey {
        return Ok(());
    }
    let missing_key = match (class.key_scope, class.key_window_ms) {
        (None, _) => "group",
        (_, None) => "window-ms",
        (Some(_), Some(_)) => return Ok(()),
    };
    let path = SettingPath::entry(CLASSES, index, missing_key);
    Err(invalid(path, SettingProblem::MissingForKeyedClass))
}

fn check_plan(index: usize, plan: &WirePlan) -> Result<(), InvalidSetting> {
    let no_quota = plan.rate == 0.0;
    let burst_fits = plan.rate >= 0.0 && (plan.burst > 0.0 || no_quota);
    if burst_fits {
        return Ok(());
    }
    let path = SettingPath::entry(PLANS, index, "store-size");
    Err(invalid(path, SettingProblem::RateWithoutBurst))
}

/// Checks a duration in ms. NaN is invalid.
fn check_duration(path: SettingPath, value_ms: f64) -> Result<(), InvalidSetting> {
    if is_valid_duration(value_ms) {
        return Ok(());
    }
    Err(invalid(path, SettingProblem::OutOfRange))
}

/// Whether a setting may have this duration, in ms: from 0 to one day.
#[must_use]
pub fn is_valid_duration(value_ms: f64) -> bool {
    (0.0..=MAX_DURATION_MS).contains(&value_ms)
}

fn invalid(path: SettingPath, problem: SettingProblem) -> InvalidSetting {
    InvalidSetting { path, problem }
}
