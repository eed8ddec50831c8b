//! The basic types of the workspace: identifiers, sizes, rates, time, seeded randomness and the
//! reducer interface.
//!
//! This crate depends on no other crate of the workspace, does no I/O and starts no thread; all
//! other crates use it. `docs/ARCHITECTURE.md` has the map of crates, and `docs/GLOSSARY.md` the
//! terms used in names.

mod duration_format;
pub mod ids;
pub mod random;
pub mod reducer;
pub mod sizes;
pub mod time;

pub use {
    duration_format::{duration_text, millis, optional_millis},
    ids::*,
    random::SeededRandom,
    reducer::EventReducer,
    sizes::*,
    time::*,
};
