//! Sizes and rates with units, and the vector of resources that a worker offers and a task needs.

mod resources;

pub use resources::{ResourceKind, ResourceVector};

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, iter::Sum, ops, str::FromStr},
};

/// The text is not a valid size or rate.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected {expected}, not {found:?}"))]
pub struct SizeError {
    /// The expected format.
    pub expected: &'static str,
    /// The text found.
    pub found: String,
}

macro_rules! size_type {
    ($($(#[$doc:meta])* $name:ident, $inner:ty;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl $name {
            /// The zero amount.
            pub const ZERO: Self = Self(0);

            /// Returns the difference, or zero if `other` is larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, ops::Add::add)
            }
        }
    )*};
}

size_type! {
    /// Processor time in thousandths of a core. Written `1500m` or `1.5`.
    CpuMillis, u64;
    /// Memory or payload size in bytes. Written `512`, `64KiB`, `60GB` and so on.
    ByteSize, u64;
    /// Whole accelerators.
    AcceleratorCount, u32;
    /// The number of requests that an executor serves concurrently.
    SlotCount, u32;
    /// The number of connections that an executor keeps open.
    ConnectionCount, u32;
}

macro_rules! plain_count {
    ($($name:ident, $expected:literal;)*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = SizeError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| SizeError { expected: $expected, found: text.to_owned() })
            }
        }
    )*};
}

plain_count! {
    AcceleratorCount, "a whole number of accelerators";
    SlotCount, "a whole number of slots";
    ConnectionCount, "a whole number of connections";
}

const MILLIS_PER_CORE: u64 = 1000;
const CPU_EXPECTED: &str = "cores such as \"1.5\" or thousandths such as \"1500m\"";

impl fmt::Display for CpuMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for CpuMillis {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || SizeError { expected: CPU_EXPECTED, found: text.to_owned() };
        if let Some(millis) = text.strip_suffix('m') {
            return millis.parse().map(Self).map_err(|_| error());
        }
        let cores: f64 = text.parse().map_err(|_| error())?;
        if !(0.0..1e9).contains(&cores) {
            return Err(error());
        }
        Ok(Self((cores * MILLIS_PER_CORE as f64).round() as u64))
    }
}

const BYTES_EXPECTED: &str = "bytes such as \"512\", \"64KiB\", \"8MiB\" or \"60GB\"";
const BYTE_UNITS: [(&str, u64); 8] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = BYTE_UNITS.iter().rev().find(|(name, scale)| {
            *name != "B" && self.0 >= *scale && self.0.is_multiple_of(*scale)
        });
        match unit {
            Some((name, scale)) => write!(f, "{}{name}", self.0 / scale),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || SizeError { expected: BYTES_EXPECTED, found: text.to_owned() };
        let unit = BYTE_UNITS.iter().find_map(|(name, scale)| {
            text.strip_suffix(name).map(|digits| (digits.trim_end(), *scale))
        });
        let (digits, scale) = unit.unwrap_or((text, 1));
        let count: u64 = digits.parse().map_err(|_| error())?;
        count.checked_mul(scale).map(Self).ok_or_else(error)
    }
}

/// Events per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RatePerSecond(pub f64);

impl fmt::Display for RatePerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("/s")
            .unwrap_or(text)
            .parse()
            .ok()
            .filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
            .map(Self)
            .ok_or_else(|| SizeError { expected: "a rate such as \"97/s\"", found: text.into() })
    }
}
