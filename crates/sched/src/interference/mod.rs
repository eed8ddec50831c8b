//! What classes of tasks do to each other on one worker, learned from late measurements.
//!
//! The slowdown of a victim is taken as the sum over its neighbours of *share × effect*. A share
//! is the part of the worker's processors that a class may use; the effect belongs to the pair of
//! classes and to the victim's load level. See `docs/decisions/placement.md`.

mod baseline;
mod history;
mod load;
mod pairs;

pub(crate) use {
    baseline::{BaselineTable, ServiceReading},
    history::{ClassShare, Occupancy, OccupancyHistory},
    load::{smooth_rate, LoadLevel, LoadMeter, LOAD_LEVELS},
    pairs::{PairTable, PairVictim, SlowdownReading},
};
