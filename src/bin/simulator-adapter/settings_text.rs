//! The settings text, one `path=value` a line, as a `serde` deserializer.
//!
//! A path is a chain of keys and indexes with dots between them. A list has its length under `PATH.count` and its entries
//! under `PATH.0`, `PATH.1` and so on; a list of names is one value with commas between them. A value is read when its
//! type is known, so an error says which path has to be what.

use serde::de::value::{SeqDeserializer, StrDeserializer};
use serde::de::{self, DeserializeSeed, MapAccess, SeqAccess, Visitor};
use serde::forward_to_deserialize_any;
use std::collections::HashMap;
use std::fmt::Display;
use std::ops::Range;
use thiserror::Error;

/// Settings that cannot be used.
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
    #[error("setting locality names zone {zone} of {zones}")]
    UnknownZone { zone: u32, zones: usize },
    /// The type that is read has a form that the text cannot have.
    #[error("settings: {0}")]
    Form(String),
}

impl de::Error for SettingsError {
    fn custom<T: Display>(message: T) -> Self {
        SettingsError::Form(message.to_string())
    }
}

/// The values of the text by their paths.
pub struct SettingsText<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingsText<'a> {
    /// Lines without `=` are passed over. Of two values for one path the last one counts.
    pub fn new(text: &'a str) -> Self {
        SettingsText(
            text.lines()
                .filter_map(|line| line.split_once('='))
                .collect(),
        )
    }

    /// Takes a value out, if there is one.
    pub fn remove(&mut self, path: &str) {
        self.0.remove(path);
    }

    /// Reads a value of any type, usually a struct, from all of the text.
    pub fn read<'de, T: de::Deserialize<'de>>(&'de self) -> Result<T, SettingsError> {
        T::deserialize(Value {
            text: self,
            path: String::new(),
        })
    }

    /// The text of a value.
    pub fn raw(&self, path: &str) -> Result<&'a str, SettingsError> {
        let value = self.0.get(path).copied();
        value.ok_or_else(|| SettingsError::Missing {
            path: path.to_owned(),
        })
    }

    /// Whether any path goes on below this one.
    fn has_below(&self, path: &str) -> bool {
        let is_below = |other: &&str| {
            let rest = other.strip_prefix(path);
            rest.is_some_and(|rest| rest.starts_with('.'))
        };
        self.0.keys().any(is_below)
    }

    /// A finite number of 0 or more.
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

    /// An integer of 0 or more.
    pub fn integer(&self, path: &str) -> Result<u32, SettingsError> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| SettingsError::NotAnInteger {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    /// `true` or `false`.
    pub fn boolean(&self, path: &str) -> Result<bool, SettingsError> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| SettingsError::NotABoolean {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    /// One of these words.
    pub fn word(&self, path: &str, known: &[&str]) -> Result<&'a str, SettingsError> {
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

/// What stands at a path of the text, or below it.
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
        let message = format!("the type of {} is not one that the text has", self.path);
        Err(SettingsError::Form(message))
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
        let word = self.text.word(&self.path, variants)?;
        visitor.visit_enum(StrDeserializer::new(word))
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, SettingsError> {
        if let Ok(names) = self.text.raw(&self.path) {
            return visitor.visit_seq(SeqDeserializer::new(names.split(',')));
        }
        if !self.text.has_below(&self.path) {
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

/// The entries of a list.
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

/// The fields of an object, all that its type has: the value of each says whether it may be absent.
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
