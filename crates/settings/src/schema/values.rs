//! Checks single values against their kind and converts them to canonical form.

use {
    super::ValueKind,
    base::{duration_text, ByteSize, CpuMillis, IdError, PeerAddress, ProcessName},
    std::str::FromStr,
    toml_edit::Value,
};

/// Describes the expected format of a value that has the wrong kind or range.
pub(super) struct ValueMismatch {
    pub(super) expected: String,
}

impl ValueMismatch {
    fn new(expected: impl Into<String>) -> Self {
        Self { expected: expected.into() }
    }
}

/// Checks a value that is neither a list nor a table, and returns it in canonical form.
pub(super) fn check_value(kind: ValueKind, value: &Value) -> Result<toml::Value, ValueMismatch> {
    match kind {
        ValueKind::Name => name(value),
        ValueKind::Text => text(value, "a string that is not blank"),
        ValueKind::Day => day(value),
        ValueKind::Count { least, most } => count(value, least, most),
        ValueKind::Number => number(value),
        ValueKind::Flag => {
            value.as_bool().map(toml::Value::Boolean).ok_or(ValueMismatch::new("true or false"))
        }
        ValueKind::Duration => duration(value),
        ValueKind::Bytes => size::<ByteSize>(value, |size| size.0),
        ValueKind::Cpu => size::<CpuMillis>(value, |size| size.0),
        ValueKind::Address => address(value),
        ValueKind::OneOf(words) => one_of(value, words),
        ValueKind::List(_) => Err(ValueMismatch::new("a list")),
        ValueKind::Table(_) | ValueKind::ByName(_) => Err(ValueMismatch::new("a table")),
    }
}

fn text(value: &Value, expected: &str) -> Result<toml::Value, ValueMismatch> {
    match value.as_str().map(str::trim) {
        Some("") | None => Err(ValueMismatch::new(expected)),
        Some(text) => Ok(toml::Value::String(text.to_owned())),
    }
}

fn name(value: &Value) -> Result<toml::Value, ValueMismatch> {
    let text = value.as_str().ok_or(ValueMismatch::new("a name in quotes"))?;
    check_name(text).map_err(|error| ValueMismatch::new(format!("a name ({error})")))?;
    Ok(toml::Value::String(text.to_owned()))
}

/// Checks an identifier. All identifiers have the same alphabet, so that any identifier type can
/// check the name.
pub(super) fn check_name(text: &str) -> Result<(), IdError> {
    ProcessName::new(text).map(|_| ())
}

fn day(value: &Value) -> Result<toml::Value, ValueMismatch> {
    let expected = || ValueMismatch::new("a day such as \"2030-12-31\"");
    let text = match value {
        Value::Datetime(date) => date.value().to_string(),
        _ => value.as_str().ok_or_else(expected)?.to_owned(),
    };
    let date = toml::value::Datetime::from_str(&text).map_err(|_| expected())?;
    match (date.date, date.time) {
        (Some(day), None) => Ok(toml::Value::String(day.to_string())),
        _ => Err(expected()),
    }
}

fn count(value: &Value, least: i64, most: i64) -> Result<toml::Value, ValueMismatch> {
    value
        .as_integer()
        .filter(|count| (least..=most).contains(count))
        .map(toml::Value::Integer)
        .ok_or_else(|| ValueMismatch::new(format!("a whole number from {least} to {most}")))
}

fn number(value: &Value) -> Result<toml::Value, ValueMismatch> {
    value
        .as_float()
        .or_else(|| value.as_integer().map(|count| count as f64))
        .filter(|number| number.is_finite() && *number >= 0.0)
        .map(toml::Value::Float)
        .ok_or_else(|| ValueMismatch::new("a number that is not negative"))
}

fn duration(value: &Value) -> Result<toml::Value, ValueMismatch> {
    value
        .as_str()
        .filter(|text| duration_text::parse(text).is_some())
        .map(|text| toml::Value::String(text.to_owned()))
        .ok_or_else(|| ValueMismatch::new("a duration such as \"250ms\", \"5s\" or \"2h\""))
}

fn size<T>(value: &Value, amount: impl Fn(T) -> u64) -> Result<toml::Value, ValueMismatch>
where
    T: FromStr<Err = base::SizeError>,
{
    let text = match value {
        Value::Integer(count) => count.value().to_string(),
        Value::Float(count) => count.value().to_string(),
        _ => value.as_str().unwrap_or_default().to_owned(),
    };
    let size: T =
        text.parse().map_err(|error: base::SizeError| ValueMismatch::new(error.expected))?;
    i64::try_from(amount(size))
        .map(toml::Value::Integer)
        .map_err(|_| ValueMismatch::new("a size below 2^63"))
}

fn address(value: &Value) -> Result<toml::Value, ValueMismatch> {
    value
        .as_str()
        .filter(|text| text.parse::<PeerAddress>().is_ok())
        .map(|text| toml::Value::String(text.to_owned()))
        .ok_or_else(|| ValueMismatch::new("an IP address and a port such as \"10.0.0.1:7100\""))
}

fn one_of(value: &Value, words: &[&str]) -> Result<toml::Value, ValueMismatch> {
    value
        .as_str()
        .filter(|word| words.contains(word))
        .map(|word| toml::Value::String(word.to_owned()))
        .ok_or_else(|| ValueMismatch::new(format!("one of {}", words.join(", "))))
}
