//! The agent role: guards the endpoints of one worker and runs its tasks under a lease.
//!
//! [`AgentReducer`] takes every decision: which requests an endpoint's slots admit, which tasks may
//! start, and when the agent must stop its tasks because control has not renewed the lease.
//! [`AgentProcess`] performs these decisions. The crate knows nothing of placement, of routing or
//! of the other roles; it communicates with them only through the messages of `proto`. The binaries
//! start the process, and scenarios drive the reducer. See `docs/decisions/agent.md` and
//! `docs/PLATFORM.md`.

pub mod announce;
pub mod platform;
mod process;
pub mod reducer;

pub use {
    process::{AgentProcess, StartError},
    reducer::{AgentEffect, AgentInput, AgentReducer},
};
