//! The keys that may appear in each file, and the walk that checks a document against them.
//!
//! `serde` stops at its first error and does not report the location of a value. The walk therefore
//! checks a document first; `serde` then reads the checked values without errors.

mod rules;
mod values;
mod walk;

pub(crate) use {
    rules::{DECLARATION_FILE, JOB_FILE, SETTINGS_FILE},
    walk::{check_document, CheckedDocument},
};

use serde::de::DeserializeOwned;

/// The kind of a value.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ValueKind {
    /// An identifier.
    Name,
    /// Any text that is not blank.
    Text,
    /// A day, as `YYYY-MM-DD`.
    Day,
    /// An integer between `least` and `most`, inclusive.
    Count { least: i64, most: i64 },
    /// A number that is not negative.
    Number,
    /// True or false.
    Flag,
    /// A duration with its unit.
    Duration,
    /// A size in bytes, with its unit.
    Bytes,
    /// Processor time, in cores or thousandths of a core.
    Cpu,
    /// An IP address and a port.
    Address,
    /// One of the listed words.
    OneOf(&'static [&'static str]),
    /// A list of values.
    List(&'static Self),
    /// A table with the listed keys.
    Table(&'static [KeyRule]),
    /// A table whose keys are identifiers.
    ByName(&'static [KeyRule]),
}

/// A key that may appear in a table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyRule {
    /// The key.
    pub(crate) key: &'static str,
    /// The kind of its value.
    pub(crate) kind: ValueKind,
    /// What the error message says if the key is missing; `None` if the key is optional.
    pub(crate) required: Option<&'static str>,
}

/// Creates the rule for a key that may be missing.
const fn optional(key: &'static str, kind: ValueKind) -> KeyRule {
    KeyRule { key, kind, required: None }
}

/// Creates the rule for a key that must be present.
const fn required(key: &'static str, kind: ValueKind, about: &'static str) -> KeyRule {
    KeyRule { key, kind, required: Some(about) }
}

/// Deserializes values that the walk has checked.
pub(crate) fn read_checked<T: DeserializeOwned>(value: toml::Value) -> T {
    value.try_into().expect("the rules admit only what the types can hold")
}
