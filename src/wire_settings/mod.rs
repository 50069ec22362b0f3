//! The operators' settings as they are carried by the configuration file and by the simulator's wire.
//!
//! The keys have themed names (`aim-ms`, `late-worth`, `store-size`). The `serde` attributes in `model` are the only map
//! from each key of the decision library to the term that the rest of the code uses. Two other places name keys:
//!
//! - `validation` and `unused_class_keys` name keys in their results. They repeat them as literals, as a `serde`
//!   attribute can't use a constant: a key is changed there and in its attribute together.
//! - `config::file` of the gateway's program has the keys of the same objects that concern the program alone, and the
//!   names in the lists of classes and plans.
//!
//! A carrier brings a `serde` deserializer of its own (JSON in the gateway's program, `path=value` lines in the
//! simulator's adapter), reads [`WireSettings`] with it, and gets the library's [`Settings`](crate::Settings) from them.

mod conversion;
mod error;
mod model;
mod validation;

pub use error::{InvalidSetting, SettingPath, SettingProblem};
pub use model::{unused_class_keys, WireSettings};
pub use validation::is_valid_duration;

#[cfg(test)]
mod tests;
