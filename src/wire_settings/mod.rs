//! The operators' settings as they are carried by the configuration file and by the simulator's wire.
//!
//! The keys have themed names (`aim-ms`, `late-worth`, `store-size`). This module is the only one that knows them: the
//! `serde` attributes in `model` are the map from each key to the term that the rest of the code uses. A carrier
//! brings a `serde` deserializer of its own (JSON in the gateway's program, `path=value` lines in the simulator's
//! adapter), reads [`WireSettings`] with it, and gets the library's [`Settings`](crate::Settings) from them.

mod conversion;
mod error;
mod model;
mod validation;

pub use error::{InvalidSetting, SettingPath, SettingProblem};
pub use model::{unused_class_keys, WireSettings};
pub use validation::is_valid_duration;

#[cfg(test)]
mod tests;
