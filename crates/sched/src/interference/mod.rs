//! Learns from late measurements how much classes of tasks slow each other on one worker.
//!
//! The slowdown of a victim is modelled as the sum over its neighbours of *share × effect*. The
//! share is the fraction of the worker's processors that a class may use; the effect belongs to the
//! pair of classes and to the load level of the victim. See `docs/decisions/placement.md`.

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
