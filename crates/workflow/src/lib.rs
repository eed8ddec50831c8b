//! Jobs of dependent steps: the replicated state, placement, and the reducers of control and agent.
//!
//! Everything here is pure: reducers take events with the time and return effects. The crate knows
//! neither sockets nor the formats in which callers, operators and executors speak. The design is
//! in `docs/decisions/platform.md`.

pub mod agent;
pub mod control;
pub mod event;
pub mod job;
pub mod message;
pub mod plan;
pub mod state;
