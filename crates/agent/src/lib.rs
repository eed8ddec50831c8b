//! The agent role: guards the endpoints of one worker and runs its tasks under a lease.
//!
//! [`AgentReducer`] takes every decision: who is admitted to an endpoint's slots, which task may
//! start, and when tasks must stop because control is silent. [`AgentProcess`] performs them. The
//! crate knows nothing of placement, of routing or of the other roles; it meets them only through
//! the messages of `proto`. The binaries start the process, and scenarios drive the reducer. See
//! `docs/decisions/agent.md` and `docs/PLATFORM.md`.

pub mod announce;
pub mod platform;
mod process;
pub mod reducer;

pub use {
    process::{AgentProcess, StartError},
    reducer::{AgentEffect, AgentInput, AgentReducer},
};
