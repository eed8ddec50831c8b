//! Hybrid logical stamps: wall-clock time that never contradicts cause and effect. Every internal
//! message carries one, which lets the time line of `docs/OPERATIONS.md` merge the events of all
//! processes in causal order even when their wall clocks differ.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr, time::SystemTime},
};

/// A point in the causal order of events. Ordered by wall time first, then by the counter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HybridStamp {
    /// Microseconds since the Unix epoch, the largest seen so far.
    pub wall_micros: u64,
    /// Orders events that share `wall_micros`.
    pub counter: u32,
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_micros, self.counter)
    }
}

/// The text is no stamp.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected a stamp such as \"1700000000000000.0\", not {found:?}"))]
pub struct StampError {
    /// The text that was given.
    pub found: String,
}

impl FromStr for HybridStamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || StampError { found: text.to_owned() };
        let (wall, counter) = text.split_once('.').ok_or_else(error)?;
        let wall_micros = wall.parse().map_err(|_| error())?;
        let counter = counter.parse().map_err(|_| error())?;
        Ok(Self { wall_micros, counter })
    }
}

/// Hands out stamps that are larger than every stamp issued or received before.
#[derive(Debug, Default)]
pub struct HybridClock {
    latest: HybridStamp,
}

impl HybridClock {
    /// Stamps a local event or a message that is about to be sent.
    pub fn tick(&mut self, wall: SystemTime) -> HybridStamp {
        self.advance(wall, HybridStamp::default())
    }

    /// Stamps the receipt of a message that carried `remote`.
    pub fn receive(&mut self, wall: SystemTime, remote: HybridStamp) -> HybridStamp {
        self.advance(wall, remote)
    }

    fn advance(&mut self, wall: SystemTime, remote: HybridStamp) -> HybridStamp {
        let wall_micros = micros_since_epoch(wall);
        let floor = self.latest.max(remote);
        self.latest = if wall_micros > floor.wall_micros {
            HybridStamp { wall_micros, counter: 0 }
        } else {
            HybridStamp { wall_micros: floor.wall_micros, counter: floor.counter + 1 }
        };
        self.latest
    }
}

fn micros_since_epoch(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
