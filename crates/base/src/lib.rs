//! Vocabulary that every other crate shares: identifiers, sizes, rates, time, seeded randomness
//! and the shape of a reducer.
//!
//! This crate knows nothing of any other crate of the workspace, does no I/O and starts no
//! thread. Every crate calls it. The map of crates is in `docs/ARCHITECTURE.md`, and the words
//! used for names are in `docs/GLOSSARY.md`.

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
