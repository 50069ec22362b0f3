//! A `serde` deserializer for the settings text, which has one `path=value` pair per line.
//!
//! A path consists of keys and indexes separated by dots. A list has its length at `PATH.count` and its entries at
//! `PATH.0`, `PATH.1` and so on. A list of names is a single value, separated by commas. Values are parsed only when
//! their type is known, so that an error can state the path and the expected type.

use serde::de::value::{SeqDeserializer, StrDeserializer};
use serde::de::{self, DeserializeSeed, MapAccess, SeqAccess, Visitor};
use serde::forward_to_deserialize_any;
use std::collections::HashMap;
use std::fmt::Display;
use std::ops::Range;
use thiserror::Error;

/// An error in the settings text.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("setting {path} is missing")]
    Missing { path: String },
    #[error("setting {path} is not a number of 0 or more: {text:?}")]
    NotANumber { path: String, text: String },
    #[error("setting {path} is not a whole number: {text:?}")]
    NotAnInteger { path: String, text: String },
    #[error("setting {path} is neither true nor false: {text:?}")]
    NotABoolean { path: String, text: String },
    #[error("setting {path} has an unknown value: {text:?}")]
    UnknownValue { path: String, text: String },
    #[error("setting locality is {zone}, must be less than the number of zones, {zones}")]
    UnknownZone { zone: u32, zones: usize },
    /// An error reported by `serde`, or a type that the text cannot represent.
    #[error("settings: {0}")]
    Deserialize(String),
}

impl de::Error for SettingsError {
    fn custom<T: Display>(message: T) -> Self {
        SettingsError::Deserialize(message.to_string())
    }
}

/// The values of the settings text by path.
pub struct SettingsText<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingsText<'a> {
    /// Parses the text. Lines without `=` are ignored. If a path occurs more than once, the last value is used.
    pub fn new(text: &'a str) -> Self {
        SettingsText(
            text.lines()
                .filter_map(|line| line.split_once('='))
                .collect(),
        )
    }

    /// Removes the value of a path, if there is one.
    pub fn remove(&mut self, path: &str) {
        self.0.remove(path);
    }

    /// Deserializes the whole text into a value, usually a struct.
    pub fn read<'de, T: de::Deserialize<'de>>(&'de self) -> Result<T, SettingsError> {
        T::deserialize(Value {
            text: self,
            path: String::new(),
        })
    }

    /// The unparsed value of a path.
    pub fn raw(&self, path: &str) -> Result<&'a str, SettingsError> {
        let value = self.0.get(path).copied();
        value.ok_or_else(|| SettingsError::Missing {
            path: path.to_owned(),
        })
    }

    /// Whether the text has any path that begins with this one and a dot.
    fn has_children(&self, path: &str) -> bool {
        let is_child = |other: &&str| {
            let rest = other.strip_prefix(path);
            rest.is_some_and(|rest| rest.starts_with('.'))
        };
        self.0.keys().any(is_child)
    }

    /// Parses a finite number of 0 or more.
    fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let text = self.raw(path)?;
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::NotANumber {
                path: path.to_owned(),
                text: text.to_owned(),
            }),
        }
    }

    /// Parses an integer of 0 or more.
    pub fn integer(&self, path: &str) -> Result<u32, SettingsError> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| SettingsError::NotAnInteger {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    /// Parses `true` or `false`.
    pub fn boolean(&self, path: &str) -> Result<bool, SettingsError> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| SettingsError::NotABoolean {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    /// Returns the value if it is one of the known ones.
    pub fn one_of(&self, path: &str, known: &[&str]) -> Result<&'a str, SettingsError> {
        let text = self.raw(path)?;
        if known.contains(&text) {
            return Ok(text);
        }
        Err(SettingsError::UnknownValue {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }
}

/// The value at a path of the text, or the object or list whose parts have paths below it.
struct Value<'de, 'a> {
    text: &'de SettingsText<'a>,
    path: String,
}

impl<'de, 'a> Value<'de, 'a> {
    fn child(&self, key: impl Display) -> Value<'de, 'a> {
        let path = if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        };
        Value {
            text: self.text,
            path,
        }
    }
}

impl<'de> de::Deserializer<'de> for Value<'de, '_> {
    type Error = SettingsError;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, SettingsError> {
        let message = format!("the type of setting {} is not supported", self.path);
        Err(SettingsError::Deserialize(message))
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, SettingsError> {
        visitor.visit_f64(self.text.number(&self.path)?)
    }

    fn deserialize_u32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, SettingsError> {
        visitor.visit_u32(self.text.integer(&self.path)?)
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, SettingsError> {
        visitor.visit_bool(self.text.boolean(&self.path)?)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, SettingsError> {
        match self.text.raw(&self.path) {
            Ok(_) => visitor.visit_some(self),
            Err(_) => visitor.visit_none(),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, SettingsError> {
        let variant = self.text.one_of(&self.path, variants)?;
        visitor.visit_enum(StrDeserializer::new(variant))
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, SettingsError> {
        if let Ok(names) = self.text.raw(&self.path) {
            return visitor.visit_seq(SeqDeserializer::new(names.split(',')));
        }
        if !self.text.has_children(&self.path) {
            return Err(SettingsError::Missing { path: self.path });
        }
        let count = self.text.integer(&self.child("count").path)?;
        visitor.visit_seq(Entries {
            list: self,
            indexes: 0..count,
        })
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, SettingsError> {
        visitor.visit_map(Fields {
            object: self,
            keys: fields.iter(),
            current: "",
        })
    }

    forward_to_deserialize_any! {
        i8 i16 i32 i64 i128 u8 u16 u64 u128 f32 char str string bytes byte_buf unit unit_struct
        newtype_struct tuple tuple_struct map identifier ignored_any
    }
}

/// Access to the entries of a list.
struct Entries<'de, 'a> {
    list: Value<'de, 'a>,
    indexes: Range<u32>,
}

impl<'de> SeqAccess<'de> for Entries<'de, '_> {
    type Error = SettingsError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, SettingsError> {
        let Some(index) = self.indexes.next() else {
            return Ok(None);
        };
        seed.deserialize(self.list.child(index)).map(Some)
    }
}

/// Access to the fields of an object. All fields of the object's type are visited, and the type of each field
/// determines whether the field may be absent.
struct Fields<'de, 'a> {
    object: Value<'de, 'a>,
    keys: std::slice::Iter<'static, &'static str>,
    current: &'static str,
}

impl<'de> MapAccess<'de> for Fields<'de, '_> {
    type Error = SettingsError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, SettingsError> {
        let Some(key) = self.keys.next() else {
            return Ok(None);
        };
        self.current = key;
        seed.deserialize(StrDeserializer::new(key)).map(Some)
    }

    fn next_value_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<T::Value, SettingsError> {
        seed.deserialize(self.object.child(self.current))
    }
}

#[cfg(test)]
mod tests;
