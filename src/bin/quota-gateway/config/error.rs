//! Errors in a configuration.

use crate::transient_errors::is_transient_open_error;
use quota_gateway::wire_settings::SettingProblem;
use std::io;
use thiserror::Error;

/// The reason why a configuration can't be used. Printed as one line that names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("RELAY_CONFIG is not set; it must name the configuration file")]
    VariableMissing,
    #[error("RELAY_CONFIG: cannot read {path}: {source}")]
    FileUnreadable { path: String, source: io::Error },
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error("configuration: {field}: {source}")]
    Syntax {
        field: String,
        source: serde_json::Error,
    },
    #[error("configuration: {field}: {problem}")]
    InvalidField {
        field: String,
        problem: FieldProblem,
    },
}

impl ConfigError {
    /// True if reading the file may succeed a little later.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::FileUnreadable { source, .. } if is_transient_open_error(source))
    }

    pub fn invalid(field: impl Into<String>, problem: FieldProblem) -> Self {
        ConfigError::InvalidField {
            field: field.into(),
            problem,
        }
    }
}

/// The problem of a field that has the right type.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum FieldProblem {
    #[error(transparent)]
    Setting(#[from] SettingProblem),
    #[error("must be at least {minimum}")]
    TooFewSockets { minimum: usize },
    #[error("out of range, must be from {minimum} to {maximum}")]
    MemoryOutOfRange { minimum: f64, maximum: f64 },
    #[error("gossip requires peer_listen and one address for each gateway")]
    IncompletePeers,
    #[error("not a 64-bit hexadecimal number")]
    NotHexadecimal,
}
