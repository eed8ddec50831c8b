//! The entry role: receives callers' requests and routes them to agents.
//!
//! [`EntryReducer`] makes every decision and is pure: it must not depend on sockets, threads or
//! request bodies. [`EntryProcess`] drives it. The crate must not depend on the internals of
//! `control` and `agent`; it exchanges the messages of `proto` with them. The binary starts it, and
//! `docs/CALLERS.md` states what callers may rely on.

mod driver;
mod http;
mod problem;
pub mod reducer;

pub use {
    driver::{EntryProcess, StartError},
    problem::{ProblemOutcome, ProblemReport},
    reducer::{EntryEffect, EntryInput, EntryReducer, EntrySetup},
};
