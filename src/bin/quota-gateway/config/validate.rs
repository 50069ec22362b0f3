//! Checks of a configuration file whose fields have the right types. The first problem found is reported.

use super::error::{ConfigError, FieldProblem};
use super::file::ProgramFile;
use quota_gateway::wire_settings::{
    is_valid_duration, InvalidSetting, SettingProblem, WireSettings,
};
use quota_gateway::Settings;
use std::ops::RangeInclusive;

/// Minimum number of file descriptors with which the gateway can work.
const MIN_SOCKETS: usize = 40;
/// Range of the memory limit, in MB.
const MEMORY_MB: RangeInclusive<f64> = 1.0..=1_048_576.0;

/// Checks everything that the types of the fields do not enforce, and returns the decision library's settings.
pub fn validate(file: &ProgramFile, wire: &WireSettings) -> Result<Settings, ConfigError> {
    check_program_numbers(file)?;
    wire.check_values().map_err(invalid_setting)?;
    if file.limits.sockets < MIN_SOCKETS {
        let problem = FieldProblem::TooFewSockets {
            minimum: MIN_SOCKETS,
        };
        return Err(ConfigError::invalid("limits.sockets", problem));
    }
    check_memory_limit(file.limits.memory_mb)?;
    let settings = wire.to_settings();
    check_counter(file, &settings)?;
    check_gossip(file, &settings)?;
    Ok(settings)
}

fn invalid_setting(setting: InvalidSetting) -> ConfigError {
    ConfigError::invalid(format!("settings.{}", setting.path), setting.problem.into())
}

/// Checks the numbers that only the program uses: a timeout in ms, and a rate in messages per second, which has the
/// same range.
fn check_program_numbers(file: &ProgramFile) -> Result<(), ConfigError> {
    let settings = &file.settings;
    let numbers = [
        (
            "settings.limits.connect-timeout-ms",
            settings.limits.connect_timeout_ms,
        ),
        ("settings.domain.peer-intake", settings.domain.peer_intake),
    ];
    for (field, value) in numbers {
        if !is_valid_duration(value) {
            return Err(ConfigError::invalid(
                field,
                SettingProblem::OutOfRange.into(),
            ));
        }
    }
    Ok(())
}

fn check_memory_limit(memory_mb: Option<f64>) -> Result<(), ConfigError> {
    match memory_mb {
        Some(mb) if !MEMORY_MB.contains(&mb) => {
            let problem = FieldProblem::MemoryOutOfRange {
                minimum: *MEMORY_MB.start(),
                maximum: *MEMORY_MB.end(),
            };
            Err(ConfigError::invalid("limits.memory_mb", problem))
        }
        _ => Ok(()),
    }
}

fn check_counter(file: &ProgramFile, settings: &Settings) -> Result<(), ConfigError> {
    if settings.counter.is_some() && file.counter.is_none() {
        return Err(ConfigError::invalid(
            "counter",
            SettingProblem::MissingForCounter.into(),
        ));
    }
    Ok(())
}

fn check_gossip(file: &ProgramFile, settings: &Settings) -> Result<(), ConfigError> {
    if !settings.limits.gossip {
        return Ok(());
    }
    if file.peer_listen.is_none() || file.peers.len() != settings.gateway_count as usize {
        return Err(ConfigError::invalid("peers", FieldProblem::IncompletePeers));
    }
    Ok(())
}
