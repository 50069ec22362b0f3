//! What can be wrong with a configuration.

use crate::transient_errors::is_transient_open_error;
use quota_gateway::wire_settings::SettingProblem;
use std::io;
use thiserror::Error;

/// Why a configuration can't be used; printed as one line that names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("RELAY_CONFIG is not set")]
    VariableMissing,
    #[error("RELAY_CONFIG {path}: {source}")]
    FileUnreadable { path: String, source: io::Error },
    /// Not JSON, or a field is missing or has the wrong type.
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
    /// True if the file may be readable a little later.
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

/// What is wrong with a field that has the right type.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FieldProblem {
    #[error(transparent)]
    Setting(#[from] SettingProblem),
    #[error("at least {minimum} are needed")]
    TooFewSockets { minimum: usize },
    #[error("one address for each gateway and peer_listen are needed")]
    IncompletePeers,
    #[error("not a hex number")]
    NotHexadecimal,
}
