//! Serde formats for durations in files and messages that people read and write.

/// `#[serde(with = "base::millis")]` for a [`std::time::Duration`].
pub mod millis {
    use {
        serde::{Deserialize, Deserializer, Serialize, Serializer},
        std::time::Duration,
    };

    /// Writes whole milliseconds.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        (value.as_millis() as u64).serialize(serializer)
    }

    /// Reads whole milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// `#[serde(with = "base::optional_millis")]` for an optional [`std::time::Duration`].
pub mod optional_millis {
    use {
        serde::{Deserialize, Deserializer, Serialize, Serializer},
        std::time::Duration,
    };

    /// Writes whole milliseconds or null.
    pub fn serialize<S: Serializer>(
        value: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        value.map(|duration| duration.as_millis() as u64).serialize(serializer)
    }

    /// Reads whole milliseconds or null.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_millis))
    }
}

/// `#[serde(with = "base::duration_text")]` for a [`std::time::Duration`] written as `250ms`,
/// `1.5s`, `10m`, `2h` or `7d`.
pub mod duration_text {
    use {
        serde::{de::Error, Deserialize, Deserializer, Serializer},
        std::time::Duration,
    };

    const UNITS: [(&str, f64); 5] =
        [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("h", 3600.0), ("d", 86_400.0)];

    /// Parses a number followed by its unit; `None` if `text` is not a duration.
    pub fn parse(text: &str) -> Option<Duration> {
        let split = text.find(|c: char| c.is_ascii_alphabetic())?;
        let (digits, name) = text.split_at(split);
        let (_, seconds) = UNITS.iter().find(|(unit, _)| *unit == name)?;
        let count: f64 = digits.trim_end().parse().ok()?;
        Duration::try_from_secs_f64(count * seconds).ok()
    }

    /// Formats `value` in the largest unit that needs no fraction, with millisecond precision.
    pub fn format(value: Duration) -> String {
        let millis = value.as_millis();
        let units = [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1000)];
        match units.iter().find(|(_, scale)| millis > 0 && millis.is_multiple_of(*scale)) {
            Some((name, scale)) => format!("{}{name}", millis / scale),
            None => format!("{millis}ms"),
        }
    }

    /// Writes the duration as text.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format(*value))
    }

    /// Reads the duration from text.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse(&text).ok_or_else(|| D::Error::custom("a duration such as \"250ms\" or \"5s\""))
    }
}
