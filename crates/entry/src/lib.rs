//! The entry role: takes callers' requests and routes them.
//!
//! [`EntryReducer`] decides everything and is pure: it knows neither sockets nor threads nor
//! bodies of requests. [`EntryProcess`] is its driver. The crate may not know the insides of
//! `control` and `agent`; it meets them through the messages of `proto`. The binary starts it, and
//! `docs/CALLERS.md` says what callers may rely on.

mod driver;
mod http;
mod problem;
pub mod reducer;

pub use {
    driver::{EntryProcess, StartError},
    problem::{ProblemOutcome, ProblemReport},
    reducer::{EntryEffect, EntryInput, EntryReducer, EntrySetup},
};
