//! The operators' settings in their serialized form: in the configuration file and in the simulator's protocol.
//!
//! The serialized keys (`aim-ms`, `late-worth`, `store-size`) differ from the terms of the code. The `serde` attributes
//! in `model` are the only mapping between keys and terms for the library's settings. Two other places name keys:
//!
//! - `validation` and `unused_class_keys` return keys. They repeat the keys as literals, as a `serde` attribute can't
//!   use a constant. A key must be changed there and in its attribute together.
//! - `config::file` in the gateway's program has the keys of the same objects that only the program uses, and the names
//!   in the lists of classes and plans.
//!
//! Each format has its own `serde` deserializer: JSON in the gateway's program, `path=value` lines in the simulator
//! adapter. Both deserialize [`WireSettings`] and convert them to the library's [`Settings`](crate::Settings).

mod conversion;
mod error;
mod model;
mod validation;

pub use error::{InvalidSetting, SettingPath, SettingProblem};
pub use model::{unused_class_keys, WireSettings};
pub use validation::is_valid_duration;

#[cfg(test)]
mod tests;
