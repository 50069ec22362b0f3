//! Errors in settings that have the right keys and types.

use super::validation::MAX_DURATION_MS;
use std::fmt::{Display, Formatter};
use thiserror::Error;

/// A setting that is missing or has an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The setting's path.
    pub path: SettingPath,
    /// The reason why the setting is invalid.
    pub problem: SettingProblem,
}

/// The path of a setting: a top-level key, a key of a section, or a key of a list entry. `Display` writes the index of
/// an entry in brackets, as in JSON paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingPath {
    /// The section or list; empty for a top-level key.
    section: &'static str,
    /// The index of the list entry; `None` for a key of a section.
    index: Option<usize>,
    key: &'static str,
}

impl SettingPath {
    /// A top-level key.
    pub(super) fn top(key: &'static str) -> Self {
        SettingPath {
            section: "",
            index: None,
            key,
        }
    }

    /// A key of a section.
    pub(super) fn section(section: &'static str, key: &'static str) -> Self {
        SettingPath {
            section,
            index: None,
            key,
        }
    }

    /// A key of a list entry.
    pub(super) fn entry(list: &'static str, index: usize, key: &'static str) -> Self {
        SettingPath {
            section: list,
            index: Some(index),
            key,
        }
    }

    /// The path with the index of a list entry after a dot, as in the simulator's settings text.
    #[must_use]
    pub fn dotted(&self) -> String {
        match (self.section, self.index) {
            ("", _) => self.key.to_owned(),
            (section, None) => format!("{section}.{}", self.key),
            (list, Some(index)) => format!("{list}.{index}.{}", self.key),
        }
    }
}

impl Display for SettingPath {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match (self.section, self.index) {
            ("", _) => write!(formatter, "{}", self.key),
            (section, None) => write!(formatter, "{section}.{}", self.key),
            (list, Some(index)) => write!(formatter, "{list}[{index}].{}", self.key),
        }
    }
}

/// The reason why a setting is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SettingProblem {
    /// A number that is not from 0 to the longest duration.
    #[error("out of range, must be from 0 to {MAX_DURATION_MS}")]
    OutOfRange,
    /// The gateway's index is not below the number of gateways.
    #[error("must be less than settings.balancers")]
    NotBelowGatewayCount,
    /// The gateway's zone is not an index into the list of zones.
    #[error("must be an index into settings.zones")]
    NotAZoneIndex,
    /// The list of classes is empty.
    #[error("must not be empty")]
    Empty,
    /// A class with an idempotency key has no scope or no window.
    #[error("missing, but required for the effect idempotency_key")]
    MissingForKeyedClass,
    /// The counter may be called, and one of its settings is missing.
    #[error("missing, but required if settings.domain.may-count is true")]
    MissingForCounter,
    /// The quota has a rate above 0 but no burst, or a negative rate.
    #[error("must be above 0 if refill is, and refill must not be negative")]
    RateWithoutBurst,
}
