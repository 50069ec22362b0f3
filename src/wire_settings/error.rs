//! What can be wrong with settings whose keys have the right types.

use std::fmt::{Display, Formatter};
use thiserror::Error;

/// A setting that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Which one.
    pub path: SettingPath,
    /// What is wrong with it.
    pub problem: SettingProblem,
}

/// Where a setting stands: a key of a section, of an entry of a list, or of the settings themselves. Printed with the
/// index of an entry in brackets, as paths in JSON are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingPath {
    /// The section or list; empty for the settings themselves.
    section: &'static str,
    /// The entry of a list.
    index: Option<usize>,
    key: &'static str,
}

impl SettingPath {
    /// A key of the settings themselves.
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

    /// A key of an entry of a list.
    pub(super) fn entry(list: &'static str, index: usize, key: &'static str) -> Self {
        SettingPath {
            section: list,
            index: Some(index),
            key,
        }
    }

    /// The path with dots alone, as the simulator writes it.
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

/// What is wrong with a setting.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SettingProblem {
    /// Not from 0 to a day.
    #[error("out of range")]
    OutOfRange,
    /// The gateway's index is not below the number of gateways.
    #[error("not below settings.balancers")]
    NotBelowGatewayCount,
    /// The gateway's zone is none of the zones.
    #[error("not a place in settings.zones")]
    NotAZoneIndex,
    /// There is no class.
    #[error("empty")]
    Empty,
    /// A class with an idempotency key has no scope or no window.
    #[error("missing for a keyed class")]
    MissingForKeyedClass,
    /// The counter may be called, and a figure of it is missing.
    #[error("missing, though settings.domain.may-count is true")]
    MissingForCounter,
    /// A quota that refills and holds nothing, or a rate below 0.
    #[error("a refill needs a store above 0, and neither is below")]
    RefillWithoutStore,
}
