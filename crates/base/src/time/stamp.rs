//! Hybrid logical timestamps: wall-clock time that never contradicts causality. Every internal
//! message carries one, so that the time line in `docs/OPERATIONS.md` can merge the events of all
//! processes in causal order even when their wall clocks differ.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr, time::SystemTime},
};

/// A point in the causal order of events, ordered by wall time first and by the counter second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HybridStamp {
    /// Microseconds since the Unix epoch: the largest value seen so far.
    pub wall_micros: u64,
    /// Orders events with the same `wall_micros`.
    pub counter: u32,
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_micros, self.counter)
    }
}

/// The text is not a valid timestamp.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("expected a timestamp such as \"1700000000000000.0\", not {found:?}"))]
pub struct StampError {
    /// The text found.
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

/// Issues timestamps, each greater than every timestamp that was issued or received before.
#[derive(Debug, Default)]
pub struct HybridClock {
    latest: HybridStamp,
}

impl HybridClock {
    /// Returns the timestamp of a local event or of a message about to be sent.
    pub fn tick(&mut self, wall: SystemTime) -> HybridStamp {
        self.advance(wall, HybridStamp::default())
    }

    /// Returns the timestamp for receiving a message that carried `remote`.
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
