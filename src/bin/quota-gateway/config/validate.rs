//! Checks on a configuration file whose fields have the right types. The first problem found is reported.

use super::error::{ConfigError, FieldProblem};
use super::file::{WireClass, WireConfig, WireEffect, WirePlan, WireSettings};

/// Fewest file descriptors with which the gateway can work.
const MIN_SOCKETS: usize = 40;
/// A timeout beyond a day is a mistake, and one that `Duration` can't hold would be a crash.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Checks all that the types of the fields leave open.
pub fn validate(file: &WireConfig) -> Result<(), ConfigError> {
    let settings = &file.settings;
    check_durations(settings)?;
    if file.limits.sockets < MIN_SOCKETS {
        let problem = FieldProblem::TooFewSockets {
            minimum: MIN_SOCKETS,
        };
        return Err(ConfigError::invalid("limits.sockets", problem));
    }
    check_position(settings)?;
    check_classes(&settings.categories)?;
    check_plans(&settings.tiers_of_service)?;
    check_counter(file)?;
    check_gossip(file)
}

fn check_durations(settings: &WireSettings) -> Result<(), ConfigError> {
    let limits = &settings.limits;
    let domain = &settings.domain;
    check_range(
        "settings.limits.connect-timeout-ms",
        limits.connect_timeout_ms,
    )?;
    check_range("settings.limits.idle-close-ms", limits.idle_close_ms)?;
    check_range(
        "settings.limits.max-retry-after-ms",
        limits.max_retry_after_ms,
    )?;
    check_range(
        "settings.domain.counter-timeout-ms",
        domain.counter_timeout_ms,
    )?;
    check_range("settings.domain.peer-intake", domain.peer_intake)?;
    check_range("settings.granularity-ms", settings.granularity_ms)?;
    check_range("settings.rules.warm-up-ms", settings.rules.warm_up_ms)
}

/// Also rejects NaN.
fn check_range(field: &str, value: f64) -> Result<(), ConfigError> {
    if (0.0..=MAX_DURATION_MS).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::invalid(field, FieldProblem::OutOfRange))
}

fn check_position(settings: &WireSettings) -> Result<(), ConfigError> {
    if settings.balancers == 0 || settings.position >= settings.balancers {
        return Err(ConfigError::invalid(
            "settings.position",
            FieldProblem::NotBelowGatewayCount,
        ));
    }
    if settings.locality as usize >= settings.zones.len() {
        return Err(ConfigError::invalid(
            "settings.locality",
            FieldProblem::NotAZoneIndex,
        ));
    }
    Ok(())
}

fn check_classes(classes: &[WireClass]) -> Result<(), ConfigError> {
    if classes.is_empty() {
        return Err(ConfigError::invalid(
            "settings.categories",
            FieldProblem::Empty,
        ));
    }
    for (index, class) in classes.iter().enumerate() {
        check_class(&format!("settings.categories[{index}]"), class)?;
    }
    Ok(())
}

fn check_class(path: &str, class: &WireClass) -> Result<(), ConfigError> {
    check_range(&format!("{path}.aim-ms"), class.aim_ms)?;
    check_range(&format!("{path}.give-up-ms"), class.give_up_ms)?;
    if class.effect != WireEffect::IdempotencyKey {
        return Ok(());
    }
    if class.group.is_none() {
        return Err(ConfigError::invalid(
            format!("{path}.group"),
            FieldProblem::MissingForKeyedClass,
        ));
    }
    if class.window_ms.is_none() {
        return Err(ConfigError::invalid(
            format!("{path}.window-ms"),
            FieldProblem::MissingForKeyedClass,
        ));
    }
    Ok(())
}

fn check_plans(plans: &[WirePlan]) -> Result<(), ConfigError> {
    for (index, plan) in plans.iter().enumerate() {
        let no_quota = plan.refill == 0.0;
        let store_fits = plan.refill >= 0.0 && (plan.store_size > 0.0 || no_quota);
        if !store_fits {
            let field = format!("settings.tiers-of-service[{index}].store-size");
            return Err(ConfigError::invalid(
                field,
                FieldProblem::RefillWithoutStore,
            ));
        }
    }
    Ok(())
}

fn check_counter(file: &WireConfig) -> Result<(), ConfigError> {
    if file.settings.domain.may_count && file.counter.is_none() {
        return Err(ConfigError::invalid(
            "counter",
            FieldProblem::MissingCounter,
        ));
    }
    Ok(())
}

fn check_gossip(file: &WireConfig) -> Result<(), ConfigError> {
    let settings = &file.settings;
    if !settings.limits.peers {
        return Ok(());
    }
    if file.peer_listen.is_none() || file.peers.len() != settings.balancers as usize {
        return Err(ConfigError::invalid("peers", FieldProblem::IncompletePeers));
    }
    Ok(())
}
