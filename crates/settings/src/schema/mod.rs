//! Which keys may stand where, and the walk that checks a document against that.
//!
//! `serde` stops at its first error and does not tell where a value stands, so that documents are
//! walked here first; what passes the walk is then read by `serde` without surprises.

mod rules;
mod values;
mod walk;

pub(crate) use {
    rules::{DECLARATION_FILE, JOB_FILE, SETTINGS_FILE},
    walk::{check_document, CheckedDocument},
};

use serde::de::DeserializeOwned;

/// What a value may be.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ValueKind {
    /// An identifier.
    Name,
    /// Any text that is not empty.
    Text,
    /// A day, as `YYYY-MM-DD`.
    Day,
    /// A whole number in a range.
    Count { least: i64, most: i64 },
    /// A number that is not negative.
    Number,
    /// True or false.
    Flag,
    /// A duration with its unit.
    Duration,
    /// A number of bytes with its unit.
    Bytes,
    /// Processor time, in cores or thousandths.
    Cpu,
    /// An IP number and a port.
    Address,
    /// One of a few words.
    OneOf(&'static [&'static str]),
    /// A list of values.
    List(&'static Self),
    /// A table with known keys.
    Table(&'static [KeyRule]),
    /// A table whose keys are identifiers.
    ByName(&'static [KeyRule]),
}

/// A key that may stand in a table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyRule {
    /// The key.
    pub(crate) key: &'static str,
    /// What its value may be.
    pub(crate) kind: ValueKind,
    /// What is said when it is missing; `None` when it may be.
    pub(crate) required: Option<&'static str>,
}

/// A key that may be missing.
const fn optional(key: &'static str, kind: ValueKind) -> KeyRule {
    KeyRule { key, kind, required: None }
}

/// A key that must not be missing.
const fn required(key: &'static str, kind: ValueKind, about: &'static str) -> KeyRule {
    KeyRule { key, kind, required: Some(about) }
}

/// Reads what the walk has checked into the type that belongs to the rules.
pub(crate) fn read_checked<T: DeserializeOwned>(value: toml::Value) -> T {
    value.try_into().expect("the rules admit only what the types can hold")
}
